// One HTTP connection to a target, with at most one request at a time. It is
// opening, idle, busy or closed. When its state is uncertain, it is closed and
// never reused.
#ifndef FIGSTALL_TARGET_CONNECTION_H_
#define FIGSTALL_TARGET_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "figstall/clock.h"
#include "figstall/exceeded_limit.h"
#include "figstall/http_message.h"
#include "figstall/records.h"
#include "figstall/shared_body.h"

namespace figstall {

// How far a request had progressed when its connection failed.
enum class FailureStage {
  // No byte of the request was sent.
  kNotSent,
  // Sending had started, and no byte of a response was received.
  kNoResponse,
  // A response began but is incomplete, or the received bytes are not a valid
  // HTTP response.
  kAnswerCut,
};

struct ResponseObserver {
  // Called right before the first byte of a request whose connection had to be
  // opened for it. If it returns false, nothing is sent and the request fails.
  std::function<bool()> may_send;
  // Returns false if the response belongs to another request. That response is
  // discarded, and the connection continues to wait for the right one.
  std::function<bool(const ResponseHead& head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void()> on_end;
  std::function<void(FailureStage stage, const std::string& reason)> on_error;
  // If set, called before `on_error` if the request fails because the target
  // sent more than is accepted.
  std::function<void(const ExceededLimit& limit)> on_limit;
};

class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  // `on_closed` is called when the connection is closed and cannot be used any
  // more.
  TargetConnection(boost::asio::io_context& io,
                   Endpoint target,
                   std::function<void()> on_closed);

  // The connection must be new or idle. A new one that is not open within the
  // timeout fails, and its request counts as not sent.
  void Send(std::shared_ptr<const TargetRequest> request,
            ResponseObserver observer,
            Duration connect_timeout = std::chrono::milliseconds(900));
  // Closes the connection at once, so that the target stops its work. The
  // observer is not called any more.
  void Cancel();
  // Pause suspends reading the body of the response; Resume continues it.
  void Pause() { paused_ = true; }
  void Resume();
  // Fails the request, whose response exceeds this limit.
  void FailOverLimit(const ExceededLimit& limit);

  bool idle() const { return open_ && !busy_; }
  // When the connection began to open; none if it is open or closed.
  std::optional<Instant> opening_since() const { return opening_since_; }
  // Whether sending of the current request has started.
  bool send_started() const { return send_started_; }
  // Whether the connection has already carried a complete response.
  bool used() const { return completed_responses_ > 0; }
  // Whether the target certainly keeps an idle connection open at this time.
  bool IsUsableAt(Instant now) const { return now < usable_until_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void Connect(Duration timeout);
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void Parse();
  void ResetParser();
  // Whether an end of the stream that was read is the target's close. The
  // kernel reports a failed connection once; if a write gets the error, what
  // follows for the reading side looks like a close. A write that fails after
  // the target's close gets broken_pipe.
  bool EndedInOrder() const;
  void OnHead();
  // Counts bytes of the current response that were parsed. Returns the limit
  // that they exceed, if any.
  std::optional<ExceededLimit> CountParsed(std::size_t parsed,
                                           std::size_t body_bytes,
                                           bool needs_more);
  void FinishResponse();
  void Fail(const std::string& reason);
  void Close();

  Tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  const Endpoint target_;
  const std::function<void()> on_closed_;
  bool open_ = false;
  std::optional<Instant> opening_since_;
  bool busy_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool request_written_ = false;
  // Of the request's write.
  boost::system::error_code write_error_;
  bool send_started_ = false;
  bool head_seen_ = false;
  // The response being read is an interim one or belongs to another request.
  bool discarding_ = false;
  // The current request has received a response to another request.
  bool saw_mismatched_response_ = false;
  // Discarded since the current request was sent, interim ones included.
  std::uint32_t discarded_responses_ = 0;
  std::size_t discarded_bytes_ = 0;
  // Of the response being read: bytes of its body, and all others.
  std::size_t body_bytes_ = 0;
  std::size_t framing_bytes_ = 0;
  bool response_started_ = false;
  std::uint32_t completed_responses_ = 0;
  Instant usable_until_{};
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::shared_ptr<const TargetRequest> request_;
  std::optional<boost::beast::http::request_serializer<SharedBody>> serializer_;
  ResponseObserver observer_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_CONNECTION_H_
