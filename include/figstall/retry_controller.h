// Decides after each attempt of a request whether to retry it, and its final
// outcome; also limits the time of one attempt.
#ifndef FIGSTALL_RETRY_CONTROLLER_H_
#define FIGSTALL_RETRY_CONTROLLER_H_

#include <functional>

#include "figstall/request.h"

namespace figstall {

struct RetryPolicy {
  int max_attempts = 8;
  Duration first_backoff = std::chrono::milliseconds(10);
  Duration max_backoff = std::chrono::milliseconds(50);

  friend auto operator<=>(const RetryPolicy&, const RetryPolicy&) = default;
};

// How long one attempt may wait for its answer. An idempotent request keeps
// half of its remaining time for another attempt, since the target may be
// frozen. A bulk request gets all of it, because bulk requests take long, and
// so does a request that is not idempotent, because it is not retried after an
// unknown outcome.
Duration AttemptTimeout(const Request& request, Instant now);

// The deadline that is sent with a forwarded request. It is slightly before the
// request's own, so that the other router's answer arrives in time.
Instant ForwardedDeadline(Instant deadline, Instant now);

// Whether a forwarded request did not run and may be sent to another router.
bool MayTryOtherRouter(const Answer& answer);

enum class RetryVerdict {
  // Make another attempt, not before `not_before`.
  kRetry,
  kFinish,
};

struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kFinish;
  Instant not_before{};
  Answer answer;
};

// Reads no clock and does no input or output. A request is retried only if it
// did not run or is idempotent. The final outcome is "not run" only if no
// attempt can have run.
class RetryController {
 public:
  // `take_retry` takes one retry from a shared budget, or returns false.
  RetryController(bool idempotent,
                  Instant deadline,
                  RetryPolicy policy,
                  std::function<bool()> take_retry);

  RetryDecision OnAttempt(Instant now, const Answer& attempt);
  int attempts() const { return attempts_; }

 private:
  RetryDecision Finish(const Answer& attempt) const;

  const bool idempotent_;
  const Instant deadline_;
  const RetryPolicy policy_;
  const std::function<bool()> take_retry_;
  // Attempts that count towards the limit; waiting for an owner, a
  // target or the link does not.
  int attempts_ = 0;
  // Set once an attempt ended as unknown.
  bool may_have_run_ = false;
  Duration backoff_;
};

}  // namespace figstall

#endif  // FIGSTALL_RETRY_CONTROLLER_H_
