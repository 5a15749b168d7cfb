// Implements a steward's part in elections.
#include "figstall/election.h"

#include <algorithm>
#include <utility>

namespace figstall {

Election::Election(StewardId self, StewardTiming timing)
    : self_(std::move(self)), timing_(timing) {}

void Election::Tick(Instant now, StewardActions& actions) {
  if (!started_at_)
    started_at_ = now;
  if (call_ != StoreCall::kNone &&
      now - call_started_ >= timing_.store_timeout) {
    call_ = StoreCall::kNone;
    store_unavailable_ = true;
    retry_at_ = now + timing_.store_retry_interval;
  }
  const bool wants_lease = leading() || LeaderTimedOut(now);
  const bool lease_due =
      !leader_lease_requested_at_ ||
      now - *leader_lease_requested_at_ >= timing_.leader_lease_renew_interval;
  if (wants_lease && lease_due) {
    leader_lease_requested_at_ = now;
    actions.push_back(AcquireLeaderLease{});
  }
  if (call_ != StoreCall::kNone)
    return;
  if (retry_at_ && now < *retry_at_)
    return;
  if (leading() && (pending_write_ || store_unavailable_)) {
    StartRead(now, actions);
    return;
  }
  if (leading() && dirty_)
    StartWrite(now, Draft(), actions);
}

bool Election::LeaderTimedOut(Instant now) const {
  if (!started_at_)
    return false;
  if (leader_left_)
    return true;
  // A newcomer waits longer, so that a member that knows the leases leads.
  const Duration timeout =
      admitted_ ? timing_.leader_timeout : 2 * timing_.leader_timeout;
  return now - last_leader_message_at_.value_or(*started_at_) >= timeout;
}

void Election::OnLease(Instant now,
                       const LeaderLeaseReply& reply,
                       StewardActions& actions) {
  if (!reply.answered) {
    store_unavailable_ = store_unavailable_ || leading();
    return;
  }
  lease_held_ = reply.held;
  if (call_ != StoreCall::kNone)
    return;
  // A leader without the lease looks whether somebody else was elected.
  const bool must_look = leading() != reply.held;
  if (must_look)
    StartRead(now, actions);
}

void Election::StartRead(Instant now, StewardActions& actions) {
  call_ = StoreCall::kReading;
  call_started_ = now;
  retry_at_.reset();
  actions.push_back(ReadZone{++call_number_});
}

void Election::StartWrite(Instant now,
                          ZoneDocument document,
                          StewardActions& actions) {
  call_ = StoreCall::kWriting;
  call_started_ = now;
  dirty_ = false;
  pending_write_ = document;
  actions.push_back(WriteZone{++call_number_, std::move(document), version_});
}

void Election::OnRead(Instant now,
                      const ZoneReadResult& read,
                      StewardActions& actions) {
  if (call_ != StoreCall::kReading || read.call != call_number_)
    return;
  call_ = StoreCall::kNone;
  if (!read.answered) {
    store_unavailable_ = true;
    retry_at_ = now + timing_.store_retry_interval;
    return;
  }
  store_unavailable_ = false;
  version_ = read.version;
  const Epoch stored = read.document ? read.document->epoch : 0;
  const bool own = read.document && read.document->leader == self_;
  if (leading() && (stored > leading_ || (stored == leading_ && !own))) {
    StopLeading("the store names a later leader", actions);
    return;
  }
  if (leading()) {
    if (read.document)
      CheckOwnDocument(*read.document);
    return;
  }
  const bool won =
      pending_write_ && read.document && *read.document == *pending_write_;
  if (won) {
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
  dirty_ = true;
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
  const bool listed = std::find(document.roster.begin(), document.roster.end(),
                                self_) != document.roster.end();
  if (!listed && !listed_.contains(self_.vm))
    return;
  if (!listed)
    document.roster.push_back(self_);
  StartWrite(now, std::move(document), actions);
}

std::vector<PartitionRow> Election::OnWritten(Instant now,
                                              const ZoneWriteResult& written,
                                              StewardActions& actions) {
  if (call_ != StoreCall::kWriting || written.call != call_number_)
    return {};
  call_ = StoreCall::kNone;
  if (written.outcome != StoreOutcome::kDone) {
    // The document is read back before anything is concluded.
    if (written.outcome == StoreOutcome::kUnknown)
      store_unavailable_ = true;
    if (leading() || pending_write_)
      StartRead(now, actions);
    return {};
  }
  store_unavailable_ = false;
  version_ = written.version;
  const ZoneDocument document = *std::exchange(pending_write_, std::nullopt);
  if (!leading()) {
    BecomeLeader(document, actions);
    return {};
  }
  if (document.epoch == leading_)
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
  leading_ = document.epoch;
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
                             FencingToken{leading_, 0},
                             "won the zone's epoch"});
  for (const StewardId& id : std::set<StewardId>(gone_))
    OnTerminated(id);
  // An earlier run of this very VM cannot still be running.
  for (const StewardId& id : std::set<StewardId>(roster_)) {
    if (id.vm == self_.vm && id.incarnation < self_.incarnation)
      OnTerminated(id);
  }
  std::erase_if(unsealed_,
                [&](const UnsealedLeader& old) { return old.id == self_; });
  for (const UnsealedLeader& old : std::vector(unsealed_)) {
    if (old.id.vm == self_.vm)
      OnTerminated(old.id);
  }
}

void Election::StopLeading(const std::string& reason, StewardActions& actions) {
  if (!leading())
    return;
  actions.push_back(Decision{"leader-stopped", self_.ToString(), "",
                             FencingToken{leading_, 0}, reason});
  leading_ = 0;
  pending_write_.reset();
  dirty_ = false;
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
    StopLeading("a later epoch was announced", actions);
  seen_epoch_ = epoch;
  if (!from_leader)
    return;
  last_leader_message_at_ = now;
  leader_left_ = false;
}

void Election::OnStepDownAck(const StewardId& from, Epoch epoch) {
  if (!leading() || epoch != leading_)
    return;
  const auto removed = std::erase_if(
      unsealed_, [&](const UnsealedLeader& old) { return old.id == from; });
  if (removed > 0)
    dirty_ = true;
}

void Election::OnJoin(const StewardId& from) {
  if (!leading() || !listed_.contains(from.vm))
    return;
  if (gone_.contains(from))
    return;
  if (roster_.insert(from).second)
    dirty_ = true;
}

void Election::OnTerminated(const StewardId& id) {
  gone_.insert(id);
  if (!leading())
    return;
  const bool listed = roster_.erase(id) > 0;
  confirmed_roster_.erase(id);
  const auto unsealed = std::erase_if(
      unsealed_, [&](const UnsealedLeader& old) { return old.id == id; });
  if (listed || unsealed > 0)
    dirty_ = true;
}

void Election::OnVmList(std::uint64_t version, const std::set<VmId>& listed) {
  if (version <= vm_list_version_)
    return;
  vm_list_version_ = version;
  listed_ = listed;
}

std::vector<StewardId> Election::UnlistedStewards() const {
  std::vector<StewardId> missing;
  if (!leading() || vm_list_version_ < stored_list_version_)
    return missing;
  if (vm_list_version_ == 0)
    return missing;
  for (const StewardId& id : roster_) {
    if (id != self_ && !listed_.contains(id.vm))
      missing.push_back(id);
  }
  for (const UnsealedLeader& old : unsealed_) {
    if (!listed_.contains(old.id.vm))
      missing.push_back(old.id);
  }
  return missing;
}

void Election::OnLeaderResigned() {
  leader_left_ = true;
}

void Election::Resign(StewardActions& actions) {
  StopLeading("this steward is stopping", actions);
  actions.push_back(ReleaseLeaderLease{});
}

void Election::ProposeRows(std::vector<PartitionRow> rows) {
  if (rows == rows_)
    return;
  rows_ = std::move(rows);
  dirty_ = true;
}

ZoneDocument Election::Draft() const {
  ZoneDocument document;
  document.epoch = leading_;
  document.leader = self_;
  document.roster.assign(roster_.begin(), roster_.end());
  document.unsealed = unsealed_;
  document.rows = rows_;
  document.list_version = std::max(stored_list_version_, vm_list_version_);
  return document;
}

}  // namespace figstall
