// The leader's table of partitions: owner, fencing token and the step of a
// move each partition is in.
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
  // An owner is chosen; the store has not confirmed it.
  kAssigned,
  // The store confirmed the owner, or is out and the move may go ahead.
  kGrantable,
  // At least one holder acknowledged the grant.
  kHeld,
  // Holders are being told to stop; `pending` lists those yet to confirm.
  kRevoking,
};

struct OwnedRow {
  VmId owner;
  FencingToken term;
  RowState state = RowState::kFree;
  // Rises with every change of this row; members and routers are told rows
  // newer than what they acknowledged.
  std::uint64_t change = 0;
  // Holders that may still serve the partition; empty unless kRevoking.
  std::set<VmId> pending;

  friend bool operator==(const OwnedRow&, const OwnedRow&) = default;
};

// Aggregate over all rows of one zone. Terms only rise, and a row is assigned
// only from kFree.
class OwnershipTable {
 public:
  // Starts to track the partition as free unless it is known already.
  void Track(const PartitionKey& key);

  // Takes over an owner learned from the store or from a holder's report. A
  // higher term wins; equal or lower ones change nothing.
  void Adopt(const PartitionRow& row, RowState state);

  // Chooses an owner for a free partition.
  void Assign(const PartitionKey& key, const VmId& owner, FencingToken term);
  void MarkStored(const PartitionKey& key, FencingToken term);
  // Lets an unconfirmed assignment be granted while the store is out.
  void MarkGrantable(const PartitionKey& key);
  void MarkHeld(const PartitionKey& key, FencingToken term);

  // Starts a move; `holders` are those that must confirm. Free at once if none.
  void Revoke(const PartitionKey& key, std::set<VmId> holders);
  // One holder stopped serving `key`, or every partition.
  void ConfirmRevoked(const PartitionKey& key, const VmId& holder);
  void ConfirmAll(const VmId& holder);

  const std::map<PartitionKey, OwnedRow>& rows() const { return rows_; }
  // Rows as the store keeps them: every row that has an owner.
  std::vector<PartitionRow> RowsToStore() const;
  // Rows that members and routers may use, changed after `change`.
  std::vector<PartitionRow> ChangedSince(std::uint64_t change) const;
  const std::set<PartitionKey>& InState(RowState state) const;
  const std::set<PartitionKey>& OwnedBy(const VmId& owner) const;
  std::uint64_t change() const { return change_; }
  // Counts a change that lies outside the rows, such as a lease that opened.
  void AdvanceChange() { ++change_; }

 private:
  // Gives the row its next change number and files it under owner and state.
  void Update(const PartitionKey& key,
              OwnedRow& row,
              const VmId& owner,
              RowState state);
  void FreeIfConfirmed(const PartitionKey& key, OwnedRow& row);

  std::map<PartitionKey, OwnedRow> rows_;
  // Indexes over rows_; each row is in exactly one set of by_state_.
  std::map<RowState, std::set<PartitionKey>> by_state_;
  std::map<VmId, std::set<PartitionKey>> by_owner_;
  std::map<std::uint64_t, PartitionKey> by_change_;
  std::uint64_t change_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_OWNERSHIP_TABLE_H_
