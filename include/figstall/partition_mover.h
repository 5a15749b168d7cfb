// The ownership logic of a zone's leader with authority. It collects from the
// holders which partitions they serve, opens and seals their leases, and moves
// partitions so that no two holders serve the same one.
#ifndef FIGSTALL_PARTITION_MOVER_H_
#define FIGSTALL_PARTITION_MOVER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "figstall/lease_renewer.h"
#include "figstall/ownership_table.h"
#include "figstall/placement.h"
#include "figstall/seal.h"
#include "figstall/steward_io.h"

namespace figstall {

// One instance serves one epoch of one leader. Invariant: a partition is
// granted only after every holder that might still serve it has confirmed that
// it stopped, or that holder's lease has expired.
class PartitionMover {
 public:
  struct ElectionState {
    // Stewards that may be renewing leases.
    const std::set<StewardId>& roster;
    bool store_unavailable = false;
  };

  PartitionMover(StewardId self,
                 Epoch epoch,
                 StewardTiming timing,
                 StewardLimits limits,
                 Instant now,
                 LeaseRenewer& renewer);

  void SetPlan(const ZonePlan& plan);
  // Rows that the store held when this leader was elected.
  void AdoptStoredRows(const std::vector<PartitionRow>& rows);

  void OnStatus(Instant now,
                const HolderStatus& status,
                const ElectionState& election,
                StewardActions& actions);
  void OnSealReply(Instant now, const StewardId& from, const SealReply& reply);
  void OnTerminated(Instant now, const StewardId& id);
  void OnStored(const std::vector<PartitionRow>& rows);

  void Advance(Instant now,
               const ElectionState& election,
               StewardActions& actions);
  // Fills in the fields of `order` that only the leader sets.
  void AddLeaderFields(HolderOrder& order);

  std::vector<LeaseEntry> OpenLeases() const;
  const OwnershipTable& table() const { return table_; }
  // Increases with every change that has to be sent to members.
  std::uint64_t change() const { return table_.change(); }
  // True once every holder has reported or its lease has expired. Until then no
  // partition is granted to a new owner.
  bool settled() const { return settled_; }

 private:
  enum class Phase {
    // Has not yet reported to this leader.
    kUnreported,
    // Has no lease; no partition is granted to it.
    kNone,
    kOpening,
    kOpen,
    // The holder timed out; the members are asked whether it still responds to
    // them.
    kPolling,
    kSealing,
  };

  struct Holder {
    Phase phase = Phase::kUnreported;
    bool is_router = false;
    FencingToken lease;
    // Start of the timeout of the current phase; unset before the first
    // Advance.
    Instant timeout_started_at{};
    std::optional<Seal> seal;
    std::optional<Instant> seal_requested_at;
    // Members that have not yet replied whether the holder responds to them.
    std::set<StewardId> pending_poll_replies;
    std::uint64_t incarnation = 0;
    // Highest HolderOrder::change that the holder acknowledged under its lease.
    std::uint64_t acknowledged_change = 0;
    // For a router: the time by which all requests have ended that it sent in
    // an earlier incarnation, or before its lease was sealed and expired.
    Instant requests_ended_by{};
    // Partitions that the holder's report listed.
    std::set<PartitionKey> reported_partitions;
  };

  FencingToken NextTerm() { return FencingToken{epoch_, ++term_count_}; }
  bool ChecksGrants(const PartitionKey& key) const;
  bool IsLeaseHolder(const VmId& id) const;
  // Holders that must confirm before `key` may go to another owner.
  std::set<VmId> PossibleHolders(const PartitionKey& key,
                                 const OwnedRow& row) const;
  // Longest time that a request from a router which lost its lease may still
  // run at a target.
  Duration MaxRequestDuration() const;
  // Confirms revokes on behalf of routers that have no lease and whose requests
  // in flight have ended.
  void ConfirmExpiredRouters(Instant now);

  void AdoptReport(const VmId& id, Holder& holder, const HolderStatus& status);
  void CheckLease(const VmId& id,
                  Holder& holder,
                  const HolderStatus& status,
                  StewardActions& actions);
  void ConfirmRevokes(const VmId& id, const HolderStatus& status);
  void ConfirmGrants(const VmId& id,
                     Holder& holder,
                     const HolderStatus& status,
                     StewardActions& actions);
  void OnLeaseExpired(const VmId& id,
                      Holder& holder,
                      const std::string& reason,
                      StewardActions& actions);
  // Revokes a partition that no holder reported. If the service's targets do
  // not check grants, assigns it to the same owner again.
  void ReclaimRow(const PartitionKey& key);
  void Settle(StewardActions& actions);

  void AdvanceHolder(Instant now,
                     const VmId& id,
                     Holder& holder,
                     const ElectionState& election,
                     StewardActions& actions);
  void StartPoll(Instant now,
                 const VmId& id,
                 Holder& holder,
                 const ElectionState& election,
                 StewardActions& actions);
  void StartSeal(Instant now,
                 const VmId& id,
                 Holder& holder,
                 const ElectionState& election,
                 StewardActions& actions);
  void SendSealRequests(Instant now,
                        const VmId& id,
                        Holder& holder,
                        const std::set<StewardId>& members,
                        bool insist,
                        StewardActions& actions);
  void OpenLease(Instant now,
                 const VmId& id,
                 Holder& holder,
                 StewardActions& actions);

  void RevokeFromIneligible(Instant now, StewardActions& actions);
  void RevokeAll(const VmId& owner,
                 const std::string& reason,
                 StewardActions& actions);
  void PlaceService(Instant now,
                    const ServicePlan& service,
                    StewardActions& actions);
  // True while any lease is being opened. While no partition has an owner,
  // placement waits for these leases; otherwise the first target with a lease
  // would receive every partition.
  bool AnyLeaseOpening() const;
  // Owners that a newly started router needs before it has a lease; empty if
  // the router has not responded or still reports a lease.
  std::vector<PartitionRow> HintsForNewRouter(const VmId& router) const;
  bool HasFreePartition(const ServiceId& service) const;
  Assignment CurrentAssignment(
      const ServicePlan& service,
      const std::vector<const TargetPlan*>& eligible) const;
  void AssignRow(const PartitionKey& key,
                 const VmId& owner,
                 StewardActions& actions);
  void RevokeRow(const PartitionKey& key,
                 const std::string& reason,
                 StewardActions& actions);
  bool Eligible(Instant now, const TargetPlan& target) const;

  const StewardId self_;
  const Epoch epoch_;
  const StewardTiming timing_;
  const StewardLimits limits_;
  LeaseRenewer& renewer_;
  // When a steward was last found to have terminated; it may have renewed
  // leases until then.
  Instant last_termination_at_;
  ZonePlan plan_;
  std::map<VmId, Holder> holders_;
  OwnershipTable table_;
  std::uint64_t term_count_ = 0;
  bool settled_ = false;
  // Services whose placement may still change to balance load.
  std::set<ServiceId> services_to_place_;
};

}  // namespace figstall

#endif  // FIGSTALL_PARTITION_MOVER_H_
