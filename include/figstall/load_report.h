// What members tell the elected mover several times a second: where in the key
// space load falls and how fast targets answer, as hints for the balance; and
// what they know of moves, on which the end of a move may rest.
#ifndef FIGSTALL_LOAD_REPORT_H_
#define FIGSTALL_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figstall/error.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"
#include "figstall/target_load.h"
#include "figstall/types.h"

namespace figstall {

inline constexpr std::size_t kLoadParts = 1024;

// Busy time per second by equal parts of the key space, as a moving average.
class KeyLoad {
 public:
  void Add(ShardKey key, Duration busy);
  // To be called several times a second; older observations fade.
  void Decay(Instant now);

  // Busy seconds per second, kLoadParts values.
  const std::vector<double>& parts() const { return parts_; }
  std::uint32_t samples() const { return samples_; }

 private:
  std::vector<double> parts_ = std::vector<double>(kLoadParts);
  std::vector<double> recent_ = std::vector<double>(kLoadParts);
  std::uint32_t samples_ = 0;
  // Share of a full average that the observations so far make up.
  double weight_ = 0;
  std::optional<Instant> faded_at_;
};

struct KeyLoadReport {
  std::uint32_t samples = 0;
  // Busy seconds per second by part; parts without load are left out.
  std::map<std::uint16_t, double> parts;

  friend bool operator==(const KeyLoadReport&, const KeyLoadReport&) = default;
};

// What a member knows of moves, and how long its grants may last from now on.
struct GrantReport {
  std::map<ServiceId, std::uint64_t> seen_fence;
  std::map<TargetId, Duration> holds_for;

  friend bool operator==(const GrantReport&, const GrantReport&) = default;
};

struct LoadReport {
  VmId vm;
  std::string incarnation;
  GrantReport grants;
  std::map<ServiceId, KeyLoadReport> services;
  // Empty: as it was told before.
  std::map<TargetId, ProcessingTime> targets;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// Share of the requests that are let through for parts of the key space, 0 to
// 1; parts that are not named are not limited.
using AdmittedShares = std::map<std::uint16_t, double>;

// What the mover tells all members while keys are hotter than their owners
// bear.
struct HotKeyLimits {
  VmId mover;
  std::map<ServiceId, AdmittedShares> services;

  friend bool operator==(const HotKeyLimits&, const HotKeyLimits&) = default;
};

// Work let through to the owner of a part that alone is about all that its
// owner can do, as a share of the owner's estimated capacity. Below one, so
// that its queue stays short and answers are in time.
inline constexpr double kHotKeyUtilization = 0.85;
// The same for other owners: these are relieved by moves within a second, and
// the estimate is not sure enough to refuse on before that.
inline constexpr double kOverloadUtilization = 2.5;

// Limits the hottest parts of each owner that is overloaded beyond that to one
// level, such that what is let through fits; its cooler keys are served in
// full.
AdmittedShares LimitHotParts(const RangeTable& table,
                             const std::vector<double>& heat,
                             const std::map<TargetId, double>& capacities,
                             const TargetDirectory& directory);

KeyLoadReport MakeKeyLoadReport(const KeyLoad& heat);
using PeerDatagram = std::variant<LoadReport, HotKeyLimits>;
std::string EncodePeerDatagram(const PeerDatagram& datagram);
Result<PeerDatagram> DecodePeerDatagram(std::string_view bytes);

// The load that the mover plans by: an average over seconds, so that chance
// moves nothing, which follows at once where load rises or falls by a multiple,
// as it does when a key grows hot.
class SmoothedLoad {
 public:
  // `parts` is the load of the last moments; empty: nothing is known.
  void Update(Instant now, const std::vector<double>& parts);
  // Empty until something was known.
  const std::vector<double>& parts() const { return steady_; }

 private:
  std::vector<double> steady_;
  Instant updated_at_{};
  // Share of a full average that the observations so far make up.
  double weight_ = 0;
};

// What the reports of all members together say.
class LoadAggregator {
 public:
  void OnReport(Instant now, LoadReport report);

  // Busy time by parts for all of `members`; empty until enough was seen.
  std::vector<double> PartLoads(Instant now,
                                const ServiceId& service,
                                std::size_t members) const;
  // Whether this VM reported lately.
  bool HasRecentReport(Instant now, const VmId& vm) const;
  // Slots of each target, weighed by how fast it answers.
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
