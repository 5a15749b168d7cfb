// The course of one request: which attempts it may make and how it ends.
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
// half of its time for another attempt, since its target may have frozen; bulk
// takes long by nature, and what must run once is never attempted again.
Duration AttemptTimeout(const Request& request, Instant now);

// The deadline that a forwarded request is given, a little before its own, so
// that the other router's word still arrives in time.
Instant ForwardedDeadline(Instant deadline, Instant now);

// Whether a forwarded request did not run and another router may take it.
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

// Pure. Only work that did not run, or idempotent work, is attempted again. The
// final outcome is "not run" only if no attempt can have run.
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
  int attempts_ = 0;
  // Set once an attempt ended as unknown; the request then may have run.
  bool may_have_run_ = false;
  Duration backoff_;
};

}  // namespace figstall

#endif  // FIGSTALL_RETRY_CONTROLLER_H_
