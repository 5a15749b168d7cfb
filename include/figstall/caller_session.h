// The HTTP state of one caller's connection, independent of the socket.
// Received bytes, responses and the time are its input; parsed requests and
// bytes to send are its output. Pipelined requests are served concurrently, and
// their responses are sent in the order of the requests.
#ifndef FIGSTALL_CALLER_SESSION_H_
#define FIGSTALL_CALLER_SESSION_H_

#include <boost/beast/http.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "figstall/caller_limits.h"
#include "figstall/http_message.h"
#include "figstall/request_memory.h"
#include "figstall/types.h"

namespace figstall {

struct CallerSessionLimits {
  // Limits of the versions in force while the session lasts.
  std::shared_ptr<const CallerLimitsHistory> caller =
      std::make_shared<const CallerLimitsHistory>();
  // Requests of one connection that are served at the same time. Further
  // requests wait unparsed.
  std::size_t max_concurrent_requests = 16;
  // Bytes that are read but not yet parsed. At this size reading pauses, so
  // that the caller's close is noticed only after a response was written and
  // more bytes were parsed.
  std::size_t max_read_ahead_bytes = 65'536;
};

// Number of a request on its connection, counted from 1.
using RequestNumber = std::uint64_t;

struct CallerRequest {
  RequestNumber number = 0;
  // When the last byte of the request was read.
  Instant arrived_at{};
  HttpRequest message;
  // Counted in RequestMemory until the response is complete.
  std::size_t kept_bytes = 0;
};

// What tells the caller where the body of a response ends.
enum class BodyFraming {
  // There is no body: the response to a HEAD request, 204 or 304.
  kNone,
  kContentLength,
  kChunks,
  // The end of the connection, for HTTP/1.0 callers, which know no chunks. A
  // truncated response then ends with a reset.
  kConnectionEnd,
};

enum class SessionState {
  kOpen,
  // The connection must be closed once the output is written.
  kCloseAfterOutput,
  // The connection must be reset at once.
  kReset,
};

enum class SessionEndReason {
  // After the response that announced it.
  kLastResponse,
  kInvalidRequest,
  kResponseCut,
  // The caller closed its connection, or the connection failed.
  kCallerClosed,
  kIdleTimeout,
  kHeadTimeout,
  kBodyTimeout,
  kWriteTimeout,
  // An idle connection of a process that stops.
  kStopping,
};

const char* ToString(SessionEndReason reason);

// Why and how a session ended.
struct SessionEnd {
  SessionEndReason reason = SessionEndReason::kLastResponse;
  // Requests that were read whole and have no complete response.
  std::size_t unanswered = 0;
  // Bytes that were read and are no whole request.
  std::size_t unparsed_bytes = 0;

  friend bool operator==(const SessionEnd&, const SessionEnd&) = default;
};

class CallerSession {
 public:
  // Returns whether a request may be executed more than once. It is called when
  // a request was read completely and, if the request was deferred, again when
  // it is passed on.
  using IdempotentPredicate = std::function<bool(const HttpRequest&)>;

  CallerSession(CallerSessionLimits limits,
                IdempotentPredicate is_idempotent,
                Instant now,
                std::shared_ptr<RequestMemory> memory = nullptr);

  void OnBytes(Instant now, std::string_view bytes);
  // Handles the end of the caller's sending side, which is treated as a close.
  // Queued output is still written. Requests whose response is incomplete are
  // cancelled, and complete responses after such a request are dropped.
  void OnReadClosed();
  // Closes the connection after the responses to all requests that were read.
  void Stop() { stopping_ = true; }
  // Closes the connection if no request is being read or served on it. A new
  // connection is kept open for a while, since its first request may follow.
  void CloseIfIdle(Instant now);
  // The time limit that the caller exceeds, by the bytes passed so far.
  std::optional<SessionEndReason> ExceededTimeout(Instant now) const;
  // Closes or resets the connection if the caller exceeds a time limit.
  void EnforceTimeouts(Instant now);
  // Counts the time limit on idle connections from `now`, since the caller has
  // not received all that was written.
  void RestartIdleTime(Instant now) { idle_since_ = now; }
  // Discards the output and cancels all requests; the connection must be reset.
  void Reset(SessionEndReason reason);

  // The HTTP status with which invalid input was refused. It is returned once.
  std::optional<int> TakeRefusedStatus() {
    return std::exchange(refused_status_, std::nullopt);
  }

  // The next request to be passed on.
  std::optional<CallerRequest> NextRequest();
  // `handler` is called if the caller disconnects or its connection becomes
  // unusable before the response is complete.
  void SetCancelHandler(RequestNumber number, std::function<void()> handler);

  // Sends a complete response.
  void Reply(RequestNumber number, HttpResponse response);
  // Sends the head of a response whose body follows by SendBody. `on_drained`
  // is called when more of the body may be sent.
  void BeginResponse(RequestNumber number,
                     ResponseHead head,
                     std::function<void()> on_drained);
  void SendBody(RequestNumber number, std::string_view bytes, bool last);
  // Abandons a response that cannot be completed. Earlier responses are
  // written, then the connection closes in the middle of this one, or is reset
  // if the close would make the response look complete. Later requests are
  // cancelled.
  void Truncate(RequestNumber number);
  // Bytes of the response that are not yet written to the socket.
  std::size_t unsent(RequestNumber number) const;

  // Bytes to write next; empty if there are none or while a write is in
  // progress. OnWritten must be called when they are written.
  std::string TakeOutput(Instant now);
  void OnWritten(Instant now);

  bool WantsBytes() const {
    return state_ == SessionState::kOpen &&
           input_.size() < limits_.max_read_ahead_bytes &&
           !(memory_.IsFull() && !pending_requests_.empty());
  }
  // The limit on the time since the connection became idle.
  Duration idle_timeout() const {
    return limits_.caller->Since(idle_since_).idle_timeout;
  }
  SessionState state() const { return state_; }
  // Empty while the session is open.
  const std::optional<SessionEnd>& end() const { return end_; }
  // Whether bytes were read of a request that is not complete or not parsed.
  bool reading() const { return reading_request_ || !input_.empty(); }
  // Whether output is queued or being written.
  bool writing() const { return bytes_in_write_ > 0 || !output_.empty(); }
  // Whether no request is being read, served or answered.
  bool idle() const {
    return pending_requests_.empty() && !deferred_request_ &&
           !reading_request_ && !writing();
  }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // A request that is being served, with its response.
  struct PendingRequest {
    // Of the request, which is kept until its response is complete.
    std::size_t kept_bytes = 0;
    bool keep_alive = true;
    bool non_idempotent = false;
    // Of the request.
    bool http_1_0 = false;
    bool head_only = false;
    bool streaming = false;
    // Set when the head of a streamed response is written.
    BodyFraming framing = BodyFraming::kContentLength;
    bool body_complete = false;
    bool truncated = false;
    // A response that was given as a whole.
    std::optional<HttpResponse> full_response;
    // The head of a streamed response until it is written.
    std::optional<ResponseHead> head;
    // Body bytes that wait until the earlier responses are written.
    std::string body;
    std::function<void()> on_drained;
    std::function<void()> on_cancel;
  };

  PendingRequest* Find(RequestNumber number);
  const PendingRequest* Find(RequestNumber number) const;
  void ResetParser();
  // Sets the limits on the size of the request that begins.
  void ApplySizeLimits();
  bool CanParse() const;
  // Whether the request being read has more bytes outside of its body than any
  // valid request needs.
  bool ExceedsFramingLimit() const;
  void Parse(Instant now);
  void OnRequestParsed(Instant now, HttpRequest request);
  void Enqueue(CallerRequest request, bool non_idempotent);
  static BodyFraming FramingFor(
      const PendingRequest& pending,
      const boost::beast::http::response<boost::beast::http::empty_body>&
          message);
  void RefuseInput(int status);
  // Bytes of the request being read, and those reserved for its body.
  std::size_t ReadingBytes() const;
  // Records what the connection keeps. Returns false if it does not fit.
  bool UpdateMemory();
  // Queues all available output of the responses whose turn it is.
  void WriteReadyResponses();
  // Queues the available output of the first response. Returns whether nothing
  // more of it follows.
  bool WriteFront(PendingRequest& front);
  void WriteFullResponse(PendingRequest& front);
  void WriteHead(PendingRequest& front);
  void WriteBody(PendingRequest& front);
  // Cancels all requests and ends the session in this state.
  void End(SessionState state, SessionEndReason reason);

  const CallerSessionLimits limits_;
  const IdempotentPredicate is_idempotent_;
  RequestMemoryAccount memory_;
  std::optional<Parser> parser_;
  // Bytes that are read but not yet parsed.
  std::string input_;
  std::string output_;
  std::size_t bytes_in_write_ = 0;
  // In the order of arrival.
  std::deque<PendingRequest> pending_requests_;
  // Number of the first of `pending_requests_`.
  RequestNumber first_number_ = 1;
  // Requests for NextRequest.
  std::deque<CallerRequest> ready_requests_;
  // A request that must not be served concurrently with another one. Nothing
  // after it is parsed while it waits.
  std::optional<CallerRequest> deferred_request_;
  bool reading_request_ = false;
  // Limit on the head of the request being read.
  std::size_t max_header_bytes_ = 0;
  // Bytes of the request being read that were parsed.
  std::size_t parsed_bytes_ = 0;
  // A `100 Continue` response must be sent.
  bool continue_pending_ = false;
  // No further request is accepted, since the connection closes after a
  // response that has begun or after the last request that was read.
  bool closing_ = false;
  bool stopping_ = false;
  bool received_request_ = false;
  // An invalid request was refused, after which nothing is read.
  bool refused_input_ = false;
  std::optional<int> refused_status_;
  SessionState state_ = SessionState::kOpen;
  // Requests that were read whole and dropped behind a truncated response, with
  // the one to which it belongs.
  std::size_t unanswered_ = 0;
  std::optional<SessionEnd> end_;
  const Instant opened_at_;
  Instant idle_since_;
  Instant request_started_at_;
  Instant last_read_at_;
  Instant write_started_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_CALLER_SESSION_H_
