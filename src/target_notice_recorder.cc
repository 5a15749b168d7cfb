// Each change is one line of the log and one count of a metric.
#include "figstall/target_notice_recorder.h"

#include <fmt/format.h>

#include "figstall/clock.h"

namespace figstall {

void TargetNoticeRecorder::OnAnswer(Instant now,
                                    const TargetIncarnation& target,
                                    const TargetNotice& notice,
                                    std::string_view source) {
  LogChanges(target, notices_.OnAnswer(now, target, notice), source);
  if (!notice.warm_up_left)
    return;
  const auto changes =
      warm_ups_.OnAnswer(now, target, *notice.warm_up_left, source);
  LogWarmUps(changes);
  if (!changes.empty() && changes.back().started)
    on_warm_up_(now, target);
}

void TargetNoticeRecorder::OnReport(Instant now,
                                    const VmId& member,
                                    const ReportedNotice& notice) {
  if (notice.leaving)
    LogChanges(notice.target, notices_.OnReportedLeaving(now, notice.target),
               member.value());
  if (notice.limit)
    OnReportedLimit(member, notice.target,
                    {notice.limit->per_second, now - notice.limit->age});
  if (notice.warm_up)
    LogWarmUps(
        warm_ups_.OnReported(now, member, notice.target, *notice.warm_up));
}

void TargetNoticeRecorder::OnReportedWarmUp(const VmId& member,
                                            const TargetIncarnation& target,
                                            const WarmUpStatement& warm_up) {
  LogWarmUps(warm_ups_.OnReported(BootNow(), member, target, warm_up));
}

void TargetNoticeRecorder::OnListed(Instant now, const TargetEntry& entry) {
  LogWarmUps(warm_ups_.OnListed(now, entry));
}

void TargetNoticeRecorder::OnServices(
    Instant now,
    const std::map<ServiceId, TargetService>& services) {
  LogWarmUps(warm_ups_.OnServices(now, services));
}

void TargetNoticeRecorder::OnZoneReturned(Instant now,
                                          const ZoneId& zone,
                                          const TargetDirectory& directory) {
  LogWarmUps(warm_ups_.OnZoneReturned(now, zone, directory));
}

void TargetNoticeRecorder::Advance(Instant now) {
  LogWarmUps(warm_ups_.Advance(now));
}

void TargetNoticeRecorder::Prune(Instant now,
                                 const TargetDirectory& directory) {
  notices_.Prune(now, directory);
  warm_ups_.Prune(now, directory);
}

void TargetNoticeRecorder::OnReportedLimit(const VmId& member,
                                           const TargetIncarnation& target,
                                           const RateLimit& limit) {
  LogChanges(target, notices_.OnReportedLimit(target, limit), member.value());
}

void TargetNoticeRecorder::LogChanges(const TargetIncarnation& target,
                                      const std::vector<NoticeChange>& changes,
                                      std::string_view source) {
  for (const NoticeChange& change : changes) {
    const std::string_view kind = ToString(change.kind);
    ++metrics_.Counter("figstall_target_notices_total",
                       fmt::format("notice=\"{}\"", kind));
    const bool invalid = change.kind == NoticeChange::Kind::kInvalid;
    log_.Write(
        invalid ? LogLevel::kWarning : LogLevel::kInfo, "target-notice",
        {{"target", target.id.value()},
         {"born", std::to_string(target.started_at_ms)},
         {"notice", kind},
         {"value", invalid ? change.text : fmt::format("{:.3f}", change.value)},
         {"lasted_ms", std::to_string(ToMillis(change.lasted))},
         {"source", source}});
  }
}

void TargetNoticeRecorder::LogWarmUps(const WarmUpLimits::Changes& changes) {
  for (const WarmUpChange& change : changes) {
    ++metrics_.Counter("figstall_warm_ups_total", change.started
                                                      ? "event=\"started\""
                                                      : "event=\"ended\"");
    log_.Write(LogLevel::kInfo,
               change.started ? "warm-up-started" : "warm-up-ended",
               {{"target", change.target.id.value()},
                {"born", std::to_string(change.target.started_at_ms)},
                {change.started ? "left_ms" : "lasted_ms",
                 std::to_string(ToMillis(change.duration))},
                {"per_second", fmt::format("{:.3f}", change.per_second)},
                {"source", change.source}});
  }
}

}  // namespace figstall
