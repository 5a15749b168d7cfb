// A token bucket of bytes that may go into debt by one response, and additive
// growth and multiplicative decrease of its rate.
#include "figstall/region_link.h"

#include <algorithm>
#include <cmath>

namespace figstall {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Weight of the newest response in the mean size.
constexpr double kSizeWeight = 0.1;
// Tokens are kept for this time.
constexpr double kBurstSeconds = 0.25;

}  // namespace

double RegionLink::MinRate() const {
  return response_bytes_ / Seconds(options_.min_rate_interval);
}

double RegionLink::TokensAt(Instant now) const {
  if (!rate_)
    return 0;
  return std::min(*rate_ * kBurstSeconds,
                  tokens_ + *rate_ * Seconds(now - refilled_at_));
}

void RegionLink::Refill(Instant now) {
  tokens_ = TokensAt(now);
  refilled_at_ = now;
}

double RegionLink::MeasuredRate(Instant now) const {
  const double decay =
      Seconds(now - recent_at_) / Seconds(options_.rate_decay_time);
  return recent_bytes_ * std::exp(-decay) / Seconds(options_.rate_decay_time);
}

LinkLimitChange RegionLink::OnConnect(Instant now, Duration setup_time) {
  while (!baselines_.empty() && baselines_.back().second >= setup_time)
    baselines_.pop_back();
  baselines_.emplace_back(now, setup_time);
  while (now - baselines_.front().first > options_.baseline_window)
    baselines_.pop_front();
  queueing_ = setup_time - baselines_.front().second;
  if (queueing_ <= options_.max_queueing)
    return LinkLimitChange::kNone;
  queued_at_ = now;
  if (decreased_at_ && now - *decreased_at_ < options_.decrease_interval)
    return LinkLimitChange::kNone;
  const double measured = MeasuredRate(now);
  // Without large responses of its own, this router has nothing to lower.
  if (!rate_ && measured < MinRate())
    return LinkLimitChange::kNone;
  decreased_at_ = now;
  const bool started = !rate_;
  Refill(now);
  rate_ = std::max(MinRate(), options_.decrease_factor *
                                  std::min(rate_.value_or(measured), measured));
  if (started) {
    refilled_at_ = now;
    binding_at_ = now;
  }
  return started ? LinkLimitChange::kStarted : LinkLimitChange::kNone;
}

void RegionLink::OnRequest(Instant now) {
  recent_bytes_ =
      MeasuredRate(now) * Seconds(options_.rate_decay_time) + response_bytes_;
  recent_at_ = now;
  if (!rate_)
    return;
  Refill(now);
  tokens_ -= response_bytes_;
}

void RegionLink::OnResponse(std::size_t bytes) {
  response_bytes_ +=
      kSizeWeight * (static_cast<double>(bytes) - response_bytes_);
}

LinkLimitChange RegionLink::Tick(Instant now) {
  if (!rate_)
    return LinkLimitChange::kNone;
  const auto ago = [now](const std::optional<Instant>& at) {
    return at ? now - *at : Duration::max();
  };
  const Duration elapsed = now - refilled_at_;
  Refill(now);
  if (ago(queued_at_) >= options_.decrease_interval)
    *rate_ *= 1 + options_.growth_per_second * Seconds(elapsed);
  if (ago(queued_at_) < options_.clear_time ||
      ago(binding_at_) < options_.clear_time)
    return LinkLimitChange::kNone;
  rate_.reset();
  tokens_ = 0;
  return LinkLimitChange::kEnded;
}

std::optional<Instant> RegionLink::BlockedUntil(Instant now) const {
  const double tokens = TokensAt(now);
  if (!rate_ || tokens >= 0)
    return std::nullopt;
  return now + Duration(static_cast<Duration::rep>(-tokens / *rate_ * 1e6));
}

}  // namespace figstall
