// Latency and failure rate are exponentially weighted means. Targets that fail
// repeatedly are ejected with exponential backoff. PickTarget() scans all
// candidates for the lowest expected latency plus costs such as distance.
#include "figstall/target_load.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figstall {
namespace {

// Added to the expected latency of targets in other zones and regions, since
// traffic between them is charged. Fractions of the latency objective.
constexpr double kOtherZoneCost = 0.12;
constexpr double kOtherZoneBulkCost = 0.5;
constexpr double kOtherRegionCost = 0.4;
// Added if a connection has to be opened, so that each of many routers uses few
// of many targets while these have spare capacity. Fraction of the latency
// objective.
constexpr double kConnectCost = 0.03;
// At a failure rate of 1, the expected latency increases by this multiple of
// itself.
constexpr double kFailureCost = 6;

double DistanceCost(Distance distance, const SelectionOptions& options) {
  const auto objective = static_cast<double>(options.latency_objective.count());
  switch (distance) {
    case Distance::kSameZone:
      return 0;
    case Distance::kSameRegion:
      return objective * (options.bulk ? kOtherZoneBulkCost : kOtherZoneCost);
    case Distance::kOtherRegion:
      return objective * kOtherRegionCost;
  }
  return 0;
}

double ExpectedTime(const Candidate& candidate,
                    const SelectionOptions& options,
                    Instant now) {
  const double latency = static_cast<double>(
      candidate.load->latency().value_or(options.mean_latency).count());
  const double slots = std::max<std::uint32_t>(1, candidate.entry->slots);
  const double in_flight_elsewhere =
      (static_cast<double>(candidate.sharing_routers) - 1) *
      candidate.load->mean_in_flight(now);
  const double queueing_factor =
      (candidate.load->in_flight() + in_flight_elsewhere + 1) / slots;
  return latency * std::max(1.0, queueing_factor) *
             (1 + 0.2 * queueing_factor) *
             (1 + kFailureCost * candidate.load->failure_rate()) +
         DistanceCost(candidate.distance, options) +
         (candidate.connected
              ? 0
              : kConnectCost *
                    static_cast<double>(options.latency_objective.count()));
}

}  // namespace

void RecentMean::Set(Instant now, double value) {
  mean_ = At(now);
  value_ = value;
  set_at_ = now;
}

double RecentMean::At(Instant now) const {
  const double elapsed_decay_times =
      static_cast<double>((now - set_at_).count()) /
      static_cast<double>(decay_time_.count());
  return value_ + (mean_ - value_) * std::exp(-elapsed_decay_times);
}

void TargetLoad::SetInFlight(Instant now, std::uint32_t count) {
  in_flight_ = count;
  mean_in_flight_.Set(now, count);
}

void TargetLoad::OnSent(Instant now) {
  SetInFlight(now, in_flight_ + 1);
}

void TargetLoad::OnDone(Instant now,
                        AttemptOutcome outcome,
                        Duration latency,
                        double queueing_factor,
                        std::optional<Duration> response_time) {
  SetInFlight(now, in_flight_ > 0 ? in_flight_ - 1 : 0);
  if (outcome == AttemptOutcome::kAbandoned)
    return;
  const bool failed = outcome != AttemptOutcome::kAnswered;
  failure_rate_ +=
      limits_.smoothing_weight * ((failed ? 1.0 : 0.0) - failure_rate_);
  if (outcome == AttemptOutcome::kAnswered ||
      outcome == AttemptOutcome::kTimedOut) {
    const auto sample = static_cast<double>(latency.count());
    latency_us_ = latency_us_ == 0 ? sample
                                   : latency_us_ + limits_.smoothing_weight *
                                                       (sample - latency_us_);
  }
  if (outcome == AttemptOutcome::kAnswered) {
    const double decayed = DecayedSamples(now);
    processing_time_us_ +=
        (static_cast<double>(response_time.value_or(latency).count()) /
             queueing_factor -
         processing_time_us_) /
        (decayed + 1);
    processing_samples_ = decayed + 1;
    ++total_processing_samples_;
    processing_sampled_at_ = now;
    failures_ = 0;
    ejections_ = 0;
    ejected_until_ = {};
    return;
  }
  if (outcome == AttemptOutcome::kRefused)
    return;
  ++failures_;
  if (failures_ < limits_.failures_to_eject)
    return;
  const Duration ejection_duration =
      std::min<Duration>(limits_.max_ejection_duration,
                         limits_.initial_ejection_duration * (1 << ejections_));
  ejections_ = std::min<std::uint32_t>(ejections_ + 1, 3);
  ejected_until_ = now + ejection_duration;
}

std::optional<Duration> TargetLoad::latency() const {
  if (latency_us_ == 0)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(latency_us_));
}

double TargetLoad::DecayedSamples(Instant now) const {
  const double elapsed_decay_times =
      static_cast<double>((now - processing_sampled_at_).count()) /
      static_cast<double>(limits_.processing_decay_time.count());
  return std::max(processing_samples_ * std::exp(-elapsed_decay_times),
                  std::min(total_processing_samples_, limits_.min_samples));
}

std::optional<ProcessingTime> TargetLoad::processing_time(Instant now) const {
  if (processing_samples_ == 0)
    return std::nullopt;
  return ProcessingTime{
      Duration(static_cast<Duration::rep>(processing_time_us_)),
      DecayedSamples(now)};
}

double TargetLoad::QueueingFactor(Instant now,
                                  std::uint32_t slots,
                                  std::uint32_t sharing_routers) const {
  const double in_flight_elsewhere =
      (static_cast<double>(sharing_routers) - 1) * mean_in_flight(now);
  return std::max(1.0,
                  (in_flight_ + in_flight_elsewhere + 1) / std::max(1U, slots));
}

bool TargetLoad::HasSpareCapacity(Instant now,
                                  std::uint32_t slots,
                                  std::uint32_t sharing_routers) const {
  if (Probing())
    return in_flight_ == 0;
  const double in_flight_share = std::ceil(
      limits_.max_in_flight_per_slot * slots / std::max(1U, sharing_routers));
  if (in_flight_ < in_flight_share)
    return true;
  const double in_flight_elsewhere =
      (static_cast<double>(sharing_routers) - 1) * mean_in_flight(now);
  return in_flight_ < limits_.idle_target_in_flight &&
         in_flight_ + 1 + in_flight_elsewhere <=
             limits_.idle_target_in_flight_per_slot * slots;
}

const Candidate* PickTarget(const std::vector<Candidate>& candidates,
                            const SelectionOptions& options,
                            Instant now) {
  const Candidate* best = nullptr;
  double best_expected_time = std::numeric_limits<double>::infinity();
  const bool same_region_exists = std::any_of(
      candidates.begin(), candidates.end(), [](const Candidate& each) {
        return each.distance != Distance::kOtherRegion;
      });
  for (const bool ejected : {false, true}) {
    for (const Candidate& candidate : candidates) {
      if (candidate.load->Ejected(now) != ejected)
        continue;
      if (options.bulk && same_region_exists &&
          candidate.distance == Distance::kOtherRegion)
        continue;
      if (!candidate.load->HasSpareCapacity(now, candidate.entry->slots,
                                            candidate.sharing_routers))
        continue;
      const double expected_time = ExpectedTime(candidate, options, now);
      if (expected_time < best_expected_time) {
        best = &candidate;
        best_expected_time = expected_time;
      }
    }
    if (best)
      break;
  }
  return best;
}

}  // namespace figstall
