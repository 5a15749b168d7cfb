// Records what targets say of themselves, and logs and counts what begins and
// ends.
#ifndef FIGSTALL_TARGET_NOTICE_RECORDER_H_
#define FIGSTALL_TARGET_NOTICE_RECORDER_H_

#include <string_view>
#include <vector>

#include "figstall/load_report.h"
#include "figstall/log.h"
#include "figstall/metrics.h"
#include "figstall/target_notices.h"

namespace figstall {

class TargetNoticeRecorder {
 public:
  TargetNoticeRecorder(Log& log, Metrics& metrics)
      : log_(log), metrics_(metrics) {}

  // `source`: the kind of request that the target answered.
  void OnAnswer(Instant now,
                const TargetIncarnation& target,
                const TargetNotice& notice,
                std::string_view source);

  // Records what a target said in an answer to another member.
  void OnReport(Instant now, const VmId& member, const ReportedNotice& notice);

  void OnReportedLimit(const VmId& member,
                       const TargetIncarnation& target,
                       const RateLimit& limit);

  TargetNotices& notices() { return notices_; }
  const TargetNotices& notices() const { return notices_; }

 private:
  void LogChanges(const TargetIncarnation& target,
                  const std::vector<NoticeChange>& changes,
                  std::string_view source);

  Log& log_;
  Metrics& metrics_;
  TargetNotices notices_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_NOTICE_RECORDER_H_
