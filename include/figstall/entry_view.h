// State that an entry VM knows of its deployment: desired state, targets, key
// ranges and members. EntryControl writes it and EntryTraffic reads it; both
// run on one thread.
#ifndef FIGSTALL_ENTRY_VIEW_H_
#define FIGSTALL_ENTRY_VIEW_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figstall/desired_state.h"
#include "figstall/evacuation.h"
#include "figstall/hot_key_limits.h"
#include "figstall/member_counts.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct EntryMember {
  VmId vm;
  ZoneId zone;
  // Receives datagrams and relay connections of other members.
  Endpoint peer_endpoint;
  // Distinguishes successive processes on one VM.
  std::string incarnation;
  // Cores that the process may use, or fewer if its network link is too slow to
  // keep them busy.
  double capacity_cores = 1;

  friend bool operator==(const EntryMember&, const EntryMember&) = default;
};

struct EntryView {
  // Null until the first desired state is known.
  std::shared_ptr<const RouteIndex> routes;
  // Targets that are in use or leaving.
  TargetDirectory targets;
  std::map<ServiceId, RangeTable> tables;
  std::map<VmId, EntryMember> members;
  // What bounds on sums over all members are divided by.
  MemberCounts member_counts;
  // When an update was last received, from the store or from another member.
  Instant last_update_at{};
  // Limits on hot keys, and when they expire.
  HotKeyLimits hot_key_limits;
  Instant hot_key_limits_until{};
  // Zones whose targets get no more requests.
  Evacuations evacuations;
  // Region of each zone.
  std::map<ZoneId, RegionId> regions;
};

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_VIEW_H_
