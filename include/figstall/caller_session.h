// The HTTP of one caller's connection without its socket: bytes, answers and
// time go in; requests and bytes come out. Requests that were sent one behind
// the other are served side by side, and their answers leave in the order in
// which the requests came.
#ifndef FIGSTALL_CALLER_SESSION_H_
#define FIGSTALL_CALLER_SESSION_H_

#include <boost/beast/http.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "figstall/desired_state.h"
#include "figstall/http_message.h"
#include "figstall/types.h"

namespace figstall {

struct CallerSessionLimits {
  CallerLimits caller;
  // Requests of one connection that are served at the same time; beyond that
  // they wait unparsed.
  std::size_t max_concurrent_requests = 16;
  // Bytes that are read ahead of the parser; beyond that reading pauses, and
  // the caller's close is noticed only when an answer has made room.
  std::size_t max_read_ahead_bytes = 65'536;
};

// Number of a request on its connection, counted from 1.
using RequestNumber = std::uint64_t;

struct CallerRequest {
  RequestNumber number = 0;
  // When its last byte was read.
  Instant arrived_at{};
  HttpRequest message;
};

enum class SessionState {
  kOpen,
  // To be closed once the output is written.
  kAfterOutput,
  // To be reset at once.
  kReset,
};

class CallerSession {
 public:
  // Whether a request may be served again; asked when it is whole and, where it
  // had to wait, when it is passed on.
  using IdempotentPredicate = std::function<bool(const HttpRequest&)>;

  CallerSession(CallerSessionLimits limits,
                IdempotentPredicate is_idempotent,
                Instant now);

  void OnBytes(Instant now, std::string_view bytes);
  // The caller closed its sending side, which is taken for a close: whole
  // answers are still written, all other requests are gone.
  void OnReadClosed();
  // The connection ends once all requests that were read are answered.
  void Stop() { stopping_ = true; }
  // Ends the connection if nothing is read or served on it, but leaves a new
  // one the time for its first request.
  void CloseIfIdle(Instant now);
  // Ends the connection if the caller exceeds a time limit.
  void EnforceTimeouts(Instant now);
  // Drops everything.
  void Reset();

  // The status with which the caller's bytes were refused; told once.
  std::optional<int> TakeRefusal() {
    return std::exchange(refused_, std::nullopt);
  }

  // The next request to be passed on.
  std::optional<CallerRequest> NextRequest();
  // Calls if the caller is gone, or its connection is of no more use, before
  // the request is answered.
  void SetCancelHandler(RequestNumber number, std::function<void()> handler);

  // A whole answer.
  void Reply(RequestNumber number, HttpResponse answer);
  // An answer whose body follows. `drained` is called when more may be given.
  void BeginResponse(RequestNumber number,
                     ResponseHead head,
                     std::function<void()> drained);
  void SendBody(RequestNumber number, std::string_view bytes, bool last);
  // The answer cannot be ended: answers before it are written, then the
  // connection closes in the middle of it. What came behind it is gone.
  void Truncate(RequestNumber number);
  // Bytes of the answer that the caller has not taken yet.
  std::size_t unsent(RequestNumber number) const;

  // Bytes to write next; empty if none. The next ones follow OnWritten.
  std::string TakeOutput(Instant now);
  void OnWritten(Instant now);

  bool WantsBytes() const {
    return end_ == SessionState::kOpen &&
           input_.size() < limits_.max_read_ahead_bytes;
  }
  SessionState end() const { return end_; }
  // Whether an answer is not yet written to its end.
  bool writing() const { return in_write_ > 0 || !output_.empty(); }
  // Whether no request is being read, served or answered.
  bool idle() const {
    return slots_.empty() && !deferred_request_ && !reading_request_ &&
           !writing();
  }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // One request that is served, in the order of arrival.
  struct Slot {
    bool keep_alive = true;
    bool once = false;
    bool streaming = false;
    bool chunked = false;
    bool last = false;
    bool cut = false;
    std::optional<HttpResponse> whole;
    // Head of a streamed answer until it is written.
    std::optional<ResponseHead> head;
    // Body bytes that wait for the answers before.
    std::string body;
    std::function<void()> drained;
    std::function<void()> gone;
  };

  Slot* Find(RequestNumber number);
  const Slot* Find(RequestNumber number) const;
  void ResetParser();
  bool MayParse() const;
  void Parse(Instant now);
  void TakeRequest(Instant now, HttpRequest request);
  void PassOn(Instant now, HttpRequest request, bool once);
  void RefuseInput(int status);
  // Writes what may be written of the first answers.
  void WriteReadyResponses();
  bool WriteFront(Slot& front);
  void WriteWhole(Slot& front);
  void WriteHead(Slot& front);
  void WriteBody(Slot& front);
  void End(SessionState end);

  const CallerSessionLimits limits_;
  const IdempotentPredicate is_idempotent_;
  std::optional<Parser> parser_;
  std::string input_;
  std::string output_;
  std::size_t in_write_ = 0;
  std::deque<Slot> slots_;
  // Number of the first of `slots_`.
  RequestNumber first_ = 1;
  std::deque<CallerRequest> ready_;
  // A request that must not be served beside another one. Nothing behind it is
  // parsed while it waits.
  std::optional<CallerRequest> deferred_request_;
  bool reading_request_ = false;
  bool continue_due_ = false;
  // Nothing that comes from now on is passed on: an answer that closes the
  // connection has begun, or will be the last.
  bool closing_ = false;
  bool stopping_ = false;
  bool any_request_ = false;
  std::optional<int> refused_;
  SessionState end_ = SessionState::kOpen;
  const Instant opened_;
  Instant idle_since_;
  Instant request_began_;
  Instant last_bytes_;
  Instant write_began_;
};

}  // namespace figstall

#endif  // FIGSTALL_CALLER_SESSION_H_
