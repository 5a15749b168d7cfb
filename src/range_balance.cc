// Fair loads are found by bisection so that additional load adds the same total
// delay at every target, by an approximation of the M/M/c queue. Moves are
// planned greedily, from the most overloaded to the least loaded target.
#include "figstall/range_balance.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace figstall {
namespace {

// Highest and lowest load of a piece that moves, as multiples of the desired
// load. A smaller piece is not worth a move.
constexpr double kMaxPieceRatio = 1.15;
constexpr double kMinPieceRatio = 0.2;
// Fair loads use at most this share of a target's capacity, as long as other
// targets have spare capacity.
constexpr double kMaxUtilization = 0.95;
// Lowest fair load, as a multiple of the load that the target would have if
// load were shared in proportion to capacity. Without some load, a target's
// speed would not stay known.
constexpr double kMinFairRatio = 0.15;
constexpr int kBisectionSteps = 40;
constexpr std::size_t kDelaySteps = 1000;

// Returns how much the total of all delays grows with the load of a target at
// this utilization, in units of its work time. The delay is Sakasegawa's
// approximation for several servers with one queue (1977).
double MarginalDelay(double utilization, double slots) {
  const double exponent = std::sqrt(2 * (slots + 1)) - 1;
  const double idle = 1 - utilization;
  return 1 + ((exponent + 1) * std::pow(utilization, exponent) * idle +
              std::pow(utilization, exponent + 1)) /
                 (slots * idle * idle);
}

// Returns the marginal delays of a target with `slots` slots, in ascending
// order, at evenly spaced utilizations from 0 to kMaxUtilization.
std::vector<double> MarginalDelays(double slots) {
  std::vector<double> delays(kDelaySteps + 1);
  for (std::size_t step = 0; step < delays.size(); ++step)
    delays[step] = MarginalDelay(
        kMaxUtilization * static_cast<double>(step) / kDelaySteps, slots);
  return delays;
}

// Finds the utilization at which a target's load has a given marginal delay.
class UtilizationCurve {
 public:
  // Returns a utilization between 0 and kMaxUtilization.
  double At(double marginal_delay, const TargetShare& share) {
    const std::uint32_t slots = std::max<std::uint32_t>(1, share.target->slots);
    auto& delays = delays_[slots];
    if (delays.empty())
      delays = MarginalDelays(slots);
    const double relative_delay = marginal_delay * share.capacity / slots;
    const auto above =
        std::lower_bound(delays.begin(), delays.end(), relative_delay);
    if (above == delays.begin())
      return 0;
    if (above == delays.end())
      return kMaxUtilization;
    const auto step = static_cast<double>(above - delays.begin()) - 1;
    const double fraction = (relative_delay - above[-1]) / (*above - above[-1]);
    return kMaxUtilization * (step + fraction) / kDelaySteps;
  }

 private:
  // Marginal delays, keyed by number of slots.
  std::map<std::uint32_t, std::vector<double>> delays_;
};

void SetFairLoads(TargetShares& shares) {
  double load = 0;
  double capacity = 0;
  std::vector<TargetShare*> sharing;
  for (auto& [id, share] : shares) {
    load += share.load;
    if (share.hot_load > 0)
      continue;
    capacity += share.capacity;
    sharing.push_back(&share);
  }
  if (sharing.empty())
    return;
  const double mean_utilization = load / capacity;
  UtilizationCurve utilization;
  const auto fair_at = [&](double marginal_delay, const TargetShare& share) {
    return share.capacity * std::max(utilization.At(marginal_delay, share),
                                     kMinFairRatio * mean_utilization);
  };
  double low = 0;
  double high = 1e6;
  for (int step = 0;
       step < kBisectionSteps && mean_utilization < kMaxUtilization; ++step) {
    const double middle = std::sqrt(std::max(low, 1e-3) * high);
    double sum = 0;
    for (const TargetShare* share : sharing)
      sum += fair_at(middle, *share);
    (sum < load ? low : high) = middle;
  }
  for (TargetShare* share : sharing) {
    share->fair_load = mean_utilization < kMaxUtilization
                           ? fair_at(high, *share)
                           : mean_utilization * share->capacity;
  }
}

// Returns the piece at an end of one of `owner`'s ranges, or the whole range,
// whose load comes closest to `desired` without exceeding kMaxPieceRatio times
// it.
std::optional<KeyRange> FindPiece(const RangeTable& table,
                                  const TargetId& owner,
                                  double desired,
                                  const RangeLoad& load) {
  const std::uint32_t step = load.PartSize();
  std::optional<KeyRange> best;
  double best_load = 0;
  const auto consider = [&](std::uint32_t first, std::uint32_t last) {
    const KeyRange piece{static_cast<ShardKey>(first),
                         static_cast<ShardKey>(last)};
    const double piece_load = load.Of(piece);
    if (piece_load <= desired * kMaxPieceRatio && piece_load > best_load) {
      best = piece;
      best_load = piece_load;
    }
  };
  for (const RangeEntry& entry : table.entries) {
    if (entry.owner.id != owner || entry.phase != RangePhase::kSettled)
      continue;
    const std::uint32_t first = entry.range.first;
    const std::uint32_t last = entry.range.last;
    consider(first, last);
    for (std::uint32_t cut = first - first % step + step; cut <= last;
         cut += step) {
      consider(cut, last);
      consider(first, cut - 1);
    }
  }
  if (best_load < desired * kMinPieceRatio)
    return std::nullopt;
  return best;
}

// Adds the moves of a range, and marks it as moving in `table` so that it is
// planned only once.
void AddMoves(RangeTable& table,
              const KeyRange& range,
              const TargetShare& from,
              const TargetShare& to,
              const RangeLoad& load,
              bool hot,
              std::vector<PlannedMove>& moves) {
  SplitAt(table, range.first);
  SplitAt(table, std::uint32_t{range.last} + 1);
  for (RangeEntry& entry : table.entries) {
    if (entry.range.first < range.first || entry.range.last > range.last)
      continue;
    entry.phase = RangePhase::kMoving;
    moves.push_back({entry.range, from.target->incarnation.id,
                     to.target->incarnation.id, load.Of(entry.range), from.load,
                     from.fair_load, to.load, to.fair_load, hot});
  }
}

// Plans to move each hot part to the fastest target without one, which serves
// it best and then carries no other load.
void PlanHotParts(RangeTable& table,
                  TargetShares& shares,
                  const RangeLoad& load,
                  const BalanceLimits& limits,
                  std::vector<PlannedMove>& moves) {
  double least_hot_load = std::numeric_limits<double>::infinity();
  for (const auto& [id, share] : shares) {
    if (share.hot_load > 0)
      least_hot_load = std::min(least_hot_load, share.hot_load);
  }
  for (std::size_t part = 0; part < load.parts().size(); ++part) {
    if (load.parts()[part] < least_hot_load)
      continue;
    const KeyRange range = load.PartRange(part);
    const RangeEntry* entry = table.Find(range.first);
    if (!entry || entry->phase != RangePhase::kSettled ||
        entry->range.last < range.last)
      continue;
    const auto owner = shares.find(entry->owner.id);
    if (owner == shares.end() || owner->second.hot_load == 0 ||
        load.parts()[part] < owner->second.hot_load)
      continue;
    TargetShare* fastest = nullptr;
    for (auto& [id, share] : shares) {
      if (share.hot_load == 0 &&
          (!fastest || share.capacity > fastest->capacity))
        fastest = &share;
    }
    if (!fastest ||
        fastest->capacity < limits.min_capacity_ratio * owner->second.capacity)
      continue;
    AddMoves(table, range, owner->second, *fastest, load, /*hot=*/true, moves);
    fastest->hot_load = owner->second.hot_load;
    fastest->fair_load = 0;
    owner->second.hot_load = 0;
  }
}

}  // namespace

double CapacityOf(const TargetEntry& target,
                  const std::map<TargetId, double>* capacities) {
  if (capacities) {
    const auto known = capacities->find(target.incarnation.id);
    if (known != capacities->end())
      return known->second;
  }
  return std::max<std::uint32_t>(1, target.slots);
}

TargetShares ComputeTargetShares(const RangeTable& table,
                                 const std::vector<const TargetEntry*>& usable,
                                 const std::map<TargetId, double>* capacity,
                                 const RangeLoad& load,
                                 const BalanceLimits& limits) {
  TargetShares shares;
  for (const TargetEntry* target : usable) {
    TargetShare share;
    share.target = target;
    share.capacity = CapacityOf(*target, capacity);
    shares[target->incarnation.id] = share;
  }
  for (const RangeEntry& entry : table.entries) {
    const auto found = shares.find(entry.owner.id);
    if (found == shares.end())
      continue;
    TargetShare& owner = found->second;
    if (entry.phase == RangePhase::kSettled)
      owner.load += load.Of(entry.range);
    if (load.empty())
      continue;
    // A part belongs to the entry that holds its first key.
    const std::size_t size = load.PartSize();
    for (std::size_t part = (entry.range.first + size - 1) / size;
         part * size <= entry.range.last; ++part) {
      const double hot = load.parts()[part];
      if (hot > limits.hot_part_ratio * owner.capacity && hot > owner.hot_load)
        owner.hot_load = hot;
    }
  }
  for (auto& [id, share] : shares)
    share.load = std::max(0.0, share.load - share.hot_load);
  if (!load.empty()) {
    SetFairLoads(shares);
  } else {
    for (auto& [id, share] : shares)
      share.fair_load = share.capacity;
  }
  return shares;
}

TargetShare* LeastLoaded(TargetShares& shares, double extra) {
  TargetShare* best = nullptr;
  double best_ratio = std::numeric_limits<double>::infinity();
  for (auto& [id, share] : shares) {
    const double ratio = share.fair_load > 0
                             ? (share.load + extra) / share.fair_load
                             : std::numeric_limits<double>::max();
    if (ratio < best_ratio) {
      best = &share;
      best_ratio = ratio;
    }
  }
  return best;
}

std::vector<PlannedMove> PlanBalance(const RangeTable& table,
                                     TargetShares shares,
                                     const RangeLoad& load,
                                     const BalanceLimits& limits) {
  std::vector<PlannedMove> moves;
  RangeTable next = table;
  PlanHotParts(next, shares, load, limits, moves);
  std::set<TargetId> exhausted;
  while (moves.size() < limits.max_moves) {
    TargetShare* donor = nullptr;
    for (auto& [id, share] : shares) {
      if (!exhausted.contains(id) &&
          (!donor ||
           share.load - share.fair_load > donor->load - donor->fair_load))
        donor = &share;
    }
    TargetShare* receiver = LeastLoaded(shares, 0);
    if (!donor || donor == receiver)
      break;
    const bool idle_receiver =
        receiver->load < limits.idle_ratio * receiver->fair_load;
    const double min_excess = donor->hot_load > 0
                                  ? limits.min_excess_beside_hot_part
                                  : limits.min_excess;
    const bool overloaded =
        donor->load > donor->fair_load * limits.overload_ratio &&
        donor->load - donor->fair_load > min_excess * donor->capacity;
    if (!overloaded && !idle_receiver)
      break;
    const double desired = std::min(donor->load - donor->fair_load,
                                    receiver->fair_load - receiver->load);
    const TargetId from = donor->target->incarnation.id;
    const auto piece = FindPiece(next, from, desired, load);
    if (!piece) {
      exhausted.insert(from);
      continue;
    }
    const double moved = load.Of(*piece);
    AddMoves(next, *piece, *donor, *receiver, load, /*hot=*/false, moves);
    donor->load -= moved;
    receiver->load += moved;
  }
  return moves;
}

}  // namespace figstall
