// Implements the renewer's side of leases.
#include "figstall/lease_keeper.h"

#include <algorithm>

namespace figstall {

LeaseKeeper::LeaseKeeper(Duration interval, Duration validity)
    : interval_(interval), validity_(validity) {}

void LeaseKeeper::Watch(const std::vector<VmId>& holders) {
  for (auto& [holder, entry] : entries_)
    entry.watched = false;
  for (const VmId& holder : holders)
    entries_[holder].watched = true;
}

void LeaseKeeper::Adopt(const VmId& holder, Term lease) {
  Entry& entry = entries_[holder];
  if (lease <= entry.sealed)
    return;
  entry.lease = lease;
}

void LeaseKeeper::Seal(const VmId& holder, Term lease) {
  Entry& entry = entries_[holder];
  entry.sealed = std::max(entry.sealed, lease);
  if (entry.lease <= entry.sealed)
    entry.lease = Term{};
}

void LeaseKeeper::DropLeases() {
  for (auto& [holder, entry] : entries_)
    entry.lease = Term{};
}

void LeaseKeeper::OnStatus(Instant now, const HolderStatus& status) {
  const auto found = entries_.find(status.holder);
  if (found == entries_.end())
    return;
  Entry& entry = found->second;
  // Incarnations of one VM only rise, so stamps order all statuses.
  if (entry.status && status.stamp < entry.status->stamp)
    return;
  entry.status = status;
  entry.heard_at = now;
}

std::vector<HolderOrder> LeaseKeeper::DueOrders(Instant now) {
  std::vector<HolderOrder> orders;
  forced_ = false;
  for (auto& [holder, entry] : entries_) {
    if (!entry.watched)
      continue;
    if (entry.sent_at && now - *entry.sent_at < interval_)
      continue;
    entry.sent_at = now;
    HolderOrder order;
    order.holder = holder;
    order.lease = entry.lease;
    order.validity = validity_;
    if (entry.lease.valid())
      order.stamp = UseStamp(holder);
    orders.push_back(order);
  }
  return orders;
}

void LeaseKeeper::ForceDue(const VmId& holder) {
  entries_[holder].sent_at.reset();
  forced_ = true;
}

bool LeaseKeeper::HeardWithin(const VmId& holder,
                              Instant now,
                              Duration window) const {
  const auto found = entries_.find(holder);
  if (found == entries_.end() || !found->second.heard_at)
    return false;
  return now - *found->second.heard_at <= window;
}

Duration LeaseKeeper::AgeOf(const std::optional<Instant>& instant,
                            Instant now) const {
  if (!instant)
    return validity_;
  return std::min<Duration>(validity_, now - *instant);
}

Duration LeaseKeeper::HeardAge(const VmId& holder, Instant now) const {
  const auto found = entries_.find(holder);
  return found == entries_.end() ? validity_
                                 : AgeOf(found->second.heard_at, now);
}

Duration LeaseKeeper::UsedStampAge(const VmId& holder, Instant now) const {
  const auto found = entries_.find(holder);
  return found == entries_.end() ? validity_
                                 : AgeOf(found->second.used_at, now);
}

std::optional<Stamp> LeaseKeeper::UseStamp(const VmId& holder) {
  const auto found = entries_.find(holder);
  if (found == entries_.end() || !found->second.status)
    return std::nullopt;
  found->second.used_at = found->second.heard_at;
  return found->second.status->stamp;
}

std::optional<HolderStatus> LeaseKeeper::LatestStatus(
    const VmId& holder) const {
  const auto found = entries_.find(holder);
  if (found == entries_.end())
    return std::nullopt;
  return found->second.status;
}

Term LeaseKeeper::LeaseOf(const VmId& holder) const {
  const auto found = entries_.find(holder);
  return found == entries_.end() ? Term{} : found->second.lease;
}

std::vector<VmId> LeaseKeeper::watched() const {
  std::vector<VmId> holders;
  for (const auto& [holder, entry] : entries_) {
    if (entry.watched)
      holders.push_back(holder);
  }
  return holders;
}

}  // namespace figstall
