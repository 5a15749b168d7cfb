// Decides how key ranges of one service move between targets. Only the elected
// mover runs it; it has no clock, socket or thread of its own.
//
// The rule: an entry is settled or moving. Any member grants settled entries;
// no one grants a moving one. The mover writes `moving` under a new fencing
// token, asks the old owner to release at that token (after which the owner
// refuses every older grant), and settles the new owner under it. Where the
// owner does not answer, it waits until every member has said that it knows of
// the move and until when its grants last, or has departed, and until those
// grants have run out.
#ifndef FIGSTALL_RANGE_MOVER_H_
#define FIGSTALL_RANGE_MOVER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figstall/range_balance.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct GrantTiming {
  // How long a grant is valid from its arrival. Short, since the keys of an
  // owner that went silent are served by no one for so long; three renewals
  // long.
  Duration hold_duration = std::chrono::milliseconds(2500);
  // A target's clock may run this much slow. Source: the platform's protocol.
  double max_clock_drift = 0.02;
  // A grant call that is not answered by then is given up and its connection
  // reset, so that it arrives no later.
  Duration call_timeout = std::chrono::milliseconds(800);
  // How long an owner is asked to release, and members are heard, before all
  // members are asked through the store.
  Duration release_timeout = std::chrono::milliseconds(1500);

  // From the arrival of a grant until it has surely run out.
  Duration MaxHoldFromArrival() const {
    return Scaled(hold_duration, 1 + max_clock_drift);
  }
  // From the sending of a grant until it has surely run out.
  Duration MaxHoldFromSend() const {
    return call_timeout + MaxHoldFromArrival();
  }
  // What may be true of a time that a member says a grant has left.
  Duration ClampRemainingHold(Duration left) const {
    return std::clamp(left, Duration{0}, MaxHoldFromSend());
  }
};

// What a member has said of its grants, and whether it still is one. Members
// are told apart by run: a restarted process is another member.
struct MemberReport {
  // Fencing token of the newest change of each service's table that it has
  // seen.
  std::map<ServiceId, std::uint64_t> seen_fence;
  // Until when each owner may hold by its grants, by the mover's clock.
  std::map<TargetId, Instant> holds_until;
  // When its membership was seen to have ended; it granted nothing after.
  std::optional<Instant> departed_at;
};

using MemberReports = std::map<std::string, MemberReport>;

struct MoverInput {
  Instant now;
  const TargetDirectory* directory = nullptr;
  // By VM and run.
  const MemberReports* members = nullptr;
  // Whether `members` is at least as new as the table in the store. Else a
  // member that joined meanwhile might be missing.
  bool members_up_to_date = false;
  // When this mover first knew the members. One that departed earlier is not
  // among them.
  Instant members_known_since{};
  // Relative capacity of targets; a missing one counts by its slots.
  const std::map<TargetId, double>* capacity = nullptr;
  const RangeLoad* load = nullptr;
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
  // No balance move while one is under way, nor sooner after the last one.
  Duration balance_interval = std::chrono::milliseconds(1000);
  // The same where a part of the key space has just become hot, and between two
  // looks for such a part.
  Duration hot_interval = std::chrono::milliseconds(200);
  // Before the first assignment the targets known must have stayed the same for
  // so long, so that all that start together get a part.
  Duration stabilization_window = std::chrono::milliseconds(1000);
  // Released ranges wait for others of the same change this long, so that one
  // write settles them.
  Duration batch = std::chrono::milliseconds(60);
  BalanceLimits balance;
  // An owner that left the directory keeps its ranges this long, since entries
  // come back within two seconds of the store's return. Source: the platform's
  // protocol.
  Duration absence_grace_period = std::chrono::milliseconds(300);
};

class RangeMover {
 public:
  RangeMover(ServiceId service, GrantTiming timing, MoverOptions limits = {});

  // The table as it stands in the store; forgets plans that it does not bear
  // out.
  void OnTable(const RangeTable& table, Instant now);
  // The owner answered a release of this token: it holds the range no longer.
  // `handover` is empty where it gave none.
  void OnReleased(const ReleaseRequest& order, const std::string& handover);

  // The next table, if it is to change now; at most one write may be under way.
  std::optional<RangeTable> Plan(const MoverInput& view);
  // Releases that are owed; repeat them until answered or settled.
  std::vector<ReleaseRequest> OutstandingReleases() const;
  const RangeTable& table() const { return table_; }
  // What the last plan moved for balance, for the log.
  const std::vector<PlannedMove>& last_balance_moves() const {
    return last_balance_moves_;
  }
  // How often the load of all targets was looked at.
  std::uint64_t balance_evaluations() const { return balance_evaluations_; }

 private:
  struct Progress {
    Instant since;
    bool released = false;
    std::optional<Instant> free_since;
    std::string handover;
  };

  std::vector<const TargetEntry*> Usable(const MoverInput& view) const;
  RangeTable FirstAssignment(const std::vector<const TargetEntry*>& usable,
                             const MoverInput& view) const;
  bool StartMoves(RangeTable& next, const MoverInput& view);
  bool AskMembers(RangeTable& next, const MoverInput& view) const;
  bool AssignUnheldRanges(RangeTable& next, const MoverInput& view);
  bool IsStable(const std::vector<const TargetEntry*>& usable, Instant now);
  bool Balance(RangeTable& next, const MoverInput& view);
  bool MustMove(const RangeEntry& entry, const MoverInput& view);
  bool HasNoHolder(const RangeEntry& entry, const MoverInput& view) const;

  const ServiceId service_;
  const GrantTiming timing_;
  const MoverOptions limits_;
  RangeTable table_;
  // By first key of a moving entry and its token.
  std::map<std::pair<ShardKey, std::uint64_t>, Progress> progress_;
  // Since when an owner has been missing from the directory.
  std::map<TargetId, Instant> missing_since_;
  // Where a range that moves for balance shall go, by first key.
  std::map<ShardKey, TargetId> planned_owner_;
  std::optional<Instant> balanced_at_;
  // Last look at the load of all targets, which costs processor time.
  std::optional<Instant> balance_evaluated_at_;
  std::uint64_t balance_evaluations_ = 0;
  std::vector<PlannedMove> last_balance_moves_;
  // Owners of hot parts at the last balance.
  std::set<TargetId> hot_;
  // Targets that were usable, and since when just these.
  std::set<TargetId> seen_;
  Instant seen_since_{};
};

}  // namespace figstall

#endif  // FIGSTALL_RANGE_MOVER_H_
