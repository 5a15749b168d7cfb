// Each change is one line of the log and one count of a metric.
#include "figstall/target_notice_recorder.h"

#include <fmt/format.h>

namespace figstall {

void TargetNoticeRecorder::OnAnswer(Instant now,
                                    const TargetIncarnation& target,
                                    const TargetNotice& notice,
                                    std::string_view source) {
  LogChanges(target, notices_.OnAnswer(now, target, notice), source);
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

}  // namespace figstall
