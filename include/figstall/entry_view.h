// What an entry VM believes about the world, shared by its control and its
// traffic. Both run on one thread; control alone writes it.
#ifndef FIGSTALL_ENTRY_VIEW_H_
#define FIGSTALL_ENTRY_VIEW_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figstall/desired_state.h"
#include "figstall/load_report.h"
#include "figstall/range_table.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct EntryMember {
  VmId vm;
  ZoneId zone;
  // Where it takes messages of other members.
  Endpoint peers;
  // Distinguishes runs of the process on one VM.
  std::string incarnation;
  // Cores that it may use, or fewer if its link could not feed them.
  double capacity = 1;

  friend bool operator==(const EntryMember&, const EntryMember&) = default;
};

struct EntryView {
  // Null until the first desired state is known.
  std::shared_ptr<const RouteIndex> routes;
  // Targets that are in use, or leave.
  TargetDirectory targets;
  std::map<ServiceId, RangeTable> tables;
  std::map<VmId, EntryMember> members;
  // When the store's state was last heard of, from it or from a reader.
  Instant last_update_at{};
  // Limits of hot keys, and until when they hold.
  HotKeyLimits hot_key_limits;
  Instant hot_key_limits_until{};
  // Region of each zone.
  std::map<ZoneId, RegionId> regions;

  std::uint32_t MembersIn(const ZoneId& zone) const {
    std::uint32_t count = 0;
    for (const auto& [vm, member] : members)
      count += member.zone == zone ? 1 : 0;
    return count;
  }
};

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_VIEW_H_
