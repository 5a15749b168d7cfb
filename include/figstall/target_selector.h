// This router's targets, and the choice of the one that may get a request now.
#ifndef FIGSTALL_TARGET_SELECTOR_H_
#define FIGSTALL_TARGET_SELECTOR_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "figstall/allowed_regions.h"
#include "figstall/entry_settings.h"
#include "figstall/entry_view.h"
#include "figstall/region_link.h"
#include "figstall/send_credits.h"
#include "figstall/target_client.h"
#include "figstall/target_notices.h"

namespace figstall {

struct SelectionTrace;

struct TargetQuery {
  ServiceId service;
  // None for a service without keys.
  std::optional<ShardKey> key;
  // Responses are large.
  bool bulk = false;
  Duration latency_objective{0};
  // Mean latency of the service.
  Duration mean_latency{0};
  // Not chosen again for a request without a key.
  std::set<TargetId> tried_targets;
  AllowedRegions allowed_regions;
  // From 0 up to 1; decides among targets that state their load.
  double random = 0;
  // Requests for the service that this router receives per second.
  double request_rate = 0;
  // More urgent requests that each target has to leave room for; none if the
  // request yields to no other.
  std::optional<double> reserved{};
  // If set, the choice is only explained: it requests no credits and records
  // its verdict on each target.
  SelectionTrace* trace = nullptr;
};

// Why no target may get a request now.
enum class Unavailability {
  kNone,
  // The key has no settled owner, or its owner is not in the directory.
  kNoOwner,
  // The key has another owner.
  kOtherOwner,
  // The target is not in the directory, or another incarnation or at another
  // address.
  kGone,
  kLeaving,
  // Each target that could serve the request wants none for a while.
  kPaused,
  // Each target that could serve the request limits its requests. A credit was
  // requested, or refused.
  kAwaitingCredit,
  kRateLimited,
  // This router has as many requests in flight as it may have.
  kNoCapacity,
  // A connection to the target takes long to open.
  kOpensSlowly,
  // The target is in a region that the request does not allow, or each target
  // that could serve it is.
  kOutsideRegions,
  // The target's zone is being evacuated.
  kEvacuated,
  // The target is warming up, and this router has no credit for it.
  kWarmingUp,
  // Requests of higher priority need the capacity.
  kYieldsToPriority,
  // Large responses would queue on the link to the target's region.
  kLinkBusy,
  // This process stood still and has to read what arrived meanwhile.
  kStandstill,
};

std::string_view ToString(Unavailability reason);

struct TargetVerdict {
  TargetIncarnation target;
  // None if the target may get the request now, chosen or not.
  Unavailability reason = Unavailability::kNone;
  std::optional<Instant> available_at;

  friend bool operator==(const TargetVerdict&, const TargetVerdict&) = default;
};

// The verdicts of one choice on the targets of the service. A later one on the
// same target replaces an earlier one.
struct SelectionTrace {
  std::map<TargetId, TargetVerdict> verdicts;
};

struct TargetChoice {
  // Null if no target may get the request now.
  TargetClient* client = nullptr;
  Unavailability reason = Unavailability::kNone;
  // When a target may get the request, if that is known.
  std::optional<Instant> available_at;
};

class TargetSelector {
 public:
  using Clients = std::map<TargetId, std::unique_ptr<TargetClient>>;

  TargetSelector(boost::asio::io_context& io,
                 const EntrySettings& settings,
                 const EntryView& view,
                 const TargetNotices& notices,
                 SendCredits& credits,
                 RegionLinks& region_links)
      : io_(io),
        settings_(settings),
        view_(view),
        notices_(notices),
        credits_(credits),
        region_links_(region_links) {}

  // Opens and drops clients as the directory changed.
  void OnViewChanged();
  // Requests credits where the choice depends on them.
  TargetChoice Choose(Instant now, const TargetQuery& query);
  // Whether a request that was decided on for this target may still be sent to
  // it. Load and credits were taken into account by Choose().
  Unavailability CheckChosen(Instant now,
                             const TargetQuery& query,
                             const TargetIncarnation& target,
                             const Endpoint& address) const;
  // Whether no target in a region that the request allows could serve it. False
  // while the key has no settled owner or no target of the service is known.
  bool IsOutsideRegions(const TargetQuery& query) const;
  // Describes for the log why Choose() found no target.
  std::string Explain(Instant now,
                      const TargetQuery& query,
                      const TargetChoice& choice) const;

  TargetClient* Find(const TargetId& id) const;
  // The entry of the range table that a key belongs to, or null while the key
  // has no settled owner.
  const RangeEntry* OwnerEntry(const ServiceId& service, ShardKey key) const;
  const Clients& clients() const { return clients_; }
  Distance DistanceTo(const ZoneId& zone) const;
  // Null if the zone is in this router's region, or unknown.
  RegionLink* LinkTo(const ZoneId& zone) const;
  std::uint32_t RouterCount() const;
  std::size_t TargetCount(const ServiceId& service) const;
  std::uint32_t SharingRouters(const TargetEntry& entry, bool keyed) const;

 private:
  bool InAllowedRegion(const TargetQuery& query,
                       const TargetEntry& entry) const;
  std::string DescribeOutside(const TargetQuery& query) const;
  // Whether the target leaves no room for more urgent requests.
  bool Yields(Instant now,
              const TargetQuery& query,
              const TargetClient& client) const;
  // Of this router to the target, zero unless the target states its load.
  std::uint64_t Affinity(const TargetClient& client) const;
  TargetChoice ChooseOwner(Instant now, const TargetQuery& query);
  TargetChoice ChooseUnkeyed(Instant now, const TargetQuery& query);
  // Whether another request would wait at the target for a slot.
  static bool Queues(Instant now, const Candidate& candidate);
  // Considers targets that are warming up: those for which a credit is at hand,
  // otherwise the first one that does not refuse a credit.
  template <typename Consider>
  void ConsiderWarmingUp(Instant now,
                         const std::vector<TargetClient*>& targets,
                         Consider consider);
  // Whether a target of the service may get the request now, whatever its load.
  // Everything that may change while a request waits for its connection.
  Unavailability CheckTarget(Instant now,
                             const TargetQuery& query,
                             const TargetEntry& entry) const;
  // The same with the limit that the target states, and with the time until
  // which it wants no requests. Records the result if the choice is explained.
  TargetChoice CheckNotices(Instant now,
                            const TargetQuery& query,
                            TargetClient& client);
  TargetChoice CheckUntraced(Instant now,
                             const TargetQuery& query,
                             TargetClient& client);
  // Records verdicts on the targets that the choice did not have to check.
  void CompleteTrace(Instant now, const TargetQuery& query);

  boost::asio::io_context& io_;
  const EntrySettings& settings_;
  const EntryView& view_;
  const TargetNotices& notices_;
  SendCredits& credits_;
  RegionLinks& region_links_;
  Clients clients_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_SELECTOR_H_
