// What this router knows about one target from its own requests, and the choice
// among targets that may serve a request. Pure decisions.
#ifndef FIGSTALL_TARGET_LOAD_H_
#define FIGSTALL_TARGET_LOAD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct LoadLimits {
  // Work that all routers together give a target, as a multiple of its slots;
  // what is more waits at the routers, where it can still go elsewhere.
  double max_in_flight_per_slot = 3.0;
  // Where a router's part is less, it may have so many at a target that is
  // nearly idle: at most so many for each slot from all routers together.
  std::uint32_t burst = 2;
  double burst_per_slot = 2;
  // Time in which a moment's requests in flight lose most of their weight.
  Duration in_flight_decay_time = std::chrono::milliseconds(1000);
  // Weight of the newest observation in moving averages.
  double smoothing = 0.1;
  // Time in which an observed work time loses most of its weight.
  Duration processing_decay_time = std::chrono::seconds(8);
  // What was learned counts as at least so many requests, once there were so
  // many: a target with little to do is not forgotten.
  double least_samples = 5;
  // Failures in a row after which a target is left alone ...
  std::uint32_t failures_to_eject = 3;
  // ... for this long, doubled each time up to the longest.
  Duration initial_ejection_duration = std::chrono::milliseconds(600);
  Duration max_ejection_duration = std::chrono::milliseconds(4800);
};

enum class AttemptOutcome {
  kAnswered,
  // The target's own failure (5xx) although it ran the request.
  kFailed,
  // It said that it did not run the request.
  kRefused,
  // No connection, or none that lasted until an answer.
  kBroken,
  // It was given up for lack of an answer.
  kTimedOut,
  // The caller left; says nothing about the target.
  kAbandoned,
};

// Mean time of a target's work on a request, without queueing.
struct ProcessingTime {
  Duration mean{0};
  // Recent requests that it was learned from.
  double samples = 0;

  friend bool operator==(const ProcessingTime&,
                         const ProcessingTime&) = default;
};

// A number that changes by steps, averaged over the last moments.
class RecentMean {
 public:
  explicit RecentMean(Duration decay_time) : decay_time_(decay_time) {}

  // The number is `value` from now on.
  void Set(Instant now, double value);
  double At(Instant now) const;

 private:
  const Duration decay_time_;
  double value_ = 0;
  double mean_ = 0;
  Instant set_at_{};
};

class TargetLoad {
 public:
  explicit TargetLoad(LoadLimits limits = {}) : limits_(limits) {}

  void OnSent(Instant now);
  // `queueing_factor`: requests at the target for each of its slots when this
  // one was sent, at least 1; its time is taken to be so many times its work.
  void OnDone(Instant now,
              AttemptOutcome kind,
              Duration latency,
              double queueing_factor = 1);

  std::uint32_t in_flight() const { return in_flight_; }
  // Mean requests in flight over the last moments; what the other routers that
  // share the target have is taken to be like it.
  double mean_in_flight(Instant now) const { return mean_in_flight_.At(now); }
  // Mean time of an answer; none until the first.
  std::optional<Duration> latency() const;
  // None until the first answer.
  std::optional<ProcessingTime> work(Instant now) const;
  // Requests at the target for each of its slots, if the other sharers have as
  // many there as this router; at least 1.
  double QueueingFactor(Instant now,
                        std::uint32_t slots,
                        std::uint32_t sharing_routers) const;
  // Share of recent attempts that failed, 0 to 1.
  double failure_rate() const { return failure_rate_; }
  bool Ejected(Instant now) const { return now < ejected_until_; }
  // A target that came back from ejection is tried with one request first.
  bool Probing() const { return failures_ >= limits_.failures_to_eject; }
  // Whether this one of `sharing_routers` routers may send the target another
  // request: within its part of what all may have there, or while little is
  // there.
  bool HasSpareCapacity(Instant now,
                        std::uint32_t slots,
                        std::uint32_t sharing_routers) const;

 private:
  double FadedSamples(Instant now) const;
  void SetInFlight(Instant now, std::uint32_t count);

  const LoadLimits limits_;
  std::uint32_t in_flight_ = 0;
  RecentMean mean_in_flight_{limits_.in_flight_decay_time};
  std::uint32_t failures_ = 0;
  std::uint32_t ejections_ = 0;
  double failure_rate_ = 0;
  double latency_us_ = 0;
  double work_us_ = 0;
  double work_samples_ = 0;
  double work_samples_ever_ = 0;
  Instant worked_at_{};
  Instant ejected_until_{};
};

enum class Distance { kSameZone, kSameRegion, kOtherRegion };

struct Candidate {
  const TargetEntry* entry = nullptr;
  const TargetLoad* load = nullptr;
  Distance distance = Distance::kSameZone;
  // Routers that send work to this target.
  std::uint32_t sharing_routers = 1;
  // Whether an open connection waits for a request.
  bool connected = true;
};

struct SelectionOptions {
  // Large answers stay in their region.
  bool bulk = false;
  // Mean answer time of the service, for targets without an own one.
  Duration mean_latency = std::chrono::milliseconds(100);
  // Time within which an answer is in time; what a farther target costs counts
  // as a part of it.
  Duration latency_objective = std::chrono::milliseconds(300);
};

// The candidate with the shortest expected time to an answer, or null if none
// has room. Ejected ones are taken only where no other has room.
const Candidate* PickTarget(const std::vector<Candidate>& candidates,
                            const SelectionOptions& rule,
                            Instant now);

}  // namespace figstall

#endif  // FIGSTALL_TARGET_LOAD_H_
