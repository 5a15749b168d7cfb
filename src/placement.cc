// Implements the placement policies.
#include "figstall/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace figstall {
namespace {

constexpr double kUnreachable = std::numeric_limits<double>::infinity();

double WeightOf(std::span<const double> weights, std::size_t partition) {
  return weights.empty() ? 1.0 : weights[partition];
}

// Smaller is preferred; exponentially distributed with rate `capacity`.
double RendezvousCost(const PlacementTarget& target, std::size_t partition) {
  if (target.capacity <= 0)
    return kUnreachable;
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

// Tracks load against fair share while partitions are placed.
class LoadLedger {
 public:
  LoadLedger(std::span<const PlacementTarget> targets,
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
      return kUnreachable;
    return (load_[target] + extra) / fair_[target];
  }
  double fair(TargetIndex target) const { return fair_[target]; }
  double load(TargetIndex target) const { return load_[target]; }

  // The target that is least loaded after taking `extra`.
  TargetIndex Least(const std::vector<TargetIndex>& live, double extra) const {
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
// targets still have room.
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

// Most that `target` may carry before partitions are taken from it: the slack,
// but at least one whole partition above its fair share.
double Ceiling(const LoadLedger& ledger,
               TargetIndex target,
               double max_load_ratio,
               double lightest) {
  const double fair = ledger.fair(target);
  return std::max(fair * max_load_ratio, std::ceil(fair / lightest) * lightest);
}

// Takes light partitions off `target` until it is within its ceiling.
void Shed(TargetIndex target,
          double ceiling,
          const std::vector<std::size_t>& heaviest_first,
          Assignment& next,
          LoadLedger& ledger) {
  for (auto it = heaviest_first.rbegin(); it != heaviest_first.rend(); ++it) {
    if (ledger.load(target) <= ceiling)
      return;
    if (next[*it] != target)
      continue;
    next[*it].reset();
    ledger.Remove(target, *it);
  }
}

// Gives targets far below their fair share partitions of the most loaded ones,
// so that a joining target takes its part.
void Fill(const std::vector<TargetIndex>& live,
          double max_load_ratio,
          const std::vector<std::size_t>& heaviest_first,
          Assignment& next,
          LoadLedger& ledger) {
  std::vector<std::vector<std::size_t>> owned(live.back() + 1);
  for (std::size_t p : heaviest_first) {
    if (next[p])
      owned[*next[p]].push_back(p);
  }
  for (TargetIndex target : live) {
    while (ledger.Ratio(target, 0) < 1.0 / max_load_ratio) {
      const TargetIndex donor = *std::max_element(
          live.begin(), live.end(), [&](TargetIndex a, TargetIndex b) {
            return ledger.Ratio(a, 0) < ledger.Ratio(b, 0);
          });
      if (owned[donor].empty() || donor == target)
        break;
      const std::size_t partition = owned[donor].back();
      ledger.Add(target, partition);
      ledger.Remove(donor, partition);
      const bool worse = ledger.Ratio(target, 0) > ledger.Ratio(donor, 0);
      if (worse) {
        ledger.Remove(target, partition);
        ledger.Add(donor, partition);
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
  LoadLedger ledger(targets, next.size(), weights);
  for (std::size_t p : HeaviestFirst(next.size(), weights)) {
    const double extra = WeightOf(weights, p);
    TargetIndex best = ledger.Least(live, extra);
    double best_cost = kUnreachable;
    for (TargetIndex target : live) {
      if (ledger.Ratio(target, extra) > max_load_ratio)
        continue;
      const double cost = RendezvousCost(targets[target], p);
      if (cost >= best_cost)
        continue;
      best = target;
      best_cost = cost;
    }
    next[p] = best;
    ledger.Add(best, p);
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
  LoadLedger ledger(targets, next.size(), weights);
  for (std::size_t p = 0; p < next.size(); ++p) {
    const auto owner = current[p];
    if (!owner || *owner >= targets.size())
      continue;
    if (targets[*owner].capacity <= 0)
      continue;
    next[p] = owner;
    ledger.Add(*owner, p);
  }
  const std::vector<std::size_t> order = HeaviestFirst(next.size(), weights);
  if (order.empty())
    return next;
  const double lightest = std::max(WeightOf(weights, order.back()), 1e-9);
  for (TargetIndex target : live)
    Shed(target, Ceiling(ledger, target, max_load_ratio, lightest), order, next,
         ledger);
  for (std::size_t p : order) {
    if (next[p])
      continue;
    const TargetIndex target = ledger.Least(live, WeightOf(weights, p));
    next[p] = target;
    ledger.Add(target, p);
  }
  Fill(live, max_load_ratio, order, next, ledger);
  return next;
}

}  // namespace figstall
