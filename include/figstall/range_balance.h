// Decides how much load of a keyed service each target shall carry, and which
// pieces of the key space move for it. Pure decisions.
#ifndef FIGSTALL_RANGE_BALANCE_H_
#define FIGSTALL_RANGE_BALANCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "figstall/range_table.h"
#include "figstall/target_entry.h"

namespace figstall {

// Load as members' requests showed it.
struct RangeLoad {
  // Busy time per second at a target of mean speed, by equal parts of the key
  // space.
  std::vector<double> parts;
};

// Load of a range. Without samples, and in addition to them, its part of the
// key space counts for traffic that they missed.
double LoadOf(const KeyRange& range, const RangeLoad* load);

struct BalanceLimits {
  // A target is overloaded above this multiple of its fair load ...
  double overload = 1.25;
  // ... if that is more than this part of its capacity; less is noise.
  double min_excess = 0.15;
  // The same where a hot part is to be its only work.
  double noise_beside_hot = 0.02;
  // A target is idle below this part of its fair load, and is given work.
  double idle = 0.2;
  // Pieces that one change of the table moves at most.
  std::uint32_t max_moves = 12;
  // A single part of the key space this hot, as a share of its owner's
  // capacity, is its owner's only work.
  double hot_part = 0.9;
  // It moves to a target with at least this multiple of its owner's capacity.
  double min_capacity_ratio = 1.6;
};

// One target's part of the load.
struct TargetShare {
  const TargetEntry* target = nullptr;
  // Requests that it works on at once, by its speed.
  double capacity = 1;
  // Without a hot part.
  double load = 0;
  // What it shall carry. Zero if a hot part is its only work.
  double fair_load = 0;
  // Load of the hot part, or zero.
  double hot_load = 0;
};

using TargetShares = std::map<TargetId, TargetShare>;

// `capacity` may lack targets; these count by their slots. Fair loads are such
// that the total of all delays is least: the fastest targets carry most while
// there is little to do, and all carry their part when there is much.
TargetShares ComputeTargetShares(const RangeTable& table,
                                 const std::vector<const TargetEntry*>& usable,
                                 const std::map<TargetId, double>* capacity,
                                 const RangeLoad* load,
                                 const BalanceLimits& limits);

// The target that is farthest below its fair load once it has `extra`; null if
// there are none.
TargetShare* LeastLoaded(TargetShares& shares, double extra);

struct PlannedMove {
  KeyRange range;
  TargetId from;
  TargetId to;
  // Load of the range, and of both targets before the move by their fair loads.
  double load = 0;
  double from_load = 0;
  double from_fair = 0;
  double to_load = 0;
  double to_fair = 0;
  // The range is a hot part.
  bool hot = false;
};

// Moves that bring targets nearer to their fair loads; none where that is not
// worth a move. The ranges do not overlap, and each lies in one settled entry.
std::vector<PlannedMove> PlanBalance(const RangeTable& table,
                                     TargetShares shares,
                                     const RangeLoad& load,
                                     const BalanceLimits& limits);

}  // namespace figstall

#endif  // FIGSTALL_RANGE_BALANCE_H_
