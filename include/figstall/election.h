// Who leads an availability zone and who is admitted to it, agreed through the
// zone's document in the store.
#ifndef FIGSTALL_ELECTION_H_
#define FIGSTALL_ELECTION_H_

#include <optional>
#include <set>
#include <vector>

#include "figstall/steward_io.h"

namespace figstall {

// One steward's part in elections. Becoming leader is one compare-and-swap that
// raises the epoch; authority to move partitions comes only after every leader
// of a lower epoch has acknowledged or is provably gone.
class Election {
 public:
  Election(StewardId self, StewardTiming timing);

  void Tick(Instant now, StewardActions& actions);
  void OnLease(Instant now,
               const LeaderLeaseReply& reply,
               StewardActions& actions);
  void OnRead(Instant now, const ZoneReadResult& read, StewardActions& actions);
  // Returns the rows that the store has now confirmed, if any.
  std::vector<PartitionRow> OnWritten(Instant now,
                                      const ZoneWriteResult& written,
                                      StewardActions& actions);
  std::vector<PartitionRow> TakeConfirmedRows();

  // A message of a leader or candidate with this epoch arrived.
  void OnEpochSeen(Instant now,
                   Epoch epoch,
                   bool from_leader,
                   StewardActions& actions);
  void OnStepDownAck(const StewardId& from, Epoch epoch);
  void OnJoin(const StewardId& from);
  // `id` is provably gone: replaced on its VM, off the VM list, or declared.
  void OnTerminated(const StewardId& id);
  // The VMs that the platform lists. A newcomer is admitted only when listed.
  void OnVmList(std::uint64_t version, const std::set<VmId>& listed);
  // The leader said that it stops; another may run at once.
  void OnLeaderResigned();
  void OnAdmitted() { admitted_ = true; }
  void Resign(StewardActions& actions);

  // Rows to be written with the next document.
  void ProposeRows(std::vector<PartitionRow> rows);

  bool leading() const { return leading_ != 0; }
  Epoch epoch() const { return leading_; }
  Epoch seen_epoch() const { return seen_epoch_; }
  bool authority() const { return leading() && unsealed_.empty(); }
  bool admitted() const { return admitted_; }
  bool store_unavailable() const { return store_unavailable_; }
  // Stewards that may renew leases; seals wait for each of them.
  const std::set<StewardId>& roster() const { return roster_; }
  // Stewards whose admission the store has confirmed.
  const std::set<StewardId>& confirmed_roster() const {
    return confirmed_roster_;
  }
  // Roster members and old leaders that the VM list proves gone.
  std::vector<StewardId> UnlistedStewards() const;
  const std::vector<UnsealedLeader>& unsealed() const { return unsealed_; }
  // Rows of the document read when this steward became leader.
  const std::vector<PartitionRow>& stored_rows_at_election() const {
    return stored_rows_at_election_;
  }

 private:
  enum class StoreCall { kNone, kReading, kWriting };

  bool LeaderTimedOut(Instant now) const;
  void StartRead(Instant now, StewardActions& actions);
  void StartWrite(Instant now, ZoneDocument document, StewardActions& actions);
  void RunForLeader(Instant now,
                    const ZoneReadResult& read,
                    StewardActions& actions);
  void BecomeLeader(const ZoneDocument& document, StewardActions& actions);
  void CheckOwnDocument(const ZoneDocument& document);
  void StopLeading(const std::string& reason, StewardActions& actions);
  void ConfirmWritten(const ZoneDocument& document);
  ZoneDocument Draft() const;

  const StewardId self_;
  const StewardTiming timing_;

  Epoch leading_ = 0;
  // The greatest epoch heard of; only rises.
  Epoch seen_epoch_ = 0;
  bool admitted_ = false;
  std::optional<Instant> last_leader_message_at_;
  std::optional<Instant> started_at_;
  std::optional<Instant> leader_lease_requested_at_;
  bool lease_held_ = false;

  StoreCall call_ = StoreCall::kNone;
  std::uint64_t call_number_ = 0;
  Instant call_started_{};
  std::optional<Instant> retry_at_;
  bool store_unavailable_ = false;
  std::uint64_t version_ = 0;
  // The document sent last; its outcome is open while it is set.
  std::optional<ZoneDocument> pending_write_;
  bool dirty_ = false;

  std::set<VmId> listed_;
  std::uint64_t vm_list_version_ = 0;
  std::uint64_t stored_list_version_ = 0;
  bool leader_left_ = false;
  std::set<StewardId> roster_;
  std::set<StewardId> confirmed_roster_;
  std::set<StewardId> gone_;
  std::vector<UnsealedLeader> unsealed_;
  std::vector<PartitionRow> rows_;
  std::vector<PartitionRow> stored_rows_at_election_;
  std::vector<PartitionRow> newly_confirmed_;
};

}  // namespace figstall

#endif  // FIGSTALL_ELECTION_H_
