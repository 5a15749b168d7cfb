// The time for which owners may get requests is bounded from when this process
// learned of the evacuation, and from when its copy of the store last certainly
// lacked it, so that a process which was disconnected, or has just started,
// sends nothing too late.
#include "figstall/evacuation.h"

#include <algorithm>

namespace figstall {
namespace {

// Shares of the limit in which owners get requests: from when this process
// learned of the evacuation, and from the earliest time at which the store may
// have acknowledged it. The rest covers the time for which a request is on its
// way, up to a second on a link with full queues.
constexpr double kOwnerShareSinceKnown = 0.5;
constexpr double kOwnerShareSinceWritten = 0.75;

}  // namespace

bool MayReceive(const Evacuations& evacuations,
                const ZoneId& zone,
                bool owns_key,
                Instant now) {
  const auto found = evacuations.find(zone);
  return found == evacuations.end() ||
         (owns_key && now < found->second.owners_until);
}

bool EvacuationTracker::OnWritten(Instant now, const ZoneId& zone) {
  lapse_at_.erase(zone);
  unconfirmed_.erase(zone);
  if (in_force_.contains(zone))
    return false;
  const Instant owners_until =
      confirmed_at_
          ? std::min(
                now + Scaled(timing_.limit, kOwnerShareSinceKnown),
                *confirmed_at_ + Scaled(timing_.limit, kOwnerShareSinceWritten))
          : now;
  in_force_[zone] = {now, owners_until};
  return true;
}

bool EvacuationTracker::OnRemoved(Instant now, const ZoneId& zone) {
  if (!in_force_.contains(zone))
    return false;
  if (unconfirmed_.contains(zone) &&
      now - *restored_at_ < timing_.post_restore_hold) {
    lapse_at_.try_emplace(zone, *restored_at_ + timing_.post_restore_hold);
    return false;
  }
  in_force_.erase(zone);
  unconfirmed_.erase(zone);
  lapse_at_.erase(zone);
  return true;
}

void EvacuationTracker::OnStoreRestored(Instant now) {
  restored_at_ = now;
  for (const auto& [zone, evacuation] : in_force_)
    unconfirmed_.insert(zone);
  for (auto& [zone, lapse_at] : lapse_at_)
    lapse_at = now + timing_.post_restore_hold;
}

std::vector<ZoneId> EvacuationTracker::TakeLapsed(Instant now) {
  std::vector<ZoneId> lapsed;
  std::erase_if(lapse_at_, [&](const auto& each) {
    if (now < each.second)
      return false;
    lapsed.push_back(each.first);
    in_force_.erase(each.first);
    unconfirmed_.erase(each.first);
    return true;
  });
  return lapsed;
}

std::optional<Duration> EvacuationTracker::MaxAge(Instant now) const {
  return confirmed_at_ ? std::optional<Duration>(now - *confirmed_at_)
                       : std::nullopt;
}

}  // namespace figstall
