// Records what targets say of themselves, and logs and counts what begins and
// ends.
#ifndef FIGSTALL_TARGET_NOTICE_RECORDER_H_
#define FIGSTALL_TARGET_NOTICE_RECORDER_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "figstall/load_report.h"
#include "figstall/log.h"
#include "figstall/metrics.h"
#include "figstall/target_notices.h"
#include "figstall/warm_up_limits.h"

namespace figstall {

class TargetNoticeRecorder {
 public:
  // A target's answer was the first to say that it warms up.
  using WarmUpHandler =
      std::function<void(Instant now, const TargetIncarnation& target)>;

  TargetNoticeRecorder(Log& log,
                       Metrics& metrics,
                       std::optional<WarmUpBounds> warm_up_bounds,
                       WarmUpHandler on_warm_up)
      : log_(log),
        metrics_(metrics),
        on_warm_up_(std::move(on_warm_up)),
        warm_ups_(warm_up_bounds) {}

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

  void OnReportedWarmUp(const VmId& member,
                        const TargetIncarnation& target,
                        const WarmUpStatement& warm_up);
  // What else says that targets warm up; see WarmUpLimits.
  void OnListed(Instant now, const TargetEntry& entry);
  void OnServices(Instant now,
                  const std::map<ServiceId, TargetService>& services);
  void OnZoneReturned(Instant now,
                      const ZoneId& zone,
                      const TargetDirectory& directory);
  // Ends warm-ups that are over.
  void Advance(Instant now);
  void Prune(Instant now, const TargetDirectory& directory);

  const WarmUpLimits& warm_ups() const { return warm_ups_; }
  TargetNotices& notices() { return notices_; }
  const TargetNotices& notices() const { return notices_; }

 private:
  void LogChanges(const TargetIncarnation& target,
                  const std::vector<NoticeChange>& changes,
                  std::string_view source);
  void LogWarmUps(const WarmUpLimits::Changes& changes);

  Log& log_;
  Metrics& metrics_;
  const WarmUpHandler on_warm_up_;
  TargetNotices notices_;
  WarmUpLimits warm_ups_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_NOTICE_RECORDER_H_
