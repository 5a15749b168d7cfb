// Implements the choice of grants to send.
#include "figstall/range_granter.h"

#include <algorithm>

namespace figstall {

RangeGranter::RangeGranter(GrantTiming timing, GrantSendTiming granter)
    : timing_(timing), granter_(granter) {}

bool RangeGranter::OnTable(const ServiceId& service, const RangeTable& table) {
  RangeTable& known = tables_[service];
  if (table.last_fence < known.last_fence)
    return false;
  known = table;
  // Times of entries that are gone are of no use.
  std::erase_if(next_grant_at_, [&](const auto& item) {
    const auto& [key, at] = item;
    if (std::get<0>(key) != service)
      return false;
    const RangeEntry* entry = known.Find(std::get<1>(key));
    return !entry || entry->range.first != std::get<1>(key) ||
           entry->fence != std::get<2>(key);
  });
  return true;
}

void RangeGranter::Clear() {
  tables_.clear();
  next_grant_at_.clear();
}

bool RangeGranter::IsDue(Instant now,
                         const TargetDirectory& directory,
                         const ServiceId& service,
                         const RangeEntry& entry) const {
  if (entry.phase != RangePhase::kSettled)
    return false;
  const auto known = directory.find(entry.owner.id);
  // An owner that left the directory goes on being granted: only a moving entry
  // ends that, so that a store that forgets targets lapses nothing.
  if (known != directory.end() && known->second.incarnation != entry.owner)
    return false;
  const auto owner = owners_.find(entry.owner.id);
  if (owner != owners_.end() && owner->second.backoff_until &&
      now < *owner->second.backoff_until)
    return false;
  const auto next =
      next_grant_at_.find({service, entry.range.first, entry.fence});
  return next == next_grant_at_.end() || now >= next->second;
}

GrantRequest RangeGranter::MakeRequest(Instant now,
                                       const ServiceId& service,
                                       const RangeEntry& entry) {
  next_grant_at_[{service, entry.range.first, entry.fence}] =
      now + granter_.renew_interval;
  return {service,     entry.range,           entry.owner,   entry.address,
          entry.fence, timing_.hold_duration, entry.handover};
}

bool RangeGranter::TryBeginSend(Instant now, const GrantRequest& order) {
  const auto table = tables_.find(order.service);
  if (table == tables_.end())
    return false;
  const RangeEntry* entry = table->second.Find(order.range.first);
  if (!entry || entry->range != order.range || entry->fence != order.fence ||
      entry->owner != order.owner || entry->phase != RangePhase::kSettled)
    return false;
  OwnerState& owner = owners_[order.owner.id];
  ++owner.in_flight;
  owner.last_arrival = now + timing_.call_timeout;
  return true;
}

void RangeGranter::OnOutcome(Instant now,
                             const GrantRequest& order,
                             GrantOutcome outcome) {
  OwnerState& owner = owners_[order.owner.id];
  if (outcome != GrantOutcome::kNotSent) {
    // It arrived before its answer or, without one, before its connection was
    // reset.
    owner.last_arrival = now;
    if (owner.in_flight > 0)
      --owner.in_flight;
  }
  const std::tuple key(order.service, order.range.first, order.fence);
  switch (outcome) {
    case GrantOutcome::kGranted:
    case GrantOutcome::kRefused:
      break;
    case GrantOutcome::kNotThere:
    case GrantOutcome::kUnknown:
    case GrantOutcome::kNotSent:
      if (next_grant_at_.contains(key))
        next_grant_at_[key] = now + granter_.retry_interval;
      owner.backoff_until = now + granter_.owner_backoff;
      break;
  }
}

void RangeGranter::OnConnectionLost(Instant now, const TargetId& owner) {
  owners_[owner].backoff_until = now + granter_.owner_backoff;
}

std::map<TargetId, Instant> RangeGranter::HoldExpiries(Instant now) const {
  std::map<TargetId, Instant> until;
  for (const auto& [id, owner] : owners_) {
    if (!owner.last_arrival)
      continue;
    const Instant arrival = owner.in_flight > 0
                                ? std::max(now, *owner.last_arrival)
                                : *owner.last_arrival;
    if (now < arrival + timing_.MaxHoldFromArrival())
      until[id] = arrival + timing_.MaxHoldFromArrival();
  }
  return until;
}

std::uint64_t RangeGranter::SeenFence(const ServiceId& service) const {
  const auto found = tables_.find(service);
  return found == tables_.end() ? 0 : found->second.last_fence;
}

}  // namespace figstall
