// Rules for retries and for the time limits of attempts.
#include "figstall/retry_controller.h"

#include <algorithm>
#include <utility>

namespace figstall {
namespace {

// Whether a request was refused for a reason that a retry cannot change.
bool IsFinal(Reason reason) {
  switch (reason) {
    case Reason::kBadRequest:
    case Reason::kNoSuchService:
    case Reason::kOverloaded:
    case Reason::kStopping:
    case Reason::kIdReused:
      return true;
    default:
      return false;
  }
}

// Waiting for an owner, a target or the link's budget sends nothing, so it
// takes no retry budget.
bool NeedsNoRetryBudget(Reason reason) {
  return reason == Reason::kNoOwner || reason == Reason::kNoTarget ||
         reason == Reason::kLinkBudget;
}

}  // namespace

Duration AttemptTimeout(const Request& request, Instant now) {
  constexpr Duration kMinTimeout = std::chrono::milliseconds(250);
  const Duration remaining = request.deadline - now;
  const bool may_retry = request.idempotent && request.lane != Lane::kBulk;
  return may_retry ? std::min(remaining, std::max(remaining / 2, kMinTimeout))
                   : remaining;
}

Instant ForwardedDeadline(Instant deadline, Instant now) {
  constexpr Duration kMaxReserve = std::chrono::milliseconds(50);
  constexpr int kReserveDivisor = 10;
  const Duration remaining = deadline - now;
  return deadline - std::min(remaining / kReserveDivisor, kMaxReserve);
}

bool MayTryOtherRouter(const Answer& answer) {
  if (answer.outcome != Outcome::kNotRun)
    return false;
  return answer.reason == Reason::kZoneUnreachable ||
         answer.reason == Reason::kStopping ||
         answer.reason == Reason::kNotReady;
}

RetryController::RetryController(bool idempotent,
                                 Instant deadline,
                                 RetryPolicy policy,
                                 std::function<bool()> take_retry)
    : idempotent_(idempotent),
      deadline_(deadline),
      policy_(policy),
      take_retry_(std::move(take_retry)),
      backoff_(policy.first_backoff) {}

RetryDecision RetryController::OnAttempt(Instant now, const Answer& attempt) {
  const bool needs_no_budget = NeedsNoRetryBudget(attempt.reason);
  if (!needs_no_budget)
    ++attempts_;
  if (attempt.outcome == Outcome::kAnswered)
    return Finish(attempt);
  if (attempt.outcome == Outcome::kUnknown)
    may_have_run_ = true;
  const bool may_retry = attempt.outcome == Outcome::kNotRun
                             ? !IsFinal(attempt.reason)
                             : idempotent_;
  const Instant retry_at = now + backoff_;
  if (!may_retry || retry_at >= deadline_)
    return Finish(attempt);
  if (!needs_no_budget && attempts_ >= policy_.max_attempts)
    return Finish(attempt);
  if (!needs_no_budget && !take_retry_())
    return Finish(attempt);
  backoff_ = std::min(2 * backoff_, policy_.max_backoff);
  return {RetryVerdict::kRetry, retry_at, {}};
}

RetryDecision RetryController::Finish(const Answer& attempt) const {
  RetryDecision decision;
  decision.answer = attempt;
  const bool may_have_run_before =
      attempt.outcome == Outcome::kNotRun && may_have_run_;
  if (may_have_run_before)
    decision.answer.outcome = Outcome::kUnknown;
  return decision;
}

}  // namespace figstall
