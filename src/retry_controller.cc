// Implements the course of one request.
#include "figstall/retry_controller.h"

#include <algorithm>
#include <utility>

namespace figstall {
namespace {

// A local refusal that another attempt cannot change.
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

// Waiting for an owner or the link sends nothing, so it costs no retry budget.
bool IsFree(Reason reason) {
  return reason == Reason::kNoOwner || reason == Reason::kNoTarget ||
         reason == Reason::kLinkBudget;
}

}  // namespace

Duration AttemptTimeout(const Request& request, Instant now) {
  constexpr Duration kShortest = std::chrono::milliseconds(250);
  const Duration left = request.deadline - now;
  const bool may_repeat = request.idempotent && request.lane != Lane::kBulk;
  return may_repeat ? std::min(left, std::max(left / 2, kShortest)) : left;
}

Instant ForwardedDeadline(Instant deadline, Instant now) {
  constexpr Duration kMostHeldBack = std::chrono::milliseconds(50);
  constexpr int kShareHeldBack = 10;
  const Duration left = deadline - now;
  return deadline - std::min(left / kShareHeldBack, kMostHeldBack);
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
  const bool free = IsFree(attempt.reason);
  if (!free)
    ++attempts_;
  if (attempt.outcome == Outcome::kAnswered)
    return Finish(attempt);
  if (attempt.outcome == Outcome::kUnknown)
    may_have_run_ = true;
  const bool repeatable = attempt.outcome == Outcome::kNotRun
                              ? !IsFinal(attempt.reason)
                              : idempotent_;
  const Instant next = now + backoff_;
  if (!repeatable || next >= deadline_)
    return Finish(attempt);
  if (!free && attempts_ >= policy_.max_attempts)
    return Finish(attempt);
  if (!free && !take_retry_())
    return Finish(attempt);
  backoff_ = std::min(2 * backoff_, policy_.max_backoff);
  return {RetryVerdict::kRetry, next, {}};
}

RetryDecision RetryController::Finish(const Answer& attempt) const {
  RetryDecision decision;
  decision.answer = attempt;
  const bool hidden_run = attempt.outcome == Outcome::kNotRun && may_have_run_;
  if (hidden_run)
    decision.answer.outcome = Outcome::kUnknown;
  return decision;
}

}  // namespace figstall
