// Sums run from the start of the process, so that the sum over any window is
// the difference of two of them.
#include "figstall/shared_retry_budget.h"

#include <algorithm>
#include <cmath>

namespace figstall {
namespace {

constexpr std::int64_t kOneRetry = 1'000'000;

std::int64_t ToMicros(double retries) {
  return std::llround(retries * kOneRetry);
}

double FromMicros(std::int64_t micros) {
  return static_cast<double>(micros) / kOneRetry;
}

}  // namespace

void SharedRetryBudget::DropExpired(Instant now) {
  const Duration validity = Scaled(options_.window, options_.payment_validity);
  for (; !requests_.empty() && now - requests_.front() >= validity;
       requests_.pop_front())
    expired_ += payment_;
  // The margin for the time on the way is also one at the end of a window.
  const Duration max_age = options_.window + (options_.window - validity);
  while (!starts_.empty() && now - starts_.front().at >= max_age)
    starts_.pop_front();
  for (;
       !slack_uses_.empty() && now - slack_uses_.front().at >= options_.window;
       slack_uses_.pop_front())
    slack_used_ -= slack_uses_.front().retries;
}

SharedRetryBudget::SharedRetryBudget(RetryBudgetOptions options)
    : options_(options),
      payment_(ToMicros(options.payment_share * options.ratio)) {}

void SharedRetryBudget::OnRequest(Instant now) {
  DropExpired(now);
  requests_.push_back(now);
  earned_ += payment_;
}

SharedRetryBudget::Micros SharedRetryBudget::Paid() const {
  Micros paid = earned_ - expired_;
  if (!starts_.empty())
    paid = std::min(paid, earned_ - used_ + starts_.front().surplus);
  return std::max<Micros>(paid, 0);
}

RetryDecisionBasis SharedRetryBudget::TryRetry(Instant now,
                                               double slack_fraction) {
  DropExpired(now);
  const Micros slack_allowed =
      ToMicros(options_.slack_share * options_.slack * slack_fraction);
  const Micros paid = Paid();
  const Micros from_payments = std::min(paid, kOneRetry);
  const Micros from_slack = kOneRetry - from_payments;
  const RetryDecisionBasis basis{
      from_slack == 0 || slack_used_ + from_slack <= slack_allowed,
      FromMicros(paid), FromMicros(slack_allowed), FromMicros(slack_used_)};
  if (!basis.allowed)
    return basis;
  if (from_slack > 0) {
    slack_uses_.push_back({now, from_slack});
    slack_used_ += from_slack;
  }
  if (from_payments > 0) {
    const Micros surplus = used_ - expired_;
    while (!starts_.empty() && starts_.back().surplus >= surplus)
      starts_.pop_back();
    starts_.push_back({now, surplus});
    used_ += from_payments;
  }
  return basis;
}

}  // namespace figstall
