// Messages between stewards, and between stewards and lease holders. Holders
// are the targets, and the routers on behalf of targets that do not check
// grants.
#ifndef FIGSTALL_MESSAGES_H_
#define FIGSTALL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "figstall/types.h"

namespace figstall {

// A reading of a holder's own clock, issued by that holder. A lease's validity
// starts at the stamp, so a delayed renewal never extends the lease past
// stamp + validity.
struct Stamp {
  std::uint64_t incarnation = 0;
  std::int64_t micros = 0;

  friend auto operator<=>(const Stamp&, const Stamp&) = default;
};

// A steward's order to a holder. A member's order has epoch 0 and may only
// renew a lease and carry hints. A leader's order may also open a lease, and
// grant and revoke partitions.
struct HolderOrder {
  VmId holder;
  Epoch epoch = 0;
  FencingToken lease;
  bool open = false;
  bool want_report = false;
  std::optional<Stamp> stamp;
  Duration validity{0};
  std::vector<PartitionRow> grants;
  std::vector<PartitionRow> revokes;
  // Rows that a router may use without a grant, because the target checks its
  // own grants.
  std::vector<PartitionRow> hints;
  // The leader's change number up to which the grants and hints are complete;
  // 0 if they are not complete up to any.
  std::uint64_t change = 0;

  friend bool operator==(const HolderOrder&, const HolderOrder&) = default;
};

// A holder's reply to an order. It always carries a new stamp.
struct HolderStatus {
  VmId holder;
  std::uint64_t incarnation = 0;
  Stamp stamp;
  FencingToken lease;
  // True if `lease` is valid.
  bool standing = false;
  // The greatest epoch from which this holder has accepted an order.
  Epoch epoch = 0;
  bool refused = false;
  // Partitions given up that still have requests in flight.
  std::vector<PartitionKey> draining;
  // True if the order asked for a report; only then is `held` filled in.
  bool has_report = false;
  std::vector<PartitionRow> held;
  // The greatest `change` of an order whose hints and grants were applied.
  std::uint64_t change = 0;

  friend bool operator==(const HolderStatus&, const HolderStatus&) = default;
};

// A steward that is not a member asks to be admitted to its zone.
struct JoinRequest {
  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

struct LeaseEntry {
  VmId holder;
  FencingToken lease;

  friend auto operator<=>(const LeaseEntry&, const LeaseEntry&) = default;
};

// The leader's heartbeat. It also carries the leader's state if the member has
// not acknowledged the latest change.
struct StatePush {
  Epoch epoch = 0;
  std::uint64_t change = 0;
  // False for a mere heartbeat, whose lists below are empty.
  bool full = false;
  // `rows` holds the rows changed after `base`. A member that has not applied
  // the changes up to `base` ignores the push.
  std::uint64_t base = 0;
  std::vector<StewardId> roster;
  std::vector<LeaseEntry> leases;
  std::vector<PartitionRow> rows;

  friend bool operator==(const StatePush&, const StatePush&) = default;
};

struct StatePushAck {
  Epoch epoch = 0;
  std::uint64_t change = 0;

  friend bool operator==(const StatePushAck&, const StatePushAck&) = default;
};

// Sent by a new leader: asks the leader of a lower epoch to stop leading.
struct StepDown {
  Epoch epoch = 0;

  friend bool operator==(const StepDown&, const StepDown&) = default;
};

struct StepDownAck {
  Epoch epoch = 0;

  friend bool operator==(const StepDownAck&, const StepDownAck&) = default;
};

// The leader asks a member never to renew `lease` again.
struct SealRequest {
  Epoch epoch = 0;
  VmId holder;
  FencingToken lease;
  // False if the member may object because it still receives the holder's
  // replies.
  bool insist = false;

  friend bool operator==(const SealRequest&, const SealRequest&) = default;
};

struct SealReply {
  Epoch epoch = 0;
  VmId holder;
  FencingToken lease;
  // False if the member objects.
  bool stopped = false;
  // In the reply to an insisting request: the age of the newest stamp that this
  // member ever sent in a renewal. Otherwise: the time since this member last
  // received a reply from the holder.
  Duration stamp_age{0};

  friend bool operator==(const SealReply&, const SealReply&) = default;
};

// A steward announces that it is stopping; it no longer renews leases or leads.
struct Resignation {
  friend bool operator==(const Resignation&, const Resignation&) = default;
};

using PeerMessage = std::variant<JoinRequest,
                                 StatePush,
                                 StatePushAck,
                                 StepDown,
                                 StepDownAck,
                                 SealRequest,
                                 SealReply,
                                 Resignation>;

}  // namespace figstall

#endif  // FIGSTALL_MESSAGES_H_
