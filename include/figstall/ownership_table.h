// The leader's table of partitions: the owner, the fencing token and the
// assignment state of each partition.
#ifndef FIGSTALL_OWNERSHIP_TABLE_H_
#define FIGSTALL_OWNERSHIP_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "figstall/messages.h"

namespace figstall {

enum class RowState {
  // No holder may serve the partition; it may be assigned.
  kFree,
  // An owner is chosen but the store has not confirmed it.
  kAssigned,
  // The partition may be granted: the store confirmed the owner, or it is
  // unavailable and the partition may be granted without it.
  kGrantable,
  // At least one holder acknowledged the grant.
  kHeld,
  // Holders are being ordered to stop serving; `pending` lists those that have
  // not confirmed it.
  kRevoking,
};

struct OwnedRow {
  VmId owner;
  FencingToken term;
  RowState state = RowState::kFree;
  // The number of this row's last change. Members and routers are sent the rows
  // with a greater number than the one they acknowledged.
  std::uint64_t change = 0;
  // Holders that may still serve the partition; empty unless kRevoking.
  std::set<VmId> pending;

  friend bool operator==(const OwnedRow&, const OwnedRow&) = default;
};

// All rows of one zone. The term of a row only rises, and a row is assigned
// only from kFree.
class OwnershipTable {
 public:
  // Adds the partition as free unless it is already in the table.
  void Track(const PartitionKey& key);

  // Takes over an owner that the store or a holder's report names. A row with
  // an equal or lower term than the known one is ignored.
  void Adopt(const PartitionRow& row, RowState state);

  // Assigns a free partition to `owner`.
  void Assign(const PartitionKey& key, const VmId& owner, FencingToken term);
  void MarkStored(const PartitionKey& key, FencingToken term);
  // Allows the grant of an assigned partition, also of one that the store has
  // not confirmed because it is unavailable.
  void MarkGrantable(const PartitionKey& key);
  void MarkHeld(const PartitionKey& key, FencingToken term);

  // Starts to revoke the partition. Each of `holders` must confirm; without
  // any, the partition is free at once.
  void Revoke(const PartitionKey& key, std::set<VmId> holders);
  // `holder` stopped serving `key`.
  void ConfirmRevoked(const PartitionKey& key, const VmId& holder);
  // `holder` stopped serving every partition that is being revoked.
  void ConfirmAll(const VmId& holder);

  const std::map<PartitionKey, OwnedRow>& rows() const { return rows_; }
  // Returns the rows to store: every row that ever had an owner.
  std::vector<PartitionRow> RowsToStore() const;
  // Returns the rows changed after `change` that members and routers may use:
  // those in state kHeld.
  std::vector<PartitionRow> ChangedSince(std::uint64_t change) const;
  const std::set<PartitionKey>& InState(RowState state) const;
  const std::set<PartitionKey>& OwnedBy(const VmId& owner) const;
  std::uint64_t change() const { return change_; }
  // Advances the change number for a change outside the rows, such as a lease
  // that was opened.
  void AdvanceChange() { ++change_; }

 private:
  // Sets the row's owner and state, assigns it the next change number and
  // updates the indexes.
  void Update(const PartitionKey& key,
              OwnedRow& row,
              const VmId& owner,
              RowState state);
  void FreeIfConfirmed(const PartitionKey& key, OwnedRow& row);

  std::map<PartitionKey, OwnedRow> rows_;
  // Indexes of rows_. Each row is in exactly one set of by_state_.
  std::map<RowState, std::set<PartitionKey>> by_state_;
  std::map<VmId, std::set<PartitionKey>> by_owner_;
  std::map<std::uint64_t, PartitionKey> by_change_;
  std::uint64_t change_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_OWNERSHIP_TABLE_H_
