// One record for each target that ever said something. A statement about a rate
// limit replaces an older one, whichever router heard it.
#include "figstall/target_notices.h"

#include <fmt/format.h>

#include <algorithm>

namespace figstall {
namespace {

// A target that left the directory may come back for a store outage at most.
constexpr Duration kRetention = std::chrono::minutes(10);

// A faulty target may say something invalid in each answer.
constexpr Duration kInvalidReportInterval = std::chrono::seconds(10);

}  // namespace

std::string_view ToString(NoticeChange::Kind kind) {
  switch (kind) {
    case NoticeChange::Kind::kLeaving:
      return "leaving";
    case NoticeChange::Kind::kRetryAfter:
      return "retry-after";
    case NoticeChange::Kind::kRateLimit:
      return "rate-limit";
    case NoticeChange::Kind::kRateLimitEnded:
      return "rate-limit-ended";
    case NoticeChange::Kind::kInvalid:
      return "invalid";
  }
  return "";
}

const TargetNotices::Record* TargetNotices::Find(
    const TargetIncarnation& target) const {
  const auto found = records_.find(target);
  return found == records_.end() ? nullptr : &found->second;
}

std::vector<NoticeChange> TargetNotices::OnAnswer(
    Instant now,
    const TargetIncarnation& target,
    const TargetNotice& notice) {
  std::vector<NoticeChange> changed;
  if (notice.leaving)
    changed = OnReportedLeaving(now, target);
  if (notice.retry_after && *notice.retry_after > Duration{0}) {
    Record& record = records_[target];
    record.updated_at = now;
    record.retry_not_before = std::max(record.retry_not_before.value_or(now),
                                       now + *notice.retry_after);
    changed.push_back(
        {NoticeChange::Kind::kRetryAfter,
         std::chrono::duration<double>(*notice.retry_after).count(),
         {},
         {}});
  }
  if (!notice.invalid_fields.empty()) {
    Record& record = records_[target];
    record.updated_at = now;
    if (!record.invalid_reported_at ||
        now - *record.invalid_reported_at >= kInvalidReportInterval) {
      record.invalid_reported_at = now;
      changed.push_back(
          {NoticeChange::Kind::kInvalid,
           0,
           {},
           fmt::format("{}", fmt::join(notice.invalid_fields, "; "))});
    }
  }
  const bool ends_limit =
      notice.complete && !notice.rate_limit && LimitOf(target);
  if (notice.rate_limit || ends_limit) {
    const auto limit_changes =
        OnReportedLimit(target, RateLimit{notice.rate_limit, now});
    changed.insert(changed.end(), limit_changes.begin(), limit_changes.end());
  }
  return changed;
}

std::vector<NoticeChange> TargetNotices::OnReportedLeaving(
    Instant now,
    const TargetIncarnation& target) {
  Record& record = records_[target];
  record.updated_at = now;
  if (record.said_leaving_at)
    return {};
  record.said_leaving_at = now;
  ++changes_;
  return {{NoticeChange::Kind::kLeaving, 0, {}, {}}};
}

std::vector<NoticeChange> TargetNotices::OnReportedLimit(
    const TargetIncarnation& target,
    const RateLimit& limit) {
  Record& record = records_[target];
  if (record.limit && limit.stated_at < record.limit->stated_at)
    return {};
  record.updated_at = std::max(record.updated_at, limit.stated_at);
  const RateLimit earlier = record.limit.value_or(RateLimit{});
  record.limit = limit;
  if (earlier.per_second == limit.per_second)
    return {};
  ++changes_;
  if (limit.per_second) {
    if (!earlier.per_second)
      record.limited_since = limit.stated_at;
    return {{NoticeChange::Kind::kRateLimit, *limit.per_second, {}, {}}};
  }
  return {{NoticeChange::Kind::kRateLimitEnded,
           0,
           limit.stated_at - record.limited_since.value_or(limit.stated_at),
           {}}};
}

bool TargetNotices::OnListed(Instant now,
                             const TargetIncarnation& target,
                             bool leaving) {
  if (!leaving && !Find(target))
    return false;
  Record& record = records_[target];
  record.updated_at = now;
  const bool changed = record.listed_leaving_at.has_value() != leaving;
  if (!leaving)
    record.listed_leaving_at.reset();
  else if (!record.listed_leaving_at)
    record.listed_leaving_at = now;
  return changed;
}

std::optional<Instant> TargetNotices::LeavingSince(
    const TargetIncarnation& target) const {
  const Record* record = Find(target);
  if (!record)
    return std::nullopt;
  if (record->said_leaving_at && record->listed_leaving_at)
    return std::min(*record->said_leaving_at, *record->listed_leaving_at);
  return record->said_leaving_at ? record->said_leaving_at
                                 : record->listed_leaving_at;
}

bool TargetNotices::SaidLeaving(const TargetIncarnation& target) const {
  const Record* record = Find(target);
  return record && record->said_leaving_at;
}

std::optional<Instant> TargetNotices::RetryNotBefore(
    Instant now,
    const TargetIncarnation& target) const {
  const Record* record = Find(target);
  if (!record || !record->retry_not_before || *record->retry_not_before <= now)
    return std::nullopt;
  return record->retry_not_before;
}

const RateLimit* TargetNotices::LimitOf(const TargetIncarnation& target) const {
  const Record* record = Find(target);
  return record && record->limit ? &*record->limit : nullptr;
}

std::optional<LimitStatement> TargetNotices::StatementOf(
    Instant now,
    const TargetIncarnation& target) const {
  const RateLimit* limit = LimitOf(target);
  if (!limit)
    return std::nullopt;
  return LimitStatement{limit->per_second, now - limit->stated_at};
}

std::vector<TargetIncarnation> TargetNotices::Reportable() const {
  std::vector<TargetIncarnation> reportable;
  for (const auto& [target, record] : records_) {
    if (record.said_leaving_at || record.limit)
      reportable.push_back(target);
  }
  return reportable;
}

void TargetNotices::Prune(Instant now, const TargetDirectory& directory) {
  std::erase_if(records_, [&](const auto& each) {
    const auto listed = directory.find(each.first.id);
    return (listed == directory.end() ||
            listed->second.incarnation != each.first) &&
           now - each.second.updated_at > kRetention;
  });
}

}  // namespace figstall
