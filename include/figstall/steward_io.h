// Input events and output actions of a steward's state machines. The state
// machines use no sockets and no clock; their callers perform the actions.
#ifndef FIGSTALL_STEWARD_IO_H_
#define FIGSTALL_STEWARD_IO_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "figstall/messages.h"
#include "figstall/zone_document.h"
#include "figstall/zone_plan.h"

namespace figstall {

enum class StoreOutcome {
  kDone,
  // Another writer changed the document first; this write changed nothing.
  kConflict,
  // No response arrived; the write may or may not have taken effect.
  kUnknown,
};

struct Tick {};
struct PlanChanged {
  ZonePlan plan;
};
// The VMs that the platform lists. Versions only increase.
struct VmListChanged {
  std::uint64_t version = 0;
  std::set<VmId> listed;
};
// Each result carries the number of its call, so that a late result is never
// taken for that of a later call.
struct ZoneReadResult {
  std::uint64_t call = 0;
  bool answered = false;
  std::optional<ZoneDocument> document;
  std::uint64_t version = 0;
};
struct ZoneWriteResult {
  std::uint64_t call = 0;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::uint64_t version = 0;
};
// Whether this steward holds the zone's leader lease in the store.
struct LeaderLeaseReply {
  bool answered = false;
  bool held = false;
};
struct PeerMessageReceived {
  StewardId from;
  PeerMessage message;
};
struct HolderReplied {
  HolderStatus status;
};

using StewardEvent = std::variant<Tick,
                                  PlanChanged,
                                  VmListChanged,
                                  ZoneReadResult,
                                  ZoneWriteResult,
                                  LeaderLeaseReply,
                                  PeerMessageReceived,
                                  HolderReplied>;

struct SendOrder {
  HolderOrder order;
};
struct SendPeerMessage {
  VmId to;
  PeerMessage message;
};
struct ReadZone {
  std::uint64_t call = 0;
};
struct WriteZone {
  std::uint64_t call = 0;
  ZoneDocument document;
  // Zero creates the document.
  std::uint64_t expected_version = 0;
};
struct AcquireLeaderLease {};
struct ReleaseLeaderLease {};
// A placement or membership decision, for the log.
struct Decision {
  std::string what;
  std::string subject;
  std::string target;
  FencingToken term;
  std::string reason;
};

using StewardAction = std::variant<SendOrder,
                                   SendPeerMessage,
                                   ReadZone,
                                   WriteZone,
                                   AcquireLeaderLease,
                                   ReleaseLeaderLease,
                                   Decision>;
using StewardActions = std::vector<StewardAction>;

// Intervals and timeouts of a steward.
struct StewardTiming {
  Duration renew_interval = std::chrono::milliseconds(200);
  Duration lease_duration = std::chrono::milliseconds(600);
  // A holder that has not responded for this long counts as lost.
  Duration holder_timeout = std::chrono::milliseconds(400);
  // How long the leader waits for members to object that a lost holder still
  // responds to them.
  Duration objection_timeout = std::chrono::milliseconds(100);
  // A leader from which no message arrived for this long may be replaced.
  Duration leader_timeout = std::chrono::milliseconds(1000);
  Duration leader_lease_renew_interval = std::chrono::milliseconds(500);
  // A store call without a response for this long has an unknown outcome.
  Duration store_timeout = std::chrono::milliseconds(150);
  Duration store_retry_interval = std::chrono::milliseconds(200);
  Duration join_interval = std::chrono::milliseconds(500);
  Duration clock_drift_margin = std::chrono::milliseconds(10);

  friend auto operator<=>(const StewardTiming&, const StewardTiming&) = default;
};

// Limits on lease renewals, moves and the load of targets.
struct StewardLimits {
  // Members, besides the leader, that renew each holder's lease.
  std::size_t renewers_per_holder = 2;
  // Partitions of one service that may be moving at once to balance load.
  std::size_t rebalancing_moves = 8;
  // Load above which a target gives up partitions, relative to its fair share.
  double max_load_ratio = 1.05;
};

}  // namespace figstall

#endif  // FIGSTALL_STEWARD_IO_H_
