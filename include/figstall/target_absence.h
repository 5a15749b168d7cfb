// Decides how long a target is used after its entry was removed from the
// directory. Entries also expire while their targets cannot reach the store,
// and reappear soon after; a target whose entry does not reappear is gone.
#ifndef FIGSTALL_TARGET_ABSENCE_H_
#define FIGSTALL_TARGET_ABSENCE_H_

#include <map>
#include <optional>
#include <vector>

#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

struct AbsenceTiming {
  // A removal takes effect after this delay.
  Duration removal_delay = std::chrono::milliseconds(200);
  // A removal received within `post_outage_window` after the end of a store
  // outage takes effect `post_outage_removal_delay` after that end. Entries
  // reappear within about two seconds after the store is reachable again
  // (source: the platform's protocol), and a process notices this late. On the
  // other hand, no target may be used two seconds after it has left; if only
  // this process was disconnected, this applies from three seconds after its
  // reconnection.
  Duration post_outage_removal_delay = std::chrono::milliseconds(1600);
  Duration post_outage_window = std::chrono::milliseconds(900);
  // A removal that follows from the store's return from an older copy takes
  // effect this long after the return was noticed. Targets write their entries
  // again within about two seconds.
  Duration post_restore_removal_delay = std::chrono::milliseconds(3000);
  // Shorter outages expire no entries, since targets report often enough that
  // their entries outlast them.
  Duration min_outage_duration = std::chrono::milliseconds(1000);
};

class TargetAbsence {
 public:
  explicit TargetAbsence(AbsenceTiming timing = {}) : timing_(timing) {}

  // Records whether a call reached the store.
  void OnStoreCall(Instant now, bool reached);
  // The store came back from an older copy, in which entries may be missing.
  void OnStoreRestored(Instant now) { restored_at_ = now; }
  // Cancels a pending removal. Returns true if there was one.
  bool OnEntryPresent(const TargetId& target) {
    return removal_at_.erase(target) > 0;
  }
  // Schedules the removal of a target whose entry was removed.
  void OnEntryRemoved(Instant now, const TargetId& target, bool was_leaving);
  // Makes the removal of a target due at once, because another target responds
  // at its address.
  void OnReplaced(Instant now, const TargetId& target) {
    removal_at_[target] = now;
  }
  // Returns the targets whose removal has taken effect, each one once.
  std::vector<TargetId> TakeRemovedTargets(Instant now);

 private:
  const AbsenceTiming timing_;
  std::optional<Instant> unreachable_since_;
  std::optional<Instant> outage_ended_at_;
  std::optional<Instant> restored_at_;
  std::map<TargetId, Instant> removal_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_ABSENCE_H_
