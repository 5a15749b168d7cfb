// Implements the moves of key ranges.
#include "figstall/range_mover.h"

#include <algorithm>
#include <cmath>

namespace figstall {
namespace {

double CapacityOf(const TargetEntry& target, const MoverView& view) {
  if (view.capacity) {
    const auto known = view.capacity->find(target.life.id);
    if (known != view.capacity->end())
      return known->second;
  }
  return std::max<std::uint32_t>(1, target.slots);
}

void SetOwner(RangeEntry& entry, const TargetEntry& owner) {
  entry.owner = owner.life;
  entry.address = owner.address;
  entry.zone = owner.zone;
}

}  // namespace

RangeMover::RangeMover(ServiceId service,
                       GrantTiming timing,
                       MoverLimits limits)
    : service_(std::move(service)), timing_(timing), limits_(limits) {}

void RangeMover::OnTable(const RangeTable& table, Instant now) {
  table_ = table;
  std::map<std::pair<ShardKey, std::uint64_t>, Progress> kept;
  for (const RangeEntry& entry : table_.entries) {
    if (entry.phase == RangePhase::kSettled)
      continue;
    const std::pair key(entry.range.first, entry.fence);
    const auto known = progress_.find(key);
    kept[key] =
        known == progress_.end() ? Progress{now, false, {}, {}} : known->second;
  }
  progress_ = std::move(kept);
}

void RangeMover::OnReleased(const ReleaseOrder& order,
                            const std::string& handover) {
  const auto found = progress_.find({order.range.first, order.fence});
  if (found == progress_.end())
    return;
  found->second.released = true;
  found->second.handover = handover;
}

std::vector<const TargetEntry*> RangeMover::Usable(
    const MoverView& view) const {
  std::vector<const TargetEntry*> usable;
  for (const auto& [id, target] : *view.directory) {
    if (target.service == service_ && !target.leaving)
      usable.push_back(&target);
  }
  return usable;
}

RangeTable RangeMover::FirstAssignment(
    const std::vector<const TargetEntry*>& usable,
    const MoverView& view) const {
  RangeTable first;
  first.last_fence = 1;
  double total = 0;
  for (const TargetEntry* target : usable)
    total += CapacityOf(*target, view);
  double sum = 0;
  std::uint32_t begin = 0;
  for (const TargetEntry* target : usable) {
    sum += CapacityOf(*target, view);
    const auto end =
        target == usable.back()
            ? kShardKeys
            : static_cast<std::uint32_t>(std::lround(kShardKeys * sum / total));
    if (end <= begin)
      continue;
    RangeEntry entry;
    entry.range = {static_cast<ShardKey>(begin),
                   static_cast<ShardKey>(end - 1)};
    SetOwner(entry, *target);
    entry.fence = 1;
    first.entries.push_back(std::move(entry));
    begin = end;
  }
  return first;
}

bool RangeMover::MayLeave(const RangeEntry& entry, const MoverView& view) {
  const auto known = view.directory->find(entry.owner.id);
  if (known == view.directory->end()) {
    const auto since =
        missing_since_.try_emplace(entry.owner.id, view.now).first->second;
    return view.now - since >= limits_.absence;
  }
  missing_since_.erase(entry.owner.id);
  return known->second.leaving || known->second.life != entry.owner;
}

bool RangeMover::StartMoves(RangeTable& next, const MoverView& view) {
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase != RangePhase::kSettled || !MayLeave(entry, view))
      continue;
    if (!changed)
      ++next.last_fence;
    changed = true;
    entry.phase = RangePhase::kMoving;
    entry.fence = next.last_fence;
    entry.handover.clear();
  }
  return changed;
}

bool RangeMover::AskMembers(RangeTable& next, const MoverView& view) const {
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase != RangePhase::kMoving)
      continue;
    const auto progress = progress_.find({entry.range.first, entry.fence});
    if (progress == progress_.end() || progress->second.released ||
        view.now - progress->second.since < timing_.release_patience)
      continue;
    entry.phase = RangePhase::kAwaitingMembers;
    changed = true;
  }
  return changed;
}

bool RangeMover::IsFree(const RangeEntry& entry, const MoverView& view) const {
  const auto progress = progress_.find({entry.range.first, entry.fence});
  if (progress == progress_.end())
    return false;
  if (progress->second.released)
    return true;
  if (!view.members_current ||
      view.now < view.members_since + timing_.LongestHold())
    return false;
  for (const auto& [run, member] : *view.members) {
    const auto seen = member.seen_fence.find(service_);
    if (seen != member.seen_fence.end() && seen->second >= entry.fence) {
      const auto until = member.holds_until.find(entry.owner.id);
      if (until != member.holds_until.end() && view.now < until->second)
        return false;
    } else if (!member.departed ||
               view.now < *member.departed + timing_.LongestHold()) {
      return false;
    }
  }
  return true;
}

bool RangeMover::IsStable(const std::vector<const TargetEntry*>& usable,
                          Instant now) {
  std::set<TargetId> ids;
  for (const TargetEntry* target : usable)
    ids.insert(target->life.id);
  if (ids != seen_) {
    seen_ = std::move(ids);
    seen_since_ = now;
  }
  return now - seen_since_ >= limits_.settling;
}

bool RangeMover::Settle(RangeTable& next, const MoverView& view) {
  const auto usable = Usable(view);
  if (usable.empty())
    return false;
  bool all_free = true;
  bool waited = false;
  for (const RangeEntry& entry : next.entries) {
    if (entry.phase == RangePhase::kSettled)
      continue;
    if (!IsFree(entry, view)) {
      all_free = false;
      continue;
    }
    auto& since = progress_.at({entry.range.first, entry.fence}).free_since;
    since = since.value_or(view.now);
    waited = waited || view.now - *since >= limits_.batch;
  }
  if (!all_free && !waited)
    return false;
  auto shares =
      SharesOf(next, usable, view.capacity, view.load, limits_.balance);
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase == RangePhase::kSettled || !IsFree(entry, view))
      continue;
    const double load = LoadOf(entry.range, view.load);
    TargetShare* share = LeastLoaded(shares, load);
    const auto wanted = wanted_owner_.find(entry.range.first);
    if (wanted != wanted_owner_.end() && shares.contains(wanted->second))
      share = &shares.at(wanted->second);
    SetOwner(entry, *share->target);
    share->load += load;
    entry.phase = RangePhase::kSettled;
    entry.handover = progress_.at({entry.range.first, entry.fence}).handover;
    changed = true;
  }
  return changed;
}

bool RangeMover::Balance(RangeTable& next, const MoverView& view) {
  if (!view.load || view.load->parts.empty())
    return false;
  if (!progress_.empty())
    return false;
  const Duration age =
      balanced_at_ ? view.now - *balanced_at_ : limits_.balance_interval;
  if (age < limits_.hot_interval ||
      (looked_at_ && view.now - *looked_at_ < limits_.hot_interval))
    return false;
  const auto usable = Usable(view);
  if (usable.size() < 2)
    return false;
  looked_at_ = view.now;
  ++looks_;
  const auto shares =
      SharesOf(next, usable, view.capacity, view.load, limits_.balance);
  std::set<TargetId> hot;
  for (const auto& [id, share] : shares) {
    if (share.hot > 0)
      hot.insert(id);
  }
  if (hot == hot_ && age < limits_.balance_interval)
    return false;
  hot_ = std::move(hot);
  balanced_ = PlanBalance(next, shares, *view.load, limits_.balance);
  if (balanced_.empty())
    return false;
  ++next.last_fence;
  for (const PlannedMove& move : balanced_) {
    SplitAt(next, move.range.first);
    SplitAt(next, std::uint32_t{move.range.last} + 1);
    for (RangeEntry& entry : next.entries) {
      if (entry.range != move.range)
        continue;
      entry.phase = RangePhase::kMoving;
      entry.fence = next.last_fence;
      entry.handover.clear();
      wanted_owner_[entry.range.first] = move.to;
    }
  }
  balanced_at_ = view.now;
  return true;
}

std::optional<RangeTable> RangeMover::Plan(const MoverView& view) {
  const auto usable = Usable(view);
  if (table_.entries.empty()) {
    if (usable.empty() || !IsStable(usable, view.now))
      return std::nullopt;
    return FirstAssignment(usable, view);
  }
  balanced_.clear();
  RangeTable next = table_;
  bool changed = Settle(next, view);
  if (!usable.empty())
    changed = StartMoves(next, view) || changed;
  changed = AskMembers(next, view) || changed;
  if (!changed) {
    if (progress_.empty())
      wanted_owner_.clear();
    changed = Balance(next, view);
  }
  if (!changed)
    return std::nullopt;
  JoinNeighbours(next);
  return next;
}

std::vector<ReleaseOrder> RangeMover::OwedReleases() const {
  std::vector<ReleaseOrder> owed;
  for (const RangeEntry& entry : table_.entries) {
    if (entry.phase == RangePhase::kSettled)
      continue;
    const auto progress = progress_.find({entry.range.first, entry.fence});
    if (progress != progress_.end() && progress->second.released)
      continue;
    owed.push_back({entry.range, entry.owner, entry.address, entry.fence});
  }
  return owed;
}

}  // namespace figstall
