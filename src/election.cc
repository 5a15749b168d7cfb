#include "figstall/election.h"

#include <algorithm>
#include <utility>

namespace figstall {

Election::Election(StewardId self, StewardTiming timing)
    : self_(std::move(self)), timing_(timing) {}

void Election::Tick(Instant now, StewardActions& actions) {
  if (!first_tick_at_)
    first_tick_at_ = now;
  if (store_call_ != StoreCall::kNone &&
      now - store_call_started_at_ >= timing_.store_timeout) {
    store_call_ = StoreCall::kNone;
    store_unavailable_ = true;
    store_retry_at_ = now + timing_.store_retry_interval;
  }
  const bool wants_lease = leading() || LeaderTimedOut(now);
  const bool lease_due =
      !leader_lease_requested_at_ ||
      now - *leader_lease_requested_at_ >= timing_.leader_lease_renew_interval;
  if (wants_lease && lease_due) {
    leader_lease_requested_at_ = now;
    actions.push_back(AcquireLeaderLease{});
  }
  if (store_call_ != StoreCall::kNone)
    return;
  if (store_retry_at_ && now < *store_retry_at_)
    return;
  if (leading() && (pending_write_ || store_unavailable_)) {
    StartRead(now, actions);
    return;
  }
  if (leading() && write_needed_)
    StartWrite(now, BuildDocument(), actions);
}

bool Election::LeaderTimedOut(Instant now) const {
  if (!first_tick_at_)
    return false;
  if (leader_resigned_)
    return true;
  // A steward that is not yet admitted waits twice as long, so that a member,
  // which knows the current leases, is elected first.
  const Duration timeout =
      admitted_ ? timing_.leader_timeout : 2 * timing_.leader_timeout;
  return now - last_leader_message_at_.value_or(*first_tick_at_) >= timeout;
}

void Election::OnLeaseReply(Instant now,
                            const LeaderLeaseReply& reply,
                            StewardActions& actions) {
  if (!reply.answered) {
    store_unavailable_ = store_unavailable_ || leading();
    return;
  }
  lease_held_ = reply.held;
  if (store_call_ != StoreCall::kNone)
    return;
  // A leader without the lease reads the document to check whether another
  // steward was elected; a steward with the lease reads it before it runs.
  const bool must_read = leading() != reply.held;
  if (must_read)
    StartRead(now, actions);
}

void Election::StartRead(Instant now, StewardActions& actions) {
  store_call_ = StoreCall::kReading;
  store_call_started_at_ = now;
  store_retry_at_.reset();
  actions.push_back(ReadZone{++store_call_number_});
}

void Election::StartWrite(Instant now,
                          ZoneDocument document,
                          StewardActions& actions) {
  store_call_ = StoreCall::kWriting;
  store_call_started_at_ = now;
  write_needed_ = false;
  pending_write_ = document;
  actions.push_back(
      WriteZone{++store_call_number_, std::move(document), document_version_});
}

void Election::OnRead(Instant now,
                      const ZoneReadResult& read,
                      StewardActions& actions) {
  if (store_call_ != StoreCall::kReading || read.call != store_call_number_)
    return;
  store_call_ = StoreCall::kNone;
  if (!read.answered) {
    store_unavailable_ = true;
    store_retry_at_ = now + timing_.store_retry_interval;
    return;
  }
  store_unavailable_ = false;
  document_version_ = read.version;
  const Epoch stored_epoch = read.document ? read.document->epoch : 0;
  const bool is_own = read.document && read.document->leader == self_;
  if (leading() && (stored_epoch > leading_epoch_ ||
                    (stored_epoch == leading_epoch_ && !is_own))) {
    StopLeading("the stored zone document names another leader", actions);
    return;
  }
  if (leading()) {
    if (read.document)
      CheckOwnDocument(*read.document);
    return;
  }
  const bool write_took_effect =
      pending_write_ && read.document && *read.document == *pending_write_;
  if (write_took_effect) {
    BecomeLeader(*read.document, actions);
    return;
  }
  pending_write_.reset();
  if (lease_held_ && LeaderTimedOut(now))
    RunForLeader(now, read, actions);
}

void Election::CheckOwnDocument(const ZoneDocument& document) {
  const bool took_effect = pending_write_ && document == *pending_write_;
  pending_write_.reset();
  if (took_effect) {
    ConfirmWritten(document);
    return;
  }
  write_needed_ = true;
}

void Election::RunForLeader(Instant now,
                            const ZoneReadResult& read,
                            StewardActions& actions) {
  ZoneDocument document = read.document.value_or(ZoneDocument{});
  if (document.epoch != 0) {
    document.unsealed.push_back({document.leader, document.epoch});
  }
  document.epoch = std::max(document.epoch, seen_epoch_) + 1;
  document.leader = self_;
  document.list_version = std::max(document.list_version, vm_list_version_);
  const bool in_roster =
      std::find(document.roster.begin(), document.roster.end(), self_) !=
      document.roster.end();
  if (!in_roster && !listed_vms_.contains(self_.vm))
    return;
  if (!in_roster)
    document.roster.push_back(self_);
  StartWrite(now, std::move(document), actions);
}

std::vector<PartitionRow> Election::OnWritten(Instant now,
                                              const ZoneWriteResult& written,
                                              StewardActions& actions) {
  if (store_call_ != StoreCall::kWriting || written.call != store_call_number_)
    return {};
  store_call_ = StoreCall::kNone;
  if (written.outcome != StoreOutcome::kDone) {
    // The write may have taken effect, so the document is read back.
    if (written.outcome == StoreOutcome::kUnknown)
      store_unavailable_ = true;
    if (leading() || pending_write_)
      StartRead(now, actions);
    return {};
  }
  store_unavailable_ = false;
  document_version_ = written.version;
  const ZoneDocument document = *std::exchange(pending_write_, std::nullopt);
  if (!leading()) {
    BecomeLeader(document, actions);
    return {};
  }
  if (document.epoch == leading_epoch_)
    ConfirmWritten(document);
  return TakeConfirmedRows();
}

std::vector<PartitionRow> Election::TakeConfirmedRows() {
  return std::exchange(newly_confirmed_, {});
}

void Election::ConfirmWritten(const ZoneDocument& document) {
  confirmed_roster_.clear();
  confirmed_roster_.insert(document.roster.begin(), document.roster.end());
  newly_confirmed_ = document.rows;
}

void Election::BecomeLeader(const ZoneDocument& document,
                            StewardActions& actions) {
  pending_write_.reset();
  if (document.epoch < seen_epoch_)
    return;
  leading_epoch_ = document.epoch;
  seen_epoch_ = document.epoch;
  admitted_ = true;
  roster_.clear();
  roster_.insert(document.roster.begin(), document.roster.end());
  confirmed_roster_ = roster_;
  unsealed_ = document.unsealed;
  rows_ = document.rows;
  stored_rows_at_election_ = document.rows;
  stored_list_version_ = document.list_version;
  actions.push_back(Decision{"leader-elected", self_.ToString(), "",
                             FencingToken{leading_epoch_, 0},
                             "the store confirmed its zone document"});
  for (const StewardId& id : std::set<StewardId>(terminated_))
    OnTerminated(id);
  // An earlier incarnation on this VM cannot still be running.
  for (const StewardId& id : std::set<StewardId>(roster_)) {
    if (id.vm == self_.vm && id.incarnation < self_.incarnation)
      OnTerminated(id);
  }
  std::erase_if(unsealed_, [&](const UnsealedLeader& previous) {
    return previous.id == self_;
  });
  for (const UnsealedLeader& previous : std::vector(unsealed_)) {
    if (previous.id.vm == self_.vm)
      OnTerminated(previous.id);
  }
}

void Election::StopLeading(const std::string& reason, StewardActions& actions) {
  if (!leading())
    return;
  actions.push_back(Decision{"leader-stopped", self_.ToString(), "",
                             FencingToken{leading_epoch_, 0}, reason});
  leading_epoch_ = 0;
  pending_write_.reset();
  write_needed_ = false;
  unsealed_.clear();
  newly_confirmed_.clear();
}

void Election::OnEpochSeen(Instant now,
                           Epoch epoch,
                           bool from_leader,
                           StewardActions& actions) {
  if (epoch < seen_epoch_)
    return;
  if (epoch > seen_epoch_)
    StopLeading("received a higher epoch", actions);
  seen_epoch_ = epoch;
  if (!from_leader)
    return;
  last_leader_message_at_ = now;
  leader_resigned_ = false;
}

void Election::OnStepDownAck(const StewardId& from, Epoch epoch) {
  if (!leading() || epoch != leading_epoch_)
    return;
  const auto removed_unsealed = std::erase_if(
      unsealed_,
      [&](const UnsealedLeader& previous) { return previous.id == from; });
  if (removed_unsealed > 0)
    write_needed_ = true;
}

void Election::OnJoin(const StewardId& from) {
  if (!leading() || !listed_vms_.contains(from.vm))
    return;
  if (terminated_.contains(from))
    return;
  if (roster_.insert(from).second)
    write_needed_ = true;
}

void Election::OnTerminated(const StewardId& id) {
  terminated_.insert(id);
  if (!leading())
    return;
  const bool was_in_roster = roster_.erase(id) > 0;
  confirmed_roster_.erase(id);
  const auto removed_unsealed = std::erase_if(
      unsealed_,
      [&](const UnsealedLeader& previous) { return previous.id == id; });
  if (was_in_roster || removed_unsealed > 0)
    write_needed_ = true;
}

void Election::OnVmList(std::uint64_t version, const std::set<VmId>& listed) {
  if (version <= vm_list_version_)
    return;
  vm_list_version_ = version;
  listed_vms_ = listed;
}

std::vector<StewardId> Election::UnlistedStewards() const {
  std::vector<StewardId> unlisted;
  if (!leading() || vm_list_version_ < stored_list_version_)
    return unlisted;
  if (vm_list_version_ == 0)
    return unlisted;
  for (const StewardId& id : roster_) {
    if (id != self_ && !listed_vms_.contains(id.vm))
      unlisted.push_back(id);
  }
  for (const UnsealedLeader& previous : unsealed_) {
    if (!listed_vms_.contains(previous.id.vm))
      unlisted.push_back(previous.id);
  }
  return unlisted;
}

void Election::OnLeaderResigned() {
  leader_resigned_ = true;
}

void Election::Resign(StewardActions& actions) {
  StopLeading("this steward is stopping", actions);
  actions.push_back(ReleaseLeaderLease{});
}

void Election::ProposeRows(std::vector<PartitionRow> rows) {
  if (rows == rows_)
    return;
  rows_ = std::move(rows);
  write_needed_ = true;
}

ZoneDocument Election::BuildDocument() const {
  ZoneDocument document;
  document.epoch = leading_epoch_;
  document.leader = self_;
  document.roster.assign(roster_.begin(), roster_.end());
  document.unsealed = unsealed_;
  document.rows = rows_;
  document.list_version = std::max(stored_list_version_, vm_list_version_);
  return document;
}

}  // namespace figstall
