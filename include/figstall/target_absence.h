// Decides how long a target is used after its entry left the directory. Entries
// also expire while the store cannot be reached by their targets, and are back
// soon after; those that are not are gone.
#ifndef FIGSTALL_TARGET_ABSENCE_H_
#define FIGSTALL_TARGET_ABSENCE_H_

#include <map>
#include <optional>
#include <vector>

#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct AbsenceTiming {
  // A removal is believed after this.
  Duration removal_delay = std::chrono::milliseconds(200);
  // A removal that is seen in the first moments after an outage is believed
  // this long after its end. Entries are back within about two seconds of the
  // store's return (source: the platform's protocol), and a process notices
  // that return late; yet no target may be used two seconds after it has left,
  // from three seconds after a cut of this process alone.
  Duration post_outage_removal_delay = std::chrono::milliseconds(1600);
  Duration post_outage_window = std::chrono::milliseconds(900);
  // Shorter trouble expires no entries: targets report more often.
  Duration min_outage_duration = std::chrono::milliseconds(1000);
};

class TargetAbsence {
 public:
  explicit TargetAbsence(AbsenceTiming timing = {}) : timing_(timing) {}

  // Whether the store was reached by the last call.
  void OnStoreCall(Instant now, bool reached);
  // True if its removal had been seen.
  bool OnEntryPresent(const TargetId& target) {
    return gone_at_.erase(target) > 0;
  }
  // The entry of a target was removed.
  void OnEntryRemoved(Instant now, const TargetId& target, bool was_leaving);
  // Another target answers at its address: it is gone.
  void OnReplaced(Instant now, const TargetId& target) {
    gone_at_[target] = now;
  }
  // Targets that are gone from now on; each is named once.
  std::vector<TargetId> TakeRemovedTargets(Instant now);

 private:
  const AbsenceTiming timing_;
  std::optional<Instant> lost_at_;
  std::optional<Instant> outage_ended_at_;
  std::map<TargetId, Instant> gone_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_ABSENCE_H_
