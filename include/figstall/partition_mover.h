// A leader's work once it has authority: learns what holders hold, opens and
// seals leases, and moves partitions one safe step at a time.
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

// Lives for one epoch of one leader. Invariant: a partition is granted only
// after every holder that might still serve it has confirmed that it stopped,
// or its lease has lapsed.
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
                 LeaseRenewer& keeper);

  void SetPlan(const ZonePlan& plan);
  // Rows that the store held when this leader was elected.
  void AdoptStoredRows(const std::vector<PartitionRow>& rows);

  void OnStatus(Instant now,
                const HolderStatus& status,
                const ElectionState& around,
                StewardActions& actions);
  void OnSealReply(Instant now, const StewardId& from, const SealReply& reply);
  void OnTerminated(Instant now, const StewardId& id);
  void OnStored(const std::vector<PartitionRow>& rows);

  void Advance(Instant now,
               const ElectionState& around,
               StewardActions& actions);
  // Adds the leader's part to an order that is about to be sent.
  void AddLeaderFields(HolderOrder& order);

  std::vector<LeaseEntry> OpenLeases() const;
  const OwnershipTable& table() const { return table_; }
  // Rises whenever members have something new to learn.
  std::uint64_t change() const { return table_.change(); }
  // True once every holder has reported or its lease has lapsed; until then
  // nothing is granted anew.
  bool settled() const { return settled_; }

 private:
  enum class Phase {
    // Has not yet reported to this leader.
    kUnreported,
    // Has no lease; nothing is granted to it.
    kNone,
    kOpening,
    kOpen,
    // Asking the members whether they still hear it.
    kPolling,
    kSealing,
  };

  struct Holder {
    Phase phase = Phase::kUnreported;
    bool is_router = false;
    FencingToken lease;
    Instant timeout_started_at{};
    std::optional<Seal> seal;
    std::optional<Instant> seal_requested_at;
    // Members that have not yet said whether they hear the holder.
    std::set<StewardId> pending_poll_replies;
    std::uint64_t incarnation = 0;
    // Greatest order change this holder acknowledged under its lease.
    std::uint64_t acknowledged = 0;
    // A router's requests of an earlier run, or of a run that was lost, have
    // ended by then.
    Instant requests_ended_by{};
    // Rows that the holder's report named.
    std::set<PartitionKey> reported;
  };

  FencingToken NextTerm() { return FencingToken{epoch_, ++term_count_}; }
  bool ChecksGrants(const PartitionKey& key) const;
  bool IsLeaseHolder(const VmId& id) const;
  // Holders that must confirm before `key` may go to another owner.
  std::set<VmId> PossibleHolders(const PartitionKey& key,
                                 const OwnedRow& row) const;
  // Longest that a request which a router left behind may last at a target.
  Duration MaxRequestDuration() const;
  // Confirms for routers without a lease, whose work in flight has ended.
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
  // Takes back a partition that nobody reported to hold.
  void ReclaimRow(const PartitionKey& key);
  void Settle(StewardActions& actions);

  void DriveHolder(Instant now,
                   const VmId& id,
                   Holder& holder,
                   const ElectionState& around,
                   StewardActions& actions);
  void StartPoll(Instant now,
                 const VmId& id,
                 Holder& holder,
                 const ElectionState& around,
                 StewardActions& actions);
  void StartSeal(Instant now,
                 const VmId& id,
                 Holder& holder,
                 const ElectionState& around,
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
  // While nothing was ever placed, placement waits for the leases that are
  // being opened, so that the first target does not take everything.
  bool AnyOpening() const;
  // What a router that has just started needs before it gets a lease.
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
  LeaseRenewer& keeper_;
  // When a steward was last found gone; it may have renewed until then.
  Instant last_gone_at_;
  ZonePlan plan_;
  std::map<VmId, Holder> holders_;
  OwnershipTable table_;
  std::uint64_t term_count_ = 0;
  bool settled_ = false;
  // Services whose placement may still improve.
  std::set<ServiceId> services_to_place_;
};

}  // namespace figstall

#endif  // FIGSTALL_PARTITION_MOVER_H_
