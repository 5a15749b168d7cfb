// The placement policies and the load accounting that they share.
#include "figstall/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace figstall {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();

double WeightOf(std::span<const double> weights, std::size_t partition) {
  return weights.empty() ? 1.0 : weights[partition];
}

// Cost of placing `partition` on `target`; the target with the lowest cost is
// preferred. Costs are exponentially distributed with rate `capacity`.
double RendezvousCost(const PlacementTarget& target, std::size_t partition) {
  if (target.capacity <= 0)
    return kInfinite;
  const std::uint64_t input[2] = {target.id, partition};
  const std::uint64_t hash = XXH3_64bits(input, sizeof(input));
  const double uniform =
      (static_cast<double>(hash >> 11) + 0.5) * (1.0 / 9007199254740992.0);
  return -std::log(uniform) / target.capacity;
}

std::vector<TargetIndex> LiveTargets(std::span<const PlacementTarget> targets) {
  std::vector<TargetIndex> live;
  for (TargetIndex i = 0; i < targets.size(); ++i) {
    if (targets[i].capacity > 0)
      live.push_back(i);
  }
  return live;
}

double TotalCapacity(std::span<const PlacementTarget> targets) {
  double total = 0;
  for (const PlacementTarget& target : targets)
    total += target.capacity;
  return total;
}

// Load that each target should carry, in units of partition weight.
std::vector<double> FairLoads(std::span<const PlacementTarget> targets,
                              std::size_t partitions,
                              std::span<const double> weights) {
  double load = static_cast<double>(partitions);
  if (!weights.empty())
    load = std::accumulate(weights.begin(), weights.end(), 0.0);
  const double capacity = TotalCapacity(targets);
  std::vector<double> fair;
  for (const PlacementTarget& target : targets)
    fair.push_back(capacity > 0 ? load * target.capacity / capacity : 0);
  return fair;
}

// Tracks the load of each target relative to its fair share while partitions
// are placed.
class LoadTracker {
 public:
  LoadTracker(std::span<const PlacementTarget> targets,
              std::size_t partitions,
              std::span<const double> weights)
      : weights_(weights),
        fair_(FairLoads(targets, partitions, weights)),
        load_(targets.size(), 0.0) {}

  void Add(TargetIndex target, std::size_t partition) {
    load_[target] += WeightOf(weights_, partition);
  }
  void Remove(TargetIndex target, std::size_t partition) {
    load_[target] -= WeightOf(weights_, partition);
  }
  double Ratio(TargetIndex target, double extra) const {
    if (fair_[target] <= 0)
      return kInfinite;
    return (load_[target] + extra) / fair_[target];
  }
  double fair(TargetIndex target) const { return fair_[target]; }
  double load(TargetIndex target) const { return load_[target]; }

  // The target that is least loaded after taking `extra`.
  TargetIndex LeastLoaded(const std::vector<TargetIndex>& live,
                          double extra) const {
    return *std::min_element(live.begin(), live.end(),
                             [&](TargetIndex a, TargetIndex b) {
                               return Ratio(a, extra) < Ratio(b, extra);
                             });
  }

 private:
  const std::span<const double> weights_;
  const std::vector<double> fair_;
  std::vector<double> load_;
};

// Partition numbers, heaviest first, so that large loads are placed while all
// targets still have spare capacity.
std::vector<std::size_t> HeaviestFirst(std::size_t partitions,
                                       std::span<const double> weights) {
  std::vector<std::size_t> order(partitions);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return WeightOf(weights, a) > WeightOf(weights, b);
                   });
  return order;
}

// Load above which partitions are taken from `target`: `max_load_ratio` times
// its fair share, but at least the fair share rounded up to a multiple of the
// lightest partition.
double LoadLimit(const LoadTracker& tracker,
                 TargetIndex target,
                 double max_load_ratio,
                 double lightest) {
  const double fair = tracker.fair(target);
  return std::max(fair * max_load_ratio, std::ceil(fair / lightest) * lightest);
}

// Takes partitions from `target`, lightest first, until its load is within
// `load_limit`.
void ReduceLoad(TargetIndex target,
                double load_limit,
                const std::vector<std::size_t>& heaviest_first,
                Assignment& next,
                LoadTracker& tracker) {
  for (auto it = heaviest_first.rbegin(); it != heaviest_first.rend(); ++it) {
    if (tracker.load(target) <= load_limit)
      return;
    if (next[*it] != target)
      continue;
    next[*it].reset();
    tracker.Remove(target, *it);
  }
}

// Moves partitions from the most loaded targets to those below their fair share
// divided by `max_load_ratio`, so that a target that joins receives its share.
void RaiseUnderloaded(const std::vector<TargetIndex>& live,
                      double max_load_ratio,
                      const std::vector<std::size_t>& heaviest_first,
                      Assignment& next,
                      LoadTracker& tracker) {
  std::vector<std::vector<std::size_t>> owned(live.back() + 1);
  for (std::size_t p : heaviest_first) {
    if (next[p])
      owned[*next[p]].push_back(p);
  }
  for (TargetIndex target : live) {
    while (tracker.Ratio(target, 0) < 1.0 / max_load_ratio) {
      const TargetIndex donor = *std::max_element(
          live.begin(), live.end(), [&](TargetIndex a, TargetIndex b) {
            return tracker.Ratio(a, 0) < tracker.Ratio(b, 0);
          });
      if (owned[donor].empty() || donor == target)
        break;
      const std::size_t partition = owned[donor].back();
      tracker.Add(target, partition);
      tracker.Remove(donor, partition);
      const bool worse = tracker.Ratio(target, 0) > tracker.Ratio(donor, 0);
      if (worse) {
        tracker.Remove(target, partition);
        tracker.Add(donor, partition);
        break;
      }
      owned[donor].pop_back();
      next[partition] = target;
    }
  }
}

}  // namespace

Assignment ModuloHash::Place(std::span<const PlacementTarget> targets,
                             const Assignment& current,
                             std::span<const double>) const {
  const std::vector<TargetIndex> live = LiveTargets(targets);
  Assignment next(current.size());
  if (live.empty())
    return next;
  for (std::size_t p = 0; p < next.size(); ++p)
    next[p] = live[p % live.size()];
  return next;
}

Assignment WeightedRendezvous::Place(std::span<const PlacementTarget> targets,
                                     const Assignment& current,
                                     std::span<const double>) const {
  const std::vector<TargetIndex> live = LiveTargets(targets);
  Assignment next(current.size());
  if (live.empty())
    return next;
  for (std::size_t p = 0; p < next.size(); ++p) {
    next[p] = *std::min_element(
        live.begin(), live.end(), [&](TargetIndex a, TargetIndex b) {
          return RendezvousCost(targets[a], p) < RendezvousCost(targets[b], p);
        });
  }
  return next;
}

Assignment BoundedRendezvous::Place(std::span<const PlacementTarget> targets,
                                    const Assignment& current,
                                    std::span<const double> weights) const {
  const std::vector<TargetIndex> live = LiveTargets(targets);
  Assignment next(current.size());
  if (live.empty())
    return next;
  LoadTracker tracker(targets, next.size(), weights);
  for (std::size_t p : HeaviestFirst(next.size(), weights)) {
    const double extra = WeightOf(weights, p);
    TargetIndex best = tracker.LeastLoaded(live, extra);
    double best_cost = kInfinite;
    for (TargetIndex target : live) {
      if (tracker.Ratio(target, extra) > max_load_ratio)
        continue;
      const double cost = RendezvousCost(targets[target], p);
      if (cost >= best_cost)
        continue;
      best = target;
      best_cost = cost;
    }
    next[p] = best;
    tracker.Add(best, p);
  }
  return next;
}

Assignment IncrementalRebalance::Place(std::span<const PlacementTarget> targets,
                                       const Assignment& current,
                                       std::span<const double> weights) const {
  const std::vector<TargetIndex> live = LiveTargets(targets);
  Assignment next(current.size());
  if (live.empty())
    return next;
  LoadTracker tracker(targets, next.size(), weights);
  for (std::size_t p = 0; p < next.size(); ++p) {
    const auto owner = current[p];
    if (!owner || *owner >= targets.size())
      continue;
    if (targets[*owner].capacity <= 0)
      continue;
    next[p] = owner;
    tracker.Add(*owner, p);
  }
  const std::vector<std::size_t> order = HeaviestFirst(next.size(), weights);
  if (order.empty())
    return next;
  const double lightest = std::max(WeightOf(weights, order.back()), 1e-9);
  for (TargetIndex target : live)
    ReduceLoad(target, LoadLimit(tracker, target, max_load_ratio, lightest),
               order, next, tracker);
  for (std::size_t p : order) {
    if (next[p])
      continue;
    const TargetIndex target = tracker.LeastLoaded(live, WeightOf(weights, p));
    next[p] = target;
    tracker.Add(target, p);
  }
  RaiseUnderloaded(live, max_load_ratio, order, next, tracker);
  return next;
}

}  // namespace figstall
