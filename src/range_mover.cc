// Plan() applies all due steps to a copy of the table, which is then written as
// one change. Load is balanced only while no range is moving. The progress of a
// move is kept by first key and fencing token, so it outlasts table updates.
#include "figstall/range_mover.h"

#include <algorithm>
#include <cmath>

namespace figstall {
namespace {

const RangeLoad& LoadIn(const MoverInput& input) {
  static const RangeLoad no_samples;
  return input.load ? *input.load : no_samples;
}

// Most pieces into which one range of an evacuated zone is split. Each piece is
// a release, and a row of the table.
constexpr int kMaxEvacuationPieces = 4;

// Returns the first key of `range` such that those below it have at least this
// load, or the key behind the range.
std::uint32_t KeyAtLoad(const RangeLoad& load,
                        const KeyRange& range,
                        double desired) {
  std::uint32_t low = std::uint32_t{range.first} + 1;
  std::uint32_t high = std::uint32_t{range.last} + 1;
  while (low < high) {
    const std::uint32_t middle = (low + high) / 2;
    if (load.Of({range.first, static_cast<ShardKey>(middle - 1)}) < desired)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

void SetOwner(RangeEntry& entry, const TargetEntry& owner) {
  entry.owner = owner.incarnation;
  entry.address = owner.address;
  entry.zone = owner.zone;
}

}  // namespace

void MarkEndedProcesses(Instant now,
                        const std::string& prefix,
                        const std::string& incarnation_id,
                        MemberReports& reports) {
  const auto found = reports.find(incarnation_id);
  if (found == reports.end() || found->second.peer_endpoint.port == 0)
    return;
  for (auto each = reports.lower_bound(prefix);
       each != reports.end() && each->first.starts_with(prefix); ++each) {
    MemberReport& earlier = each->second;
    if (!earlier.ended_at &&
        earlier.started_at_ms < found->second.started_at_ms &&
        earlier.peer_endpoint == found->second.peer_endpoint)
      earlier.ended_at = now;
  }
}

RangeMover::RangeMover(ServiceId service,
                       GrantTiming timing,
                       MoverOptions options)
    : service_(std::move(service)), timing_(timing), options_(options) {}

void RangeMover::OnTable(const RangeTable& table, Instant now) {
  table_ = table;
  std::map<std::pair<ShardKey, std::uint64_t>, Progress> current;
  for (const RangeEntry& entry : table_.entries) {
    if (entry.phase == RangePhase::kSettled)
      continue;
    const std::pair key(entry.range.first, entry.fence);
    const auto known = progress_.find(key);
    current[key] =
        known == progress_.end() ? Progress{now, false, {}, {}} : known->second;
  }
  progress_ = std::move(current);
}

void RangeMover::OnReleased(const ReleaseRequest& request,
                            const Handover& handover) {
  const auto found = progress_.find({request.range.first, request.fence});
  if (found == progress_.end())
    return;
  found->second.released = true;
  found->second.handover = handover;
}

std::vector<const TargetEntry*> RangeMover::UsableTargets(
    const MoverInput& input) const {
  std::vector<const TargetEntry*> usable;
  for (const auto& [id, target] : *input.directory) {
    if (target.service == service_ && !target.leaving &&
        !input.IsEvacuated(target.zone))
      usable.push_back(&target);
  }
  return usable;
}

RangeTable RangeMover::FirstAssignment(
    const std::vector<const TargetEntry*>& usable,
    const MoverInput& input) const {
  RangeTable first;
  first.last_fence = NextFence(first);
  double total = 0;
  for (const TargetEntry* target : usable)
    total += CapacityOf(*target, input.capacity);
  double sum = 0;
  std::uint32_t begin = 0;
  for (const TargetEntry* target : usable) {
    sum += CapacityOf(*target, input.capacity);
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
    entry.fence = first.last_fence;
    first.entries.push_back(std::move(entry));
    begin = end;
  }
  return first;
}

bool RangeMover::MustMove(const RangeEntry& entry, const MoverInput& input) {
  if (input.IsEvacuated(entry.zone))
    return true;
  const auto known = input.directory->find(entry.owner.id);
  if (known == input.directory->end()) {
    const auto since =
        missing_since_.try_emplace(entry.owner.id, input.now).first->second;
    return input.now - since >= options_.absence_grace_period;
  }
  missing_since_.erase(entry.owner.id);
  return known->second.leaving || known->second.incarnation != entry.owner;
}

void RangeMover::SplitEvacuatedRanges(RangeTable& next,
                                      std::size_t usable_targets,
                                      const MoverInput& input) const {
  const RangeLoad& load = LoadIn(input);
  double evacuated_load = 0;
  std::vector<KeyRange> ranges;
  for (const RangeEntry& entry : next.entries) {
    if (entry.phase != RangePhase::kSettled || !input.IsEvacuated(entry.zone))
      continue;
    ranges.push_back(entry.range);
    evacuated_load += load.Of(entry.range);
  }
  if (evacuated_load <= 0)
    return;
  const double piece_load =
      evacuated_load / static_cast<double>(usable_targets);
  for (const KeyRange& range : ranges) {
    const double range_load = load.Of(range);
    const int pieces = static_cast<int>(std::clamp<double>(
        std::round(range_load / piece_load), 1, kMaxEvacuationPieces));
    for (int piece = 1; piece < pieces; ++piece)
      SplitAt(next, KeyAtLoad(load, range, range_load * piece / pieces));
  }
}

bool RangeMover::StartMoves(RangeTable& next, const MoverInput& input) {
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase != RangePhase::kSettled || !MustMove(entry, input))
      continue;
    if (!changed)
      next.last_fence = NextFence(next);
    changed = true;
    entry.phase = RangePhase::kMoving;
    entry.fence = next.last_fence;
    entry.handover = {};
  }
  return changed;
}

bool RangeMover::RequestReports(RangeTable& next,
                                const MoverInput& input) const {
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase != RangePhase::kMoving)
      continue;
    const auto progress = progress_.find({entry.range.first, entry.fence});
    if (progress == progress_.end() || progress->second.released ||
        input.now - progress->second.moving_since < timing_.release_timeout)
      continue;
    entry.phase = RangePhase::kAwaitingReports;
    changed = true;
  }
  return changed;
}

bool RangeMover::MayHaveGranted(const MemberReport& member,
                                const RangeEntry& entry,
                                const MoverInput& input) const {
  const auto last_grant_at = member.LastGrantAt(timing_);
  if (last_grant_at && input.now >= *last_grant_at + timing_.MaxHoldFromSend())
    return false;
  // A member of another zone grants the range only while it is the mover. What
  // this mover granted itself is checked by HasNoHolder().
  return member.zone.value().empty() || member.zone == entry.zone ||
         input.now < input.mover_since + timing_.mover_lease_duration +
                         timing_.MaxHoldFromSend();
}

bool RangeMover::HasNoHolder(const RangeEntry& entry,
                             const MoverInput& input) const {
  const auto progress = progress_.find({entry.range.first, entry.fence});
  if (progress == progress_.end())
    return false;
  if (progress->second.released)
    return true;
  if (!input.members_up_to_date ||
      input.now < input.members_known_since +
                      timing_.membership_lease_duration +
                      timing_.MaxHoldFromSend())
    return false;
  if (input.own_hold_until) {
    const auto until = input.own_hold_until(entry.owner.id);
    if (until && input.now < *until)
      return false;
  }
  for (const auto& [incarnation_id, member] : *input.members) {
    const auto seen = member.seen_fence.find(service_);
    if (member.grants_ended ||
        (seen != member.seen_fence.end() && seen->second >= entry.fence)) {
      const auto until = member.holds_until.find(entry.owner.id);
      if (until != member.holds_until.end() && input.now < until->second)
        return false;
    } else if (MayHaveGranted(member, entry, input)) {
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
  if (ids != usable_ids_) {
    usable_ids_ = std::move(ids);
    usable_ids_unchanged_since_ = now;
  }
  return now - usable_ids_unchanged_since_ >= options_.stabilization_window;
}

void RangeMover::EraseWarmingUp(TargetShares& shares,
                                const MoverInput& input,
                                bool idle_only) {
  if (!input.warming_up || input.warming_up->empty())
    return;
  TargetShares others = shares;
  std::erase_if(others, [&](const auto& each) {
    const auto& [id, share] = each;
    return input.warming_up->contains(id) &&
           (!idle_only || (share.load <= 0 && share.hot_load <= 0));
  });
  if (!others.empty())
    shares = std::move(others);
}

bool RangeMover::AssignUnheldRanges(RangeTable& next, const MoverInput& input) {
  const auto usable = UsableTargets(input);
  if (usable.empty())
    return false;
  bool all_unheld = true;
  bool window_elapsed = false;
  for (const RangeEntry& entry : next.entries) {
    if (entry.phase == RangePhase::kSettled)
      continue;
    if (!HasNoHolder(entry, input)) {
      all_unheld = false;
      continue;
    }
    auto& since = progress_.at({entry.range.first, entry.fence}).unheld_since;
    since = since.value_or(input.now);
    window_elapsed =
        window_elapsed || input.now - *since >= options_.settle_batch_window;
  }
  if (!all_unheld && !window_elapsed)
    return false;
  auto shares = ComputeTargetShares(next, usable, input.capacity, LoadIn(input),
                                    options_.balance);
  EraseWarmingUp(shares, input, /*idle_only=*/false);
  bool changed = false;
  for (RangeEntry& entry : next.entries) {
    if (entry.phase == RangePhase::kSettled || !HasNoHolder(entry, input))
      continue;
    const double load = LoadIn(input).Of(entry.range);
    TargetShare* share = LeastLoaded(shares, load);
    const auto planned = planned_owner_.find(entry.range.first);
    if (planned != planned_owner_.end() && shares.contains(planned->second))
      share = &shares.at(planned->second);
    const Progress& progress = progress_.at({entry.range.first, entry.fence});
    last_settled_.push_back(
        {entry.range, entry.owner.id, share->target->incarnation.id,
         entry.fence, progress.released, input.now - progress.moving_since});
    SetOwner(entry, *share->target);
    share->load += load;
    entry.phase = RangePhase::kSettled;
    entry.handover = progress.handover;
    changed = true;
  }
  // A member that knows this table has to be told from one that knows the
  // earlier one only.
  if (changed)
    next.last_fence = NextFence(next);
  return changed;
}

bool RangeMover::Balance(RangeTable& next, const MoverInput& input) {
  if (!input.load || input.load->empty())
    return false;
  if (!progress_.empty())
    return false;
  const Duration since_balance = last_balance_at_
                                     ? input.now - *last_balance_at_
                                     : options_.balance_interval;
  if (since_balance < options_.hot_balance_interval ||
      (last_balance_evaluation_at_ && input.now - *last_balance_evaluation_at_ <
                                          options_.hot_balance_interval))
    return false;
  const auto usable = UsableTargets(input);
  if (usable.size() < 2)
    return false;
  last_balance_evaluation_at_ = input.now;
  ++balance_evaluations_;
  auto shares = ComputeTargetShares(next, usable, input.capacity, *input.load,
                                    options_.balance);
  // The little that an idle one should carry is worth no move, and would stop
  // the moves to others while no range is small enough.
  EraseWarmingUp(shares, input, /*idle_only=*/true);
  std::set<TargetId> hot_owners;
  for (const auto& [id, share] : shares) {
    if (share.hot_load > 0)
      hot_owners.insert(id);
  }
  if (hot_owners == hot_owners_ && since_balance < options_.balance_interval)
    return false;
  hot_owners_ = std::move(hot_owners);
  last_balance_moves_ =
      PlanBalance(next, shares, *input.load, options_.balance);
  if (last_balance_moves_.empty())
    return false;
  next.last_fence = NextFence(next);
  for (const PlannedMove& move : last_balance_moves_) {
    SplitAt(next, move.range.first);
    SplitAt(next, std::uint32_t{move.range.last} + 1);
    for (RangeEntry& entry : next.entries) {
      if (entry.range != move.range)
        continue;
      entry.phase = RangePhase::kMoving;
      entry.fence = next.last_fence;
      entry.handover = {};
      planned_owner_[entry.range.first] = move.to;
    }
  }
  last_balance_at_ = input.now;
  return true;
}

RangeTable RangeMover::Continue(const RangeTable& earlier,
                                bool renew_fences) const {
  RangeTable next = earlier;
  next.last_fence = NextFence(earlier);
  if (renew_fences) {
    for (RangeEntry& entry : next.entries)
      entry.fence = next.last_fence;
  }
  return next;
}

std::optional<RangeTable> RangeMover::Plan(const MoverInput& input) {
  const auto usable = UsableTargets(input);
  if (table_.entries.empty()) {
    if (usable.empty() || !IsStable(usable, input.now))
      return std::nullopt;
    return FirstAssignment(usable, input);
  }
  last_balance_moves_.clear();
  last_settled_.clear();
  RangeTable next = table_;
  bool changed = AssignUnheldRanges(next, input);
  if (!usable.empty()) {
    if (input.evacuations && !input.evacuations->empty())
      SplitEvacuatedRanges(next, usable.size(), input);
    changed = StartMoves(next, input) || changed;
  }
  changed = RequestReports(next, input) || changed;
  if (!changed) {
    if (progress_.empty())
      planned_owner_.clear();
    changed = Balance(next, input);
  }
  if (!changed)
    return std::nullopt;
  MergeAdjacentRanges(next);
  return next;
}

std::optional<MoveInProgress> RangeMover::OldestMove() const {
  std::optional<MoveInProgress> oldest;
  for (const RangeEntry& entry : table_.entries) {
    const auto progress = progress_.find({entry.range.first, entry.fence});
    if (entry.phase == RangePhase::kSettled || progress == progress_.end() ||
        (oldest && oldest->since <= progress->second.moving_since))
      continue;
    oldest = {entry.range, entry.owner.id, progress->second.moving_since,
              progress->second.released, progress_.size()};
  }
  return oldest;
}

std::vector<ReleaseRequest> RangeMover::OutstandingReleases() const {
  std::vector<ReleaseRequest> outstanding;
  for (const RangeEntry& entry : table_.entries) {
    if (entry.phase == RangePhase::kSettled)
      continue;
    const auto progress = progress_.find({entry.range.first, entry.fence});
    if (progress != progress_.end() && progress->second.released)
      continue;
    outstanding.push_back(
        {entry.range, entry.owner, entry.address, entry.fence});
  }
  return outstanding;
}

}  // namespace figstall
