// Chooses the owners of partitions, and fills in the leader's fields of orders.
#include <algorithm>
#include <utility>

#include "figstall/partition_mover.h"

namespace figstall {

// --- Placement ---------------------------------------------------------------

bool PartitionMover::Eligible(Instant now, const TargetPlan& target) const {
  if (target.leaving || target.capacity <= 0)
    return false;
  const ServicePlan* service = plan_.FindService(target.service);
  if (service && !service->checks_grants)
    return renewer_.RespondedWithin(target.id, now, timing_.holder_timeout);
  const auto holder = holders_.find(target.id);
  return holder != holders_.end() && (holder->second.phase == Phase::kOpen ||
                                      holder->second.phase == Phase::kPolling);
}

void PartitionMover::RevokeFromIneligible(Instant now,
                                          StewardActions& actions) {
  for (const TargetPlan& target : plan_.targets) {
    if (target.leaving) {
      RevokeAll(target.id, "the target is leaving", actions);
      continue;
    }
    const ServicePlan* service = plan_.FindService(target.service);
    if (!service || service->checks_grants)
      continue;
    if (!renewer_.RespondedWithin(target.id, now, timing_.holder_timeout))
      RevokeAll(target.id,
                "the target did not respond within the holder timeout",
                actions);
  }
}

void PartitionMover::RevokeAll(const VmId& owner,
                               const std::string& reason,
                               StewardActions& actions) {
  const std::set<PartitionKey> owned = table_.OwnedBy(owner);
  for (const PartitionKey& key : owned) {
    const OwnedRow& row = table_.rows().at(key);
    const bool is_active =
        row.state != RowState::kFree && row.state != RowState::kRevoking;
    if (!is_active)
      continue;
    RevokeRow(key, reason, actions);
  }
}

bool PartitionMover::AnyLeaseOpening() const {
  return std::any_of(holders_.begin(), holders_.end(), [](const auto& entry) {
    return entry.second.phase == Phase::kOpening;
  });
}

bool PartitionMover::HasFreePartition(const ServiceId& service) const {
  const auto& free = table_.InState(RowState::kFree);
  const auto first = free.lower_bound(PartitionKey{service, 0});
  return first != free.end() && first->service == service;
}

Assignment PartitionMover::CurrentAssignment(
    const ServicePlan& service,
    const std::vector<const TargetPlan*>& eligible) const {
  std::map<VmId, TargetIndex> index;
  for (TargetIndex t = 0; t < eligible.size(); ++t)
    index[eligible[t]->id] = t;
  Assignment current(service.partitions.size());
  for (std::size_t i = 0; i < current.size(); ++i) {
    const OwnedRow& row = table_.rows().at({service.id, service.partitions[i]});
    const bool owned =
        row.state != RowState::kFree && row.state != RowState::kRevoking;
    const auto owner = index.find(row.owner);
    if (owned && owner != index.end())
      current[i] = owner->second;
  }
  return current;
}

void PartitionMover::PlaceService(Instant now,
                                  const ServicePlan& service,
                                  StewardActions& actions) {
  if (!HasFreePartition(service.id) && !services_to_place_.contains(service.id))
    return;
  std::vector<const TargetPlan*> eligible;
  std::vector<PlacementTarget> candidates;
  for (const TargetPlan& target : plan_.targets) {
    if (target.service != service.id || !Eligible(now, target))
      continue;
    eligible.push_back(&target);
    candidates.push_back({candidates.size(), target.capacity});
  }
  if (eligible.empty())
    return;
  const bool first_placement =
      table_.OwnedBy(VmId{}).size() == table_.rows().size();
  if (first_placement && AnyLeaseOpening())
    return;
  const Assignment current = CurrentAssignment(service, eligible);
  const IncrementalRebalance policy{limits_.max_load_ratio};
  const Assignment next = policy.Place(candidates, current, service.weights);
  std::size_t moves_in_progress = 0;
  bool moves_remaining = false;
  for (std::size_t i = 0; i < next.size(); ++i) {
    const PartitionKey key{service.id, service.partitions[i]};
    const OwnedRow& row = table_.rows().at(key);
    const VmId& owner = eligible[*next[i]]->id;
    if (row.state == RowState::kFree) {
      AssignRow(key, owner, actions);
    } else if (row.state == RowState::kRevoking) {
      ++moves_in_progress;
    } else if (row.state == RowState::kHeld && current[i] &&
               row.owner != owner && !service.IsFrozen(key.partition)) {
      moves_remaining = true;
      if (moves_in_progress >= limits_.rebalancing_moves)
        continue;
      ++moves_in_progress;
      RevokeRow(key, "moved to balance load", actions);
    }
  }
  if (!moves_remaining && moves_in_progress == 0)
    services_to_place_.erase(service.id);
}

void PartitionMover::AssignRow(const PartitionKey& key,
                               const VmId& owner,
                               StewardActions& actions) {
  const FencingToken term = NextTerm();
  actions.push_back(Decision{"partition-assigned", ToString(key), owner.value(),
                             term, "chosen to balance load over live targets"});
  table_.Assign(key, owner, term);
}

void PartitionMover::RevokeRow(const PartitionKey& key,
                               const std::string& reason,
                               StewardActions& actions) {
  const OwnedRow& row = table_.rows().at(key);
  const std::set<VmId> holders = PossibleHolders(key, row);
  for (const VmId& holder : holders)
    renewer_.ScheduleNow(holder);
  actions.push_back(Decision{"partition-revoked", ToString(key),
                             row.owner.value(), row.term, reason});
  table_.Revoke(key, holders);
}

// --- Orders ------------------------------------------------------------------

void PartitionMover::AddLeaderFields(HolderOrder& order) {
  const auto found = holders_.find(order.holder);
  if (found == holders_.end())
    return;
  Holder& holder = found->second;
  order.epoch = epoch_;
  order.want_report = holder.phase == Phase::kUnreported;
  if (holder.phase == Phase::kOpening) {
    order.open = true;
    order.lease = holder.lease;
    order.stamp = renewer_.TakeStampToSend(order.holder);
  }
  const bool open =
      holder.phase == Phase::kOpen || holder.phase == Phase::kPolling;
  if (!open) {
    if (holder.is_router)
      order.hints = HintsForNewRouter(order.holder);
    return;
  }
  // The holder acknowledges every change up to this number, so only an order
  // that carries all of them may have it.
  order.change = table_.change();
  for (const PartitionKey& key : table_.InState(RowState::kRevoking)) {
    const OwnedRow& row = table_.rows().at(key);
    if (row.pending.contains(order.holder))
      order.revokes.push_back({key, row.term, row.owner});
  }
  for (const PartitionKey& key : table_.InState(RowState::kGrantable)) {
    const OwnedRow& row = table_.rows().at(key);
    const bool granted =
        ChecksGrants(key) ? row.owner == order.holder : holder.is_router;
    if (granted)
      order.grants.push_back({key, row.term, row.owner});
  }
  if (!holder.is_router)
    return;
  for (const PartitionRow& row :
       table_.ChangedSince(holder.acknowledged_change)) {
    auto& rows = ChecksGrants(row.key) ? order.hints : order.grants;
    rows.push_back(row);
  }
}

std::vector<PartitionRow> PartitionMover::HintsForNewRouter(
    const VmId& router) const {
  const auto status = renewer_.LatestStatus(router);
  if (!status || status->lease.valid())
    return {};
  std::vector<PartitionRow> hints = table_.ChangedSince(0);
  std::erase_if(
      hints, [&](const PartitionRow& row) { return !ChecksGrants(row.key); });
  return hints;
}

std::vector<LeaseEntry> PartitionMover::OpenLeases() const {
  std::vector<LeaseEntry> leases;
  for (const auto& [id, holder] : holders_) {
    const bool open =
        holder.phase == Phase::kOpen || holder.phase == Phase::kPolling;
    if (open)
      leases.push_back({id, holder.lease});
  }
  return leases;
}

}  // namespace figstall
