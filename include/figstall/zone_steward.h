// The state machine of one steward of an availability zone. It renews leases as
// a member and leads the zone when elected. It takes events and returns
// actions; it has no clock and performs no I/O.
#ifndef FIGSTALL_ZONE_STEWARD_H_
#define FIGSTALL_ZONE_STEWARD_H_

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "figstall/election.h"
#include "figstall/lease_renewer.h"
#include "figstall/partition_mover.h"
#include "figstall/steward_io.h"

namespace figstall {

// Example:
//
//   ZoneSteward steward(self, timing, limits);
//   for (const StewardAction& action : steward.Step(now, Tick{})) Run(action);
class ZoneSteward {
 public:
  ZoneSteward(StewardId self, StewardTiming timing, StewardLimits limits);

  // Handles one event. Call it with Tick at least every 20 ms.
  StewardActions Step(Instant now, const StewardEvent& event);

  // Gives up leadership and stops renewing leases. Step returns no actions
  // afterwards.
  StewardActions Resign();

  bool leading() const { return election_.leading(); }
  bool authority() const { return mover_ != nullptr; }
  bool settled() const { return mover_ && mover_->settled(); }
  bool admitted() const { return election_.admitted(); }
  Epoch epoch() const { return election_.seen_epoch(); }
  // True if this steward does not lead and received no leader's state for the
  // leader timeout.
  bool LeaderTimedOut(Instant now) const;
  const StewardId& self() const { return self_; }
  const ZonePlan& plan() const { return plan_; }
  // Rows known to this steward: those of its own table if it leads with
  // authority, otherwise those received from the leader.
  std::vector<PartitionRow> KnownRows() const;

 private:
  struct Member {
    // The greatest change of this epoch that the member acknowledged.
    std::uint64_t acknowledged_change = 0;
    std::optional<Instant> pushed_at;
  };

  void Handle(Instant now, const Tick& tick, StewardActions& actions);
  void Handle(Instant now, const PlanChanged& changed, StewardActions& actions);
  void Handle(Instant now, const VmListChanged& list, StewardActions& actions);
  void Handle(Instant now, const ZoneReadResult& read, StewardActions& actions);
  void Handle(Instant now,
              const ZoneWriteResult& written,
              StewardActions& actions);
  void Handle(Instant now,
              const LeaderLeaseReply& reply,
              StewardActions& actions);
  void Handle(Instant now,
              const PeerMessageReceived& received,
              StewardActions& actions);
  void Handle(Instant now,
              const HolderReplied& replied,
              StewardActions& actions);

  void OnPeer(Instant now,
              const StewardId& from,
              const JoinRequest& message,
              StewardActions& actions);
  void OnPeer(Instant now,
              const StewardId& from,
              const StatePush& message,
              StewardActions& actions);
  void OnPeer(Instant now,
              const StewardId& from,
              const StatePushAck& message,
              StewardActions& actions);
  void OnPeer(Instant now,
              const StewardId& from,
              const StepDown& message,
              StewardActions& actions);
  void OnPeer(Instant now,
              const StewardId& from,
              const StepDownAck& message,
              StewardActions& actions);
  void OnPeer(Instant now,
              const StewardId& from,
              const SealRequest& message,
              StewardActions& actions);
  void OnPeer(Instant now,
              const StewardId& from,
              const SealReply& message,
              StewardActions& actions);
  void OnPeer(Instant now,
              const StewardId& from,
              const Resignation& message,
              StewardActions& actions);

  void RetireOlderIncarnations(Instant now, const StewardId& from);
  void MarkTerminated(Instant now, const StewardId& id);
  void MarkVmTerminated(Instant now, const VmId& vm);

  // Updates the mover, then performs what follows from an event or is due.
  void Advance(Instant now, StewardActions& actions);
  // Creates the mover when this steward gains authority and destroys it when
  // its epoch is over. Unlisted stewards are marked as terminated first.
  void UpdateMover(Instant now);
  void SendJoinRequests(Instant now, StewardActions& actions);
  void SendStepDowns(Instant now, StewardActions& actions);
  void PushState(Instant now, StewardActions& actions);
  void SendOrders(Instant now, StewardActions& actions);
  // Returns the rows that a member sends to a router that has just started and
  // has no lease yet, so that the router can serve before the leader's order
  // reaches it.
  std::vector<PartitionRow> HintsFor(const VmId& holder) const;
  bool IsRenewerOf(const VmId& holder) const;
  PartitionMover::ElectionState CurrentElectionState() const;

  const StewardId self_;
  const StewardTiming timing_;
  const StewardLimits limits_;
  ZonePlan plan_;
  Election election_;
  LeaseRenewer lease_renewer_;
  // Set if and only if this steward leads with authority.
  std::unique_ptr<PartitionMover> mover_;
  Epoch mover_epoch_ = 0;
  std::map<StewardId, Member> members_;
  // As a member: the epoch and the last change of the state pushes applied.
  Epoch applied_epoch_ = 0;
  std::uint64_t applied_change_ = 0;
  std::optional<Instant> last_leader_message_at_;
  StewardId last_leader_;
  std::set<StewardId> pushed_roster_;
  std::map<PartitionKey, PartitionRow> pushed_rows_;
  std::optional<Instant> join_requested_at_;
  std::optional<Instant> step_down_sent_at_;
  std::uint64_t proposed_change_ = 0;
  bool resigned_ = false;
};

}  // namespace figstall

#endif  // FIGSTALL_ZONE_STEWARD_H_
