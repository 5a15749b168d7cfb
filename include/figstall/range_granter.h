// Decides which grants of key ranges a member sends, and when. A member grants
// settled ranges, and only while its membership is known to be valid. Repeating
// a grant renews the owner's hold of the range.
//
// A grant names its owner by id, which the owner's next incarnation may have
// too, and that one refuses no earlier token. A connection reaches one
// incarnation only. So a grant is sent only on a connection that was opened
// before the table was last confirmed: before the member asked for the table
// that is now known to have been in force. If the range has moved since, the
// incarnation at the other end has been released or has ended.
//
// An owner that stands still may take a grant after its range has moved, and
// counts the hold from there. So members release the ranges that have left an
// owner which does not respond, too: it takes a release that lies there within
// milliseconds of the grant.
#ifndef FIGSTALL_RANGE_GRANTER_H_
#define FIGSTALL_RANGE_GRANTER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figstall/range_mover.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct GrantRequest {
  ServiceId service;
  KeyRange range;
  TargetIncarnation owner;
  Endpoint address;
  std::uint64_t fence = 0;
  Duration hold_duration{0};
  Handover handover;

  friend auto operator<=>(const GrantRequest&, const GrantRequest&) = default;
};

struct GrantSendTiming {
  // Interval between two grants of one range by one member. Two grants in a row
  // may be lost before the hold expires.
  Duration renew_interval = std::chrono::milliseconds(800);
  // How long an owner is sent no grants after a connection to it broke. It may
  // have restarted and needs time to publish its new entry, so this is longer
  // than a target's heartbeat interval.
  Duration owner_backoff = std::chrono::milliseconds(1200);
  // Delay before a range is granted again after a grant that was not sent, had
  // no response or reached another target.
  Duration retry_interval = std::chrono::milliseconds(500);
  // Delay before a range is released again after a release without a response.
  Duration release_retry_interval = std::chrono::milliseconds(1000);
  // How long an owner that does not respond is sent releases of a range that
  // has left it.
  Duration max_release_time = std::chrono::seconds(30);
  // Releases that one owner gets from one member at once.
  std::size_t max_releases_in_flight = 4;
};

enum class GrantOutcome {
  kGranted,
  // The owner has seen a higher token.
  kRefused,
  // Another target responds at the owner's address.
  kNotThere,
  // The connection could not be opened; nothing was sent.
  kNotSent,
  // It may not be sent anymore, or not yet; nothing was sent.
  kWithdrawn,
  // The grant was sent, but no response arrived.
  kUnknown,
};

// Why the outcome of an order to a target is that of this order.
enum class AnswerProof {
  // The answer may be a late or second one to an earlier order.
  kNone,
  // The answer is the first one on a connection that served no other order.
  kFirstOnConnection,
  // The answer bears the order's id.
  kRequestId,
  // There is no answer; the connection was reset.
  kConnectionReset,
};

const char* ToString(AnswerProof proof);

enum class SendDecision {
  kSend,
  // The entry has moved or is moving.
  kWithdraw,
  // The connection is newer than the last confirmation of the table. The grant
  // is due again once the table is confirmed.
  kAwaitConfirmation,
};

// A range that has left an owner, which may not have released it.
struct LeftRange {
  ServiceId service;
  // Zone of the owner.
  ZoneId zone;
  ReleaseRequest release;
  // Whether the mover still awaits the owner's response to its own release.
  bool moving = false;
  // Whether the owner did not respond to the mover in time.
  bool overdue = false;
  // Whether the owner did not answer this member's last grant.
  bool unanswered = false;
};

class RangeGranter {
 public:
  RangeGranter(GrantTiming timing, GrantSendTiming send_timing = {});

  // Replaces the known table of the service. Ignores an older table and returns
  // false.
  bool OnTable(const ServiceId& service, const RangeTable& table);
  // Forgets all tables and the times of the next grants, for use when the
  // membership has ended. Hold expiries are kept.
  void Clear();
  const std::map<ServiceId, RangeTable>& tables() const { return tables_; }

  // Returns the grants that are due, for entries for which
  // `should_grant(service, entry)` is true. The caller sends them at once and
  // reads the clock again before it does.
  template <typename ShouldGrant>
  std::vector<GrantRequest> TakeDueGrants(Instant now,
                                          const TargetDirectory& directory,
                                          ShouldGrant&& should_grant) {
    std::vector<GrantRequest> due;
    for (const auto& [service, table] : tables_) {
      for (const RangeEntry& entry : table.entries) {
        if (should_grant(service, entry) &&
            IsDue(now, directory, service, entry))
          due.push_back(MakeRequest(now, service, entry));
      }
    }
    return due;
  }
  // Returns the ranges whose release is due: those that have left an owner
  // which did not answer this member's last grant or the mover's release, and
  // for which `should_release(left_range)` is true. The caller sends the
  // releases at once.
  template <typename ShouldRelease>
  std::vector<LeftRange> TakeDueReleases(Instant now,
                                         ShouldRelease&& should_release) {
    ForgetReleases(now);
    std::map<TargetId, std::size_t> in_flight;
    for (const auto& [request, state] : releases_)
      in_flight[request.owner.id] += state.in_flight ? 1 : 0;
    std::vector<LeftRange> due;
    for (auto& [request, state] : releases_) {
      LeftRange& left = state.left;
      std::size_t& of_owner = in_flight[request.owner.id];
      left.unanswered = IsUnanswered(request.owner.id);
      if (state.in_flight || state.ended || now < state.next_at ||
          of_owner >= send_timing_.max_releases_in_flight ||
          !(left.unanswered || left.overdue) || !should_release(left))
        continue;
      state.in_flight = true;
      ++of_owner;
      due.push_back(left);
    }
    return due;
  }
  // Whether the owner still has to release the range. Call right before the
  // bytes of a release are written: it may have been granted the range again.
  bool AwaitsRelease(const ReleaseRequest& request) const {
    const auto found = releases_.find(request);
    return found != releases_.end() && !found->second.ended;
  }
  // `ended` tells that the owner no longer holds the range.
  void OnReleaseOutcome(Instant now, const ReleaseRequest& request, bool ended);
  // The store was asked for the service's table at `requested_at`, and the
  // known table is the one that it returned, or a newer one.
  void OnTableConfirmed(const ServiceId& service, Instant requested_at);
  // Whether a grant of the service waits for a confirmation of the table.
  bool AwaitsConfirmation(const ServiceId& service) const;
  // Time of the table's last confirmation; empty if there was none.
  std::optional<Instant> ConfirmedAt(const ServiceId& service) const;
  // Call right before the bytes of a grant are written on a connection that was
  // opened at `connected_at`: the entry may have begun to move in the meantime.
  // If the grant may be sent, counts it as in flight.
  SendDecision TryBeginSend(Instant now,
                            const GrantRequest& request,
                            Instant connected_at);
  // An outcome without proof counts for the times of the next grants only: the
  // grant may still be under way.
  void OnOutcome(Instant now,
                 const GrantRequest& request,
                 GrantOutcome outcome,
                 AnswerProof proof);
  // A connection to this owner broke while no call was using it.
  void OnConnectionLost(Instant now, const TargetId& owner);
  // Whether this member has not yet granted the entry under its current token.
  bool NotYetGranted(const ServiceId& service, const RangeEntry& entry) const {
    return !next_grant_at_.contains({service, entry.range.first, entry.fence});
  }
  // Returns the latest time until which the owner may hold ranges that this
  // member granted; empty if all its grants have expired.
  std::optional<Instant> HoldExpiry(Instant now, const TargetId& owner) const;
  // Returns for each owner the latest time until which it may hold ranges that
  // this member granted. Owners whose grants have all expired are left out.
  std::map<TargetId, Instant> HoldExpiries(Instant now) const;
  // Highest fencing token in the known table of the service, or 0.
  std::uint64_t SeenFence(const ServiceId& service) const;

 private:
  struct OwnerState {
    // Grants that were sent and have no outcome yet, with the time of their
    // call timeout. Each arrives by then or the current time, whichever is
    // later. One grant may be in flight twice.
    std::multimap<GrantRequest, Instant> in_flight;
    // Upper bound on the arrival of all other grants.
    std::optional<Instant> latest_arrival;
    std::optional<Instant> backoff_until;
    // Whether the last grant with an outcome was sent and had no answer.
    bool unanswered = false;
    // When the connection was opened on which a grant was last withdrawn to
    // await a confirmation of its table.
    std::optional<Instant> unconfirmed_connection_at;
  };

  // A release of a range that has left its owner.
  struct ReleaseState {
    LeftRange left;
    // When this member first looked for due releases after the range left.
    std::optional<Instant> since;
    Instant next_at{};
    bool in_flight = false;
    // The owner has released the range.
    bool ended = false;
  };

  void AddLeftRanges(const ServiceId& service,
                     const RangeTable& known,
                     const RangeTable& next);
  void AddLeftRange(LeftRange left);
  void ForgetReleases(Instant now);
  bool IsUnanswered(const TargetId& owner) const {
    const auto found = owners_.find(owner);
    return found != owners_.end() && found->second.unanswered;
  }
  bool IsDue(Instant now,
             const TargetDirectory& directory,
             const ServiceId& service,
             const RangeEntry& entry) const;
  GrantRequest MakeRequest(Instant now,
                           const ServiceId& service,
                           const RangeEntry& entry);

  const GrantTiming timing_;
  const GrantSendTiming send_timing_;
  std::map<ServiceId, RangeTable> tables_;
  // Keyed by service, first key and fencing token.
  std::map<std::tuple<ServiceId, ShardKey, std::uint64_t>, Instant>
      next_grant_at_;
  std::map<TargetId, OwnerState> owners_;
  std::map<ReleaseRequest, ReleaseState> releases_;
  std::map<ServiceId, Instant> confirmed_at_;
  // A confirmation that was requested at this time or later is awaited.
  std::map<ServiceId, Instant> awaited_since_;
};

}  // namespace figstall

#endif  // FIGSTALL_RANGE_GRANTER_H_
