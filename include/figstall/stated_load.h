// What a target states about its load in its responses, and an estimate of its
// load at a later time. Performs no I/O.
//
// Load pattern: many entries choose a target by views that are slightly stale,
// so the least loaded target attracts all of them (herding), is overloaded, and
// others idle meanwhile. The estimate ages a statement: what the target had
// from other entries returns to its usual number within about one response
// time, while what this entry has there is known exactly.
#ifndef FIGSTALL_STATED_LOAD_H_
#define FIGSTALL_STATED_LOAD_H_

#include <cstdint>
#include <optional>

#include "figstall/types.h"

namespace figstall {

struct StatedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  // How long work takes at the moment, relative to the usual time.
  double slowness = 1;

  friend bool operator==(const StatedLoad&, const StatedLoad&) = default;
};

// Estimated state of a target at one moment.
struct LoadEstimate {
  // Requests at the target, running and waiting, of all entries.
  double requests = 0;
  double slots = 1;
  // How much longer a request takes since the target is slow for a short time.
  Duration slow_delay{0};
  // Time since the statement on which the estimate is based.
  Duration age{0};

  // Requests at the target for each of its slots, including one that is about
  // to be sent; at least 1.
  double QueueingFactor() const;
  // Requests that fit until the target has `per_slot` requests for each slot;
  // negative if it has more.
  double FreeCapacity(double per_slot) const {
    return per_slot * slots - requests;
  }

  friend bool operator==(const LoadEstimate&, const LoadEstimate&) = default;
};

// The statements of one target as one entry hears them.
class LoadEstimator {
 public:
  // A statement is not used for longer than this. A target that stops stating
  // its load is then judged by the entry's own observations.
  static constexpr Duration kMaxStatementAge = std::chrono::seconds(2);

  // `own_in_flight`: requests of this entry that the statement may include.
  void OnStated(Instant now,
                const StatedLoad& load,
                std::uint32_t own_in_flight);
  // The target responded without a statement.
  void OnUnstated() { stated_.reset(); }

  // Whether the last response stated the load, however long ago.
  bool states_load() const { return stated_.has_value(); }
  // None without a statement of the last kMaxStatementAge. `response_time`:
  // mean time that a request spends at the target.
  std::optional<LoadEstimate> At(Instant now,
                                 std::uint32_t own_in_flight,
                                 Duration response_time) const;

 private:
  std::optional<StatedLoad> stated_;
  Instant stated_at_{};
  // Requests of other entries in the last statement, and their recent mean.
  double others_ = 0;
  double mean_others_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_STATED_LOAD_H_
