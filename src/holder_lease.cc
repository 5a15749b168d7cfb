#include "figstall/holder_lease.h"

#include <algorithm>
#include <utility>

namespace figstall {

HolderLease::HolderLease(VmId holder,
                         std::uint64_t incarnation,
                         InFlightProbe in_flight)
    : holder_(std::move(holder)),
      incarnation_(incarnation),
      in_flight_(std::move(in_flight)) {}

HolderStatus HolderLease::Apply(Instant now, const HolderOrder& order) {
  IsLeaseValid(now);
  const bool from_leader = order.epoch != 0;
  if (from_leader && order.epoch < epoch_)
    return Status(now, order, /*refused=*/true);
  if (from_leader && order.epoch > epoch_) {
    epoch_ = order.epoch;
    // Each leader numbers its changes from zero.
    last_change_ = 0;
  }
  if (from_leader && order.open && order.lease > lease_)
    Open(order);
  if (order.lease == lease_ && lease_.valid())
    Renew(now, order);
  const bool same_lease = order.lease == lease_ && IsLeaseValid(now);
  if (from_leader)
    Revoke(order);
  if (from_leader && same_lease) {
    Grant(order);
    last_change_ = std::max(last_change_, order.change);
  }
  const bool grants_refused = !order.grants.empty() && !same_lease;
  return Status(now, order, grants_refused);
}

bool HolderLease::IsLeaseValid(Instant now) {
  if (!valid_until_)
    return false;
  if (now < *valid_until_)
    return true;
  valid_until_.reset();
  // An expired lease stops new requests; those in flight end later.
  for (const auto& [key, row] : rows_)
    draining_.insert(key);
  rows_.clear();
  return false;
}

std::optional<PartitionRow> HolderLease::MayServe(Instant now,
                                                  const PartitionKey& key) {
  IsLeaseValid(now);
  const PartitionRow* row = FindValidRow(now, key);
  if (!row)
    return std::nullopt;
  return *row;
}

const PartitionRow* HolderLease::FindValidRow(Instant now,
                                              const PartitionKey& key) const {
  if (!valid_until_ || now >= *valid_until_)
    return nullptr;
  const auto row = rows_.find(key);
  return row == rows_.end() ? nullptr : &row->second;
}

void HolderLease::Open(const HolderOrder& order) {
  if (!order.stamp || order.stamp->incarnation != incarnation_)
    return;
  lease_ = order.lease;
  for (const auto& [key, row] : rows_)
    draining_.insert(key);
  rows_.clear();
  last_change_ = 0;
  valid_until_ = Instant(Duration(order.stamp->micros)) + order.validity;
}

void HolderLease::Renew(Instant now, const HolderOrder& order) {
  if (!order.stamp || order.stamp->incarnation != incarnation_)
    return;
  if (!IsLeaseValid(now))
    return;
  const Instant renewed_until =
      Instant(Duration(order.stamp->micros)) + order.validity;
  valid_until_ = std::max(*valid_until_, renewed_until);
  IsLeaseValid(now);
}

void HolderLease::Grant(const HolderOrder& order) {
  for (const PartitionRow& row : order.grants) {
    FencingToken& min_term = min_terms_[row.key];
    if (row.term < min_term)
      continue;
    min_term = row.term;
    rows_[row.key] = row;
    draining_.erase(row.key);
  }
}

void HolderLease::Revoke(const HolderOrder& order) {
  for (const PartitionRow& row : order.revokes) {
    const FencingToken next_term{row.term.epoch, row.term.count + 1};
    FencingToken& min_term = min_terms_[row.key];
    min_term = std::max(min_term, next_term);
    const auto held = rows_.find(row.key);
    if (held != rows_.end() && held->second.term < min_term)
      rows_.erase(held);
    draining_.insert(row.key);
  }
}

std::vector<PartitionKey> HolderLease::UpdateDraining() {
  std::erase_if(draining_,
                [&](const PartitionKey& key) { return !in_flight_(key); });
  return {draining_.begin(), draining_.end()};
}

HolderStatus HolderLease::Status(Instant now,
                                 const HolderOrder& order,
                                 bool refused) {
  HolderStatus status;
  status.holder = holder_;
  status.incarnation = incarnation_;
  status.stamp = Stamp{incarnation_, now.time_since_epoch().count()};
  status.lease = lease_;
  status.standing = IsLeaseValid(now);
  status.epoch = epoch_;
  status.refused = refused;
  status.change = last_change_;
  status.draining = UpdateDraining();
  if (!order.want_report)
    return status;
  status.has_report = true;
  for (const auto& [key, row] : rows_)
    status.held.push_back(row);
  return status;
}

}  // namespace figstall
