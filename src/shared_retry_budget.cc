// Payments are used oldest first, so that few of them expire.
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
  for (; !payments_.empty() && now - payments_.front().at >= validity;
       payments_.pop_front())
    paid_ -= payments_.front().retries;
  for (;
       !slack_uses_.empty() && now - slack_uses_.front().at >= options_.window;
       slack_uses_.pop_front())
    slack_used_ -= slack_uses_.front().retries;
}

void SharedRetryBudget::OnRequest(Instant now) {
  DropExpired(now);
  const Micros payment = ToMicros(options_.payment_share * options_.ratio);
  payments_.push_back({now, payment});
  paid_ += payment;
}

RetryDecisionBasis SharedRetryBudget::TryRetry(Instant now,
                                               double slack_fraction) {
  DropExpired(now);
  const Micros slack_allowed =
      ToMicros(options_.slack_share * options_.slack * slack_fraction);
  const Micros from_payments = std::min(paid_, kOneRetry);
  const Micros from_slack = kOneRetry - from_payments;
  const RetryDecisionBasis basis{
      from_slack == 0 || slack_used_ + from_slack <= slack_allowed,
      FromMicros(paid_), FromMicros(slack_allowed), FromMicros(slack_used_)};
  if (!basis.allowed)
    return basis;
  if (from_slack > 0) {
    slack_uses_.push_back({now, from_slack});
    slack_used_ += from_slack;
  }
  paid_ -= from_payments;
  for (Micros due = from_payments; due > 0;) {
    Amount& oldest = payments_.front();
    const Micros used = std::min(due, oldest.retries);
    due -= used;
    oldest.retries -= used;
    if (oldest.retries == 0)
      payments_.pop_front();
  }
  return basis;
}

}  // namespace figstall
