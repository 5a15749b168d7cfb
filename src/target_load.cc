// Latency and failure rate are exponentially weighted means. Targets that fail
// repeatedly are ejected with exponential backoff. PickTarget() scans all
// candidates for the lowest expected latency plus costs such as distance. Where
// targets state their load, it avoids herding: many routers that see the same
// least loaded target do not all choose it (docs/design/even-load.md).
#include "figstall/target_load.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

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
// Assumed of a target that stated its load before a response was complete.
constexpr Duration kInitialResponseTime = std::chrono::milliseconds(300);
// A target that takes longer than the best one by this multiple of its
// processing time for one slot is chosen e times less often.
constexpr double kSoftness = 0.3;
// Requests that wait at a target make its time less certain.
constexpr double kQueueingCost = 0.2;
// Routers that use each target first, where targets state their load. Fewer
// would leave the load of some targets uneven; with more each router hears too
// seldom from each target.
constexpr double kRoutersPreferringTarget = 12;
// Without an estimate, less urgent requests yield only where at least one in
// ten targets expects a more urgent request within a response time.
constexpr double kNegligibleReserve = 0.1;
// Seconds in which a router should hear once from each target it prefers: half
// of the time for which a statement is used.
constexpr double kHearingInterval = 1;
// Added for a target that is not one of those that this router uses first.
// Fraction of the latency objective.
constexpr double kNotPreferredCost = 1;

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

double ConnectCost(const Candidate& candidate,
                   const SelectionOptions& options) {
  return candidate.connected
             ? 0
             : kConnectCost *
                   static_cast<double>(options.latency_objective.count());
}

double ProcessingTimeOf(const Candidate& candidate,
                        const SelectionOptions& options,
                        Instant now) {
  const auto known = candidate.load->processing_time(now);
  return static_cast<double>(
      (known ? known->mean : options.mean_latency).count());
}

// By this router's requests only. The target counts as idle otherwise, so that
// one that was not heard for a while is tried.
double OwnQueueingFactor(const Candidate& candidate) {
  const double slots = std::max<std::uint32_t>(1, candidate.entry->slots);
  const double own_weight =
      std::min(slots, static_cast<double>(candidate.sharing_routers));
  return std::max(1.0, (candidate.load->in_flight() * own_weight + 1) / slots);
}

// Of a target that states its load.
double EstimatedTime(const Candidate& candidate,
                     const SelectionOptions& options,
                     Instant now) {
  const auto estimate = candidate.load->EstimatedLoad(now);
  const double queueing_factor =
      estimate ? estimate->QueueingFactor() : OwnQueueingFactor(candidate);
  const double slow_delay =
      estimate ? static_cast<double>(estimate->slow_delay.count()) : 0;
  return (ProcessingTimeOf(candidate, options, now) * queueing_factor *
              (1 + kQueueingCost * queueing_factor) +
          slow_delay) *
             (1 + kFailureCost * candidate.load->failure_rate()) +
         DistanceCost(candidate.distance, options) +
         ConnectCost(candidate, options);
}

double ExpectedTime(const Candidate& candidate,
                    const SelectionOptions& options,
                    Instant now) {
  const double latency = static_cast<double>(
      candidate.load->latency().value_or(options.mean_latency).count());
  if (candidate.load->StatesLoad())
    return EstimatedTime(candidate, options, now);
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
         ConnectCost(candidate, options);
}

struct TimedCandidate {
  const Candidate* candidate = nullptr;
  double expected_time = 0;
};

// How many of a zone's targets this router prefers: so many that enough routers
// prefer each target, even if all of them use this zone, but no more than it
// hears from often, where it gets few requests.
double PreferredTargets(std::ptrdiff_t targets,
                        std::uint32_t sharing_routers,
                        const SelectionOptions& options) {
  const auto for_routers = [targets](std::uint32_t routers) {
    return std::ceil(kRoutersPreferringTarget * static_cast<double>(targets) /
                     std::max(1U, routers));
  };
  const double most = for_routers(sharing_routers);
  const double least =
      std::min(most, for_routers(std::max(options.routers, sharing_routers)));
  return std::clamp(std::ceil(options.request_rate * kHearingInterval), least,
                    most);
}

// Adds the cost of targets outside this router's subset: in each zone the
// targets of highest affinity.
void AddSubsetCost(std::vector<TimedCandidate>& candidates,
                   const SelectionOptions& options) {
  std::sort(candidates.begin(), candidates.end(),
            [](const TimedCandidate& left, const TimedCandidate& right) {
              return std::tie(left.candidate->entry->zone,
                              right.candidate->affinity) <
                     std::tie(right.candidate->entry->zone,
                              left.candidate->affinity);
            });
  for (auto zone = candidates.begin(); zone != candidates.end();) {
    const auto end =
        std::find_if(zone, candidates.end(), [&](const auto& each) {
          return each.candidate->entry->zone != zone->candidate->entry->zone;
        });
    const auto size = static_cast<std::ptrdiff_t>(PreferredTargets(
        end - zone, zone->candidate->sharing_routers, options));
    for (auto each = zone + std::min(size, end - zone); each != end; ++each)
      each->expected_time +=
          kNotPreferredCost *
          static_cast<double>(options.latency_objective.count());
    zone = end;
  }
}

// The more entries choose by similar views, the more of them would send their
// next request to the same best target.
const Candidate* PickAtRandom(std::vector<TimedCandidate> candidates,
                              const SelectionOptions& options,
                              Instant now,
                              double random) {
  AddSubsetCost(candidates, options);
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [](const TimedCandidate& left, const TimedCandidate& right) {
        return left.expected_time < right.expected_time;
      });
  const double best_time = best->expected_time;
  std::vector<double> cumulative;
  double sum = 0;
  for (const auto& [candidate, time] : candidates) {
    const double time_per_slot =
        ProcessingTimeOf(*candidate, options, now) /
        std::max<std::uint32_t>(1, candidate->entry->slots);
    sum += std::exp((best_time - time) / (kSoftness * time_per_slot));
    cumulative.push_back(sum);
  }
  const auto found =
      std::upper_bound(cumulative.begin(), cumulative.end(), random * sum);
  const auto index = std::min<std::size_t>(
      static_cast<std::size_t>(found - cumulative.begin()),
      candidates.size() - 1);
  return candidates[index].candidate;
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
    answered_at_ = now;
    last_latency_ = latency;
    failures_ = 0;
    ejections_ = 0;
    ejected_until_ = {};
    return;
  }
  if (outcome == AttemptOutcome::kRefused) {
    refused_at_ = now;
    return;
  }
  ++failures_;
  if (failures_ < limits_.failures_to_eject)
    return;
  const Duration ejection_duration =
      std::min<Duration>(limits_.max_ejection_duration,
                         limits_.initial_ejection_duration * (1 << ejections_));
  ejections_ = std::min<std::uint32_t>(ejections_ + 1, 3);
  ejected_until_ = now + ejection_duration;
}

bool TargetLoad::OnStated(Instant now, const std::optional<StatedLoad>& load) {
  const bool stated_before = StatesLoad();
  if (load)
    estimator_.OnStated(now, *load, in_flight_);
  else
    estimator_.OnUnstated();
  return StatesLoad() != stated_before;
}

std::optional<LoadEstimate> TargetLoad::EstimatedLoad(Instant now) const {
  return estimator_.At(now, in_flight_,
                       latency().value_or(kInitialResponseTime));
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
  if (const auto estimate = EstimatedLoad(now))
    return estimate->QueueingFactor();
  const double in_flight_elsewhere =
      (static_cast<double>(sharing_routers) - 1) * mean_in_flight(now);
  return std::max(1.0,
                  (in_flight_ + in_flight_elsewhere + 1) / std::max(1U, slots));
}

double TargetLoad::InFlightShare(std::uint32_t slots,
                                 std::uint32_t sharing_routers) const {
  return std::ceil(limits_.max_in_flight_per_slot * slots /
                   std::max(1U, sharing_routers));
}

bool TargetLoad::LeavesRoom(Instant now,
                            std::uint32_t slots,
                            std::uint32_t sharing_routers,
                            double reserved,
                            Duration response_time) const {
  if (const auto estimate = EstimatedLoad(now)) {
    const double most = (limits_.max_in_flight_per_slot - 1) * estimate->slots;
    return estimate->FreeCapacity(limits_.max_in_flight_per_slot) - 1 >=
           std::min(reserved, most);
  }
  if (reserved < kNegligibleReserve)
    return true;
  const auto recently = [&](const std::optional<Instant>& at) {
    return at && now - *at < response_time;
  };
  if (in_flight_ >= InFlightShare(slots, sharing_routers) ||
      recently(refused_at_))
    return false;
  return !recently(answered_at_) || processing_time_us_ == 0 ||
         static_cast<double>(last_latency_.count()) / processing_time_us_ <
             limits_.max_in_flight_per_slot - 1;
}

std::optional<Duration> TargetLoad::ExpectedResponseTime(
    Instant now,
    Duration mean_time) const {
  const auto estimate = EstimatedLoad(now);
  if (!estimate)
    return std::nullopt;
  const auto known = processing_time(now);
  return Scaled(known ? known->mean : mean_time, estimate->QueueingFactor()) +
         estimate->slow_delay;
}

std::optional<Instant> TargetLoad::HasRoomAt(Instant now,
                                             Duration mean_time) const {
  const auto estimate = EstimatedLoad(now);
  if (!estimate)
    return std::nullopt;
  const auto known = processing_time(now);
  const double excess =
      1 - estimate->FreeCapacity(limits_.max_in_flight_per_slot);
  return now + Scaled(known ? known->mean : mean_time,
                      std::max(0.0, excess) / estimate->slots);
}

bool TargetLoad::HasSpareCapacity(Instant now,
                                  std::uint32_t slots,
                                  std::uint32_t sharing_routers) const {
  if (Probing())
    return in_flight_ == 0;
  if (const auto estimate = EstimatedLoad(now))
    return estimate->FreeCapacity(limits_.max_in_flight_per_slot) >= 1;
  if (in_flight_ < InFlightShare(slots, sharing_routers))
    return true;
  const double in_flight_elsewhere =
      (static_cast<double>(sharing_routers) - 1) * mean_in_flight(now);
  return in_flight_ < limits_.idle_target_in_flight &&
         in_flight_ + 1 + in_flight_elsewhere <=
             limits_.idle_target_in_flight_per_slot * slots;
}

const Candidate* PickTarget(const std::vector<Candidate>& candidates,
                            const SelectionOptions& options,
                            Instant now,
                            double random) {
  const bool same_region_exists = std::any_of(
      candidates.begin(), candidates.end(), [](const Candidate& each) {
        return each.distance != Distance::kOtherRegion;
      });
  for (const bool ejected : {false, true}) {
    const Candidate* best = nullptr;
    double best_expected_time = std::numeric_limits<double>::infinity();
    std::vector<TimedCandidate> usable;
    bool load_stated = false;
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
      usable.push_back({&candidate, expected_time});
      load_stated |= candidate.load->StatesLoad();
      if (expected_time < best_expected_time) {
        best = &candidate;
        best_expected_time = expected_time;
      }
    }
    if (best && load_stated &&
        std::max(best->sharing_routers, options.routers) > 1)
      return PickAtRandom(std::move(usable), options, now, random);
    if (best)
      return best;
  }
  return nullptr;
}

}  // namespace figstall
