#include "figstall/lease_renewer.h"

#include <algorithm>

namespace figstall {

LeaseRenewer::LeaseRenewer(Duration interval, Duration validity)
    : renew_interval_(interval), validity_(validity) {}

void LeaseRenewer::SetMonitoredHolders(const std::vector<VmId>& holders) {
  for (auto& [holder, entry] : entries_)
    entry.monitored = false;
  for (const VmId& holder : holders)
    entries_[holder].monitored = true;
}

void LeaseRenewer::StartRenewing(const VmId& holder, FencingToken lease) {
  Entry& entry = entries_[holder];
  if (lease <= entry.sealed)
    return;
  entry.lease = lease;
}

void LeaseRenewer::Seal(const VmId& holder, FencingToken lease) {
  Entry& entry = entries_[holder];
  entry.sealed = std::max(entry.sealed, lease);
  if (entry.lease <= entry.sealed)
    entry.lease = FencingToken{};
}

void LeaseRenewer::DropLeases() {
  for (auto& [holder, entry] : entries_)
    entry.lease = FencingToken{};
}

void LeaseRenewer::OnStatus(Instant now, const HolderStatus& status) {
  const auto found = entries_.find(status.holder);
  if (found == entries_.end())
    return;
  Entry& entry = found->second;
  // A VM's incarnations only rise, so stamps order all statuses of a holder.
  if (entry.status && status.stamp < entry.status->stamp)
    return;
  entry.status = status;
  entry.status_received_at = now;
}

std::vector<HolderOrder> LeaseRenewer::DueOrders(Instant now) {
  std::vector<HolderOrder> orders;
  order_expedited_ = false;
  for (auto& [holder, entry] : entries_) {
    if (!entry.monitored)
      continue;
    if (entry.order_sent_at && now - *entry.order_sent_at < renew_interval_)
      continue;
    entry.order_sent_at = now;
    HolderOrder order;
    order.holder = holder;
    order.lease = entry.lease;
    order.validity = validity_;
    if (entry.lease.valid())
      order.stamp = TakeStampToSend(holder);
    orders.push_back(order);
  }
  return orders;
}

void LeaseRenewer::ScheduleNow(const VmId& holder) {
  entries_[holder].order_sent_at.reset();
  order_expedited_ = true;
}

bool LeaseRenewer::RespondedWithin(const VmId& holder,
                                   Instant now,
                                   Duration window) const {
  const auto found = entries_.find(holder);
  if (found == entries_.end() || !found->second.status_received_at)
    return false;
  return now - *found->second.status_received_at <= window;
}

Duration LeaseRenewer::CappedAge(const std::optional<Instant>& instant,
                                 Instant now) const {
  if (!instant)
    return validity_;
  return std::min<Duration>(validity_, now - *instant);
}

Duration LeaseRenewer::TimeSinceStatus(const VmId& holder, Instant now) const {
  const auto found = entries_.find(holder);
  return found == entries_.end()
             ? validity_
             : CappedAge(found->second.status_received_at, now);
}

Duration LeaseRenewer::SentStampAge(const VmId& holder, Instant now) const {
  const auto found = entries_.find(holder);
  return found == entries_.end()
             ? validity_
             : CappedAge(found->second.sent_stamp_received_at, now);
}

std::optional<Stamp> LeaseRenewer::TakeStampToSend(const VmId& holder) {
  const auto found = entries_.find(holder);
  if (found == entries_.end() || !found->second.status)
    return std::nullopt;
  found->second.sent_stamp_received_at = found->second.status_received_at;
  return found->second.status->stamp;
}

std::optional<HolderStatus> LeaseRenewer::LatestStatus(
    const VmId& holder) const {
  const auto found = entries_.find(holder);
  if (found == entries_.end())
    return std::nullopt;
  return found->second.status;
}

FencingToken LeaseRenewer::LeaseOf(const VmId& holder) const {
  const auto found = entries_.find(holder);
  return found == entries_.end() ? FencingToken{} : found->second.lease;
}

std::vector<VmId> LeaseRenewer::monitored_holders() const {
  std::vector<VmId> holders;
  for (const auto& [holder, entry] : entries_) {
    if (entry.monitored)
      holders.push_back(holder);
  }
  return holders;
}

}  // namespace figstall
