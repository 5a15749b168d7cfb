// Recognizes entries of targets that are older than what this process knows.
// Within an era the store's revisions order the entries of a target. The first
// entries of a new era come from an older copy, so they are compared with what
// is known by what the target counts itself. Performs no I/O.
#ifndef FIGSTALL_TARGET_HISTORY_H_
#define FIGSTALL_TARGET_HISTORY_H_

#include <cstdint>
#include <map>

#include "figstall/target_entry.h"

namespace figstall {

class TargetHistory {
 public:
  // Takes an entry that was read in `era`. Returns false if it is outdated: an
  // earlier incarnation, an earlier status, or the last status of a target
  // whose entry was removed since.
  [[nodiscard]] bool Accept(const TargetEntry& entry, std::uint64_t era);
  // The entry was removed.
  void OnRemoved(const TargetId& target);
  // Forgets removed targets last seen before `era`; their entries are in no
  // copy anymore.
  void ForgetRemovedBefore(std::uint64_t era);

 private:
  struct Known {
    std::uint64_t era = 0;
    std::int64_t started_at_ms = 0;
    std::uint64_t status_number = 0;
    bool removed = false;
  };

  std::map<TargetId, Known> known_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_HISTORY_H_
