// Decides how the key ranges of one service move between targets. Only the
// elected mover runs this code, which has no clock, socket or thread of its
// own.
//
// Protocol: an entry of the table is settled or moving. Any member grants
// settled entries; no member grants a moving one. The mover marks an entry as
// moving under a new fencing token and asks the old owner to release the range
// at that token, after which this incarnation of the owner refuses every older
// grant; RangeGranter sends none to a later one. The mover then settles the
// entry at the new owner under the same token. If the old owner does not
// respond, the mover first waits until each member that may have granted the
// range has reported that it knows of the move and until when its grants last,
// or has departed, and until all of those grants have expired. Only members of
// the owner's zone and the mover grant a range, so that a lost member delays no
// moves of other zones. The mover's own grants count from the moment they are
// sent, in any zone.
#ifndef FIGSTALL_RANGE_MOVER_H_
#define FIGSTALL_RANGE_MOVER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figstall/evacuation.h"
#include "figstall/range_balance.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct GrantTiming {
  // How long a grant is valid after its arrival. No target serves the keys of
  // an unresponsive owner for this long, so it is short: three renewal
  // intervals.
  Duration hold_duration = std::chrono::milliseconds(2500);
  // Fraction by which a target's clock may run slow. Source: the platform's
  // protocol.
  double max_clock_drift = 0.02;
  // A grant call without a response by then is aborted and its connection
  // reset, so that the grant cannot arrive later.
  Duration call_timeout = std::chrono::milliseconds(800);
  // Longest time for which an earlier mover may take itself for the mover once
  // another one is elected. The store may end its lease early, so this is the
  // duration of the lease.
  Duration mover_lease_duration = std::chrono::milliseconds(2500);
  // Lease of a member's record. A member that hears nothing of the store grants
  // until its lease has run out by its own count, also if the store has removed
  // the record earlier.
  Duration membership_lease_duration = std::chrono::milliseconds(6000);
  // How long the mover waits for an owner to release a range, and for members'
  // direct reports, before it asks all members to report through the store.
  Duration release_timeout = std::chrono::milliseconds(1500);

  // Time from the arrival of a grant until it has certainly expired.
  Duration MaxHoldFromArrival() const {
    return Scaled(hold_duration, 1 + max_clock_drift);
  }
  // Time from the sending of a grant until it has certainly expired.
  Duration MaxHoldFromSend() const {
    return call_timeout + MaxHoldFromArrival();
  }
  // Limits the remaining hold time that a member reports to the possible range.
  Duration ClampRemainingHold(Duration remaining) const {
    return std::clamp(remaining, Duration{0}, MaxHoldFromSend());
  }
};

// What a member has reported about its grants, and whether it has departed.
// Each incarnation of a process counts as a member of its own.
struct MemberReport {
  // Zone of the member, empty while it is not known.
  ZoneId zone;
  // Fencing token of the newest change that the member has seen in each
  // service's table.
  std::map<ServiceId, std::uint64_t> seen_fence;
  // Until when each owner may hold ranges by this member's grants, by the
  // mover's clock.
  std::map<TargetId, Instant> holds_until;
  // Whether the member has reported that it sends no more grants.
  bool grants_ended = false;
  // When the mover saw that the membership had ended. The store may have
  // removed it before its lease ended, so the member may grant for up to a
  // lease after that.
  std::optional<Instant> departed_at;
  // Where the process receives datagrams; port 0 if that is not known.
  Endpoint peer_endpoint;
  // When the process started, by its VM's time of day, in Unix milliseconds; 0
  // if that is not known.
  std::int64_t started_at_ms = 0;
  // When the mover knew that the process had ended.
  std::optional<Instant> ended_at;

  // When the member has certainly sent its last grant; nullopt if it may go on.
  std::optional<Instant> LastGrantAt(const GrantTiming& timing) const {
    if (!departed_at)
      return ended_at;
    const Instant lease_end = *departed_at + timing.membership_lease_duration;
    return ended_at ? std::min(*ended_at, lease_end) : lease_end;
  }
};

using MemberReports = std::map<std::string, MemberReport>;

// Records which earlier processes have ended, given that the VM's process
// `incarnation_id` listens at its endpoint. One that started there earlier has
// ended; one at another endpoint may run on, as two VMs bear one name while one
// replaces the other. A record may be written late, so its order proves
// nothing. `prefix` is the part of the keys that all processes of the VM share.
void MarkEndedProcesses(Instant now,
                        const std::string& prefix,
                        const std::string& incarnation_id,
                        MemberReports& reports);

struct MoverInput {
  Instant now;
  const TargetDirectory* directory = nullptr;
  // Keyed by VM and process incarnation.
  const MemberReports* members = nullptr;
  // Whether `members` is at least as new as the table in the store. If not, a
  // member that joined in the meantime may be missing.
  bool members_up_to_date = false;
  // When this mover first knew the members. A member that departed earlier is
  // missing from `members`.
  Instant members_known_since{};
  // When this mover was elected.
  Instant mover_since{};
  // Until when the owner may hold ranges by grants that this process sent,
  // including those after its last report; empty if it holds none. May be null
  // if this process grants nothing.
  std::function<std::optional<Instant>(const TargetId& owner)> own_hold_until;
  // Relative capacity of targets; a target that is missing here counts by its
  // slots.
  const std::map<TargetId, double>* capacity = nullptr;
  // Null without samples.
  const RangeLoad* load = nullptr;
  // Ranges move out of these zones, and none into them. Null if there are none.
  const Evacuations* evacuations = nullptr;

  bool IsEvacuated(const ZoneId& zone) const {
    return evacuations && evacuations->contains(zone);
  }
  // Targets that are warming up; may be null. While there are others, they get
  // no ranges of a lost owner, and no first range by the balance.
  const std::set<TargetId>* warming_up = nullptr;
};

// A range that the last plan gave to its next owner.
struct SettledRange {
  KeyRange range;
  TargetId from;
  TargetId to;
  std::uint64_t fence = 0;
  // Whether the previous owner released it; otherwise all grants had expired.
  bool released = false;
  // Since this mover first saw the range moving.
  Duration moving_for{0};

  friend auto operator<=>(const SettledRange&, const SettledRange&) = default;
};

// A move that has not given its range to the next owner.
struct MoveInProgress {
  KeyRange range;
  TargetId from;
  // When this mover first saw the range moving.
  Instant since;
  // Whether the owner has released the range.
  bool released = false;
  // Ranges that are moving, this one included.
  std::size_t moving_ranges = 0;

  friend auto operator<=>(const MoveInProgress&,
                          const MoveInProgress&) = default;
};

struct ReleaseRequest {
  KeyRange range;
  TargetIncarnation owner;
  Endpoint address;
  std::uint64_t fence = 0;

  friend auto operator<=>(const ReleaseRequest&,
                          const ReleaseRequest&) = default;
};

struct MoverOptions {
  // All fencing tokens that this mover issues are above this one.
  std::uint64_t fence_floor = 0;
  // Minimum time from one balancing change to the next. None starts while a
  // range is moving.
  Duration balance_interval = std::chrono::milliseconds(1000);
  // The same when a part of the key space has just become hot, and the minimum
  // time between two checks for such a part.
  Duration hot_balance_interval = std::chrono::milliseconds(200);
  // The first assignment waits until the set of known targets has not changed
  // for this long, so that all targets that start together get a range.
  Duration stabilization_window = std::chrono::milliseconds(1000);
  // How long released ranges wait for others of the same change, so that one
  // write settles them all.
  Duration settle_batch_window = std::chrono::milliseconds(60);
  BalanceLimits balance;
  // How long an owner that is missing from the directory keeps its ranges.
  // Entries come back within two seconds of the store's return. Source: the
  // platform's protocol.
  Duration absence_grace_period = std::chrono::milliseconds(300);
};

class RangeMover {
 public:
  RangeMover(ServiceId service, GrantTiming timing, MoverOptions options = {});

  // Takes the table that is now in the store and discards the progress of moves
  // that are not in it.
  void OnTable(const RangeTable& table, Instant now);
  // The owner confirmed the release at the request's token: it no longer holds
  // the range. `handover` is empty if the owner supplied none that can be kept.
  void OnReleased(const ReleaseRequest& request, const Handover& handover);

  // Returns the table that continues `earlier`, the newest one of an earlier
  // era of the store, which has lost it. If another member may know a newer
  // one, no grant by that may be valid anymore, and `renew_fences` is to be
  // true: each range then gets a token above that of any release.
  RangeTable Continue(const RangeTable& earlier, bool renew_fences) const;
  // Returns the next table if it is to change now. At most one write of the
  // table may be in flight.
  std::optional<RangeTable> Plan(const MoverInput& input);
  // Returns the releases that owners have not confirmed. The caller repeats
  // them until they are confirmed or the entry is settled.
  std::vector<ReleaseRequest> OutstandingReleases() const;
  const RangeTable& table() const { return table_; }
  // The move that this mover has known of for longest, if ranges are moving.
  std::optional<MoveInProgress> OldestMove() const;
  // Balance moves of the last plan, for the log.
  const std::vector<PlannedMove>& last_balance_moves() const {
    return last_balance_moves_;
  }
  // Ranges that the last plan settled, for the log.
  const std::vector<SettledRange>& last_settled() const {
    return last_settled_;
  }
  // How often the load of all targets was evaluated.
  std::uint64_t balance_evaluations() const { return balance_evaluations_; }

 private:
  // Progress of a moving entry.
  struct Progress {
    // When this mover first saw the entry moving.
    Instant moving_since;
    bool released = false;
    // Since when no target holds the range.
    std::optional<Instant> unheld_since;
    Handover handover;
  };

  // Erases targets that are warming up, unless no others remain. `idle_only`:
  // only those without load.
  static void EraseWarmingUp(TargetShares& shares,
                             const MoverInput& input,
                             bool idle_only);
  std::vector<const TargetEntry*> UsableTargets(const MoverInput& input) const;
  RangeTable FirstAssignment(const std::vector<const TargetEntry*>& usable,
                             const MoverInput& input) const;
  std::uint64_t NextFence(const RangeTable& table) const {
    return std::max(table.last_fence, options_.fence_floor) + 1;
  }
  // Splits the ranges of evacuated zones, so that the other targets can share
  // their load evenly.
  void SplitEvacuatedRanges(RangeTable& next,
                            std::size_t usable_targets,
                            const MoverInput& input) const;
  bool StartMoves(RangeTable& next, const MoverInput& input);
  // Asks members for reports through the store where an owner has not released
  // its range in time.
  bool RequestReports(RangeTable& next, const MoverInput& input) const;
  bool AssignUnheldRanges(RangeTable& next, const MoverInput& input);
  bool IsStable(const std::vector<const TargetEntry*>& usable, Instant now);
  bool Balance(RangeTable& next, const MoverInput& input);
  // Whether the entry's owner has left, is leaving or has restarted, or its
  // zone is being evacuated.
  bool MustMove(const RangeEntry& entry, const MoverInput& input);
  // Whether a member may have sent a grant of the entry that is still valid,
  // though it has not reported that it knows of the move.
  bool MayHaveGranted(const MemberReport& member,
                      const RangeEntry& entry,
                      const MoverInput& input) const;
  // Whether certainly no target holds the moving entry's range.
  bool HasNoHolder(const RangeEntry& entry, const MoverInput& input) const;

  const ServiceId service_;
  const GrantTiming timing_;
  const MoverOptions options_;
  RangeTable table_;
  // Keyed by the first key and fencing token of a moving entry.
  std::map<std::pair<ShardKey, std::uint64_t>, Progress> progress_;
  // Since when each owner has been missing from the directory.
  std::map<TargetId, Instant> missing_since_;
  // Planned owner of each range that moves for balance, keyed by first key.
  std::map<ShardKey, TargetId> planned_owner_;
  std::optional<Instant> last_balance_at_;
  // Last evaluation of the load of all targets. Its processor cost limits how
  // often it is done.
  std::optional<Instant> last_balance_evaluation_at_;
  std::uint64_t balance_evaluations_ = 0;
  std::vector<PlannedMove> last_balance_moves_;
  std::vector<SettledRange> last_settled_;
  // Owners of hot parts when balance moves were last planned.
  std::set<TargetId> hot_owners_;
  // The usable targets before the first assignment, and since when this set has
  // not changed.
  std::set<TargetId> usable_ids_;
  Instant usable_ids_unchanged_since_{};
};

}  // namespace figstall

#endif  // FIGSTALL_RANGE_MOVER_H_
