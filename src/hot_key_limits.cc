// The keys of an owner that carry a part of its capacity each are limited one
// by one, in order of load; what the others carry counts as one sum. So limits
// stay short, whatever the number of keys.
#include "figstall/hot_key_limits.h"

#include <algorithm>
#include <set>

#include "figstall/range_balance.h"

namespace figstall {
namespace {

// A key with a smaller load, as a share of its owner's capacity, is not limited
// by itself.
constexpr double kMinHotLoad = 0.1;
// What is left at least to each key that may be limited by itself, and the most
// that is kept for all of these, as shares of their owner's capacity.
constexpr double kMinLeftToKey = kMinHotLoad;
constexpr double kMaxKeptForKeys = kHotKeyUtilization / 2;

// Limits all keys of `ranges` but the hot ones to `share`.
void LimitOthers(const std::vector<KeyRange>& ranges,
                 const std::vector<std::pair<double, ShardKey>>& hot_keys,
                 double share,
                 AdmittedShares& shares) {
  std::set<std::uint32_t> hot;
  for (const auto& [load, key] : hot_keys)
    hot.insert(key);
  for (const KeyRange& range : ranges) {
    std::uint32_t first = range.first;
    const auto end = hot.upper_bound(range.last);
    for (auto each = hot.lower_bound(first); each != end; ++each) {
      if (*each > first)
        shares.push_back(
            {{static_cast<ShardKey>(first), static_cast<ShardKey>(*each - 1)},
             share});
      first = *each + 1;
    }
    if (first <= range.last)
      shares.push_back({{static_cast<ShardKey>(first), range.last}, share});
  }
}

// Limits one owner of `capacity`, which owns `ranges`.
void Limit(const std::vector<KeyRange>& ranges,
           const RangeLoad& load,
           double capacity,
           AdmittedShares& shares) {
  // Keys that may be limited one by one, and the load of all others.
  std::vector<std::pair<double, ShardKey>> hot_keys;
  double hot_load = 0;
  double other_load = 0;
  for (const KeyRange& range : ranges) {
    for (std::uint32_t key = range.first; key <= range.last; ++key) {
      const double key_load = load.parts()[key];
      if (key_load < kMinHotLoad * capacity) {
        other_load += key_load;
        continue;
      }
      hot_load += key_load;
      hot_keys.emplace_back(key_load, static_cast<ShardKey>(key));
    }
  }
  std::sort(hot_keys.begin(), hot_keys.end());
  const bool has_hot_key =
      !hot_keys.empty() &&
      hot_keys.back().first > kHotKeyUtilization * capacity;
  const double admissible_load =
      capacity * (has_hot_key ? kHotKeyUtilization : kOverloadUtilization);
  const double total_load = hot_load + other_load;
  if (total_load <= admissible_load)
    return;
  const double min_left =
      capacity * std::min(kMinLeftToKey * static_cast<double>(hot_keys.size()),
                          kMaxKeptForKeys);
  double hot_load_left = admissible_load - other_load;
  if (!has_hot_key) {
    if (hot_load_left <= 0) {
      for (const KeyRange& range : ranges)
        shares.push_back({range, admissible_load / total_load});
      return;
    }
  } else if (hot_load_left < min_left) {
    hot_load_left = min_left;
    if (other_load > kOverloadUtilization * capacity) {
      LimitOthers(ranges, hot_keys, (admissible_load - min_left) / other_load,
                  shares);
    }
  }
  // In order of load, so that each key with less load than its equal share of
  // what is left is admitted in full.
  std::size_t keys_left = hot_keys.size();
  for (const auto& [key_load, key] : hot_keys) {
    const double max_load = hot_load_left / static_cast<double>(keys_left--);
    if (key_load > max_load)
      shares.push_back({{key, key}, max_load / key_load});
    hot_load_left -= std::min(key_load, max_load);
  }
}

}  // namespace

double AdmittedShareOf(const AdmittedShares& shares, ShardKey key) {
  const auto after =
      std::upper_bound(shares.begin(), shares.end(), key,
                       [](ShardKey wanted, const AdmittedRange& each) {
                         return wanted < each.range.first;
                       });
  return after == shares.begin() || !after[-1].range.Contains(key)
             ? 1
             : after[-1].share;
}

AdmittedShares ComputeAdmittedShares(
    const RangeTable& table,
    const RangeLoad& load,
    const std::map<TargetId, double>& capacities,
    const TargetDirectory& directory) {
  AdmittedShares shares;
  if (load.empty())
    return shares;
  std::map<TargetId, std::vector<KeyRange>> ranges_of;
  for (const RangeEntry& entry : table.entries)
    ranges_of[entry.owner.id].push_back(entry.range);
  for (const auto& [owner, ranges] : ranges_of) {
    const auto entry = directory.find(owner);
    if (entry == directory.end())
      continue;
    Limit(ranges, load, CapacityOf(entry->second, &capacities), shares);
  }
  std::sort(shares.begin(), shares.end(),
            [](const AdmittedRange& a, const AdmittedRange& b) {
              return a.range < b.range;
            });
  return shares;
}

}  // namespace figstall
