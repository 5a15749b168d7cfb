// Implements what is learned of targets and the choice among them.
#include "figstall/target_load.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figstall {
namespace {

// Added to the expected time of targets farther away, since bytes between zones
// and regions are charged; as a part of the objective.
constexpr double kOtherZoneCost = 0.12;
constexpr double kOtherZoneBulkCost = 0.5;
constexpr double kOtherRegionCost = 0.4;
// Added where a connection has to be opened, so that a router of many keeps to
// few of many targets while these have room.
constexpr double kConnectCost = 0.03;
// Expected time of a target that fails is multiplied by up to this much more.
constexpr double kFailureCost = 6;

double DistanceCost(Distance distance, const SelectionOptions& rule) {
  const auto objective = static_cast<double>(rule.latency_objective.count());
  switch (distance) {
    case Distance::kSameZone:
      return 0;
    case Distance::kSameRegion:
      return objective * (rule.bulk ? kOtherZoneBulkCost : kOtherZoneCost);
    case Distance::kOtherRegion:
      return objective * kOtherRegionCost;
  }
  return 0;
}

double ExpectedTime(const Candidate& candidate,
                    const SelectionOptions& rule,
                    Instant now) {
  const double latency = static_cast<double>(
      candidate.load->latency().value_or(rule.mean_latency).count());
  const double slots = std::max<std::uint32_t>(1, candidate.entry->slots);
  const double others = (static_cast<double>(candidate.sharing_routers) - 1) *
                        candidate.load->mean_in_flight(now);
  const double queue = (candidate.load->in_flight() + others + 1) / slots;
  return latency * std::max(1.0, queue) * (1 + 0.2 * queue) *
             (1 + kFailureCost * candidate.load->failure_rate()) +
         DistanceCost(candidate.distance, rule) +
         (candidate.connected
              ? 0
              : kConnectCost *
                    static_cast<double>(rule.latency_objective.count()));
}

}  // namespace

void RecentMean::Set(Instant now, double value) {
  mean_ = At(now);
  value_ = value;
  set_at_ = now;
}

double RecentMean::At(Instant now) const {
  const double span = static_cast<double>((now - set_at_).count()) /
                      static_cast<double>(decay_time_.count());
  return value_ + (mean_ - value_) * std::exp(-span);
}

void TargetLoad::SetInFlight(Instant now, std::uint32_t count) {
  in_flight_ = count;
  mean_in_flight_.Set(now, count);
}

void TargetLoad::OnSent(Instant now) {
  SetInFlight(now, in_flight_ + 1);
}

void TargetLoad::OnDone(Instant now,
                        AttemptOutcome kind,
                        Duration latency,
                        double queueing_factor) {
  SetInFlight(now, in_flight_ > 0 ? in_flight_ - 1 : 0);
  if (kind == AttemptOutcome::kAbandoned)
    return;
  const bool failed = kind != AttemptOutcome::kAnswered;
  failure_rate_ += limits_.smoothing * ((failed ? 1.0 : 0.0) - failure_rate_);
  if (kind == AttemptOutcome::kAnswered || kind == AttemptOutcome::kTimedOut) {
    const auto sample = static_cast<double>(latency.count());
    latency_us_ = latency_us_ == 0 ? sample
                                   : latency_us_ + limits_.smoothing *
                                                       (sample - latency_us_);
  }
  if (kind == AttemptOutcome::kAnswered) {
    const double faded = FadedSamples(now);
    work_us_ +=
        (static_cast<double>(latency.count()) / queueing_factor - work_us_) /
        (faded + 1);
    work_samples_ = faded + 1;
    ++work_samples_ever_;
    worked_at_ = now;
    failures_ = 0;
    ejections_ = 0;
    ejected_until_ = {};
    return;
  }
  if (kind == AttemptOutcome::kRefused)
    return;
  ++failures_;
  if (failures_ < limits_.failures_to_eject)
    return;
  const Duration pause =
      std::min<Duration>(limits_.max_ejection_duration,
                         limits_.initial_ejection_duration * (1 << ejections_));
  ejections_ = std::min<std::uint32_t>(ejections_ + 1, 3);
  ejected_until_ = now + pause;
}

std::optional<Duration> TargetLoad::latency() const {
  if (latency_us_ == 0)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(latency_us_));
}

double TargetLoad::FadedSamples(Instant now) const {
  const double span =
      static_cast<double>((now - worked_at_).count()) /
      static_cast<double>(limits_.processing_decay_time.count());
  return std::max(work_samples_ * std::exp(-span),
                  std::min(work_samples_ever_, limits_.least_samples));
}

std::optional<ProcessingTime> TargetLoad::work(Instant now) const {
  if (work_samples_ == 0)
    return std::nullopt;
  return ProcessingTime{Duration(static_cast<Duration::rep>(work_us_)),
                        FadedSamples(now)};
}

double TargetLoad::QueueingFactor(Instant now,
                                  std::uint32_t slots,
                                  std::uint32_t sharing_routers) const {
  const double others =
      (static_cast<double>(sharing_routers) - 1) * mean_in_flight(now);
  return std::max(1.0, (in_flight_ + others + 1) / std::max(1U, slots));
}

bool TargetLoad::HasSpareCapacity(Instant now,
                                  std::uint32_t slots,
                                  std::uint32_t sharing_routers) const {
  if (Probing())
    return in_flight_ == 0;
  const double part = std::ceil(limits_.max_in_flight_per_slot * slots /
                                std::max(1U, sharing_routers));
  if (in_flight_ < part)
    return true;
  const double others =
      (static_cast<double>(sharing_routers) - 1) * mean_in_flight(now);
  return in_flight_ < limits_.burst &&
         in_flight_ + 1 + others <= limits_.burst_per_slot * slots;
}

const Candidate* PickTarget(const std::vector<Candidate>& candidates,
                            const SelectionOptions& rule,
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
      if (!candidate.load->HasSpareCapacity(now, candidate.entry->slots,
                                            candidate.sharing_routers))
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
