// Decides which grants a member sends, and when: those of settled ranges, while
// its membership is known to stand. Granting and renewing are one act.
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
  std::string handover;

  friend auto operator<=>(const GrantRequest&, const GrantRequest&) = default;
};

struct GrantSendTiming {
  // Between two grants of one range by one member; leaves room for two that are
  // lost before a hold runs out.
  Duration renew_interval = std::chrono::milliseconds(800);
  // A connection to an owner broke: it may have started again, so nothing is
  // granted until it has had time to say so. Longer than a target's heartbeat.
  Duration owner_backoff = std::chrono::milliseconds(1200);
  // After a grant that was not answered or was refused.
  Duration retry_interval = std::chrono::milliseconds(500);
};

enum class GrantOutcome {
  kGranted,
  // The owner has seen a higher token.
  kRefused,
  // Another target answers at that address.
  kNotThere,
  // The connection could not be opened; nothing was sent.
  kNotSent,
  // Sent, and no answer.
  kUnknown,
};

class RangeGranter {
 public:
  RangeGranter(GrantTiming timing, GrantSendTiming granter = {});

  // Newer tables only; an older one is ignored. False if it was older.
  bool OnTable(const ServiceId& service, const RangeTable& table);
  // Forgets everything: the membership ended.
  void Clear();
  const std::map<ServiceId, RangeTable>& tables() const { return tables_; }

  // Grants to send now to owners for which `is_mine` holds. The caller sends
  // them at once and reads the clock again before it does.
  template <typename IsMine>
  std::vector<GrantRequest> TakeDueGrants(Instant now,
                                          const TargetDirectory& directory,
                                          IsMine&& is_mine) {
    std::vector<GrantRequest> due;
    for (const auto& [service, table] : tables_) {
      for (const RangeEntry& entry : table.entries) {
        if (is_mine(service, entry) && IsDue(now, directory, service, entry))
          due.push_back(MakeRequest(now, service, entry));
      }
    }
    return due;
  }
  // To be asked right before the bytes of a grant are written, since the entry
  // may have begun to move while its connection was opened.
  bool TryBeginSend(Instant now, const GrantRequest& order);
  void OnOutcome(Instant now, const GrantRequest& order, GrantOutcome outcome);
  // A connection to this owner broke without a call on it.
  void OnConnectionLost(Instant now, const TargetId& owner);
  // Whether this member has not granted the entry yet.
  bool NotYetGranted(const ServiceId& service, const RangeEntry& entry) const {
    return !next_grant_at_.contains({service, entry.range.first, entry.fence});
  }
  // Until when each owner may still hold by a grant of this member; owners that
  // hold no more by any are left out.
  std::map<TargetId, Instant> HoldExpiries(Instant now) const;
  std::uint64_t SeenFence(const ServiceId& service) const;

 private:
  struct OwnerState {
    // Grants that may be on their way, and the latest moment at which one that
    // ended may have arrived.
    std::uint32_t in_flight = 0;
    std::optional<Instant> last_arrival;
    std::optional<Instant> backoff_until;
  };

  bool IsDue(Instant now,
             const TargetDirectory& directory,
             const ServiceId& service,
             const RangeEntry& entry) const;
  GrantRequest MakeRequest(Instant now,
                           const ServiceId& service,
                           const RangeEntry& entry);

  const GrantTiming timing_;
  const GrantSendTiming granter_;
  std::map<ServiceId, RangeTable> tables_;
  // By service, first key and token.
  std::map<std::tuple<ServiceId, ShardKey, std::uint64_t>, Instant>
      next_grant_at_;
  std::map<TargetId, OwnerState> owners_;
};

}  // namespace figstall

#endif  // FIGSTALL_RANGE_GRANTER_H_
