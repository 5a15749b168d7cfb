// Statistics about a target that a router collects from its own requests, and
// the choice of a target for a request. Performs no I/O.
#ifndef FIGSTALL_TARGET_LOAD_H_
#define FIGSTALL_TARGET_LOAD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "figstall/stated_load.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct LoadLimits {
  // Requests that all routers together may have in flight at a target, as a
  // multiple of its slots. Further requests wait at the routers, where they can
  // still be sent to another target.
  double max_in_flight_per_slot = 3.0;
  // A router whose share of that limit is smaller may still have up to
  // `idle_target_in_flight` requests in flight at a nearly idle target, as long
  // as all routers together have at most `idle_target_in_flight_per_slot` for
  // each slot.
  std::uint32_t idle_target_in_flight = 2;
  double idle_target_in_flight_per_slot = 2;
  // Time constant of the exponential decay of `mean_in_flight`.
  Duration in_flight_decay_time = std::chrono::milliseconds(1000);
  // Weight of the newest observation in the moving averages of latency and
  // failure rate.
  double smoothing_weight = 0.1;
  // Time constant of the exponential decay of an observed processing time's
  // weight.
  Duration processing_decay_time = std::chrono::seconds(8);
  // The sample count does not decay below this number once that many requests
  // were observed, so that the processing time of a target with little load is
  // kept.
  double min_samples = 5;
  // Consecutive failures after which a target is ejected, which means that it
  // is chosen only if no other target has spare capacity.
  std::uint32_t failures_to_eject = 3;
  // Duration of the first ejection. It doubles with each further ejection up to
  // the maximum.
  Duration initial_ejection_duration = std::chrono::milliseconds(600);
  Duration max_ejection_duration = std::chrono::milliseconds(4800);
};

enum class AttemptOutcome {
  kAnswered,
  // The target ran the request and returned a server error (5xx).
  kFailed,
  // The target reported that it did not run the request.
  kRefused,
  // The connection could not be opened, or broke before the response was
  // complete.
  kBroken,
  // The attempt ended without a complete response within its timeout or the
  // request's deadline.
  kTimedOut,
  // The caller disconnected, which says nothing about the target.
  kAbandoned,
};

// Mean time for which a target processes a request, without queueing.
struct ProcessingTime {
  Duration mean{0};
  // Number of recent requests behind `mean`; older ones count less.
  double samples = 0;

  friend bool operator==(const ProcessingTime&,
                         const ProcessingTime&) = default;
};

// Exponentially decaying time average of a value that changes in steps.
class RecentMean {
 public:
  explicit RecentMean(Duration decay_time) : decay_time_(decay_time) {}

  // Sets the value that applies from `now` on.
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
  // `queueing_factor`: the result of QueueingFactor() when the request was
  // sent. The response time is taken to be this many times the processing time.
  // `response_time`: the part of the latency from the sending of the request on
  // an open connection to the head of the response; the latency if not known.
  // Neither the opening of a connection nor the transfer of a large body is
  // work of the target.
  void OnDone(Instant now,
              AttemptOutcome outcome,
              Duration latency,
              double queueing_factor = 1,
              std::optional<Duration> response_time = std::nullopt);

  // The target responded, and stated its load or did not. Returns whether it
  // began or ceased to state it.
  bool OnStated(Instant now, const std::optional<StatedLoad>& load);

  std::uint32_t in_flight() const { return in_flight_; }
  // Whether the last response stated the target's load.
  bool StatesLoad() const { return estimator_.states_load(); }
  // None unless the target stated its load recently.
  std::optional<LoadEstimate> EstimatedLoad(Instant now) const;
  // Recent mean of this router's requests in flight. Each of the other routers
  // that share the target is assumed to have as many.
  double mean_in_flight(Instant now) const { return mean_in_flight_.At(now); }
  // Mean latency of responses and timeouts; none until the first.
  std::optional<Duration> latency() const;
  // When the last response came; none until the first.
  std::optional<Instant> answered_at() const {
    return processing_samples_ == 0 ? std::nullopt
                                    : std::optional(processing_sampled_at_);
  }
  // None until the first response.
  std::optional<ProcessingTime> processing_time(Instant now) const;
  // Estimated requests at the target for each of its slots, including one that
  // is about to be sent, if each of the other routers has `mean_in_flight`
  // there; at least 1.
  double QueueingFactor(Instant now,
                        std::uint32_t slots,
                        std::uint32_t sharing_routers) const;
  // Fraction of recent attempts that failed, 0 to 1.
  double failure_rate() const { return failure_rate_; }
  bool Ejected(Instant now) const { return now < ejected_until_; }
  // Whether the target has reached the failures for an ejection and not
  // responded since. It may then have one request in flight at a time.
  bool Probing() const { return failures_ >= limits_.failures_to_eject; }
  // Whether this router, one of `sharing_routers`, may send the target another
  // request: while the target's estimated load is below the limit for all
  // routers. Without an estimate: within its share of that limit, or while the
  // target is nearly idle.
  bool HasSpareCapacity(Instant now,
                        std::uint32_t slots,
                        std::uint32_t sharing_routers) const;
  // Whether the target would still have room for `reserved` more urgent
  // requests, beside a less urgent one that is sent now. A target with a free
  // slot has room. Without an estimate: whether this router is within its share
  // and the target has neither refused a request nor been slow to answer in the
  // last `response_time`.
  bool LeavesRoom(Instant now,
                  std::uint32_t slots,
                  std::uint32_t sharing_routers,
                  double reserved,
                  Duration response_time) const;
  // How long a request that is sent now takes, if the target states its load.
  // `mean_time`: processing time of a target without one of its own.
  std::optional<Duration> ExpectedResponseTime(Instant now,
                                               Duration mean_time) const;
  // When the estimated load falls below the limit, if no other request is sent
  // to the target.
  std::optional<Instant> HasRoomAt(Instant now, Duration mean_time) const;

 private:
  double InFlightShare(std::uint32_t slots,
                       std::uint32_t sharing_routers) const;
  double DecayedSamples(Instant now) const;
  void SetInFlight(Instant now, std::uint32_t count);

  const LoadLimits limits_;
  std::uint32_t in_flight_ = 0;
  RecentMean mean_in_flight_{limits_.in_flight_decay_time};
  std::uint32_t failures_ = 0;
  std::uint32_t ejections_ = 0;
  double failure_rate_ = 0;
  double latency_us_ = 0;
  double processing_time_us_ = 0;
  double processing_samples_ = 0;
  double total_processing_samples_ = 0;
  Instant processing_sampled_at_{};
  Instant ejected_until_{};
  std::optional<Instant> refused_at_;
  std::optional<Instant> answered_at_;
  Duration last_latency_{0};
  LoadEstimator estimator_;
};

enum class Distance { kSameZone, kSameRegion, kOtherRegion };

struct Candidate {
  const TargetEntry* entry = nullptr;
  const TargetLoad* load = nullptr;
  Distance distance = Distance::kSameZone;
  // Number of routers that send requests to this target.
  std::uint32_t sharing_routers = 1;
  // Whether an idle open connection to the target exists.
  bool connected = true;
  // Hash of router and target. Where targets state their load, a router prefers
  // those of highest affinity, and hears more often from these.
  std::uint64_t affinity = 0;
};

struct SelectionOptions {
  // Responses are large. Targets in another region are used only if no target
  // in this region exists.
  bool bulk = false;
  // Mean latency of the service, used for targets without a latency of their
  // own.
  Duration mean_latency = std::chrono::milliseconds(100);
  // Time within which a response is in time. The costs of distance and of
  // opening a connection are fractions of it.
  Duration latency_objective = std::chrono::milliseconds(300);
  // Requests per second that this router receives for the service, and the
  // number of all routers, of which some send requests to targets of other
  // zones. They decide how many targets a router prefers.
  double request_rate = 0;
  std::uint32_t routers = 1;
};

// Returns the candidate with the lowest expected latency plus costs, or null if
// none has spare capacity. An ejected target is chosen only if no other has
// spare capacity. Among candidates of which one states its load, the choice is
// random, with a probability that falls with the expected latency plus costs;
// `random` is from 0 up to 1, and not used otherwise.
const Candidate* PickTarget(const std::vector<Candidate>& candidates,
                            const SelectionOptions& options,
                            Instant now,
                            double random = 0);

}  // namespace figstall

#endif  // FIGSTALL_TARGET_LOAD_H_
