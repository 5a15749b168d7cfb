// Calls over one kept HTTP connection, one at a time, on an Asio loop. Every
// call has a limit; one that is given up resets its connection, so that nothing
// of it arrives later.
#ifndef FIGSTALL_HTTP_CHANNEL_H_
#define FIGSTALL_HTTP_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "figstall/clock.h"
#include "figstall/records.h"

namespace figstall {

struct ChannelRequest {
  std::string method = "GET";
  // Path with query.
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  // JSON, or empty.
  std::string body;
  Duration limit = std::chrono::seconds(1);
  // Asked right before the bytes are written; false drops the call.
  std::function<bool()> may_send;
};

struct ChannelResponse {
  // False: no byte of the call left this process.
  bool sent = false;
  // No status: no whole answer came.
  std::optional<int> status;
  std::function<std::string(const char* name)> header;
  std::string body;
  std::string failure;
};

class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
 public:
  using Handler = std::function<void(const ChannelResponse&)>;

  static std::shared_ptr<HttpChannel> Make(boost::asio::io_context& io,
                                           Endpoint peer,
                                           std::size_t max_queue);

  // The handler is called exactly once, also if the queue is full.
  void Call(ChannelRequest call, Handler handler);
  // Drops the connection and all calls; their handlers are called.
  void Close();
  // Calls when a connection that was open breaks, for any reason but Close.
  void SetDisconnectHandler(std::function<void()> handler) {
    broken_ = std::move(handler);
  }
  std::size_t queued() const { return calls_.size(); }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  struct Pending {
    ChannelRequest call;
    Handler handler;
    Instant queued_at;
  };

  HttpChannel(boost::asio::io_context& io, Endpoint peer, std::size_t max_queue)
      : io_(io), peer_(std::move(peer)), max_queue_(max_queue), timer_(io) {}

  void Start();
  void Connect();
  void Write();
  void Read();
  void Finish(const ChannelResponse& answer);
  void Fail(const std::string& why);
  void Drop();
  void WatchIdle();

  boost::asio::io_context& io_;
  const Endpoint peer_;
  const std::size_t max_queue_;
  boost::asio::steady_timer timer_;
  std::deque<Pending> calls_;
  std::function<void()> broken_;
  // Work on one connection; handlers of an earlier one find another number.
  std::uint64_t generation_ = 0;
  std::optional<Tcp::socket> socket_;
  bool connected_ = false;
  bool busy_ = false;
  bool sent_ = false;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
};

// Settings that every TCP connection of the router has: no delay, and an end
// to peers that went silent.
void TuneSocket(boost::asio::ip::tcp::socket& socket);
// Makes the next close discard what was not sent and reset the connection.
void ResetOnClose(boost::asio::ip::tcp::socket& socket);

}  // namespace figstall

#endif  // FIGSTALL_HTTP_CHANNEL_H_
