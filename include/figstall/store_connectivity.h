// Decides how far this process may believe that it hears of the store's
// changes: when its copy was last confirmed, when a waiting watch is given up,
// and how a store that does not answer is asked again. Pure decisions.
#ifndef FIGSTALL_STORE_CONNECTIVITY_H_
#define FIGSTALL_STORE_CONNECTIVITY_H_

#include <cstdint>
#include <optional>

#include "figstall/types.h"

namespace figstall {

class StoreConnectivity {
 public:
  // A call was answered, or was not. True if that regains or loses the store.
  bool OnAnswered();
  bool OnFailed(Instant now);
  // A call that was asked then was answered: changes until then reach the watch
  // that waited meanwhile.
  void OnConfirmed(Instant asked);

  void OnWatchSent(Instant now) { watch_sent_ = now; }
  void OnWatchEnded(bool answered);

  // While the store is lost only its cheapest calls are made, to find out
  // whether it answers again: hundreds of members ask it at the same time.
  bool lost() const { return lost_; }
  // Until the next such call.
  Duration ProbeDelay() const;
  bool watching() const { return watch_sent_.has_value(); }
  // The watch that waits may have lost its connection without a word: a call
  // failed while it waited, and the store answers again.
  bool WatchMayBeStale() const { return !lost_ && FailedSinceWatch(); }
  // The copy has all changes until then. None: never.
  std::optional<Instant> confirmed_at() const { return confirmed_at_; }

 private:
  bool FailedSinceWatch() const {
    return watch_sent_ && failed_at_ && *watch_sent_ <= *failed_at_;
  }

  bool lost_ = false;
  // In a row.
  std::uint32_t failures_ = 0;
  std::optional<Instant> failed_at_;
  std::optional<Instant> watch_sent_;
  // Only rises.
  std::optional<Instant> confirmed_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_STORE_CONNECTIVITY_H_
