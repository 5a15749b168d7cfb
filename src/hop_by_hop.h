// Removes the header fields of an HTTP message that apply to one connection
// only, before it is passed on over another one.
#ifndef FIGSTALL_HOP_BY_HOP_H_
#define FIGSTALL_HOP_BY_HOP_H_

#include <boost/beast/http.hpp>
#include <string>
#include <vector>

namespace figstall::detail {

// Hop-by-hop header fields, which apply to a single connection.
inline bool IsHopByHopField(boost::beast::http::field field) {
  namespace http = boost::beast::http;
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

template <typename Message>
void EraseHopByHopFields(Message& message) {
  namespace http = boost::beast::http;
  std::vector<std::string> named;
  for (const auto& token : http::token_list(message[http::field::connection]))
    named.emplace_back(token);
  for (const std::string& name : named)
    message.erase(name);
  for (auto field = message.begin(); field != message.end();) {
    if (IsHopByHopField(field->name()))
      field = message.erase(field);
    else
      ++field;
  }
}

}  // namespace figstall::detail

#endif  // FIGSTALL_HOP_BY_HOP_H_
