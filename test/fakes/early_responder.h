// Serves one connection of an emulated target that responds before it has read
// the request's body, without a length.
#ifndef FIGSTALL_TEST_FAKES_EARLY_RESPONDER_H_
#define FIGSTALL_TEST_FAKES_EARLY_RESPONDER_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "figstall/http_message.h"

namespace figstall::detail {

// The head of a response and its body, which the end of the connection ends.
struct EarlyResponse {
  std::string head;
  std::string body;
  // Resets the connection within the body.
  bool aborted = false;
};

// Called with the head of each request. Without a response the connection is
// closed.
using EarlyHandler =
    std::function<std::optional<EarlyResponse>(const HttpFields& head)>;

// Sends a part of the response when the request's head has arrived. Unless the
// response is aborted, it then reads the request's body and sends the rest.
void RespondEarly(boost::asio::ip::tcp::socket socket, EarlyHandler handler);

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EARLY_RESPONDER_H_
