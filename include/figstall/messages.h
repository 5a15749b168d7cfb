// Typed messages between stewards, and between stewards and lease holders
// (targets, and routers for targets that do not check grants).
#ifndef FIGSTALL_MESSAGES_H_
#define FIGSTALL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "figstall/types.h"

namespace figstall {

// A reading of a holder's own clock, issued by that holder. A lease is counted
// from it, so a delayed renewal extends nothing past stamp + validity.
struct Stamp {
  std::uint64_t incarnation = 0;
  std::int64_t micros = 0;

  friend auto operator<=>(const Stamp&, const Stamp&) = default;
};

// What a steward asks of a holder. A member's order has epoch 0 and may only
// renew; a leader's order may open a lease, grant and revoke.
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
  // Rows that a router may use as a hint, since the target checks them.
  std::vector<PartitionRow> hints;
  std::uint64_t change = 0;

  friend bool operator==(const HolderOrder&, const HolderOrder&) = default;
};

// A holder's answer to an order; it always carries a fresh stamp.
struct HolderStatus {
  VmId holder;
  std::uint64_t incarnation = 0;
  Stamp stamp;
  FencingToken lease;
  bool standing = false;
  // Greatest epoch that this holder has obeyed.
  Epoch epoch = 0;
  bool refused = false;
  // Partitions given up whose requests in flight have not ended yet.
  std::vector<PartitionKey> draining;
  // Complete only when the order asked for a report.
  bool has_report = false;
  std::vector<PartitionRow> held;
  // The greatest `change` of an order whose hints and grants were applied.
  std::uint64_t change = 0;

  friend bool operator==(const HolderStatus&, const HolderStatus&) = default;
};

// A newcomer asks to be admitted to its zone.
struct JoinRequest {
  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

struct LeaseEntry {
  VmId holder;
  FencingToken lease;

  friend auto operator<=>(const LeaseEntry&, const LeaseEntry&) = default;
};

// The leader's heartbeat, and its state where the member lags behind.
struct StatePush {
  Epoch epoch = 0;
  std::uint64_t change = 0;
  // False: a heartbeat only; the lists below are empty.
  bool full = false;
  // Rows are those changed after `base`; a member behind it ignores the push.
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

// A new leader tells a leader of a lower epoch to stop leading.
struct StepDown {
  Epoch epoch = 0;

  friend bool operator==(const StepDown&, const StepDown&) = default;
};

struct StepDownAck {
  Epoch epoch = 0;

  friend bool operator==(const StepDownAck&, const StepDownAck&) = default;
};

// The leader asks a member never to renew this lease again.
struct SealRequest {
  Epoch epoch = 0;
  VmId holder;
  FencingToken lease;
  // False when the member may object because it still hears the holder.
  bool insist = false;

  friend bool operator==(const SealRequest&, const SealRequest&) = default;
};

struct SealReply {
  Epoch epoch = 0;
  VmId holder;
  FencingToken lease;
  bool stopped = false;
  // If stopped for good: the age of the newest stamp that this member ever sent
  // in a renewal. Otherwise: the time since it last heard the holder.
  Duration stamp_age{0};

  friend bool operator==(const SealReply&, const SealReply&) = default;
};

// A steward that stops on purpose; it renews and leads no more.
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
