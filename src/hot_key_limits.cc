// The keys of an owner that carry a part of its capacity each are limited one
// by one, in order of load; what the others carry counts as one sum. So limits
// stay short, whatever the number of keys.
#include "figstall/hot_key_limits.h"

#include <algorithm>

namespace figstall {
namespace {

// A key with a smaller load, as a share of its owner's capacity, is not limited
// by itself.
constexpr double kMinHotLoad = 0.1;

// Load of one owner.
struct OwnerLoad {
  std::vector<KeyRange> ranges;
  // Keys that may be limited one by one.
  std::vector<std::pair<double, ShardKey>> hot_keys;
  double hot_load = 0;
  double total_load = 0;
};

OwnerLoad LoadOf(const std::vector<KeyRange>& ranges,
                 const RangeLoad& load,
                 double capacity) {
  OwnerLoad owner;
  owner.ranges = ranges;
  for (const KeyRange& range : ranges) {
    for (std::uint32_t key = range.first; key <= range.last; ++key) {
      const double key_load = load.parts()[key];
      owner.total_load += key_load;
      if (key_load < kMinHotLoad * capacity)
        continue;
      owner.hot_load += key_load;
      owner.hot_keys.emplace_back(key_load, static_cast<ShardKey>(key));
    }
  }
  std::sort(owner.hot_keys.begin(), owner.hot_keys.end());
  return owner;
}

void Limit(const OwnerLoad& owner, double capacity, AdmittedShares& shares) {
  const bool has_hot_key =
      !owner.hot_keys.empty() &&
      owner.hot_keys.back().first > kHotKeyUtilization * capacity;
  const double admissible_load =
      capacity * (has_hot_key ? kHotKeyUtilization : kOverloadUtilization);
  if (owner.total_load <= admissible_load)
    return;
  double hot_load_left = admissible_load - (owner.total_load - owner.hot_load);
  if (hot_load_left <= 0) {
    for (const KeyRange& range : owner.ranges)
      shares.push_back({range, admissible_load / owner.total_load});
    return;
  }
  // In order of load, so that each key with less load than its equal share of
  // what is left is admitted in full.
  std::size_t keys_left = owner.hot_keys.size();
  for (const auto& [key_load, key] : owner.hot_keys) {
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
    const auto known = capacities.find(owner);
    const double capacity =
        known != capacities.end() ? known->second : entry->second.slots;
    Limit(LoadOf(ranges, load, capacity), capacity, shares);
  }
  std::sort(shares.begin(), shares.end(),
            [](const AdmittedRange& a, const AdmittedRange& b) {
              return a.range < b.range;
            });
  return shares;
}

}  // namespace figstall
