// Implements what is learned of targets and the choice among them.
#include "figstall/target_load.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figstall {
namespace {

// Added to the expected time of targets farther away, since bytes between zones
// and regions are charged; in microseconds.
constexpr double kOtherZoneCost = 40'000;
constexpr double kOtherZoneBulkCost = 100'000;
constexpr double kOtherRegionCost = 120'000;
// Expected time of a target that fails is multiplied by up to this much more.
constexpr double kFailureCost = 6;

double DistanceCost(Distance distance, bool bulk) {
  switch (distance) {
    case Distance::kSameZone:
      return 0;
    case Distance::kSameRegion:
      return bulk ? kOtherZoneBulkCost : kOtherZoneCost;
    case Distance::kOtherRegion:
      return kOtherRegionCost;
  }
  return 0;
}

double ExpectedTime(const Candidate& candidate,
                    const PickRule& rule,
                    Instant now) {
  const double latency = static_cast<double>(
      candidate.load->latency().value_or(rule.typical).count());
  const double slots = std::max<std::uint32_t>(1, candidate.entry->slots);
  const double others = (static_cast<double>(candidate.sharers) - 1) *
                        candidate.load->mean_in_flight(now);
  const double queue = (candidate.load->in_flight() + others + 1) / slots;
  return latency * std::max(1.0, queue) * (1 + 0.2 * queue) *
             (1 + kFailureCost * candidate.load->failure_rate()) +
         DistanceCost(candidate.distance, rule.bulk);
}

}  // namespace

double TargetLoad::mean_in_flight(Instant now) const {
  const double span = static_cast<double>((now - counted_at_).count()) /
                      static_cast<double>(limits_.in_flight_memory.count());
  return in_flight_ + (mean_in_flight_ - in_flight_) * std::exp(-span);
}

void TargetLoad::OnSent(Instant now) {
  mean_in_flight_ = mean_in_flight(now);
  counted_at_ = now;
  ++in_flight_;
}

void TargetLoad::OnDone(Instant now, AttemptKind kind, Duration took) {
  mean_in_flight_ = mean_in_flight(now);
  counted_at_ = now;
  if (in_flight_ > 0)
    --in_flight_;
  if (kind == AttemptKind::kAbandoned)
    return;
  const bool failed = kind != AttemptKind::kAnswered;
  failure_rate_ += limits_.smoothing * ((failed ? 1.0 : 0.0) - failure_rate_);
  if (kind == AttemptKind::kAnswered || kind == AttemptKind::kTimedOut) {
    const auto sample = static_cast<double>(took.count());
    latency_us_ = latency_us_ == 0 ? sample
                                   : latency_us_ + limits_.smoothing *
                                                       (sample - latency_us_);
  }
  if (kind == AttemptKind::kAnswered) {
    const auto sample = static_cast<double>(took.count());
    if (service_us_ == 0)
      service_us_ = sample;
    else if (sample < service_us_)
      service_us_ *= 1 - limits_.service_step * (1 - limits_.service_quantile);
    else
      service_us_ *= 1 + limits_.service_step * limits_.service_quantile;
    failures_ = 0;
    ejections_ = 0;
    ejected_until_ = {};
    return;
  }
  if (kind == AttemptKind::kRefused)
    return;
  ++failures_;
  if (failures_ < limits_.failures_to_eject)
    return;
  const Duration pause = std::min<Duration>(
      limits_.longest_ejection, limits_.first_ejection * (1 << ejections_));
  ejections_ = std::min<std::uint32_t>(ejections_ + 1, 3);
  ejected_until_ = now + pause;
}

std::optional<Duration> TargetLoad::latency() const {
  if (latency_us_ == 0)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(latency_us_));
}

std::optional<Duration> TargetLoad::service_time() const {
  if (service_us_ == 0)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(service_us_));
}

std::uint32_t TargetLoad::Limit(std::uint32_t slots,
                                std::uint32_t sharers) const {
  if (Probing())
    return 1;
  const double share = limits_.total_per_slot * slots / std::max(1U, sharers);
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(share)));
}

const Candidate* PickTarget(const std::vector<Candidate>& candidates,
                            const PickRule& rule,
                            Instant now) {
  const Candidate* best = nullptr;
  double best_time = std::numeric_limits<double>::infinity();
  const bool near_exists = std::any_of(
      candidates.begin(), candidates.end(), [](const Candidate& each) {
        return each.distance != Distance::kOtherRegion;
      });
  for (const bool ejected_too : {false, true}) {
    for (const Candidate& candidate : candidates) {
      if (candidate.load->Ejected(now) != ejected_too)
        continue;
      if (rule.bulk && near_exists &&
          candidate.distance == Distance::kOtherRegion)
        continue;
      if (candidate.load->in_flight() >=
          candidate.load->Limit(candidate.entry->slots, candidate.sharers))
        continue;
      const double time = ExpectedTime(candidate, rule, now);
      if (time < best_time) {
        best = &candidate;
        best_time = time;
      }
    }
    if (best)
      break;
  }
  return best;
}

}  // namespace figstall
