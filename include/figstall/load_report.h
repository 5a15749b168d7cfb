// What members report to the elected mover several times a second: the load by
// key and the processing times of targets, as hints for balancing, and their
// knowledge of moves, on which the completion of a move may depend.
#ifndef FIGSTALL_LOAD_REPORT_H_
#define FIGSTALL_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figstall/range_load.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"
#include "figstall/target_load.h"
#include "figstall/target_notices.h"
#include "figstall/types.h"
#include "figstall/warm_up_limits.h"

namespace figstall {

// Busy time per second by key, as a moving average over the requests of this
// member.
class KeyLoad {
 public:
  void Add(ShardKey key, Duration busy);
  // Updates the average. Must be called several times a second; older
  // observations lose weight.
  void Decay(Instant now);

  // Busy seconds per second by key; keys without recent requests are missing.
  const std::map<ShardKey, double>& keys() const { return keys_; }
  std::uint32_t samples() const { return samples_; }

 private:
  std::map<ShardKey, double> keys_;
  std::map<ShardKey, double> busy_since_decay_;
  std::uint32_t samples_ = 0;
  // Weight of the observations so far, as a share of a full average's weight.
  double weight_ = 0;
  std::optional<Instant> decayed_at_;
};

struct KeyLoadReport {
  std::uint32_t samples = 0;
  // Busy seconds per second by key; keys without load are omitted.
  std::map<ShardKey, double> keys;

  friend bool operator==(const KeyLoadReport&, const KeyLoadReport&) = default;
};

// A member's knowledge of moves and of the grants that it has sent.
struct GrantReport {
  // Fencing token of the newest change of each service's table that the member
  // has seen.
  std::map<ServiceId, std::uint64_t> seen_fence;
  // How long each owner may still hold keys by the member's grants, counted
  // from the sending of the report.
  std::map<TargetId, Duration> holds_for;
  // Whether the member has resigned and sends no more grants.
  bool grants_ended = false;

  friend bool operator==(const GrantReport&, const GrantReport&) = default;
};

// What a target said of itself in an answer to the reporting member.
struct ReportedNotice {
  TargetIncarnation target;
  bool leaving = false;
  std::optional<LimitStatement> limit;
  std::optional<WarmUpStatement> warm_up{};

  friend bool operator==(const ReportedNotice&,
                         const ReportedNotice&) = default;
};

struct LoadReport {
  VmId vm;
  std::string incarnation;
  GrantReport grants;
  std::map<ServiceId, KeyLoadReport> services;
  // Empty if the times of the previous report still apply.
  std::map<TargetId, ProcessingTime> targets;
  std::vector<ReportedNotice> notices;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

KeyLoadReport MakeKeyLoadReport(const KeyLoad& load);

// The load by which the mover plans. It is an average over seconds, so that
// random variation causes no moves, but follows at once where load rises or
// falls by a multiple, as it does when a key becomes hot.
class SmoothedLoad {
 public:
  // `parts` is the most recent load by part; an empty one is ignored.
  // `request_time`: what one request adds to the load of its key, in busy time.
  // The load of a key with few requests jumps by this much with each of them.
  void Update(Instant now,
              const std::vector<double>& parts,
              Duration request_time = Duration{0});
  // Without samples until the first load was known.
  const RangeLoad& load() const { return smoothed_; }

 private:
  RangeLoad smoothed_;
  Instant updated_at_{};
  // Weight of the observations so far, as a share of a full average's weight.
  double weight_ = 0;
};

// Combines the latest reports of all members.
class LoadAggregator {
 public:
  void OnReport(Instant now, LoadReport report);

  // Busy seconds per second by key, extrapolated to the number of `members` if
  // some sent no recent report. Empty until the reports cover enough requests.
  std::vector<double> KeyLoads(Instant now,
                               const ServiceId& service,
                               std::size_t members) const;
  // By how much KeyLoads() multiplies what was reported, at least 1.
  double ExtrapolationFactor(Instant now, std::size_t members) const;
  // True if a report of this VM arrived recently.
  bool HasRecentReport(Instant now, const VmId& vm) const;
  // Slots of each target, multiplied by its speed relative to the service's
  // other targets. Targets without any report are omitted.
  std::map<TargetId, double> Capacities(Instant now,
                                        const TargetDirectory& directory,
                                        const ServiceId& service) const;

 private:
  struct Received {
    Instant at;
    LoadReport report;
  };

  std::map<VmId, Received> reports_;
};

}  // namespace figstall

#endif  // FIGSTALL_LOAD_REPORT_H_
