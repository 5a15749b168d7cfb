// Processing of one caller's request from its arrival to its end. Only this
// code decides the result of a request: not sent, sent without a response,
// answered, rejected by its target as not run, or abandoned.
#ifndef FIGSTALL_EXCHANGE_H_
#define FIGSTALL_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "figstall/entry_traffic.h"
#include "figstall/request_waits.h"

namespace figstall {

// Whether a request may have run at any target.
enum class ExecutionState {
  // No byte of it was sent, or each target reported that it did not run it.
  kNotRun,
  // It may have run or may still be running.
  kUnknown,
};

// Returns the HTTP status of figstall's own response to a request without a
// target's response. 503 guarantees that the request has not run and never
// will.
int LocalResponseStatus(ExecutionState state, bool deadline_passed);

// How the body of a target's response is handled.
enum class BodyHandling {
  // Buffered until it is complete, so that a truncated response can be replaced
  // by that of another attempt.
  kBuffer,
  // Forwarded while it is received. CallerSession marks its end so that the
  // caller detects a truncated one.
  kStream,
  // Discarded. The response, if it is passed on, has no body.
  kDrop,
};

// `bytes`: size of the body received so far.
BodyHandling BodyHandlingFor(const ResponseHead& head, std::size_t bytes);

// One attempt to have a request served by a target.
struct Attempt {
  TargetClient* client = nullptr;
  TargetIncarnation target;
  Endpoint address;
  std::shared_ptr<TargetConnection> connection;
  // When the target was chosen.
  Instant sent_at;
  // When it was sent on an open connection.
  Instant sent_on_connection_at;
  // When the head of the response was complete, if `head_seen`.
  Instant head_seen_at;
  // Why the request was not sent once its connection was open.
  std::string_view withdrawn_for;
  // Why its connection failed, for the log.
  std::string error;
  bool reused = false;
  // When the credit that the attempt consumed expires.
  std::optional<Instant> credit_until;
  // TargetLoad::QueueingFactor() when the request was sent.
  double queueing_factor = 1;
  // After this time the attempt may be replaced by one at another target.
  Instant timeout_at;
  ResponseHead head;
  std::string body;
  // Of a body that is discarded.
  std::size_t dropped_bytes = 0;
  bool head_seen = false;
  bool streaming = false;
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(EntryTraffic& traffic,
           ResponseWriter caller,
           CallerRequest request,
           std::uint64_t sequence_number);

  // Finds the route, then sends, queues or refuses the request.
  void Start();
  // Sends the request if a target may take it. Returns false if the request has
  // to keep waiting.
  bool TrySend();
  void Tick(Instant now);

  std::uint32_t priority() const { return route_ ? route_->priority : 0; }
  bool waiting() const { return waiting_; }
  // Whether this waiting request is sent before `other`, of the same priority:
  // one that a target rejected goes first, then the one with less time left.
  bool GoesBefore(const Exchange& other) const;

 private:
  // When the request must end under the timeout of `route`, or earlier if the
  // caller set a shorter one.
  Instant DeadlineUnder(const IngressRoute& route) const;
  // Extends the deadline of a streamed response if a version that came into
  // force since allows a longer time.
  void ExtendDeadline();
  // Whether a request that cannot be sent may keep waiting.
  bool MayWait(Instant now) const;
  // What the request's accounts and `route`, which may be null, allow in a
  // version.
  AllowedRegions RegionsUnder(const DesiredState& state,
                              const IngressRoute* route) const;
  // Narrows the allowed regions if a version that came into force since does.
  const AllowedRegions& RegionsInForce();
  TargetQuery MakeTargetQuery();
  // More urgent requests that a target has to leave room for.
  std::optional<double> ReservedAtTarget(Instant now) const;
  // Records that the request yields to more urgent ones. Returns whether it is
  // served nevertheless.
  bool TakesMinimum(Instant now);
  // Whether the target's queue leaves the request enough time.
  bool MakesItsTimeAt(Instant now, const TargetClient& client) const;
  // Returns the target that may take the request now, or null.
  TargetClient* ChooseTarget();
  void Send(TargetClient* client);
  void RetryOnOtherTarget(Instant now);
  // Returns the attempt's buffered response as the caller receives it.
  HttpResponse BufferedResponse();
  std::shared_ptr<TargetRequest> MakeTargetRequest(
      const TargetClient& client) const;
  void SetTimeLeft(TargetRequest& request) const;
  bool HasTimeLeft(Instant now) const;
  // Why the request of the current attempt may not be sent any more, or empty.
  std::string_view WhyNotSent(Instant now);
  // Called when the connection that was opened for the request is open. Returns
  // whether the request may still be sent.
  bool PrepareDelayedSend(TargetRequest& request);
  // Withdraws a request that waits for its connection if it may not be sent any
  // more, or if another target may take it now.
  void CheckUnsent(Instant now);
  // Records how long the request waited for a connection that did not open.
  void RecordAbandonedConnect();
  // Ends an attempt of which no byte was sent; WithdrawAttempt() also sends the
  // request again, queues or refuses it.
  void EndUnsentAttempt(const std::string& reason, AttemptOutcome outcome);
  void WithdrawAttempt(const std::string& reason, AttemptOutcome outcome);
  void OnHead(const ResponseHead& head);
  // Logs that the target begins or ceases to state its load.
  void LogStatedLoad(const std::optional<StatedLoad>& load);
  void OnBody(std::string_view bytes);
  void OnEnd();
  void OnAttemptError(FailureStage stage, const std::string& error_text);
  void OnLimit(const ExceededLimit& limit);
  void OnRejected(int status);
  void OnCallerGone();
  void EndAttempt(AttemptOutcome outcome);
  // Whether the current attempt waits longer than usual for its connection.
  bool SlowToSend(Instant now) const {
    return now - attempt_->sent_at >= kSlowConnect;
  }
  // Logs how long the request waited between the choice of its target and its
  // first byte. `outcome`: sent or withdrawn, the latter with a reason.
  void LogSendDelay(const char* outcome, const std::string& reason);
  // Retries the request if that is allowed; otherwise refuses it.
  void RetryOrRefuse(const std::string& reason);
  bool MayRetry() const;
  // Takes one retry from the service's budget. Returns false if none is left.
  bool TakeRetry(Instant now);
  void WaitForTarget();
  void Forward();
  ResponseHead MakeCallerHead() const;
  // Retry-After of a refused request, from `earliest` on.
  Duration SpreadReturn(Instant now, Duration earliest);
  void Refuse(const std::string& reason);
  void FinishWithLocalResponse(int status,
                               const std::string& reason,
                               std::optional<Duration> retry_after);
  void Finish(const std::string& outcome,
              int status,
              const std::string& reason);
  Duration TimeLeft(Instant now) const { return deadline_ - now; }

  EntryTraffic& traffic_;
  ResponseWriter caller_;
  // Without its body.
  HttpRequest request_;
  const std::shared_ptr<const std::string> body_;
  const std::uint64_t sequence_number_;
  const Instant arrived_at_;
  std::string id_;
  // The desired state under which this request is served, kept until it ends.
  std::shared_ptr<const RouteIndex> routes_;
  const IngressRoute* route_ = nullptr;
  ServiceId service_;
  bool keyed_ = false;
  ShardKey key_ = 0;
  // Never decreases.
  Instant deadline_;
  // Version of the desired state that the deadline takes into account.
  std::uint64_t deadline_version_ = 0;
  // By the version at the arrival, and by that one and the latest. A version
  // that widens the regions does not apply to requests that arrived before it.
  AllowedRegions regions_at_arrival_;
  AllowedRegions regions_in_force_;
  // Version of the desired state that regions_in_force_ takes into account.
  std::uint64_t regions_version_ = 0;
  RequestWaits waits_;
  bool waiting_ = false;
  // Whether it yielded to more urgent requests, and is of its class's
  // guaranteed minimum.
  bool yielded_ = false;
  bool of_minimum_ = false;
  bool ended_ = false;
  ExecutionState execution_state_ = ExecutionState::kNotRun;
  // Attempts that may have run, and all attempts sent.
  std::uint32_t possible_executions_ = 0;
  std::uint32_t attempts_sent_ = 0;
  // Target of the last attempt, and the fencing token under which it holds the
  // key.
  TargetId last_target_;
  std::uint64_t last_fence_ = 0;
  std::uint32_t in_flight_when_sent_ = 0;
  std::set<TargetId> tried_targets_;
  std::optional<Instant> retry_not_before_;
  // Result of the last ChooseTarget().
  TargetChoice last_choice_;
  std::optional<Attempt> attempt_;
  // A target's server error, delivered if no further attempt delivers a
  // response.
  std::optional<HttpResponse> fallback_response_;
};

}  // namespace figstall

#endif  // FIGSTALL_EXCHANGE_H_
