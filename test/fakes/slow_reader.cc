// Reads at fixed intervals into a parser, with a small receive buffer, so that
// most of the response stays with its sender.
#include "slow_reader.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

namespace figstall::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Duration kReadInterval = std::chrono::milliseconds(50);
// After the first byte of the response.
constexpr Duration kNextRequestDelay = std::chrono::milliseconds(1000);
constexpr int kReceiveBufferBytes = 16'384;

class SlowReader : public std::enable_shared_from_this<SlowReader> {
 public:
  SlowReader(asio::io_context& io,
             SlowReaderOptions options,
             HttpChannel::Handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        socket_(io),
        read_timer_(io),
        next_timer_(io),
        limit_timer_(io) {
    parser_.body_limit(boost::none);
    parser_.eager(true);
  }

  void Start() {
    limit_timer_.expires_after(options_.limit);
    limit_timer_.async_wait([self = shared_from_this()](error_code stopped) {
      if (!stopped)
        self->Finish("response timeout");
    });
    const asio::ip::tcp::endpoint entry(
        asio::ip::make_address(options_.entry.address), options_.entry.port);
    error_code ignored;
    socket_.open(entry.protocol(), ignored);
    socket_.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    socket_.async_connect(entry, [self = shared_from_this()](error_code error) {
      if (error)
        return self->Finish(error.message());
      self->sent_ = true;
      self->Write(self->options_.request);
      self->ReadLater();
    });
  }

 private:
  void Write(const std::string& request) {
    asio::async_write(socket_, asio::buffer(request),
                      [self = shared_from_this()](error_code, std::size_t) {});
  }

  void ReadLater() {
    read_timer_.expires_after(kReadInterval);
    read_timer_.async_wait([self = shared_from_this()](error_code stopped) {
      if (!stopped)
        self->Read();
    });
  }

  void Read() {
    const double seconds = std::chrono::duration<double>(kReadInterval).count();
    const auto wanted =
        static_cast<std::size_t>(options_.bytes_per_second * seconds);
    socket_.async_read_some(
        buffer_.prepare(std::max<std::size_t>(wanted, 1)),
        [self = shared_from_this()](error_code error, std::size_t size) {
          if (!self->finished_)
            self->OnRead(error, size);
        });
  }

  void OnRead(error_code error, std::size_t size) {
    if (!error && !next_sent_) {
      next_sent_ = true;
      next_timer_.expires_after(kNextRequestDelay);
      next_timer_.async_wait([self = shared_from_this()](error_code stopped) {
        if (!stopped && !self->finished_)
          self->Write(self->options_.next_request);
      });
    }
    buffer_.commit(size);
    error_code parse_error;
    // Without a head, the parser would take the end for that of a response.
    if (error == asio::error::eof && parser_.is_header_done())
      parser_.put_eof(parse_error);
    else if (!error)
      buffer_.consume(parser_.put(buffer_.data(), parse_error));
    if (parser_.is_done())
      return Finish("");
    if (error || (parse_error && parse_error != http::error::need_more))
      return Finish((error ? error : parse_error).message());
    ReadLater();
  }

  void Finish(const std::string& failure) {
    if (finished_)
      return;
    finished_ = true;
    read_timer_.cancel();
    next_timer_.cancel();
    limit_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    ChannelResponse response;
    response.sent = sent_;
    response.failure = failure;
    if (failure.empty()) {
      const auto& message = parser_.get();
      response.status = static_cast<int>(message.result_int());
      response.header = [&message](const char* name) {
        return std::string(message[name]);
      };
      response.fields = &message;
      response.body = message.body();
    }
    handler_(response);
  }

  const SlowReaderOptions options_;
  const HttpChannel::Handler handler_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer read_timer_;
  asio::steady_timer next_timer_;
  asio::steady_timer limit_timer_;
  boost::beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  bool sent_ = false;
  bool next_sent_ = false;
  bool finished_ = false;
};

}  // namespace

void ReadSlowly(asio::io_context& io,
                SlowReaderOptions options,
                HttpChannel::Handler handler) {
  std::make_shared<SlowReader>(io, std::move(options), std::move(handler))
      ->Start();
}

}  // namespace figstall::detail
