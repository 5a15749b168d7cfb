// The number of other entries' requests approaches its mean exponentially.
// Adding the other entries' mean rate times the age
// and subtracting what was completed since has the same expectation, without an
// estimate of that rate.
#include "figstall/stated_load.h"

#include <algorithm>
#include <cmath>

namespace figstall {
namespace {

// Time constant of the mean of other entries' requests.
constexpr Duration kMeanDecayTime = std::chrono::seconds(2);
// A target whose queue is long is avoided by all entries, so the number towards
// which its requests go is not above this multiple of its slots, whatever their
// recent mean. Otherwise a full target would stay unused until the statement
// expires. With 2, 72 entries tried a full owner again so soon that it rejected
// twice as many requests.
constexpr double kMaxUsualRequestsPerSlot = 2.5;
// A target that is slow stays so for 0.4 s, of which half is left on average.
constexpr Duration kSlownessLeft = std::chrono::milliseconds(200);
constexpr Duration kMinResponseTime = std::chrono::milliseconds(1);

double Decay(Duration elapsed, Duration time_constant) {
  return std::exp(-static_cast<double>(elapsed.count()) /
                  static_cast<double>(time_constant.count()));
}

}  // namespace

double LoadEstimate::QueueingFactor() const {
  return std::max(1.0, (requests + 1) / slots);
}

void LoadEstimator::OnStated(Instant now,
                             const StatedLoad& load,
                             std::uint32_t own_in_flight) {
  others_ = std::max(
      0.0, static_cast<double>(load.running) + load.waiting - own_in_flight);
  mean_others_ = stated_ ? others_ + (mean_others_ - others_) *
                                         Decay(now - stated_at_, kMeanDecayTime)
                         : others_;
  stated_ = load;
  stated_at_ = now;
}

std::optional<LoadEstimate> LoadEstimator::At(Instant now,
                                              std::uint32_t own_in_flight,
                                              Duration response_time) const {
  const Duration age = now - stated_at_;
  if (!stated_ || age > kMaxStatementAge)
    return std::nullopt;
  const double weight = Decay(age, std::max(response_time, kMinResponseTime));
  const double slots = std::max<std::uint32_t>(1, stated_->slots);
  const double usual = std::min(mean_others_, kMaxUsualRequestsPerSlot * slots);
  return LoadEstimate{
      usual + (others_ - usual) * weight + own_in_flight, slots,
      Scaled(kSlownessLeft, std::max(0.0, 1 - 1 / stated_->slowness) *
                                Decay(age, kSlownessLeft)),
      age};
}

}  // namespace figstall
