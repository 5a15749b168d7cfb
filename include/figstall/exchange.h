// One request of a caller, from its arrival to its end. What it became is
// decided here and nowhere else: not sent, sent without an answer, answered,
// refused by its target as not run, or given up.
#ifndef FIGSTALL_EXCHANGE_H_
#define FIGSTALL_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "figstall/entry_traffic.h"
#include "figstall/request_waits.h"

namespace figstall {

// What is known of whether a request ran at any target.
enum class ExecutionState {
  // No byte of it was sent, or each target said that it did not run it.
  kNotRun,
  // It may have run, or may run still.
  kUnknown,
};

// The status of figstall's own answer to a request that has no target's answer.
// 503 promises that it has not run and never will.
int LocalResponseStatus(ExecutionState state, bool out_of_time);

// What is done with the body of a target's answer.
enum class BodyHandling {
  // Held until it is whole, so that one that breaks off can be replaced.
  kBuffer,
  // Passed on as it comes. What has no length of its own is sent in chunks, so
  // that a cut is seen.
  kStream,
  // Not delivered to anyone.
  kDrop,
};

// `bytes`: of the body, as far as it has come.
BodyHandling BodyHandlingFor(const ResponseHead& head, std::size_t bytes);

// One sending of a request to a target.
struct Attempt {
  TargetClient* link = nullptr;
  TargetId target;
  std::shared_ptr<TargetConnection> connection;
  Instant sent_at;
  bool reused = false;
  // As TargetLoad::QueueingFactor, when it was sent.
  double queueing_factor = 1;
  // The attempt is given up for another one after this.
  Instant timeout_at;
  ResponseHead head;
  std::string body;
  bool head_seen = false;
  bool streaming = false;
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(EntryTraffic& traffic,
           ResponseWriter caller,
           CallerRequest request,
           std::uint64_t number);

  // Finds the route and sends, waits or refuses.
  void Start();
  // Tries to send to a target; false if it has to go on waiting.
  bool TrySend();
  void Tick(Instant now);

  std::uint32_t priority() const { return route_ ? route_->priority : 0; }
  bool waiting() const { return waiting_; }

 private:
  // The settled entry of the request's key, or null while it has no owner.
  const RangeEntry* OwnerEntry() const;
  // Whether a request that cannot be sent goes on waiting.
  bool MayWait(Instant now) const;
  // The link that may take the request now, or null.
  TargetClient* Choose() const;
  // Why no link may, for the log.
  std::string Explain() const;
  void Send(TargetClient* link);
  void RetryOnOtherTarget(Instant now);
  // The attempt's answer as the caller gets it.
  HttpResponse WholeAnswer();
  std::shared_ptr<const HttpRequest> Outgoing(const TargetClient& link) const;
  void OnHead(const ResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnEnd();
  void OnAttemptError(FailureStage point, const std::string& why);
  void OnRejected(int status);
  void OnCallerGone();
  void EndAttempt(AttemptOutcome kind);
  // Sends once more if that is allowed; else ends the request.
  void RetryOr(const std::string& reason);
  bool MayRetry() const;
  void GoWaiting();
  void Forward();
  ResponseHead CallerHead() const;
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
  HttpRequest request_;
  const std::uint64_t number_;
  const Instant arrived_at_;
  std::string id_;
  // Keeps the desired state alive that the request is served by.
  std::shared_ptr<const RouteIndex> routes_;
  const IngressRoute* route_ = nullptr;
  ServiceId service_;
  bool keyed_ = false;
  ShardKey key_ = 0;
  Instant deadline_;
  RequestWaits waits_;
  bool waiting_ = false;
  bool ended_ = false;
  ExecutionState run_ = ExecutionState::kNotRun;
  // Attempts that may have run, and all that were sent.
  std::uint32_t possible_executions_ = 0;
  std::uint32_t attempts_sent_ = 0;
  // Target of the last attempt, and the token it holds the key under.
  TargetId last_target_;
  std::uint64_t last_fence_ = 0;
  std::uint32_t in_flight_when_sent_ = 0;
  std::set<TargetId> tried_;
  std::optional<Instant> retry_not_before_;
  std::optional<Attempt> attempt_;
  // A target's failure that is delivered if no other attempt does better.
  std::optional<HttpResponse> fallback_response_;
};

}  // namespace figstall

#endif  // FIGSTALL_EXCHANGE_H_
