// Remembers when each member was listed last.
#include "figstall/recent_members.h"

namespace figstall {
namespace {

// Members whose leases lapsed have joined again by then, if the store answers.
// Those that are lost are passed over sooner, as they do not respond.
constexpr Duration kRetention = std::chrono::seconds(2);

}  // namespace

std::map<VmId, ZoneId> RecentMembers::Update(
    Instant now,
    const std::map<VmId, ZoneId>& listed) {
  for (const auto& [vm, zone] : listed)
    seen_[vm] = {zone, now};
  std::erase_if(seen_, [now](const auto& each) {
    return now - each.second.at >= kRetention;
  });
  settled_ = 2 * listed.size() >= seen_.size();
  if (settled_)
    return listed;
  std::map<VmId, ZoneId> recent;
  for (const auto& [vm, seen] : seen_)
    recent[vm] = seen.zone;
  return recent;
}

}  // namespace figstall
