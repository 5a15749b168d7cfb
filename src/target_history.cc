// An outdated entry leaves what is known as it is, so that later ones of the
// same era are compared as well.
#include "figstall/target_history.h"

#include <tuple>

namespace figstall {

bool TargetHistory::Accept(const TargetEntry& entry, std::uint64_t era) {
  const std::int64_t started_at_ms = entry.incarnation.started_at_ms;
  const auto found = known_.find(entry.incarnation.id);
  if (found != known_.end() && found->second.era != era) {
    const Known& known = found->second;
    const std::tuple read(started_at_ms, entry.status_number);
    const std::tuple latest(known.started_at_ms, known.status_number);
    if (read < latest || (known.removed && read == latest))
      return false;
  }
  known_[entry.incarnation.id] = {era, started_at_ms, entry.status_number,
                                  false};
  return true;
}

void TargetHistory::OnRemoved(const TargetId& target) {
  const auto found = known_.find(target);
  if (found != known_.end())
    found->second.removed = true;
}

void TargetHistory::ForgetRemovedBefore(std::uint64_t era) {
  std::erase_if(known_, [era](const auto& each) {
    return each.second.removed && each.second.era < era;
  });
}

}  // namespace figstall
