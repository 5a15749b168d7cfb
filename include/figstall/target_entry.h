// A target's description of itself, and the directory of all known targets.
#ifndef FIGSTALL_TARGET_ENTRY_H_
#define FIGSTALL_TARGET_ENTRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "figstall/records.h"
#include "figstall/types.h"

namespace figstall {

using TargetId = StrongId<struct TargetTag>;

// One run of a target process. A restart under the same id is another
// incarnation, which has no state of the earlier one.
struct TargetIncarnation {
  TargetId id;
  // Start time in milliseconds of the target's own clock.
  std::int64_t started_at_ms = 0;

  friend auto operator<=>(const TargetIncarnation&,
                          const TargetIncarnation&) = default;
};

struct TargetEntry {
  TargetIncarnation incarnation;
  Endpoint address;
  ServiceId service;
  ZoneId zone;
  std::uint32_t slots = 1;
  // A leaving target accepts no new work.
  bool leaving = false;
  // Remaining time for which the target is slow after its start.
  Duration warm_up_left{0};
  // Counts the target's reports of its status since its start.
  std::uint64_t status_number = 0;

  friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

using TargetDirectory = std::map<TargetId, TargetEntry>;

}  // namespace figstall

#endif  // FIGSTALL_TARGET_ENTRY_H_
