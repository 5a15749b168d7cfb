// A caller's connection: moves bytes between its socket and its CallerSession.
#ifndef FIGSTALL_CALLER_CONNECTION_H_
#define FIGSTALL_CALLER_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "figstall/caller_session.h"
#include "figstall/clock.h"
#include "figstall/delivery_progress.h"

namespace figstall {

class CallerConnection;

// Writes the response to one request on its connection. Calls have no effect
// after the request was cancelled or its response completed.
class ResponseWriter {
 public:
  ResponseWriter(std::shared_ptr<CallerConnection> connection,
                 RequestNumber number)
      : connection_(std::move(connection)), number_(number) {}

  // These functions do the same as those of CallerSession for this request.
  void SetCancelHandler(std::function<void()> handler) const;
  void Reply(HttpResponse response) const;
  void BeginResponse(ResponseHead head, std::function<void()> on_drained) const;
  void SendBody(std::string_view bytes, bool last) const;
  void Truncate() const;
  std::size_t unsent() const;
  // Resets the whole connection.
  void Abort() const;

 private:
  std::shared_ptr<CallerConnection> connection_;
  RequestNumber number_;
};

// How a caller's connection ended.
struct CallerConnectionEnd {
  SessionEnd session;
  // Bytes that came after this side had closed its sending side, or that lay
  // unread in the kernel at the close.
  std::size_t bytes_after_close = 0;
  // Since the last byte was read, or since the start, when the session ended.
  Duration quiet_for{0};
  // The limit on idle connections that applied.
  Duration idle_timeout{0};
  // Bytes of responses that were given up, since the caller received nothing
  // more.
  std::size_t undelivered_bytes = 0;

  // Whether a request may have been lost with the connection. What its caller
  // ended is not counted.
  bool LostRequests() const {
    return session.reason != SessionEndReason::kCallerClosed &&
           (session.unanswered > 0 || session.unparsed_bytes > 0 ||
            bytes_after_close > 0 || undelivered_bytes > 0);
  }
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  struct Handlers {
    std::function<void(ResponseWriter, CallerRequest)> on_request;
    std::function<void(const CallerConnection*)> on_closed;
    // Returns whether the process is stopping and connections must close.
    std::function<bool()> stopping;
    CallerSession::IdempotentPredicate is_idempotent;
    // Called with the status with which invalid input was refused. May be
    // empty.
    std::function<void(int status)> on_refused;
    // Bounds what all connections keep. May be null.
    std::shared_ptr<RequestMemory> request_memory = nullptr;
    // Called before on_closed. May be empty.
    std::function<void(const CallerConnectionEnd&)> on_end;
  };

  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<const CallerLimitsHistory> limits,
                   Handlers handlers);

  void Start();
  // Resets the connection, so that the caller can detect an incomplete
  // response.
  void Abort();
  // Closes the connection if the caller is idle or slow for too long, after
  // what has arrived was read. It must be called periodically.
  void EnforceTimeouts(Instant now);
  // Closes the connection if no request is being read or served on it, as
  // CallerSession::CloseIfIdle.
  void CloseIfIdle();

  // Whether the caller's kernel has acknowledged all that was written.
  bool IsDelivered() { return UnacknowledgedBytes() == 0; }
  // Whether a request is being read, output is not yet written, or the delivery
  // of the last response and then the caller's close are awaited.
  bool busy() const {
    return session_.reading() || session_.writing() || send_closed_at_;
  }

 private:
  friend class ResponseWriter;
  using Tcp = boost::asio::ip::tcp;

  // Passes on parsed requests, then writes, closes and reads as the state of
  // the session requires.
  void ProcessSession();
  void DispatchRequests();
  void Read();
  // Passes what has arrived to the session, up to a limit.
  void ReadArrived(Instant now);
  // Which of these poll events, or POLLERR, hold for the socket.
  short Poll(short events);
  // Bytes that were written and that the caller's kernel has not acknowledged.
  // 0 after the connection has failed.
  std::size_t UnacknowledgedBytes();
  DeliveryState UpdateDelivery(Instant now);
  // Ends a connection whose sending side is closed, once all that was written
  // is delivered and the caller had time to close.
  void EnforceCloseTimeout(Instant now);
  void OnReadClosed(const boost::system::error_code& error);
  void Write();
  // Closes the sending side, and the connection too if the caller has received
  // the last response and had time to read it.
  void CloseGracefully();
  void Close();
  // Calls the handler of the connection's end.
  void ReportEnd();

  Tcp::socket socket_;
  const Handlers handlers_;
  CallerSession session_;
  std::array<char, 16'384> read_buffer_;
  std::string write_buffer_;
  bool reading_ = false;
  bool dispatching_ = false;
  bool read_closed_ = false;
  bool closed_ = false;
  std::size_t bytes_after_close_ = 0;
  std::size_t undelivered_bytes_ = 0;
  DeliveryProgress delivery_;
  Instant last_read_at_;
  std::optional<Instant> last_written_at_;
  // Set when the end of the session is seen.
  std::optional<Duration> quiet_for_;
  // When the sending side was closed. From then on, the delivery of what was
  // written and the caller's close are awaited.
  std::optional<Instant> send_closed_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_CALLER_CONNECTION_H_
