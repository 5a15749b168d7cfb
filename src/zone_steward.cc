#include "figstall/zone_steward.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace figstall {
namespace {

// Returns the rank of `steward` among the renewers of `holder`. The stewards
// with the lowest ranks renew its lease.
std::uint64_t RenewerRank(const VmId& steward, const VmId& holder) {
  const std::string input = steward.value() + "|" + holder.value();
  return XXH3_64bits(input.data(), input.size());
}

}  // namespace

ZoneSteward::ZoneSteward(StewardId self,
                         StewardTiming timing,
                         StewardLimits limits)
    : self_(self),
      timing_(timing),
      limits_(limits),
      election_(std::move(self), timing),
      lease_renewer_(timing.renew_interval, timing.lease_duration) {}

StewardActions ZoneSteward::Step(Instant now, const StewardEvent& event) {
  StewardActions actions;
  if (resigned_)
    return actions;
  const std::uint64_t change = mover_ ? mover_->change() : 0;
  std::visit([&](const auto& typed) { Handle(now, typed, actions); }, event);
  // Most events are replies of holders to renewals and change nothing, so they
  // do not need Advance.
  const bool is_holder_reply = std::holds_alternative<HolderReplied>(event);
  const bool mover_changed = (mover_ ? mover_->change() : 0) != change;
  if (!is_holder_reply || mover_changed || lease_renewer_.order_expedited())
    Advance(now, actions);
  return actions;
}

StewardActions ZoneSteward::Resign() {
  StewardActions actions;
  resigned_ = true;
  mover_.reset();
  lease_renewer_.DropLeases();
  for (const VmId& steward : plan_.stewards) {
    if (steward != self_.vm)
      actions.push_back(SendPeerMessage{steward, Resignation{}});
  }
  election_.Resign(actions);
  return actions;
}

bool ZoneSteward::LeaderTimedOut(Instant now) const {
  if (leading())
    return false;
  return !last_leader_message_at_ ||
         now - *last_leader_message_at_ >= timing_.leader_timeout;
}

std::vector<PartitionRow> ZoneSteward::KnownRows() const {
  if (mover_)
    return mover_->table().ChangedSince(0);
  std::vector<PartitionRow> rows;
  for (const auto& [key, row] : pushed_rows_)
    rows.push_back(row);
  return rows;
}

// --- Events ------------------------------------------------------------------

void ZoneSteward::Handle(Instant, const Tick&, StewardActions&) {}

void ZoneSteward::Handle(Instant now,
                         const PlanChanged& changed,
                         StewardActions&) {
  if (changed.plan.revision < plan_.revision)
    return;
  plan_ = changed.plan;
  std::vector<VmId> holders = plan_.routers;
  for (const TargetPlan& target : plan_.targets)
    holders.push_back(target.id);
  lease_renewer_.SetMonitoredHolders(holders);
  if (mover_)
    mover_->SetPlan(plan_);
  for (const VmId& vm : plan_.declared_lost)
    MarkVmTerminated(now, vm);
}

void ZoneSteward::Handle(Instant, const VmListChanged& list, StewardActions&) {
  election_.OnVmList(list.version, list.listed);
}

void ZoneSteward::Handle(Instant now,
                         const ZoneReadResult& read,
                         StewardActions& actions) {
  election_.OnRead(now, read, actions);
  const auto rows = election_.TakeConfirmedRows();
  if (mover_)
    mover_->OnStored(rows);
}

void ZoneSteward::Handle(Instant now,
                         const ZoneWriteResult& written,
                         StewardActions& actions) {
  const auto rows = election_.OnWritten(now, written, actions);
  if (mover_)
    mover_->OnStored(rows);
}

void ZoneSteward::Handle(Instant now,
                         const LeaderLeaseReply& reply,
                         StewardActions& actions) {
  election_.OnLeaseReply(now, reply, actions);
}

void ZoneSteward::Handle(Instant now,
                         const PeerMessageReceived& received,
                         StewardActions& actions) {
  RetireOlderIncarnations(now, received.from);
  std::visit(
      [&](const auto& message) {
        OnPeer(now, received.from, message, actions);
      },
      received.message);
}

void ZoneSteward::Handle(Instant now,
                         const HolderReplied& replied,
                         StewardActions& actions) {
  lease_renewer_.OnStatus(now, replied.status);
  if (replied.status.epoch > election_.seen_epoch()) {
    election_.OnEpochSeen(now, replied.status.epoch, /*from_leader=*/false,
                          actions);
  }
  if (mover_)
    mover_->OnStatus(now, replied.status, CurrentElectionState(), actions);
}

// --- Messages from other stewards --------------------------------------------

void ZoneSteward::OnPeer(Instant,
                         const StewardId& from,
                         const JoinRequest&,
                         StewardActions&) {
  const bool in_zone = std::find(plan_.stewards.begin(), plan_.stewards.end(),
                                 from.vm) != plan_.stewards.end();
  if (in_zone)
    election_.OnJoin(from);
}

void ZoneSteward::OnPeer(Instant now,
                         const StewardId& from,
                         const StatePush& message,
                         StewardActions& actions) {
  if (message.epoch < election_.seen_epoch())
    return;
  if (election_.leading() && message.epoch == election_.epoch())
    return;
  election_.OnEpochSeen(now, message.epoch, /*from_leader=*/true, actions);
  last_leader_message_at_ = now;
  last_leader_ = from;
  if (applied_epoch_ != message.epoch) {
    applied_epoch_ = message.epoch;
    applied_change_ = 0;
  }
  const bool applies = message.full && message.base <= applied_change_ &&
                       message.change >= applied_change_;
  if (applies) {
    applied_change_ = message.change;
    pushed_roster_ = {message.roster.begin(), message.roster.end()};
    if (pushed_roster_.contains(self_))
      election_.OnAdmitted();
    lease_renewer_.DropLeases();
    for (const LeaseEntry& entry : message.leases)
      lease_renewer_.StartRenewing(entry.holder, entry.lease);
    for (const PartitionRow& row : message.rows)
      pushed_rows_[row.key] = row;
  }
  actions.push_back(
      SendPeerMessage{from.vm, StatePushAck{message.epoch, applied_change_}});
}

void ZoneSteward::OnPeer(Instant,
                         const StewardId& from,
                         const StatePushAck& message,
                         StewardActions&) {
  if (!mover_ || message.epoch != mover_epoch_)
    return;
  const auto member = members_.find(from);
  if (member == members_.end())
    return;
  member->second.acknowledged_change =
      std::max(member->second.acknowledged_change, message.change);
}

void ZoneSteward::OnPeer(Instant now,
                         const StewardId& from,
                         const StepDown& message,
                         StewardActions& actions) {
  if (message.epoch < election_.seen_epoch())
    return;
  if (election_.leading() && message.epoch == election_.epoch())
    return;
  election_.OnEpochSeen(now, message.epoch, /*from_leader=*/true, actions);
  mover_.reset();
  actions.push_back(SendPeerMessage{from.vm, StepDownAck{message.epoch}});
}

void ZoneSteward::OnPeer(Instant,
                         const StewardId& from,
                         const StepDownAck& message,
                         StewardActions&) {
  election_.OnStepDownAck(from, message.epoch);
}

void ZoneSteward::OnPeer(Instant now,
                         const StewardId& from,
                         const SealRequest& message,
                         StewardActions& actions) {
  if (message.epoch < election_.seen_epoch())
    return;
  election_.OnEpochSeen(now, message.epoch, /*from_leader=*/true, actions);
  SealReply reply;
  reply.epoch = message.epoch;
  reply.holder = message.holder;
  reply.lease = message.lease;
  reply.stamp_age = message.insist
                        ? lease_renewer_.SentStampAge(message.holder, now)
                        : lease_renewer_.TimeSinceStatus(message.holder, now);
  reply.stopped =
      message.insist || !lease_renewer_.RespondedWithin(message.holder, now,
                                                        timing_.holder_timeout);
  if (message.insist)
    lease_renewer_.Seal(message.holder, message.lease);
  actions.push_back(SendPeerMessage{from.vm, reply});
}

void ZoneSteward::OnPeer(Instant now,
                         const StewardId& from,
                         const SealReply& message,
                         StewardActions&) {
  if (mover_)
    mover_->OnSealReply(now, from, message);
}

void ZoneSteward::OnPeer(Instant now,
                         const StewardId& from,
                         const Resignation&,
                         StewardActions&) {
  MarkTerminated(now, from);
  if (from == last_leader_)
    election_.OnLeaderResigned();
}

void ZoneSteward::RetireOlderIncarnations(Instant now, const StewardId& from) {
  // A VM's incarnations only rise, so an earlier one has terminated.
  std::vector<StewardId> replaced;
  for (const StewardId& id : election_.roster()) {
    if (id.vm == from.vm && id.incarnation < from.incarnation)
      replaced.push_back(id);
  }
  for (const UnsealedLeader& previous : election_.unsealed()) {
    if (previous.id.vm == from.vm && previous.id.incarnation < from.incarnation)
      replaced.push_back(previous.id);
  }
  for (const StewardId& id : replaced)
    MarkTerminated(now, id);
}

void ZoneSteward::MarkTerminated(Instant now, const StewardId& id) {
  election_.OnTerminated(id);
  members_.erase(id);
  if (mover_)
    mover_->OnTerminated(now, id);
}

void ZoneSteward::MarkVmTerminated(Instant now, const VmId& vm) {
  if (vm == self_.vm)
    return;
  std::vector<StewardId> terminated(pushed_roster_.begin(),
                                    pushed_roster_.end());
  terminated.insert(terminated.end(), election_.roster().begin(),
                    election_.roster().end());
  std::erase_if(terminated, [&](const StewardId& id) { return id.vm != vm; });
  for (const UnsealedLeader& previous : election_.unsealed()) {
    if (previous.id.vm == vm)
      terminated.push_back(previous.id);
  }
  for (const StewardId& id : terminated)
    MarkTerminated(now, id);
}

// --- Actions required by the state -------------------------------------------

void ZoneSteward::Advance(Instant now, StewardActions& actions) {
  UpdateMover(now);
  if (!election_.leading())
    SendJoinRequests(now, actions);
  if (election_.leading() && !election_.authority())
    SendStepDowns(now, actions);
  if (mover_) {
    mover_->Advance(now, CurrentElectionState(), actions);
    if (mover_->table().change() != proposed_change_) {
      proposed_change_ = mover_->table().change();
      election_.ProposeRows(mover_->table().RowsToStore());
    }
  }
  election_.Tick(now, actions);
  if (election_.leading())
    PushState(now, actions);
  SendOrders(now, actions);
}

void ZoneSteward::UpdateMover(Instant now) {
  for (const StewardId& id : election_.UnlistedStewards())
    MarkTerminated(now, id);
  const bool stale = mover_ && mover_epoch_ != election_.epoch();
  if (stale)
    mover_.reset();
  if (mover_ || !election_.authority())
    return;
  mover_epoch_ = election_.epoch();
  mover_ = std::make_unique<PartitionMover>(self_, mover_epoch_, timing_,
                                            limits_, now, lease_renewer_);
  proposed_change_ = 0;
  mover_->SetPlan(plan_);
  mover_->AdoptStoredRows(election_.stored_rows_at_election());
  members_.clear();
  for (const VmId& holder : lease_renewer_.monitored_holders())
    lease_renewer_.ScheduleNow(holder);
}

void ZoneSteward::SendJoinRequests(Instant now, StewardActions& actions) {
  const bool due =
      !join_requested_at_ || now - *join_requested_at_ >= timing_.join_interval;
  if (election_.admitted() || !due)
    return;
  join_requested_at_ = now;
  for (const VmId& steward : plan_.stewards) {
    if (steward != self_.vm)
      actions.push_back(SendPeerMessage{steward, JoinRequest{}});
  }
}

void ZoneSteward::SendStepDowns(Instant now, StewardActions& actions) {
  const bool due = !step_down_sent_at_ ||
                   now - *step_down_sent_at_ >= timing_.renew_interval;
  if (!due)
    return;
  step_down_sent_at_ = now;
  for (const UnsealedLeader& previous : election_.unsealed())
    actions.push_back(
        SendPeerMessage{previous.id.vm, StepDown{election_.epoch()}});
}

void ZoneSteward::PushState(Instant now, StewardActions& actions) {
  for (const StewardId& id : election_.confirmed_roster()) {
    if (id == self_)
      continue;
    Member& member = members_[id];
    const bool behind = mover_ && member.acknowledged_change < mover_->change();
    const bool due =
        !member.pushed_at || now - *member.pushed_at >= timing_.renew_interval;
    if (!due)
      continue;
    member.pushed_at = now;
    StatePush push;
    push.epoch = election_.epoch();
    if (behind) {
      push.full = true;
      push.base = member.acknowledged_change;
      push.change = mover_->change();
      push.roster.assign(election_.confirmed_roster().begin(),
                         election_.confirmed_roster().end());
      push.leases = mover_->OpenLeases();
      push.rows = mover_->table().ChangedSince(member.acknowledged_change);
    }
    actions.push_back(SendPeerMessage{id.vm, std::move(push)});
  }
}

void ZoneSteward::SendOrders(Instant now, StewardActions& actions) {
  if (!election_.admitted())
    return;
  for (HolderOrder& order : lease_renewer_.DueOrders(now)) {
    if (mover_) {
      mover_->AddLeaderFields(order);
    } else if (!IsRenewerOf(order.holder)) {
      continue;
    } else {
      order.hints = HintsFor(order.holder);
    }
    actions.push_back(SendOrder{std::move(order)});
  }
}

std::vector<PartitionRow> ZoneSteward::HintsFor(const VmId& holder) const {
  const auto status = lease_renewer_.LatestStatus(holder);
  const bool new_router =
      plan_.IsRouter(holder) && status && !status->lease.valid();
  if (!new_router)
    return {};
  std::vector<PartitionRow> hints;
  for (const auto& [key, row] : pushed_rows_) {
    const ServicePlan* service = plan_.FindService(key.service);
    if (service && service->checks_grants)
      hints.push_back(row);
  }
  return hints;
}

bool ZoneSteward::IsRenewerOf(const VmId& holder) const {
  if (election_.leading())
    return true;
  std::size_t lower_ranks = 0;
  const std::uint64_t own_rank = RenewerRank(self_.vm, holder);
  for (const StewardId& id : pushed_roster_) {
    if (RenewerRank(id.vm, holder) < own_rank)
      ++lower_ranks;
  }
  return lower_ranks < limits_.renewers_per_holder;
}

PartitionMover::ElectionState ZoneSteward::CurrentElectionState() const {
  return {election_.roster(), election_.store_unavailable()};
}

}  // namespace figstall
