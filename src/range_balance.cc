// Implements the balance of key ranges.
#include "figstall/range_balance.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>

namespace figstall {
namespace {

// A piece may have this much more load than was wanted, and at least so much of
// it; less is not worth a move.
constexpr double kPieceExcess = 1.15;
constexpr double kLeastPiece = 0.2;
// Load that every range has beside what samples show, as a part of all.
constexpr double kUnseenShare = 0.02;
// Fair loads leave this part of a target's capacity free, as far as there is
// room at others.
constexpr double kMostBusy = 0.95;
// Each target carries at least this part of what its capacity would make it
// carry, so that its speed stays known.
constexpr double kLeastFair = 0.15;
constexpr int kSearchSteps = 40;
constexpr std::size_t kDelaySteps = 1000;

double PartSize(const RangeLoad& load) {
  return static_cast<double>(kKeySpaceSize) /
         static_cast<double>(load.parts.size());
}

KeyRange PartRange(const RangeLoad& load, std::size_t part) {
  const double size = PartSize(load);
  const auto first =
      static_cast<std::uint32_t>(static_cast<double>(part) * size);
  const auto next =
      static_cast<std::uint32_t>(static_cast<double>(part + 1) * size);
  return {static_cast<ShardKey>(first), static_cast<ShardKey>(next - 1)};
}

// Tells the load of many ranges; works out the total of all once.
class LoadMeter {
 public:
  // Null or empty: no samples.
  explicit LoadMeter(const RangeLoad* load)
      : load_(load && !load->parts.empty() ? load : nullptr),
        total_(
            load_
                ? std::accumulate(load_->parts.begin(), load_->parts.end(), 0.0)
                : 0) {}

  double Of(const KeyRange& range) const {
    const double floor = static_cast<double>(range.size()) / kKeySpaceSize;
    if (!load_)
      return floor;
    const double part_size = PartSize(*load_);
    double sum = 0;
    for (std::size_t part = static_cast<std::size_t>(range.first / part_size);
         part < load_->parts.size() &&
         static_cast<double>(part) * part_size <= range.last;
         ++part) {
      const double begin = static_cast<double>(part) * part_size;
      const double overlap =
          std::min<double>(range.last + 1.0, begin + part_size) -
          std::max<double>(range.first, begin);
      sum += load_->parts[part] * std::max(0.0, overlap) / part_size;
    }
    return sum + floor * kUnseenShare * total_;
  }

 private:
  const RangeLoad* load_;
  double total_;
};

// How much the total of all delays grows with the load of a target that is this
// busy, in units of its work time. The delay is Sakasegawa's approximation for
// several servers with one queue (1977).
double MarginalDelay(double busy, double slots) {
  const double power = std::sqrt(2 * (slots + 1)) - 1;
  const double free = 1 - busy;
  return 1 + ((power + 1) * std::pow(busy, power) * free +
              std::pow(busy, power + 1)) /
                 (slots * free * free);
}

// Marginal delays of targets with so many slots, in even steps of how busy they
// are up to kMostBusy. They rise.
std::vector<double> MakeDelays(double slots) {
  std::vector<double> delays(kDelaySteps + 1);
  for (std::size_t step = 0; step < delays.size(); ++step)
    delays[step] = MarginalDelay(
        kMostBusy * static_cast<double>(step) / kDelaySteps, slots);
  return delays;
}

// Finds how busy targets are where their load has a given marginal delay.
class BusyCurve {
 public:
  // The part of its capacity that a target is busy.
  double At(double marginal, const TargetShare& share) {
    const std::uint32_t slots = std::max<std::uint32_t>(1, share.target->slots);
    auto& delays = delays_[slots];
    if (delays.empty())
      delays = MakeDelays(slots);
    const double wanted = marginal * share.capacity / slots;
    const auto above = std::lower_bound(delays.begin(), delays.end(), wanted);
    if (above == delays.begin())
      return 0;
    if (above == delays.end())
      return kMostBusy;
    const auto step = static_cast<double>(above - delays.begin()) - 1;
    const double part = (wanted - above[-1]) / (*above - above[-1]);
    return kMostBusy * (step + part) / kDelaySteps;
  }

 private:
  // By slots.
  std::map<std::uint32_t, std::vector<double>> delays_;
};

void SetFairLoads(TargetShares& shares) {
  double load = 0;
  double capacity = 0;
  std::vector<TargetShare*> filled;
  for (auto& [id, share] : shares) {
    load += share.load;
    if (share.hot_load > 0)
      continue;
    capacity += share.capacity;
    filled.push_back(&share);
  }
  if (filled.empty())
    return;
  const double even = load / capacity;
  BusyCurve busy;
  const auto fair_at = [&](double marginal, const TargetShare& share) {
    return share.capacity *
           std::max(busy.At(marginal, share), kLeastFair * even);
  };
  double low = 0;
  double high = 1e6;
  for (int step = 0; step < kSearchSteps && even < kMostBusy; ++step) {
    const double middle = std::sqrt(std::max(low, 1e-3) * high);
    double sum = 0;
    for (const TargetShare* share : filled)
      sum += fair_at(middle, *share);
    (sum < load ? low : high) = middle;
  }
  for (TargetShare* share : filled) {
    share->fair_load =
        even < kMostBusy ? fair_at(high, *share) : even * share->capacity;
  }
}

// The piece of `owner`'s ranges, at an end of one of them, whose load comes
// closest to `wanted` without exceeding it by much.
std::optional<KeyRange> PieceOf(const RangeTable& table,
                                const TargetId& owner,
                                double wanted,
                                const RangeLoad& load) {
  const auto step =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(PartSize(load)));
  const LoadMeter meter(&load);
  std::optional<KeyRange> best;
  double best_load = 0;
  const auto consider = [&](std::uint32_t first, std::uint32_t last) {
    const KeyRange piece{static_cast<ShardKey>(first),
                         static_cast<ShardKey>(last)};
    const double each = meter.Of(piece);
    if (each <= wanted * kPieceExcess && each > best_load) {
      best = piece;
      best_load = each;
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
  if (best_load < wanted * kLeastPiece)
    return std::nullopt;
  return best;
}

// Takes a range out of `table` so that it is planned only once.
void Plan(RangeTable& table,
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
                     to.target->incarnation.id, LoadOf(entry.range, &load),
                     from.load, from.fair_load, to.load, to.fair_load, hot});
  }
}

// A hot part is served best by the fastest target, which then does nothing
// else.
void PlanHotParts(RangeTable& table,
                  TargetShares& shares,
                  const RangeLoad& load,
                  const BalanceLimits& limits,
                  std::vector<PlannedMove>& moves) {
  for (std::size_t part = 0; part < load.parts.size(); ++part) {
    const KeyRange range = PartRange(load, part);
    const RangeEntry* entry = table.Find(range.first);
    if (!entry || entry->phase != RangePhase::kSettled ||
        entry->range.last < range.last)
      continue;
    const auto owner = shares.find(entry->owner.id);
    if (owner == shares.end() || owner->second.hot_load == 0 ||
        load.parts[part] < owner->second.hot_load)
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
    Plan(table, range, owner->second, *fastest, load, /*hot=*/true, moves);
    fastest->hot_load = owner->second.hot_load;
    fastest->fair_load = 0;
    owner->second.hot_load = 0;
  }
}

}  // namespace

double LoadOf(const KeyRange& range, const RangeLoad* load) {
  return LoadMeter(load).Of(range);
}

TargetShares ComputeTargetShares(const RangeTable& table,
                                 const std::vector<const TargetEntry*>& usable,
                                 const std::map<TargetId, double>* capacity,
                                 const RangeLoad* load,
                                 const BalanceLimits& limits) {
  TargetShares shares;
  for (const TargetEntry* target : usable) {
    TargetShare share;
    share.target = target;
    share.capacity = std::max<std::uint32_t>(1, target->slots);
    if (capacity) {
      const auto known = capacity->find(target->incarnation.id);
      if (known != capacity->end())
        share.capacity = known->second;
    }
    shares[target->incarnation.id] = share;
  }
  const bool sampled = load && !load->parts.empty();
  const LoadMeter meter(load);
  for (const RangeEntry& entry : table.entries) {
    const auto share = shares.find(entry.owner.id);
    if (share != shares.end() && entry.phase == RangePhase::kSettled)
      share->second.load += meter.Of(entry.range);
  }
  for (std::size_t part = 0; sampled && part < load->parts.size(); ++part) {
    const RangeEntry* entry = table.Find(PartRange(*load, part).first);
    const auto share = entry ? shares.find(entry->owner.id) : shares.end();
    if (share == shares.end())
      continue;
    TargetShare& owner = share->second;
    const double hot = load->parts[part];
    if (hot > limits.hot_part * owner.capacity && hot > owner.hot_load)
      owner.hot_load = hot;
  }
  for (auto& [id, share] : shares)
    share.load = std::max(0.0, share.load - share.hot_load);
  if (sampled) {
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
        receiver->load < limits.idle * receiver->fair_load;
    const double noise =
        donor->hot_load > 0 ? limits.noise_beside_hot : limits.min_excess;
    const bool overloaded =
        donor->load > donor->fair_load * limits.overload &&
        donor->load - donor->fair_load > noise * donor->capacity;
    if (!overloaded && !idle_receiver)
      break;
    const double wanted = std::min(donor->load - donor->fair_load,
                                   receiver->fair_load - receiver->load);
    const TargetId from = donor->target->incarnation.id;
    const auto piece = PieceOf(next, from, wanted, load);
    if (!piece) {
      exhausted.insert(from);
      continue;
    }
    const double moved = LoadOf(*piece, &load);
    Plan(next, *piece, *donor, *receiver, load, /*hot=*/false, moves);
    donor->load -= moved;
    receiver->load += moved;
  }
  return moves;
}

}  // namespace figstall
