// Implements the moves of key ranges.
#include "figstall/range_mover.h"

#include <algorithm>
#include <cmath>

namespace figstall {
namespace {

double CapacityOf(const TargetEntry& target, const MoverInput& view) {
  if (view.capacity) {
    const auto known = view.capacity->find(target.incarnation.id);
    if (known != view.capacity->end())
      return known->second;
  }
  return std::max<std::uint32_t>(1, target.slots);
}

void SetOwner(RangeEntry& entry, const TargetEntry& owner) {
  entry.owner = owner.incarnation;
  entry.address = owner.address;
  entry.zone = owner.zone;
}

}  // namespace

RangeMover::RangeMover(ServiceId service,
                       GrantTiming timing,
                       MoverOptions limits)
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

void RangeMover::OnReleased(const ReleaseRequest& order,
                            const std::string& handover) {
  const auto found = progress_.find({order.range.first, order.fence});
  if (found == progress_.end())
    return;
  found->second.released = true;
  found->second.handover = handover;
}

std::vector<const TargetEntry*> RangeMover::Usable(
    const MoverInput& view) const {
  std::vector<const TargetEntry*> usable;
  for (const auto& [id, target] : *view.directory) {
    if (target.service == service_ && !target.leaving)
      usable.push_back(&target);
  }
  return usable;
}

RangeTable RangeMover::FirstAssignment(
    const std::vector<const TargetEntry*>& usable,
    const MoverInput& view) const {
  RangeTable first;
  first.last_fence = 1;
  double total = 0;
  for (const TargetEntry* target : usable)
    total += CapacityOf(*target, view);
  double sum = 0;
  std::uint32_t begin = 0;
  for (const TargetEntry* target : usable) {
    sum += CapacityOf(*target, view);
    const auto end = target == usable.back()
                         ? kKeySpaceSize
                         : static_cast<std::uint32_t>(
                               std::lround(kKeySpaceSize * sum / total));
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

bool RangeMover::MustMove(const RangeEntry& entry, const MoverInput& view) {
  const auto known = view.directory->find(entry.owner.id);
  if (known == view.directory->end()) {
    const auto since =
        missing_since_.try_emplace(entry.owner.id, view.now).first->second;
    return view.now - since >= limits_.absence_grace_period;
  }
  missing_since_.erase(entry.owner.id);
  return known->second.leaving || known->second.incarnation != entry.owner;
}

bool RangeMover::StartMoves(RangeTable& next, const MoverInput& view) {
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase != RangePhase::kSettled || !MustMove(entry, view))
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

bool RangeMover::AskMembers(RangeTable& next, const MoverInput& view) const {
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase != RangePhase::kMoving)
      continue;
    const auto progress = progress_.find({entry.range.first, entry.fence});
    if (progress == progress_.end() || progress->second.released ||
        view.now - progress->second.since < timing_.release_timeout)
      continue;
    entry.phase = RangePhase::kAwaitingReports;
    changed = true;
  }
  return changed;
}

bool RangeMover::HasNoHolder(const RangeEntry& entry,
                             const MoverInput& view) const {
  const auto progress = progress_.find({entry.range.first, entry.fence});
  if (progress == progress_.end())
    return false;
  if (progress->second.released)
    return true;
  if (!view.members_up_to_date ||
      view.now < view.members_known_since + timing_.MaxHoldFromSend())
    return false;
  for (const auto& [run, member] : *view.members) {
    const auto seen = member.seen_fence.find(service_);
    if (seen != member.seen_fence.end() && seen->second >= entry.fence) {
      const auto until = member.holds_until.find(entry.owner.id);
      if (until != member.holds_until.end() && view.now < until->second)
        return false;
    } else if (!member.departed_at ||
               view.now < *member.departed_at + timing_.MaxHoldFromSend()) {
      return false;
    }
  }
  return true;
}

bool RangeMover::IsStable(const std::vector<const TargetEntry*>& usable,
                          Instant now) {
  std::set<TargetId> ids;
  for (const TargetEntry* target : usable)
    ids.insert(target->incarnation.id);
  if (ids != seen_) {
    seen_ = std::move(ids);
    seen_since_ = now;
  }
  return now - seen_since_ >= limits_.stabilization_window;
}

bool RangeMover::AssignUnheldRanges(RangeTable& next, const MoverInput& view) {
  const auto usable = Usable(view);
  if (usable.empty())
    return false;
  bool all_free = true;
  bool waited = false;
  for (const RangeEntry& entry : next.entries) {
    if (entry.phase == RangePhase::kSettled)
      continue;
    if (!HasNoHolder(entry, view)) {
      all_free = false;
      continue;
    }
    auto& since = progress_.at({entry.range.first, entry.fence}).free_since;
    since = since.value_or(view.now);
    waited = waited || view.now - *since >= limits_.batch;
  }
  if (!all_free && !waited)
    return false;
  auto shares = ComputeTargetShares(next, usable, view.capacity, view.load,
                                    limits_.balance);
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase == RangePhase::kSettled || !HasNoHolder(entry, view))
      continue;
    const double load = LoadOf(entry.range, view.load);
    TargetShare* share = LeastLoaded(shares, load);
    const auto wanted = planned_owner_.find(entry.range.first);
    if (wanted != planned_owner_.end() && shares.contains(wanted->second))
      share = &shares.at(wanted->second);
    SetOwner(entry, *share->target);
    share->load += load;
    entry.phase = RangePhase::kSettled;
    entry.handover = progress_.at({entry.range.first, entry.fence}).handover;
    changed = true;
  }
  return changed;
}

bool RangeMover::Balance(RangeTable& next, const MoverInput& view) {
  if (!view.load || view.load->parts.empty())
    return false;
  if (!progress_.empty())
    return false;
  const Duration age =
      balanced_at_ ? view.now - *balanced_at_ : limits_.balance_interval;
  if (age < limits_.hot_interval ||
      (balance_evaluated_at_ &&
       view.now - *balance_evaluated_at_ < limits_.hot_interval))
    return false;
  const auto usable = Usable(view);
  if (usable.size() < 2)
    return false;
  balance_evaluated_at_ = view.now;
  ++balance_evaluations_;
  const auto shares = ComputeTargetShares(next, usable, view.capacity,
                                          view.load, limits_.balance);
  std::set<TargetId> hot;
  for (const auto& [id, share] : shares) {
    if (share.hot_load > 0)
      hot.insert(id);
  }
  if (hot == hot_ && age < limits_.balance_interval)
    return false;
  hot_ = std::move(hot);
  last_balance_moves_ = PlanBalance(next, shares, *view.load, limits_.balance);
  if (last_balance_moves_.empty())
    return false;
  ++next.last_fence;
  for (const PlannedMove& move : last_balance_moves_) {
    SplitAt(next, move.range.first);
    SplitAt(next, std::uint32_t{move.range.last} + 1);
    for (RangeEntry& entry : next.entries) {
      if (entry.range != move.range)
        continue;
      entry.phase = RangePhase::kMoving;
      entry.fence = next.last_fence;
      entry.handover.clear();
      planned_owner_[entry.range.first] = move.to;
    }
  }
  balanced_at_ = view.now;
  return true;
}

std::optional<RangeTable> RangeMover::Plan(const MoverInput& view) {
  const auto usable = Usable(view);
  if (table_.entries.empty()) {
    if (usable.empty() || !IsStable(usable, view.now))
      return std::nullopt;
    return FirstAssignment(usable, view);
  }
  last_balance_moves_.clear();
  RangeTable next = table_;
  bool changed = AssignUnheldRanges(next, view);
  if (!usable.empty())
    changed = StartMoves(next, view) || changed;
  changed = AskMembers(next, view) || changed;
  if (!changed) {
    if (progress_.empty())
      planned_owner_.clear();
    changed = Balance(next, view);
  }
  if (!changed)
    return std::nullopt;
  MergeAdjacentRanges(next);
  return next;
}

std::vector<ReleaseRequest> RangeMover::OutstandingReleases() const {
  std::vector<ReleaseRequest> owed;
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
