// An HTTP client over one persistent connection, on an Asio loop. Requests are
// sent one at a time, and each has a timeout. A request that fails or times out
// resets the connection, so that no late response can arrive on it. Bytes that
// belong to no request spoil a connection: it is closed before the next request
// is sent.
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
#include "figstall/exceeded_limit.h"
#include "figstall/http_message.h"
#include "figstall/records.h"

namespace figstall {

struct ChannelRequest {
  std::string method = "GET";
  // Path and query.
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  // JSON, or empty.
  std::string body;
  // A response with a longer body fails the request.
  std::size_t max_response_bytes = 8'000'000;
  // The timeout; it starts when all earlier requests are finished.
  Duration limit = std::chrono::seconds(1);
  // If set, called right before the request is written, with the time at which
  // the connection was opened. The request is withdrawn if this returns false.
  std::function<bool(Instant connected_at)> may_send;
  // Sends the request on a new connection that serves no other request.
  bool on_own_connection = false;
  // Whether a response with this status and header can be one to the request.
  // Others are discarded. If not set, every response can be.
  std::function<bool(int status, const HttpFields& fields)> is_response;
};

// Where a channel received bytes that belong to no request.
enum class StrayBytes {
  kIdleConnection,
  kBeforeRequest,
  kBehindResponse,
  // A response for which `is_response` returned false.
  kOtherResponse,
};

const char* ToString(StrayBytes where);

struct ChannelResponse {
  // False: no byte of the request left this process.
  bool sent = false;
  // Whether `may_send` returned false.
  bool withdrawn = false;
  // Empty if no complete response was received.
  std::optional<int> status;
  // Whether this is the first response on a connection on which no earlier
  // request was sent, and no byte was received before this request was written.
  // Any other response may be a late or second one to an earlier request.
  bool first_on_connection = false;
  // Whether more bytes followed the response.
  bool bytes_followed = false;
  std::function<std::string(const char* name)> header;
  // All header fields; null if no complete response was received. Valid while
  // the handler runs.
  const HttpFields* fields = nullptr;
  std::string body;
  // Why there is no response; empty if there is one.
  std::string failure;
};

class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
 public:
  using Handler = std::function<void(const ChannelResponse&)>;

  static std::shared_ptr<HttpChannel> Make(boost::asio::io_context& io,
                                           Endpoint peer,
                                           std::size_t max_queue);

  // Queues a request. The handler is called exactly once, also if the queue is
  // full. Its exceptions leave the loop's run(), and later calls go on.
  void Call(ChannelRequest call, Handler handler);
  // Resets the connection and drops all requests; their handlers are called.
  void Close();
  // `handler` is called when an open connection is lost, for any reason but a
  // call of Close, an end that the peer announced in a response, or bytes that
  // belong to no request.
  void SetDisconnectHandler(std::function<void()> handler) {
    disconnect_handler_ = std::move(handler);
  }
  // `handler` is called before a request fails because the peer sent more than
  // is accepted.
  void SetLimitHandler(std::function<void(const ExceededLimit&)> handler) {
    limit_handler_ = std::move(handler);
  }
  // `handler` is called when bytes that belong to no request were received.
  void SetStrayBytesHandler(std::function<void(StrayBytes)> handler) {
    stray_bytes_handler_ = std::move(handler);
  }
  // For requests that must not arrive after their timeout, also if this process
  // is stopped or killed: the kernel discards what was not sent when the
  // process ends, and resets a connection whose bytes are not acknowledged in
  // time. Call before the first request.
  void LimitDelivery() { delivery_limited_ = true; }
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

  HttpChannel(boost::asio::io_context& io,
              Endpoint peer,
              std::size_t max_queue);

  enum class Readiness { kQuiet, kBytes, kClosed };

  void Start();
  // `may_extend`: whether a response may be awaited a little longer if the loop
  // stood still at the timeout.
  void StartTimer(Duration limit, bool may_extend);
  void Connect();
  // What an idle connection has to read.
  Readiness CheckReadiness();
  void ReportStrayBytes(StrayBytes where);
  // Closes a spoiled connection and opens another, if that can help. Returns
  // whether the request may be written on the current one.
  bool PrepareConnection();
  void Write();
  void Read();
  void OnResponse();
  void Finish(const ChannelResponse& response);
  // Starts the next call, or watches the idle connection.
  void Continue();
  void FailRead(const boost::system::error_code& error);
  void Fail(const std::string& failure);
  void Drop();
  void WatchIdle();

  boost::asio::io_context& io_;
  const Endpoint peer_;
  const std::size_t max_queue_;
  boost::asio::steady_timer timer_;
  std::deque<Pending> calls_;
  std::function<void()> disconnect_handler_;
  std::function<void(const ExceededLimit&)> limit_handler_;
  std::function<void(StrayBytes)> stray_bytes_handler_;
  // Number of the current connection. An asynchronous handler of an earlier
  // connection finds another number and does nothing.
  std::uint64_t generation_ = 0;
  std::optional<Tcp::socket> socket_;
  bool connected_ = false;
  bool delivery_limited_ = false;
  std::uint32_t requests_on_connection_ = 0;
  // When the current connection was opened.
  Instant connected_at_{};
  bool busy_ = false;
  // Number of the current call, for its timeout.
  std::uint64_t call_number_ = 0;
  bool sent_ = false;
  // Number of responses to the current call that were discarded.
  std::uint32_t discarded_responses_ = 0;
  // Whether one of them was not an interim response.
  bool saw_other_response_ = false;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
};

// Sets the options common to all TCP connections: TCP_NODELAY, and keep-alive
// probes and a user timeout that detect unresponsive peers.
void TuneSocket(boost::asio::ip::tcp::socket& socket);
// Makes the next close discard unsent data and reset the connection.
void ResetOnClose(boost::asio::ip::tcp::socket& socket);

}  // namespace figstall

#endif  // FIGSTALL_HTTP_CHANNEL_H_
