// The time of the next grant is kept per range and fencing token. Per owner, an
// upper bound on the arrival of the grants sent so far gives the expiry of its
// holds.
#include "figstall/range_granter.h"

#include <algorithm>

namespace figstall {

const char* ToString(AnswerProof proof) {
  switch (proof) {
    case AnswerProof::kNone:
      return "none";
    case AnswerProof::kFirstOnConnection:
      return "first-on-connection";
    case AnswerProof::kRequestId:
      return "request-id";
    case AnswerProof::kConnectionReset:
      return "connection-reset";
  }
  return "";
}

RangeGranter::RangeGranter(GrantTiming timing, GrantSendTiming send_timing)
    : timing_(timing), send_timing_(send_timing) {}

bool RangeGranter::OnTable(const ServiceId& service, const RangeTable& table) {
  RangeTable& known = tables_[service];
  if (table.last_fence < known.last_fence)
    return false;
  AddLeftRanges(service, known, table);
  known = table;
  // Forget the grant times of entries that are no longer in the table.
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

void RangeGranter::AddLeftRanges(const ServiceId& service,
                                 const RangeTable& known,
                                 const RangeTable& next) {
  // A release that arrives late would end the hold of an owner that has the
  // range again.
  std::erase_if(releases_, [&](const auto& each) {
    const LeftRange& left = each.second.left;
    const RangeEntry* entry =
        left.service == service ? next.Find(left.release.range.first) : nullptr;
    return entry && entry->phase == RangePhase::kSettled &&
           entry->owner.id == left.release.owner.id;
  });
  auto earlier = known.entries.begin();
  for (const RangeEntry& entry : next.entries) {
    if (entry.phase != RangePhase::kSettled) {
      AddLeftRange({service,
                    entry.zone,
                    {entry.range, entry.owner, entry.address, entry.fence},
                    /*moving=*/true,
                    entry.phase == RangePhase::kAwaitingReports});
      continue;
    }
    while (earlier != known.entries.end() &&
           earlier->range.last < entry.range.first)
      ++earlier;
    for (auto each = earlier;
         each != known.entries.end() && each->range.first <= entry.range.last;
         ++each) {
      if (each->owner.id == entry.owner.id)
        continue;
      const KeyRange common{std::max(each->range.first, entry.range.first),
                            std::min(each->range.last, entry.range.last)};
      AddLeftRange({service,
                    each->zone,
                    {common, each->owner, each->address, entry.fence},
                    /*moving=*/false,
                    each->phase == RangePhase::kAwaitingReports});
    }
  }
}

void RangeGranter::AddLeftRange(LeftRange left) {
  ReleaseState& state = releases_[left.release];
  left.overdue = left.overdue || state.left.overdue;
  state.left = std::move(left);
}

void RangeGranter::ForgetReleases(Instant now) {
  for (auto& [request, state] : releases_)
    state.since = state.since.value_or(now);
  std::erase_if(releases_, [&](const auto& each) {
    const ReleaseState& state = each.second;
    return !state.in_flight &&
           now - *state.since > send_timing_.max_release_time;
  });
}

void RangeGranter::OnReleaseOutcome(Instant now,
                                    const ReleaseRequest& request,
                                    bool ended) {
  const auto found = releases_.find(request);
  if (found == releases_.end())
    return;
  found->second.in_flight = false;
  found->second.ended = ended;
  found->second.next_at = now + send_timing_.release_retry_interval;
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
  const auto listed = directory.find(entry.owner.id);
  // An owner that is missing from the directory is still granted its ranges
  // until they move, so that no hold expires when the store loses target
  // entries.
  if (listed != directory.end() && listed->second.incarnation != entry.owner)
    return false;
  const auto owner = owners_.find(entry.owner.id);
  if (owner != owners_.end() && owner->second.backoff_until &&
      now < *owner->second.backoff_until)
    return false;
  if (owner != owners_.end() && owner->second.unconfirmed_connection_at &&
      ConfirmedAt(service) < owner->second.unconfirmed_connection_at)
    return false;
  const auto next =
      next_grant_at_.find({service, entry.range.first, entry.fence});
  return next == next_grant_at_.end() || now >= next->second;
}

GrantRequest RangeGranter::MakeRequest(Instant now,
                                       const ServiceId& service,
                                       const RangeEntry& entry) {
  next_grant_at_[{service, entry.range.first, entry.fence}] =
      now + send_timing_.renew_interval;
  return {service,     entry.range,           entry.owner,   entry.address,
          entry.fence, timing_.hold_duration, entry.handover};
}

void RangeGranter::OnTableConfirmed(const ServiceId& service,
                                    Instant requested_at) {
  Instant& confirmed_at = confirmed_at_[service];
  confirmed_at = std::max(confirmed_at, requested_at);
}

bool RangeGranter::AwaitsConfirmation(const ServiceId& service) const {
  const auto awaited = awaited_since_.find(service);
  return awaited != awaited_since_.end() &&
         ConfirmedAt(service) < awaited->second;
}

std::optional<Instant> RangeGranter::ConfirmedAt(
    const ServiceId& service) const {
  const auto found = confirmed_at_.find(service);
  return found == confirmed_at_.end() ? std::nullopt
                                      : std::optional(found->second);
}

SendDecision RangeGranter::TryBeginSend(Instant now,
                                        const GrantRequest& request,
                                        Instant connected_at) {
  const auto table = tables_.find(request.service);
  if (table == tables_.end())
    return SendDecision::kWithdraw;
  const RangeEntry* entry = table->second.Find(request.range.first);
  if (!entry || entry->range != request.range ||
      entry->fence != request.fence || entry->owner != request.owner ||
      entry->phase != RangePhase::kSettled)
    return SendDecision::kWithdraw;
  OwnerState& owner = owners_[request.owner.id];
  if (ConfirmedAt(request.service) < connected_at) {
    owner.unconfirmed_connection_at = connected_at;
    Instant& awaited_since = awaited_since_[request.service];
    awaited_since = std::max(awaited_since, connected_at);
    return SendDecision::kAwaitConfirmation;
  }
  owner.in_flight.emplace(request, now + timing_.call_timeout);
  return SendDecision::kSend;
}

void RangeGranter::OnOutcome(Instant now,
                             const GrantRequest& request,
                             GrantOutcome outcome,
                             AnswerProof proof) {
  const std::tuple key(request.service, request.range.first, request.fence);
  if (outcome == GrantOutcome::kWithdrawn) {
    next_grant_at_.erase(key);
    return;
  }
  OwnerState& owner = owners_[request.owner.id];
  const auto [sent, last_sent] = owner.in_flight.equal_range(request);
  if (outcome != GrantOutcome::kNotSent && sent != last_sent) {
    // The grant arrived before its response or, without a response, before its
    // connection was reset.
    const Instant arrival =
        proof == AnswerProof::kNone ? std::max(now, sent->second) : now;
    owner.latest_arrival =
        std::max(owner.latest_arrival.value_or(arrival), arrival);
    owner.in_flight.erase(sent);
  }
  owner.unanswered = outcome == GrantOutcome::kUnknown;
  switch (outcome) {
    case GrantOutcome::kGranted:
    case GrantOutcome::kRefused:
    case GrantOutcome::kWithdrawn:
      break;
    case GrantOutcome::kNotThere:
    case GrantOutcome::kUnknown:
    case GrantOutcome::kNotSent:
      if (next_grant_at_.contains(key))
        next_grant_at_[key] = now + send_timing_.retry_interval;
      owner.backoff_until = now + send_timing_.owner_backoff;
      break;
  }
}

void RangeGranter::OnConnectionLost(Instant now, const TargetId& owner) {
  owners_[owner].backoff_until = now + send_timing_.owner_backoff;
}

std::optional<Instant> RangeGranter::HoldExpiry(Instant now,
                                                const TargetId& owner) const {
  const auto found = owners_.find(owner);
  if (found == owners_.end())
    return std::nullopt;
  std::optional<Instant> arrival = found->second.latest_arrival;
  for (const auto& [request, timeout_at] : found->second.in_flight) {
    const Instant bound = std::max(now, timeout_at);
    arrival = std::max(arrival.value_or(bound), bound);
  }
  if (!arrival)
    return std::nullopt;
  const Instant expiry = *arrival + timing_.MaxHoldFromArrival();
  return now < expiry ? std::optional(expiry) : std::nullopt;
}

std::map<TargetId, Instant> RangeGranter::HoldExpiries(Instant now) const {
  std::map<TargetId, Instant> expiries;
  for (const auto& [id, owner] : owners_) {
    if (const auto expiry = HoldExpiry(now, id))
      expiries[id] = *expiry;
  }
  return expiries;
}

std::uint64_t RangeGranter::SeenFence(const ServiceId& service) const {
  const auto found = tables_.find(service);
  return found == tables_.end() ? 0 : found->second.last_fence;
}

}  // namespace figstall
