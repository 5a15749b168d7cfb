// What targets say of themselves in the headers of their answers: that they
// leave, that they want no requests for a while, and how many requests a second
// they take. Performs no I/O.
#ifndef FIGSTALL_TARGET_NOTICES_H_
#define FIGSTALL_TARGET_NOTICES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figstall/stated_load.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

// The notices in one answer of a target.
struct TargetNotice {
  bool leaving = false;
  // Time from the answer during which the target wants no requests from this
  // router. Only an answer that rejects a request has it.
  std::optional<Duration> retry_after;
  // Requests per second that the target takes from all routers together.
  std::optional<double> rate_limit;
  // Whether an answer without a rate limit says that there is none. False for
  // answers to requests that the target did not run.
  bool complete = false;
  // Header fields whose value is invalid, as "name: value". They are ignored.
  std::vector<std::string> invalid_fields;
  std::optional<StatedLoad> load{};
  // How much longer the target warms up.
  std::optional<Duration> warm_up_left{};

  friend bool operator==(const TargetNotice&, const TargetNotice&) = default;
};

// What a target said last about its rate limit.
struct RateLimit {
  // Requests per second; none if it has no limit any more.
  std::optional<double> per_second;
  // When it said so, by this process's clock.
  Instant stated_at{};

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

// A RateLimit as members tell each other, without a common clock.
struct LimitStatement {
  // Requests per second; none if the target has no limit any more.
  std::optional<double> per_second;
  // Time since the target said so.
  Duration age{0};

  friend bool operator==(const LimitStatement&,
                         const LimitStatement&) = default;
};

// A notice that begins or ends, for the log.
struct NoticeChange {
  enum class Kind {
    kLeaving,
    kRetryAfter,
    kRateLimit,
    kRateLimitEnded,
    kInvalid,
  };

  Kind kind;
  // kRetryAfter: seconds. kRateLimit: requests per second. Otherwise zero.
  double value = 0;
  // How long the target had said what ended; zero if nothing did.
  Duration lasted{0};
  // The fields that kInvalid is about.
  std::string text;

  friend bool operator==(const NoticeChange&, const NoticeChange&) = default;
};

std::string_view ToString(NoticeChange::Kind kind);

// The notices of all targets. They belong to an incarnation: a target that
// starts again under the same id has said nothing.
class TargetNotices {
 public:
  // Each of these returns what began or ended.
  std::vector<NoticeChange> OnAnswer(Instant now,
                                     const TargetIncarnation& target,
                                     const TargetNotice& notice);
  // The same for what another router heard.
  std::vector<NoticeChange> OnReportedLeaving(Instant now,
                                              const TargetIncarnation& target);
  std::vector<NoticeChange> OnReportedLimit(const TargetIncarnation& target,
                                            const RateLimit& limit);
  // The target's entry in the directory states whether it leaves. Returns
  // whether the entry said otherwise before, whatever the target's answers
  // said.
  bool OnListed(Instant now, const TargetIncarnation& target, bool leaving);

  // When this process first learned that the target leaves; none if it does
  // not.
  std::optional<Instant> LeavingSince(const TargetIncarnation& target) const;
  // Whether an answer, here or at another router, said that the target leaves.
  bool SaidLeaving(const TargetIncarnation& target) const;
  // The target wants no requests from this router before this time.
  std::optional<Instant> RetryNotBefore(Instant now,
                                        const TargetIncarnation& target) const;
  // Null if the target never stated a limit.
  const RateLimit* LimitOf(const TargetIncarnation& target) const;
  std::optional<LimitStatement> StatementOf(
      Instant now,
      const TargetIncarnation& target) const;

  // Targets that said something which other routers should know.
  std::vector<TargetIncarnation> Reportable() const;
  // Increases whenever a result of Reportable() may have changed.
  std::uint64_t changes() const { return changes_; }
  // Forgets targets that are not in the directory and said nothing for a long
  // time.
  void Prune(Instant now, const TargetDirectory& directory);

 private:
  struct Record {
    // Never reset: a target that leaves does not come back.
    std::optional<Instant> said_leaving_at;
    std::optional<Instant> listed_leaving_at;
    std::optional<Instant> retry_not_before;
    std::optional<RateLimit> limit;
    std::optional<Instant> limited_since;
    std::optional<Instant> invalid_reported_at;
    Instant updated_at{};
  };

  const Record* Find(const TargetIncarnation& target) const;

  std::map<TargetIncarnation, Record> records_;
  std::uint64_t changes_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_NOTICES_H_
