// Bounds how many requests all members together send to a target that limits
// them, or that is warming up. For each such target one member issues credits,
// as a token bucket with the target's limit as its rate; a member sends a
// request only for a credit, which expires soon. So the sum over all members is
// bounded by what is issued, whatever their number, their demand, and who joins
// or is lost.
//
// The issuer is the first member by rank that responds. Ranks follow from the
// member list alone, the target's zone first and then by hash. A member issues
// credits only while no member with a higher rank responds to it.
#ifndef FIGSTALL_SEND_CREDITS_H_
#define FIGSTALL_SEND_CREDITS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "figstall/target_notices.h"
#include "figstall/types.h"
#include "figstall/warm_up_limits.h"

namespace figstall {

struct CreditTiming {
  // A credit expires this long after it was requested.
  Duration validity = std::chrono::milliseconds(700);
  // A request for credits is repeated after this time without a response.
  Duration resend_interval = std::chrono::milliseconds(60);
  // A member that was sent this many requests in a row and did not respond is
  // passed over.
  std::uint32_t max_unanswered = 10;
  // Requests without a response that are older than this are not counted.
  Duration unanswered_timeout = std::chrono::seconds(2);
  // Interval at which a member that is passed over is asked again.
  Duration probe_interval = std::chrono::milliseconds(400);
  // Longest time for which a refused member does not ask again.
  Duration max_backoff = std::chrono::milliseconds(500);
  // A bucket holds the tokens of this time, but at least `min_burst`. Within
  // any 4 s at most those of 4 s, of the validity and of a full bucket are
  // used: less than a limit allows, whatever its size.
  double burst_seconds = 0.25;
  double min_burst = 2;
  // Requests per second to a target with a lower limit. Without any request
  // nobody would learn that the limit has ended.
  double min_rate = 0.25;
  // A member whose credits were used up within this time of their request
  // requests more at once.
  Duration quick_use = std::chrono::milliseconds(100);
  // Highest number of credits in one request.
  std::uint32_t max_wanted = 8;
};

struct CreditRequest {
  VmId from;
  std::uint64_t serial = 0;
  TargetIncarnation target;
  // Zero if the sender only asks whether the receiver responds.
  std::uint32_t wanted = 0;
  std::optional<LimitStatement> limit;
  std::optional<WarmUpStatement> warm_up{};

  friend bool operator==(const CreditRequest&, const CreditRequest&) = default;
};

struct CreditResponse {
  VmId from;
  std::uint64_t serial = 0;
  TargetIncarnation target;
  std::uint32_t granted = 0;
  // Time after which it is worth to ask again, if none was granted.
  Duration backoff{0};
  std::optional<LimitStatement> limit;
  std::optional<WarmUpStatement> warm_up{};

  friend bool operator==(const CreditResponse&,
                         const CreditResponse&) = default;
};

using CreditMessage = std::variant<CreditRequest, CreditResponse>;

// Tokens of one target at its issuer.
class CreditBucket {
 public:
  // Returns how many credits are granted at this rate. A request that is
  // repeated, since its response may have been lost, is granted the same ones.
  std::uint32_t Take(Instant now,
                     double per_second,
                     const CreditRequest& request,
                     const CreditTiming& timing);
  // Time until a token is expected that no earlier refused request will take.
  Duration Backoff(double per_second, const CreditTiming& timing) const;

 private:
  std::optional<Instant> refilled_at_;
  double tokens_ = 0;
  struct Grant {
    std::uint64_t serial = 0;
    std::uint32_t granted = 0;
    Instant at;
  };
  // The last one of each member, as long as its credits are valid.
  std::map<VmId, Grant> last_grants_;
  // Requests refused since the last grant.
  std::uint32_t refused_ = 0;
};

enum class CreditState {
  // The target has no limit, or a credit is at hand.
  kAvailable,
  // Requested; the response is awaited.
  kPending,
  kRefused,
};

class SendCredits {
 public:
  struct Handlers {
    // Passes a message to another member; it may be lost.
    std::function<void(const VmId& to, const CreditMessage& message)> send;
    // Records in the notices what another member knows of a limit.
    std::function<void(const VmId& from,
                       const TargetIncarnation& target,
                       const RateLimit& limit)>
        on_limit;
    // The same for a warm-up.
    std::function<void(const VmId& from,
                       const TargetIncarnation& target,
                       const WarmUpStatement& warm_up)>
        on_warm_up;
    // This member takes another member than before for the issuer.
    std::function<void(const TargetIncarnation& target, const VmId& issuer)>
        on_issuer;
  };

  SendCredits(VmId self,
              const TargetNotices& notices,
              const WarmUpLimits& warm_ups,
              Handlers handlers,
              CreditTiming timing = {});

  // Members by VM, and their zones. An empty list means this member alone.
  void SetMembers(std::map<VmId, ZoneId> members);
  // From now on this member issues no credits.
  void StopIssuing() { issuing_ = false; }

  // Tells the other members of a warm-up that this one learned from the target
  // itself, unless it did so often just now.
  void AnnounceWarmUp(Instant now, const TargetIncarnation& target);

  // Whether a request may be sent to the target now. If that needs a credit and
  // none is at hand, requests some, unless that was just refused.
  CreditState Check(Instant now,
                    const TargetIncarnation& target,
                    const ZoneId& target_zone);
  // What Check() would find, without a request for credits.
  CreditState Peek(Instant now, const TargetIncarnation& target) const {
    if (HasCredit(now, target))
      return CreditState::kAvailable;
    return now < RefusedUntil(target) ? CreditState::kRefused
                                      : CreditState::kPending;
  }
  // Whether a request may be sent now without requesting credits.
  bool HasCredit(Instant now, const TargetIncarnation& target) const;
  // When credits may be requested again after a refusal.
  Instant RefusedUntil(const TargetIncarnation& target) const;
  // Consumes a credit, if the target has a limit, and returns when it expires.
  // Call after Check() returned kAvailable.
  std::optional<Instant> Consume(Instant now, const TargetIncarnation& target);
  // Whether a request may be sent now that waited for its connection since its
  // credit was consumed. To a target that is warming up it may be sent only
  // before `credit_until`, the expiry of its credit; after that another credit
  // is consumed, or requested, and `credit_until` set to its expiry.
  bool MaySendDelayed(Instant now,
                      const TargetIncarnation& target,
                      const ZoneId& target_zone,
                      std::optional<Instant>& credit_until);
  bool IsWarmingUp(Instant now, const TargetIncarnation& target) const {
    return warm_ups_.IsWarmingUp(now, target);
  }

  // Returns the response to send back.
  CreditResponse OnRequest(Instant now,
                           const CreditRequest& request,
                           const ZoneId& target_zone);
  void OnResponse(Instant now, const CreditResponse& response);
  // Forgets targets that have had no limit for a while.
  void Prune(Instant now);

  std::uint64_t granted() const { return granted_; }

 private:
  struct Account {
    // Expiry of each credit, ascending.
    std::deque<Instant> credits;
    // The request without a response. It is repeated under its serial number.
    std::uint64_t serial = 0;
    std::uint32_t wanted = 0;
    std::optional<Instant> requested_at;
    std::optional<Instant> last_sent_at;
    Instant refused_until{};
    VmId issuer;
    std::uint32_t next_wanted = 1;
    Instant used_at{};
    // Whether the credits were issued for a target that is warming up.
    bool warming_up = false;
  };
  // How credits for a target are issued.
  struct IssueRule {
    double per_second = 0;
    CreditTiming timing;
  };
  struct Peer {
    std::uint32_t unanswered = 0;
    Instant last_sent_at{};
  };

  // Members in the order in which they issue credits for the target.
  const std::vector<VmId>& Ranking(const TargetIncarnation& target,
                                   const ZoneId& target_zone);
  bool Responds(Instant now, const VmId& member) const;
  // Returns the first member of the ranking that responds, and asks those
  // before it again from time to time.
  VmId FindIssuer(Instant now,
                  const TargetIncarnation& target,
                  const ZoneId& target_zone);
  void Probe(Instant now,
             const VmId& member,
             const TargetIncarnation& target,
             Duration interval);
  void Request(Instant now,
               const TargetIncarnation& target,
               const ZoneId& target_zone,
               Account& account);
  void SendRequest(Instant now, const VmId& to, CreditRequest request);
  CreditResponse Issue(Instant now, const CreditRequest& request);
  bool IsLimited(Instant now, const TargetIncarnation& target) const;
  // None if the target has no limit and is not warming up.
  std::optional<IssueRule> RuleOf(Instant now,
                                  const TargetIncarnation& target) const;
  Duration ValidityOf(Instant now, const TargetIncarnation& target) const;
  // Records what another member said. `Message`: request or response.
  template <typename Message>
  void MergeStatements(Instant now, const Message& message);

  const VmId self_;
  const TargetNotices& notices_;
  const WarmUpLimits& warm_ups_;
  const Handlers handlers_;
  const CreditTiming timing_;
  bool issuing_ = true;
  std::map<VmId, ZoneId> members_;
  // By target and its zone; cleared when the members change.
  std::map<std::pair<TargetIncarnation, ZoneId>, std::vector<VmId>> rankings_;
  std::map<VmId, Peer> peers_;
  std::map<TargetIncarnation, Account> accounts_;
  std::map<TargetIncarnation, CreditBucket> buckets_;
  std::uint64_t last_serial_ = 0;
  // Of the last second.
  std::deque<Instant> announcements_;
  std::uint64_t granted_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_SEND_CREDITS_H_
