// Which targets are warming up, and the rate at which credits for them may be
// issued (send_credits.h). Answers the load pattern of a target that was just
// started, or of all targets of a zone that returns: it is idle, so that all
// routers prefer it at the same moment, and it fails well above the rate that
// it tolerates until it is warm. Performs no I/O.
//
// Without bounds, and for a service that states no rate, no target is warming
// up.
#ifndef FIGSTALL_WARM_UP_LIMITS_H_
#define FIGSTALL_WARM_UP_LIMITS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "figstall/desired_state.h"
#include "figstall/entry_settings.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

// What a member itself learned of a target's warm-up, as members tell each
// other without a common clock.
struct WarmUpStatement {
  // How much longer the target warms up.
  Duration left{0};
  // Requests per second that the target tolerates meanwhile.
  double per_second = 0;

  friend bool operator==(const WarmUpStatement&,
                         const WarmUpStatement&) = default;
};

// How credits for a target that is warming up are issued.
struct WarmUpIssue {
  // Tokens per second, and how many the bucket holds.
  double per_second = 0;
  double burst = 1;
  // A credit expires this long after it was requested.
  Duration validity{0};

  friend bool operator==(const WarmUpIssue&, const WarmUpIssue&) = default;
};

// Chooses rate and burst so that the credits of one issuer stay within the
// bounds in any second, and if a burst of one request leaves room for it, those
// of two issuers together. `per_second`: what the target tolerates; the result
// is never above it.
WarmUpIssue ComputeWarmUpIssue(double per_second, const WarmUpBounds& bounds);

// Capacity of a target that is warming up, in requests that it works on at
// once, from the rate that it tolerates.
double WarmUpCapacity(double per_second, Duration processing_time);

// A warm-up that begins or ends, for the log.
struct WarmUpChange {
  TargetIncarnation target;
  bool started = false;
  // How long the target still warms up, or for how long it did.
  Duration duration{0};
  // Requests per second that the target tolerates.
  double per_second = 0;
  // Where it was learned: "entry", "first-seen", "zone-returned", the kind of
  // an answered request or the name of a member.
  std::string source;

  friend bool operator==(const WarmUpChange&, const WarmUpChange&) = default;
};

class WarmUpLimits {
 public:
  using Changes = std::vector<WarmUpChange>;

  // `bounds`: none if the deployment has no such rule.
  explicit WarmUpLimits(std::optional<WarmUpBounds> bounds = std::nullopt)
      : bounds_(bounds) {}

  // Each of these returns what began or ended.
  //
  // The services of a new desired state.
  Changes OnServices(Instant now,
                     const std::map<ServiceId, TargetService>& services);
  // An entry of the store was read, for the first time or again.
  Changes OnListed(Instant now, const TargetEntry& entry);
  // The target said so in an answer; `source`: the kind of request.
  Changes OnAnswer(Instant now,
                   const TargetIncarnation& target,
                   Duration left,
                   std::string_view source);
  // Another member said so.
  Changes OnReported(Instant now,
                     const VmId& member,
                     const TargetIncarnation& target,
                     const WarmUpStatement& statement);
  // The zone may be used again after an evacuation. Its targets may have begun
  // to warm up without notice.
  Changes OnZoneReturned(Instant now,
                         const ZoneId& zone,
                         const TargetDirectory& directory);
  // Ends what is over. Queries do not depend on it.
  Changes Advance(Instant now);

  bool IsWarmingUp(Instant now, const TargetIncarnation& target) const {
    return Find(now, target) != nullptr;
  }
  // Null if the target is not warming up.
  const WarmUpIssue* IssueOf(Instant now,
                             const TargetIncarnation& target) const;
  // Requests per second that the target tolerates; none if it is not warming
  // up.
  std::optional<double> RateOf(Instant now,
                               const TargetIncarnation& target) const;
  // Only what this process learned from the target or its entry. Members that
  // passed on what others told them would prolong a warm-up by the delay of
  // each message; one that has just heard of old targets must not make others
  // limit them.
  std::optional<WarmUpStatement> StatementOf(
      Instant now,
      const TargetIncarnation& target) const;
  // Targets of which this process knows a warm-up by their answers alone.
  std::vector<TargetIncarnation> Reportable(Instant now) const;
  // All targets that are warming up.
  std::set<TargetId> Targets(Instant now) const;
  std::size_t count() const { return active_.size(); }
  // Forgets targets that have been missing from the directory for a long time.
  void Prune(Instant now, const TargetDirectory& directory);

 private:
  // What is known of one incarnation. The warm-up ends at the latest of the
  // times below. A statement may be delayed on its way, so each counts from its
  // arrival.
  struct Record {
    ServiceId service;
    // Of the newest entry of the store. Only a newer one replaces it.
    std::optional<std::uint64_t> status_number;
    Duration listed_left{0};
    Instant listed_until{};
    // Set if the target appeared while this process was running: from then on
    // it is taken to warm up for the service's whole warm-up time.
    std::optional<Instant> assumed_since;
    // The latest end by the target's answers.
    Instant heard_until{};
    // The latest end by the statements of other members.
    Instant reported_until{};
    // For a target of which this process has no entry.
    double reported_rate = 0;
    Instant updated_at{};
  };
  struct Active {
    Instant until;
    Instant since;
    double per_second = 0;
    WarmUpIssue issue;
  };

  const Active* Find(Instant now, const TargetIncarnation& target) const;
  const TargetService* ServiceOf(const Record& record) const;
  // End of the warm-up by the target's entry and answers, and by all that is
  // known.
  static Instant StatedUntil(const Record& record);
  Instant UntilOf(const Record& record) const;
  // Brings the target's entry in `active_` up to date.
  void Update(Instant now,
              const TargetIncarnation& target,
              const Record& record,
              std::string_view source,
              Changes& changes);

  const std::optional<WarmUpBounds> bounds_;
  std::map<ServiceId, TargetService> services_;
  // When the first entry was read.
  std::optional<Instant> first_listed_at_;
  std::map<TargetIncarnation, Record> records_;
  // Targets that are warming up. Usually empty, so that a query for each
  // target at each request costs little.
  std::map<TargetIncarnation, Active> active_;
};

}  // namespace figstall

#endif  // FIGSTALL_WARM_UP_LIMITS_H_
