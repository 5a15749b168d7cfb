#include "figstall/ownership_table.h"

#include <utility>

namespace figstall {
namespace {

const std::set<PartitionKey> kNoKeys;

}  // namespace

void OwnershipTable::Track(const PartitionKey& key) {
  const auto [it, added] = rows_.try_emplace(key);
  if (added)
    Update(key, it->second, VmId{}, RowState::kFree);
}

void OwnershipTable::Adopt(const PartitionRow& row, RowState state) {
  OwnedRow& known_row = rows_[row.key];
  if (row.term <= known_row.term)
    return;
  known_row.term = row.term;
  Update(row.key, known_row, row.owner, state);
}

void OwnershipTable::Assign(const PartitionKey& key,
                            const VmId& owner,
                            FencingToken term) {
  OwnedRow& row = rows_[key];
  if (row.state != RowState::kFree || term <= row.term)
    return;
  row.term = term;
  Update(key, row, owner, RowState::kAssigned);
}

void OwnershipTable::MarkStored(const PartitionKey& key, FencingToken term) {
  if (rows_[key].term == term)
    MarkGrantable(key);
}

void OwnershipTable::MarkGrantable(const PartitionKey& key) {
  OwnedRow& row = rows_[key];
  if (row.state != RowState::kAssigned)
    return;
  Update(key, row, row.owner, RowState::kGrantable);
}

void OwnershipTable::MarkHeld(const PartitionKey& key, FencingToken term) {
  OwnedRow& row = rows_[key];
  if (row.term != term || row.state != RowState::kGrantable)
    return;
  Update(key, row, row.owner, RowState::kHeld);
}

void OwnershipTable::Revoke(const PartitionKey& key, std::set<VmId> holders) {
  OwnedRow& row = rows_[key];
  if (row.state == RowState::kFree || row.state == RowState::kRevoking)
    return;
  row.pending = std::move(holders);
  Update(key, row, row.owner, RowState::kRevoking);
  FreeIfConfirmed(key, row);
}

void OwnershipTable::ConfirmRevoked(const PartitionKey& key,
                                    const VmId& holder) {
  const auto found = rows_.find(key);
  if (found == rows_.end())
    return;
  OwnedRow& row = found->second;
  if (row.state != RowState::kRevoking)
    return;
  row.pending.erase(holder);
  FreeIfConfirmed(key, row);
}

void OwnershipTable::ConfirmAll(const VmId& holder) {
  const std::set<PartitionKey> revoking = InState(RowState::kRevoking);
  for (const PartitionKey& key : revoking)
    ConfirmRevoked(key, holder);
}

const std::set<PartitionKey>& OwnershipTable::InState(RowState state) const {
  const auto found = by_state_.find(state);
  return found == by_state_.end() ? kNoKeys : found->second;
}

const std::set<PartitionKey>& OwnershipTable::OwnedBy(const VmId& owner) const {
  const auto found = by_owner_.find(owner);
  return found == by_owner_.end() ? kNoKeys : found->second;
}

std::vector<PartitionRow> OwnershipTable::RowsToStore() const {
  std::vector<PartitionRow> stored;
  for (const auto& [key, row] : rows_) {
    if (row.term.valid())
      stored.push_back({key, row.term, row.owner});
  }
  return stored;
}

std::vector<PartitionRow> OwnershipTable::ChangedSince(
    std::uint64_t change) const {
  std::vector<PartitionRow> changed;
  for (auto it = by_change_.upper_bound(change); it != by_change_.end(); ++it) {
    const OwnedRow& row = rows_.at(it->second);
    if (row.state != RowState::kHeld)
      continue;
    changed.push_back({it->second, row.term, row.owner});
  }
  return changed;
}

void OwnershipTable::Update(const PartitionKey& key,
                            OwnedRow& row,
                            const VmId& owner,
                            RowState state) {
  by_change_.erase(row.change);
  by_state_[row.state].erase(key);
  by_owner_[row.owner].erase(key);
  row.owner = owner;
  row.state = state;
  row.change = ++change_;
  by_change_[row.change] = key;
  by_state_[row.state].insert(key);
  by_owner_[row.owner].insert(key);
}

void OwnershipTable::FreeIfConfirmed(const PartitionKey& key, OwnedRow& row) {
  if (!row.pending.empty())
    return;
  Update(key, row, row.owner, RowState::kFree);
}

}  // namespace figstall
