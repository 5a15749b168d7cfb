// Implements early_responder.h. Requests must have a Content-Length.
#include "early_responder.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>

#include "figstall/http_channel.h"

namespace figstall::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// From the first part of the response to the next step.
constexpr Duration kPause = std::chrono::milliseconds(50);
constexpr std::size_t kReadBytes = 65'536;

class EarlyResponder : public std::enable_shared_from_this<EarlyResponder> {
 public:
  EarlyResponder(asio::ip::tcp::socket socket, EarlyHandler handler)
      : socket_(std::move(socket)),
        handler_(std::move(handler)),
        timer_(socket_.get_executor()) {
    parser_.body_limit(boost::none);
  }

  void Start() {
    http::async_read_header(
        socket_, buffer_, parser_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error)
            self->OnHead();
        });
  }

 private:
  void OnHead() {
    const auto response = handler_(parser_.get().base());
    if (!response)
      return;
    response_ = *response;
    unread_ = parser_.content_length().value_or(0);
    unread_ -= std::min<std::uint64_t>(unread_, buffer_.size());
    const std::size_t half = response_.body.size() / 2;
    rest_ = response_.body.substr(half);
    response_.head += response_.body.substr(0, half);
    asio::async_write(
        socket_, asio::buffer(response_.head),
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error)
            self->Pause();
        });
  }

  void Pause() {
    timer_.expires_after(kPause);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (error)
        return;
      if (!self->response_.aborted)
        return self->ReadBody();
      ResetOnClose(self->socket_);
      self->socket_.close();
    });
  }

  void ReadBody() {
    if (unread_ == 0)
      return WriteRest();
    socket_.async_read_some(
        asio::buffer(bytes_),
        [self = shared_from_this()](error_code error, std::size_t size) {
          if (error)
            return;
          self->unread_ -= std::min<std::uint64_t>(self->unread_, size);
          self->ReadBody();
        });
  }

  void WriteRest() {
    asio::async_write(socket_, asio::buffer(rest_),
                      [self = shared_from_this()](error_code, std::size_t) {
                        error_code ignored;
                        self->socket_.shutdown(
                            asio::ip::tcp::socket::shutdown_send, ignored);
                      });
  }

  asio::ip::tcp::socket socket_;
  const EarlyHandler handler_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  std::array<char, kReadBytes> bytes_;
  EarlyResponse response_;
  std::string rest_;
  // Bytes of the request's body.
  std::uint64_t unread_ = 0;
};

}  // namespace

void RespondEarly(asio::ip::tcp::socket socket, EarlyHandler handler) {
  std::make_shared<EarlyResponder>(std::move(socket), std::move(handler))
      ->Start();
}

}  // namespace figstall::detail
