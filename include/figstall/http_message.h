// Types of the HTTP messages that the data path forwards.
#ifndef FIGSTALL_HTTP_MESSAGE_H_
#define FIGSTALL_HTTP_MESSAGE_H_

#include <boost/beast/http.hpp>
#include <string_view>

namespace figstall {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
using HttpFields = boost::beast::http::fields;
using ResponseHead = boost::beast::http::response_header<>;

// Whether HTTP defines this status for a final response. The parser takes any
// three digits.
inline bool IsFinalStatus(unsigned status) {
  constexpr unsigned kMin = 200;
  constexpr unsigned kMax = 599;
  return kMin <= status && status <= kMax;
}

inline std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace figstall

#endif  // FIGSTALL_HTTP_MESSAGE_H_
