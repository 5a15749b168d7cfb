// One record for each incarnation that was listed or said that it warms up, and
// an index of those that do.
#include "figstall/warm_up_limits.h"

#include <algorithm>

namespace figstall {
namespace {

// Targets that are first seen this soon after the first entry are not new: this
// process is. Longer than it takes to read the directory while members and
// targets start together.
constexpr Duration kStartGrace = std::chrono::seconds(5);
// A target that left the directory may come back for a store outage at most.
constexpr Duration kRetention = std::chrono::minutes(10);
// Short, since each second of validity adds the rate once more to what a second
// may see. Two round trips between regions.
constexpr Duration kValidity = std::chrono::milliseconds(300);
// Requests that were sent within this much more than a second may arrive within
// one.
constexpr Duration kArrivalSpread = std::chrono::milliseconds(50);
// Share of the load that the rate allows. The requests of a key come unevenly,
// and those beyond the rate are refused.
constexpr double kCapacityShare = 0.5;
// A larger burst would only serve requests that arrive together.
constexpr double kMaxBurst = 2;
constexpr double kMinBurst = 1;
// A statement of another member above this is damaged.
constexpr Duration kMaxReportedLeft = std::chrono::hours(24);

// The latest end counts only if it is still ahead.
bool IsAhead(Instant now, Instant until) {
  return until > now;
}

}  // namespace

WarmUpIssue ComputeWarmUpIssue(double per_second, const WarmUpBounds& bounds) {
  WarmUpIssue issue;
  issue.validity = kValidity;
  const double bound = per_second * bounds.overshoot + bounds.slack;
  // Credits used within one second were issued within this time.
  const double seconds =
      std::chrono::duration<double>(std::chrono::seconds(1) + kValidity +
                                    kArrivalSpread)
          .count();
  issue.per_second = std::clamp((bound - kMinBurst) / seconds, 0.0, per_second);
  issue.burst =
      std::clamp(bound / 2 - issue.per_second * seconds, kMinBurst, kMaxBurst);
  return issue;
}

double WarmUpCapacity(double per_second, Duration processing_time) {
  return per_second * std::chrono::duration<double>(processing_time).count() *
         kCapacityShare;
}

const WarmUpLimits::Active* WarmUpLimits::Find(
    Instant now,
    const TargetIncarnation& target) const {
  if (active_.empty())
    return nullptr;
  const auto found = active_.find(target);
  return found != active_.end() && found->second.until > now ? &found->second
                                                             : nullptr;
}

const TargetService* WarmUpLimits::ServiceOf(const Record& record) const {
  const auto found = services_.find(record.service);
  return found == services_.end() ? nullptr : &found->second;
}

Instant WarmUpLimits::StatedUntil(const Record& record) {
  return std::max(record.listed_until, record.heard_until);
}

Instant WarmUpLimits::UntilOf(const Record& record) const {
  Instant until = std::max(StatedUntil(record), record.reported_until);
  const TargetService* service = ServiceOf(record);
  if (record.assumed_since && service)
    until = std::max(until, *record.assumed_since + service->warm_up_time);
  return until;
}

void WarmUpLimits::Update(Instant now,
                          const TargetIncarnation& target,
                          const Record& record,
                          std::string_view source,
                          Changes& changes) {
  if (!bounds_)
    return;
  const TargetService* service = ServiceOf(record);
  const double rate = service ? service->warm_up_rate : record.reported_rate;
  const Instant until = UntilOf(record);
  const bool warming_up = rate > 0 && IsAhead(now, until);
  const auto found = active_.find(target);
  if (found != active_.end() &&
      (!warming_up || !IsAhead(now, found->second.until))) {
    changes.push_back({target, false, now - found->second.since,
                       found->second.per_second, std::string(source)});
    active_.erase(found);
  }
  if (!warming_up)
    return;
  const bool started = !active_.contains(target);
  Active& active = active_[target];
  if (started)
    active.since = now;
  active.until = until;
  active.per_second = rate;
  active.issue = ComputeWarmUpIssue(rate, *bounds_);
  if (started)
    changes.push_back({target, true, until - now, rate, std::string(source)});
}

WarmUpLimits::Changes WarmUpLimits::OnServices(
    Instant now,
    const std::map<ServiceId, TargetService>& services) {
  Changes changes;
  if (!bounds_)
    return changes;
  services_ = services;
  for (const auto& [target, record] : records_)
    Update(now, target, record, "desired-state", changes);
  return changes;
}

WarmUpLimits::Changes WarmUpLimits::OnListed(Instant now,
                                             const TargetEntry& entry) {
  Changes changes;
  if (!bounds_)
    return changes;
  if (!first_listed_at_)
    first_listed_at_ = now;
  Record& record = records_[entry.incarnation];
  const bool first_seen = !record.status_number;
  record.service = entry.service;
  record.updated_at = now;
  // The same entry read again does not begin the warm-up again.
  if (!first_seen && record.status_number == entry.status_number &&
      record.listed_left == entry.warm_up_left)
    return changes;
  record.status_number = entry.status_number;
  record.listed_left = entry.warm_up_left;
  record.listed_until =
      entry.warm_up_left > Duration{0} ? now + entry.warm_up_left : Instant{};
  const bool assumed = first_seen && entry.warm_up_left <= Duration{0} &&
                       now - *first_listed_at_ >= kStartGrace;
  if (assumed)
    record.assumed_since = now;
  Update(now, entry.incarnation, record, assumed ? "first-seen" : "entry",
         changes);
  return changes;
}

WarmUpLimits::Changes WarmUpLimits::OnAnswer(Instant now,
                                             const TargetIncarnation& target,
                                             Duration left,
                                             std::string_view source) {
  Changes changes;
  if (!bounds_ || left <= Duration{0})
    return changes;
  Record& record = records_[target];
  record.updated_at = now;
  // An answer that was delayed states a time that is too long by its delay, not
  // too short, so the latest end applies.
  record.heard_until = std::max(record.heard_until, now + left);
  Update(now, target, record, source, changes);
  return changes;
}

WarmUpLimits::Changes WarmUpLimits::OnReported(
    Instant now,
    const VmId& member,
    const TargetIncarnation& target,
    const WarmUpStatement& statement) {
  Changes changes;
  if (!bounds_ || statement.left <= Duration{0} ||
      statement.left > kMaxReportedLeft)
    return changes;
  Record& record = records_[target];
  record.updated_at = now;
  record.reported_until = std::max(record.reported_until, now + statement.left);
  record.reported_rate = statement.per_second;
  Update(now, target, record, member.value(), changes);
  return changes;
}

WarmUpLimits::Changes WarmUpLimits::OnZoneReturned(
    Instant now,
    const ZoneId& zone,
    const TargetDirectory& directory) {
  Changes changes;
  if (!bounds_)
    return changes;
  for (const auto& [id, entry] : directory) {
    if (entry.zone != zone)
      continue;
    Record& record = records_[entry.incarnation];
    record.service = entry.service;
    record.assumed_since = now;
    record.updated_at = now;
    Update(now, entry.incarnation, record, "zone-returned", changes);
  }
  return changes;
}

WarmUpLimits::Changes WarmUpLimits::Advance(Instant now) {
  Changes changes;
  std::vector<TargetIncarnation> over;
  for (const auto& [target, active] : active_) {
    if (active.until <= now)
      over.push_back(target);
  }
  for (const TargetIncarnation& target : over)
    Update(now, target, records_[target], "time", changes);
  return changes;
}

const WarmUpIssue* WarmUpLimits::IssueOf(
    Instant now,
    const TargetIncarnation& target) const {
  const Active* active = Find(now, target);
  return active ? &active->issue : nullptr;
}

std::optional<double> WarmUpLimits::RateOf(
    Instant now,
    const TargetIncarnation& target) const {
  const Active* active = Find(now, target);
  return active ? std::optional(active->per_second) : std::nullopt;
}

std::optional<WarmUpStatement> WarmUpLimits::StatementOf(
    Instant now,
    const TargetIncarnation& target) const {
  const Active* active = Find(now, target);
  if (!active)
    return std::nullopt;
  const auto record = records_.find(target);
  if (record == records_.end())
    return std::nullopt;
  const Instant until = StatedUntil(record->second);
  if (!IsAhead(now, until))
    return std::nullopt;
  return WarmUpStatement{until - now, active->per_second};
}

std::set<TargetId> WarmUpLimits::Targets(Instant now) const {
  std::set<TargetId> targets;
  for (const auto& [target, active] : active_) {
    if (IsAhead(now, active.until))
      targets.insert(target.id);
  }
  return targets;
}

std::vector<TargetIncarnation> WarmUpLimits::Reportable(Instant now) const {
  std::vector<TargetIncarnation> reportable;
  for (const auto& [target, active] : active_) {
    const auto record = records_.find(target);
    if (record != records_.end() && IsAhead(now, record->second.heard_until) &&
        record->second.heard_until > record->second.listed_until)
      reportable.push_back(target);
  }
  return reportable;
}

void WarmUpLimits::Prune(Instant now, const TargetDirectory& directory) {
  std::erase_if(records_, [&](const auto& each) {
    const auto listed = directory.find(each.first.id);
    return (listed == directory.end() ||
            listed->second.incarnation != each.first) &&
           now - each.second.updated_at > kRetention &&
           !active_.contains(each.first);
  });
}

}  // namespace figstall
