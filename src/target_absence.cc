// Implements the use of targets whose entry was removed.
#include "figstall/target_absence.h"

namespace figstall {

void TargetAbsence::OnStoreCall(Instant now, bool reached) {
  if (!reached) {
    lost_at_ = lost_at_.value_or(now);
    return;
  }
  if (lost_at_ && now - *lost_at_ >= timing_.min_outage_duration)
    outage_ended_at_ = now;
  lost_at_.reset();
}

void TargetAbsence::OnEntryRemoved(Instant now,
                                   const TargetId& target,
                                   bool was_leaving) {
  const bool in_outage =
      outage_ended_at_ && now - *outage_ended_at_ < timing_.post_outage_window;
  const Instant gone =
      was_leaving ? now
      : in_outage ? *outage_ended_at_ + timing_.post_outage_removal_delay
                  : now + timing_.removal_delay;
  gone_at_.try_emplace(target, gone);
}

std::vector<TargetId> TargetAbsence::TakeRemovedTargets(Instant now) {
  std::vector<TargetId> gone;
  std::erase_if(gone_at_, [&](const auto& each) {
    if (now < each.second)
      return false;
    gone.push_back(each.first);
    return true;
  });
  return gone;
}

}  // namespace figstall
