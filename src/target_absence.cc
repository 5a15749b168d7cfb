// A removal time is set for each target whose entry disappears. Shortly after a
// store outage it is counted from the end of the outage.
#include "figstall/target_absence.h"

namespace figstall {

void TargetAbsence::OnStoreCall(Instant now, bool reached) {
  if (!reached) {
    unreachable_since_ = unreachable_since_.value_or(now);
    return;
  }
  if (unreachable_since_ &&
      now - *unreachable_since_ >= timing_.min_outage_duration)
    outage_ended_at_ = now;
  unreachable_since_.reset();
}

void TargetAbsence::OnEntryRemoved(Instant now,
                                   const TargetId& target,
                                   bool was_leaving) {
  const bool after_outage =
      outage_ended_at_ && now - *outage_ended_at_ < timing_.post_outage_window;
  const bool after_restore =
      restored_at_ && now - *restored_at_ < timing_.post_restore_removal_delay;
  const Instant removal_at =
      was_leaving     ? now
      : after_restore ? *restored_at_ + timing_.post_restore_removal_delay
      : after_outage  ? *outage_ended_at_ + timing_.post_outage_removal_delay
                      : now + timing_.removal_delay;
  removal_at_.try_emplace(target, removal_at);
}

std::vector<TargetId> TargetAbsence::TakeRemovedTargets(Instant now) {
  std::vector<TargetId> removed;
  std::erase_if(removal_at_, [&](const auto& each) {
    if (now < each.second)
      return false;
    removed.push_back(each.first);
    return true;
  });
  return removed;
}

}  // namespace figstall
