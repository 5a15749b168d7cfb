// Election of the leader of an availability zone and admission of its members.
// Both are agreed through the zone's document in the store.
#ifndef FIGSTALL_ELECTION_H_
#define FIGSTALL_ELECTION_H_

#include <optional>
#include <set>
#include <vector>

#include "figstall/steward_io.h"

namespace figstall {

// The election state machine of one steward. A steward becomes leader by one
// compare-and-swap of the zone's document that raises the epoch. It gains
// authority to move partitions only after every leader of a lower epoch has
// acknowledged the new epoch or is known to have terminated.
class Election {
 public:
  Election(StewardId self, StewardTiming timing);

  void Tick(Instant now, StewardActions& actions);
  void OnLeaseReply(Instant now,
                    const LeaderLeaseReply& reply,
                    StewardActions& actions);
  void OnRead(Instant now, const ZoneReadResult& read, StewardActions& actions);
  // Returns the rows whose write this result confirms, if any.
  std::vector<PartitionRow> OnWritten(Instant now,
                                      const ZoneWriteResult& written,
                                      StewardActions& actions);
  // Returns the rows confirmed since the last call and clears them.
  std::vector<PartitionRow> TakeConfirmedRows();

  // Processes the epoch of a received message. `from_leader` is true if the
  // leader of that epoch sent it, which also restarts the leader timeout.
  void OnEpochSeen(Instant now,
                   Epoch epoch,
                   bool from_leader,
                   StewardActions& actions);
  void OnStepDownAck(const StewardId& from, Epoch epoch);
  void OnJoin(const StewardId& from);
  // Steward `id` is known to have terminated: a later incarnation runs on its
  // VM, the platform no longer lists its VM, an operator's record declares the
  // VM lost, or the steward resigned.
  void OnTerminated(const StewardId& id);
  // Updates the VMs that the platform lists. A steward that joins is admitted
  // only if its VM is listed.
  void OnVmList(std::uint64_t version, const std::set<VmId>& listed);
  // The leader announced that it stops. Another steward may run for leader
  // without waiting for the leader timeout.
  void OnLeaderResigned();
  void OnAdmitted() { admitted_ = true; }
  void Resign(StewardActions& actions);

  // Sets the rows to write with the next document.
  void ProposeRows(std::vector<PartitionRow> rows);

  bool leading() const { return leading_epoch_ != 0; }
  Epoch epoch() const { return leading_epoch_; }
  Epoch seen_epoch() const { return seen_epoch_; }
  bool authority() const { return leading() && unsealed_.empty(); }
  bool admitted() const { return admitted_; }
  bool store_unavailable() const { return store_unavailable_; }
  // Stewards that may renew leases. A seal completes only after each of them
  // has stopped renewing.
  const std::set<StewardId>& roster() const { return roster_; }
  // Stewards whose admission the store has confirmed.
  const std::set<StewardId>& confirmed_roster() const {
    return confirmed_roster_;
  }
  // Roster members and unsealed leaders whose VMs the platform no longer lists.
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
  ZoneDocument BuildDocument() const;

  const StewardId self_;
  const StewardTiming timing_;

  // The epoch that this steward leads; 0 if it does not lead.
  Epoch leading_epoch_ = 0;
  // The greatest epoch received or led; only rises.
  Epoch seen_epoch_ = 0;
  bool admitted_ = false;
  std::optional<Instant> last_leader_message_at_;
  std::optional<Instant> first_tick_at_;
  std::optional<Instant> leader_lease_requested_at_;
  bool lease_held_ = false;

  StoreCall store_call_ = StoreCall::kNone;
  std::uint64_t store_call_number_ = 0;
  Instant store_call_started_at_{};
  std::optional<Instant> store_retry_at_;
  bool store_unavailable_ = false;
  // Version of the stored document, expected by the next compare-and-swap.
  std::uint64_t document_version_ = 0;
  // The document of the last write while its outcome is unknown.
  std::optional<ZoneDocument> pending_write_;
  // True if the leader's state differs from the document written last.
  bool write_needed_ = false;

  std::set<VmId> listed_vms_;
  std::uint64_t vm_list_version_ = 0;
  std::uint64_t stored_list_version_ = 0;
  bool leader_resigned_ = false;
  std::set<StewardId> roster_;
  std::set<StewardId> confirmed_roster_;
  std::set<StewardId> terminated_;
  std::vector<UnsealedLeader> unsealed_;
  std::vector<PartitionRow> rows_;
  std::vector<PartitionRow> stored_rows_at_election_;
  std::vector<PartitionRow> newly_confirmed_;
};

}  // namespace figstall

#endif  // FIGSTALL_ELECTION_H_
