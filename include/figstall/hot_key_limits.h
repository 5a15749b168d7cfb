// Limits on the requests for keys whose owner has more load than it can serve.
// The mover computes them, and all members apply them. Performs no I/O.
#ifndef FIGSTALL_HOT_KEY_LIMITS_H_
#define FIGSTALL_HOT_KEY_LIMITS_H_

#include <map>
#include <vector>

#include "figstall/range_load.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

// A range of keys of which a share of the requests is admitted, 0 to 1.
struct AdmittedRange {
  KeyRange range;
  double share = 1;

  friend bool operator==(const AdmittedRange&, const AdmittedRange&) = default;
};

// Sorted by key, without overlaps. Keys in none of the ranges are not limited.
using AdmittedShares = std::vector<AdmittedRange>;

// Returns the admitted share of a key's requests, 1 if it is not limited.
double AdmittedShareOf(const AdmittedShares& shares, ShardKey key);

// Sent by the mover to all members while keys have more load than their owners
// can serve.
struct HotKeyLimits {
  VmId mover;
  std::map<ServiceId, AdmittedShares> services;

  friend bool operator==(const HotKeyLimits&, const HotKeyLimits&) = default;
};

// Utilization, as load divided by estimated capacity, to which an owner is
// limited if one of its keys alone exceeds it. It is below one so that the
// owner's queue stays short and its responses are in time.
inline constexpr double kHotKeyUtilization = 0.85;
// The limit for all other owners. Moves relieve these within a second, and
// until then the capacity estimate is too uncertain to reject requests on.
inline constexpr double kOverloadUtilization = 2.5;

// Limits each owner whose load exceeds these utilizations. Its hottest keys
// are reduced to one common load, such that the admitted load fits, and all
// other keys are admitted in full. If these alone do not fit, each hot key
// keeps a tenth of the capacity, and the others are limited only above
// kOverloadUtilization. `load` has a part for each key.
//
// Load pattern: one key has 16 % of the traffic of a slow owner. With one share
// for all keys of the owner, the other keys got as little as the hot one, their
// callers' repeats raised the load that was counted for them, and the owner's
// capacity, which follows from what it is seen to serve, did not recover.
AdmittedShares ComputeAdmittedShares(
    const RangeTable& table,
    const RangeLoad& load,
    const std::map<TargetId, double>& capacities,
    const TargetDirectory& directory);

}  // namespace figstall

#endif  // FIGSTALL_HOT_KEY_LIMITS_H_
