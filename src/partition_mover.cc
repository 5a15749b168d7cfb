// Lease and partition state transitions, driven by holder statuses, seal
// replies, store results and time.
#include "figstall/partition_mover.h"

#include <algorithm>
#include <utility>

namespace figstall {

PartitionMover::PartitionMover(StewardId self,
                               Epoch epoch,
                               StewardTiming timing,
                               StewardLimits limits,
                               Instant now,
                               LeaseRenewer& renewer)
    : self_(std::move(self)),
      epoch_(epoch),
      timing_(timing),
      limits_(limits),
      renewer_(renewer),
      last_termination_at_(now) {}

void PartitionMover::SetPlan(const ZonePlan& plan) {
  plan_ = plan;
  for (const TargetPlan& target : plan_.targets) {
    const ServicePlan* service = plan_.FindService(target.service);
    if (service && service->checks_grants)
      holders_[target.id];
  }
  for (const VmId& router : plan_.routers)
    holders_[router].is_router = true;
  for (const ServicePlan& service : plan_.services) {
    services_to_place_.insert(service.id);
    for (std::uint32_t partition : service.partitions)
      table_.Track({service.id, partition});
  }
}

void PartitionMover::AdoptStoredRows(const std::vector<PartitionRow>& rows) {
  for (const PartitionRow& row : rows) {
    table_.Adopt(row, RowState::kHeld);
    if (ChecksGrants(row.key))
      holders_[row.owner];
  }
}

bool PartitionMover::ChecksGrants(const PartitionKey& key) const {
  const ServicePlan* service = plan_.FindService(key.service);
  return !service || service->checks_grants;
}

std::set<VmId> PartitionMover::PossibleHolders(const PartitionKey& key,
                                               const OwnedRow& row) const {
  std::set<VmId> possible;
  const bool target_checks = ChecksGrants(key);
  for (const auto& [id, holder] : holders_) {
    const bool owner_has_lease =
        target_checks && id == row.owner && holder.phase != Phase::kNone;
    // A router may still have requests in flight after its lease has expired,
    // so every router counts.
    const bool forwards_unchecked = !target_checks && holder.is_router;
    if (owner_has_lease || forwards_unchecked)
      possible.insert(id);
  }
  return possible;
}

Duration PartitionMover::MaxRequestDuration() const {
  Duration longest{0};
  for (const ServicePlan& service : plan_.services) {
    if (!service.checks_grants)
      longest = std::max(longest, service.max_deadline);
  }
  return longest;
}

void PartitionMover::ConfirmExpiredRouters(Instant now) {
  if (table_.InState(RowState::kRevoking).empty())
    return;
  for (const auto& [id, holder] : holders_) {
    if (!holder.is_router || holder.phase != Phase::kNone)
      continue;
    if (now < holder.requests_ended_by)
      continue;
    const bool responded =
        renewer_.RespondedWithin(id, now, timing_.holder_timeout);
    const bool recently_lost =
        !responded && renewer_.RespondedWithin(id, now, MaxRequestDuration());
    if (recently_lost)
      continue;
    const auto status = renewer_.LatestStatus(id);
    std::set<PartitionKey> draining;
    if (responded && status)
      draining.insert(status->draining.begin(), status->draining.end());
    const std::set<PartitionKey> revoking = table_.InState(RowState::kRevoking);
    for (const PartitionKey& key : revoking) {
      if (!draining.contains(key))
        table_.ConfirmRevoked(key, id);
    }
  }
}

// --- Statuses and replies ---------------------------------------------------

void PartitionMover::OnStatus(Instant now,
                              const HolderStatus& status,
                              const ElectionState& election,
                              StewardActions& actions) {
  const auto found = holders_.find(status.holder);
  if (found == holders_.end())
    return;
  const auto latest = renewer_.LatestStatus(status.holder);
  const bool outdated = !latest || latest->stamp != status.stamp;
  if (outdated || status.epoch != epoch_)
    return;
  Holder& holder = found->second;
  const bool restarted =
      holder.incarnation != 0 && holder.incarnation != status.incarnation;
  const bool has_lease =
      holder.phase == Phase::kOpen || holder.phase == Phase::kPolling;
  if (holder.incarnation != status.incarnation)
    holder.requests_ended_by = now + MaxRequestDuration();
  holder.incarnation = status.incarnation;
  if (restarted && has_lease) {
    StartSeal(now, status.holder, holder, election, actions);
    return;
  }
  if (holder.phase == Phase::kUnreported && status.has_report) {
    AdoptReport(status.holder, holder, status);
    if (holder.phase == Phase::kOpen &&
        renewer_.LeaseOf(status.holder) != holder.lease) {
      // This steward has already sealed the lease and never renews it again.
      StartSeal(now, status.holder, holder, election, actions);
    }
    return;
  }
  CheckLease(status.holder, holder, status, actions);
  if (holder.phase != Phase::kOpen)
    return;
  ConfirmRevokes(status.holder, status);
  ConfirmGrants(status.holder, holder, status, actions);
}

void PartitionMover::AdoptReport(const VmId& id,
                                 Holder& holder,
                                 const HolderStatus& status) {
  if (!status.standing) {
    holder.phase = Phase::kNone;
    return;
  }
  holder.phase = Phase::kOpen;
  holder.lease = status.lease;
  renewer_.StartRenewing(id, status.lease);
  table_.AdvanceChange();
  for (const PartitionRow& row : status.held) {
    const auto known = table_.rows().find(row.key);
    if (known != table_.rows().end() && known->second.term > row.term) {
      table_.Revoke(row.key, {id});
      continue;
    }
    table_.Adopt(row, RowState::kHeld);
    holder.reported_partitions.insert(row.key);
  }
}

void PartitionMover::CheckLease(const VmId& id,
                                Holder& holder,
                                const HolderStatus& status,
                                StewardActions& actions) {
  const bool same = status.lease == holder.lease;
  if (holder.phase == Phase::kOpening && same && status.standing) {
    holder.phase = Phase::kOpen;
    holder.acknowledged_change = 0;
    renewer_.StartRenewing(id, holder.lease);
    table_.AdvanceChange();
    if (const TargetPlan* target = plan_.FindTarget(id))
      services_to_place_.insert(target->service);
    actions.push_back(Decision{"lease-opened", id.value(), "", holder.lease,
                               "the holder acknowledged the lease"});
    return;
  }
  const bool ended = holder.phase == Phase::kOpening
                         ? same && !status.standing
                         : !same || !status.standing;
  const bool has_lease = holder.phase == Phase::kOpening ||
                         holder.phase == Phase::kOpen ||
                         holder.phase == Phase::kPolling;
  if (has_lease && ended)
    OnLeaseExpired(id, holder,
                   "the holder no longer reports the lease as valid", actions);
}

void PartitionMover::ConfirmRevokes(const VmId& id,
                                    const HolderStatus& status) {
  const std::set<PartitionKey> draining(status.draining.begin(),
                                        status.draining.end());
  const std::set<PartitionKey> revoking = table_.InState(RowState::kRevoking);
  for (const PartitionKey& key : revoking) {
    const OwnedRow& row = table_.rows().at(key);
    if (status.change < row.change || draining.contains(key))
      continue;
    table_.ConfirmRevoked(key, id);
  }
}

void PartitionMover::ConfirmGrants(const VmId& id,
                                   Holder& holder,
                                   const HolderStatus& status,
                                   StewardActions& actions) {
  holder.acknowledged_change =
      std::max(holder.acknowledged_change, status.change);
  const std::set<PartitionKey> granted = table_.InState(RowState::kGrantable);
  for (const PartitionKey& key : granted) {
    const OwnedRow& row = table_.rows().at(key);
    const bool acknowledges =
        ChecksGrants(key) ? row.owner == id : holder.is_router;
    if (!acknowledges || status.change < row.change)
      continue;
    table_.MarkHeld(key, row.term);
    for (const VmId& router : plan_.routers)
      renewer_.ScheduleNow(router);
    actions.push_back(Decision{"partition-granted", ToString(key),
                               row.owner.value(), row.term,
                               "a holder acknowledged the grant"});
  }
}

void PartitionMover::OnLeaseExpired(const VmId& id,
                                    Holder& holder,
                                    const std::string& reason,
                                    StewardActions& actions) {
  actions.push_back(
      Decision{"lease-lapsed", id.value(), "", holder.lease, reason});
  renewer_.Seal(id, std::max(holder.lease, NextTerm()));
  holder.phase = Phase::kNone;
  holder.lease = FencingToken{};
  holder.seal.reset();
  holder.reported_partitions.clear();
  table_.AdvanceChange();
  if (holder.is_router)
    return;
  table_.ConfirmAll(id);
  const std::set<PartitionKey> owned = table_.OwnedBy(id);
  for (const PartitionKey& key : owned) {
    if (ChecksGrants(key))
      table_.Revoke(key, {});
  }
}

void PartitionMover::OnSealReply(Instant now,
                                 const StewardId& from,
                                 const SealReply& reply) {
  const auto found = holders_.find(reply.holder);
  if (found == holders_.end() || reply.epoch != epoch_)
    return;
  Holder& holder = found->second;
  if (holder.phase == Phase::kPolling) {
    holder.pending_poll_replies.erase(from);
    if (reply.stopped)
      return;
    // The member objects: the holder responded to it `stamp_age` ago. The
    // holder's timeout starts again at that response.
    holder.phase = Phase::kOpen;
    holder.timeout_started_at =
        now - std::min(reply.stamp_age, timing_.holder_timeout);
    return;
  }
  const bool confirms_stop = holder.phase == Phase::kSealing && reply.stopped &&
                             reply.lease >= holder.lease;
  if (confirms_stop && holder.seal)
    holder.seal->OnRenewalsStopped(from, now, reply.stamp_age);
}

void PartitionMover::OnTerminated(Instant now, const StewardId& id) {
  last_termination_at_ = now;
  for (auto& [holder_id, holder] : holders_) {
    holder.pending_poll_replies.erase(id);
    if (holder.seal)
      holder.seal->OnStewardTerminated(id, now);
  }
}

void PartitionMover::OnStored(const std::vector<PartitionRow>& rows) {
  const std::set<PartitionKey> assigned = table_.InState(RowState::kAssigned);
  if (assigned.empty())
    return;
  for (const PartitionRow& row : rows) {
    if (!assigned.contains(row.key))
      continue;
    table_.MarkStored(row.key, row.term);
    renewer_.ScheduleNow(row.owner);
    if (ChecksGrants(row.key))
      continue;
    for (const VmId& router : plan_.routers)
      renewer_.ScheduleNow(router);
  }
}

// --- Periodic steps ---------------------------------------------------------

void PartitionMover::Advance(Instant now,
                             const ElectionState& election,
                             StewardActions& actions) {
  for (auto& [id, holder] : holders_)
    AdvanceHolder(now, id, holder, election, actions);
  if (!settled_)
    Settle(actions);
  if (!settled_)
    return;
  ConfirmExpiredRouters(now);
  RevokeFromIneligible(now, actions);
  for (const ServicePlan& service : plan_.services)
    PlaceService(now, service, actions);
  if (!election.store_unavailable)
    return;
  const std::set<PartitionKey> assigned = table_.InState(RowState::kAssigned);
  for (const PartitionKey& key : assigned) {
    if (!ChecksGrants(key))
      continue;
    table_.MarkGrantable(key);
    renewer_.ScheduleNow(table_.rows().at(key).owner);
  }
}

void PartitionMover::AdvanceHolder(Instant now,
                                   const VmId& id,
                                   Holder& holder,
                                   const ElectionState& election,
                                   StewardActions& actions) {
  if (holder.timeout_started_at == Instant{})
    holder.timeout_started_at = now;
  const bool responded =
      renewer_.RespondedWithin(id, now, timing_.holder_timeout);
  const bool lost =
      !responded && now - holder.timeout_started_at >= timing_.holder_timeout;
  switch (holder.phase) {
    case Phase::kUnreported:
    case Phase::kOpening:
      if (lost)
        StartSeal(now, id, holder, election, actions);
      return;
    case Phase::kNone:
      if (responded)
        OpenLease(now, id, holder, actions);
      return;
    case Phase::kOpen:
      if (lost)
        StartPoll(now, id, holder, election, actions);
      return;
    case Phase::kPolling:
      if (responded) {
        holder.phase = Phase::kOpen;
        holder.timeout_started_at = now;
      } else if (holder.pending_poll_replies.empty() ||
                 now - holder.timeout_started_at >= timing_.objection_timeout) {
        StartSeal(now, id, holder, election, actions);
      }
      return;
    case Phase::kSealing:
      if (holder.seal->Expired(now)) {
        holder.requests_ended_by = now + MaxRequestDuration();
        OnLeaseExpired(id, holder,
                       "every steward stopped renewing the lease and its "
                       "validity has passed",
                       actions);
      } else if (now - *holder.seal_requested_at >= timing_.renew_interval) {
        SendSealRequests(now, id, holder, holder.seal->waiting(),
                         /*insist=*/true, actions);
      }
      return;
  }
}

void PartitionMover::StartPoll(Instant now,
                               const VmId& id,
                               Holder& holder,
                               const ElectionState& election,
                               StewardActions& actions) {
  holder.phase = Phase::kPolling;
  holder.timeout_started_at = now;
  holder.pending_poll_replies = election.roster;
  holder.pending_poll_replies.erase(self_);
  SendSealRequests(now, id, holder, holder.pending_poll_replies,
                   /*insist=*/false, actions);
  if (holder.pending_poll_replies.empty())
    StartSeal(now, id, holder, election, actions);
}

void PartitionMover::StartSeal(Instant now,
                               const VmId& id,
                               Holder& holder,
                               const ElectionState& election,
                               StewardActions& actions) {
  // The new token is higher than that of every lease that any leader has issued
  // so far, so the seal covers all of them.
  holder.lease = NextTerm();
  holder.phase = Phase::kSealing;
  holder.seal.emplace(
      std::vector<StewardId>(election.roster.begin(), election.roster.end()),
      timing_.lease_duration, timing_.clock_drift_margin,
      last_termination_at_ + timing_.lease_duration +
          timing_.clock_drift_margin);
  holder.seal->OnRenewalsStopped(self_, now, renewer_.SentStampAge(id, now));
  renewer_.Seal(id, holder.lease);
  table_.AdvanceChange();
  actions.push_back(
      Decision{"lease-sealed", id.value(), "", holder.lease,
               "the holder timed out, restarted or reported a sealed lease"});
  SendSealRequests(now, id, holder, holder.seal->waiting(), /*insist=*/true,
                   actions);
}

void PartitionMover::SendSealRequests(Instant now,
                                      const VmId& id,
                                      Holder& holder,
                                      const std::set<StewardId>& members,
                                      bool insist,
                                      StewardActions& actions) {
  holder.seal_requested_at = now;
  for (const StewardId& member : members) {
    actions.push_back(SendPeerMessage{
        member.vm, SealRequest{epoch_, id, holder.lease, insist}});
  }
}

void PartitionMover::OpenLease(Instant now,
                               const VmId& id,
                               Holder& holder,
                               StewardActions& actions) {
  const TargetPlan* target = plan_.FindTarget(id);
  const bool may_hold_lease =
      holder.is_router ? plan_.IsRouter(id) : target && !target->leaving;
  if (!may_hold_lease)
    return;
  holder.phase = Phase::kOpening;
  holder.lease = NextTerm();
  holder.timeout_started_at = now;
  renewer_.ScheduleNow(id);
  actions.push_back(Decision{"lease-opening", id.value(), "", holder.lease,
                             "the holder responded and has no lease"});
}

void PartitionMover::Settle(StewardActions& actions) {
  for (const auto& [id, holder] : holders_) {
    const bool unresolved =
        holder.phase == Phase::kUnreported || holder.phase == Phase::kSealing;
    if (unresolved)
      return;
  }
  settled_ = true;
  std::set<PartitionKey> held;
  for (const auto& [id, holder] : holders_)
    held.insert(holder.reported_partitions.begin(),
                holder.reported_partitions.end());
  const std::set<PartitionKey> claimed = table_.InState(RowState::kHeld);
  for (const PartitionKey& key : claimed) {
    if (!held.contains(key))
      ReclaimRow(key);
  }
  actions.push_back(
      Decision{"zone-settled", self_.ToString(), "", FencingToken{epoch_, 0},
               "every holder has reported or its lease has expired"});
}

void PartitionMover::ReclaimRow(const PartitionKey& key) {
  const VmId owner = table_.rows().at(key).owner;
  table_.Revoke(key, {});
  // Requests that routers still have in flight go to the same owner, so the
  // assignment need not wait for them.
  if (!ChecksGrants(key))
    table_.Assign(key, owner, NextTerm());
}

}  // namespace figstall
