// Computes how much load of a keyed service each target should carry, and plans
// which key ranges move to get there. All functions are pure.
#ifndef FIGSTALL_RANGE_BALANCE_H_
#define FIGSTALL_RANGE_BALANCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "figstall/range_load.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"

namespace figstall {

struct BalanceLimits {
  // A target is overloaded if its load exceeds this multiple of its fair load
  // and the excess is more than min_excess.
  double overload_ratio = 1.25;
  // As a share of the target's capacity; a smaller excess is noise.
  double min_excess = 0.15;
  // min_excess for a target whose only work should be a hot part.
  double min_excess_beside_hot_part = 0.02;
  // A target whose load is below this share of its fair load is idle and
  // receives ranges.
  double idle_ratio = 0.2;
  // Maximum number of ranges that one change of the table moves.
  std::uint32_t max_moves = 12;
  // A single part of the key space is hot if its load exceeds this share of its
  // owner's capacity. It should then be its owner's only work.
  double hot_part_ratio = 0.9;
  // A hot part moves only to a target with at least this multiple of its
  // owner's capacity.
  double min_capacity_ratio = 1.6;
};

// Returns the capacity of a target: as listed, otherwise its slots.
// `capacities` may be null.
double CapacityOf(const TargetEntry& target,
                  const std::map<TargetId, double>* capacities);

// One target's share of the load.
struct TargetShare {
  const TargetEntry* target = nullptr;
  // Number of requests that the target works on at once, scaled by its speed.
  double capacity = 1;
  // Load without the hot part.
  double load = 0;
  // Load that the target should carry. Zero if a hot part should be its only
  // work.
  double fair_load = 0;
  // Load of the target's hot part, or zero.
  double hot_load = 0;
};

using TargetShares = std::map<TargetId, TargetShare>;

// Computes the share of each usable target. Targets that are missing from
// `capacity` count by their slots. Fair loads minimize the total of all delays:
// at low load the fastest targets carry most, and at high load all targets
// carry their part.
TargetShares ComputeTargetShares(const RangeTable& table,
                                 const std::vector<const TargetEntry*>& usable,
                                 const std::map<TargetId, double>* capacity,
                                 const RangeLoad& load,
                                 const BalanceLimits& limits);

// Returns the target with the lowest ratio of load to fair load after `extra`
// is added to its load; null if there are no targets.
TargetShare* LeastLoaded(TargetShares& shares, double extra);

struct PlannedMove {
  KeyRange range;
  TargetId from;
  TargetId to;
  // Load of the range, and load and fair load of both targets before the move.
  double load = 0;
  double from_load = 0;
  double from_fair = 0;
  double to_load = 0;
  double to_fair = 0;
  // Whether the range is a hot part.
  bool hot = false;
};

// Plans moves that bring targets closer to their fair loads, but none whose
// gain is too small. The ranges do not overlap, and each lies in one settled
// entry.
std::vector<PlannedMove> PlanBalance(const RangeTable& table,
                                     TargetShares shares,
                                     const RangeLoad& load,
                                     const BalanceLimits& limits);

}  // namespace figstall

#endif  // FIGSTALL_RANGE_BALANCE_H_
