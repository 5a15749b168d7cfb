// Refill and use of the retry and link budgets.
#include "figstall/budgets.h"

#include <algorithm>

namespace figstall {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void RetryBudget::OnFirstAttempt() {
  tokens_ = std::min(tokens_ + ratio_, 10 * reserve_);
}

bool RetryBudget::TryRetry() {
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

LinkBudget::LinkBudget(double bytes_per_second, Duration burst)
    : bytes_per_second_(bytes_per_second),
      burst_(burst),
      balance_bytes_(bytes_per_second * Seconds(burst)) {}

bool LinkBudget::MaySend(Instant now, Lane lane) {
  Refill(now);
  const double capacity = bytes_per_second_ * Seconds(burst_);
  if (lane == Lane::kBulk)
    return balance_bytes_ >= capacity / 2;
  return balance_bytes_ >= 0;
}

void LinkBudget::Charge(Instant now, std::uint64_t bytes) {
  Refill(now);
  balance_bytes_ -= static_cast<double>(bytes);
}

void LinkBudget::Refill(Instant now) {
  const Instant refilled_from = refilled_at_.value_or(now);
  refilled_at_ = now;
  const double capacity = bytes_per_second_ * Seconds(burst_);
  balance_bytes_ =
      std::min(capacity, balance_bytes_ +
                             bytes_per_second_ * Seconds(now - refilled_from));
}

}  // namespace figstall
