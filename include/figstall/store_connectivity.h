// Decides whether this process still receives the store's changes: when its
// copy was last confirmed, when a pending watch may be stale, and how often a
// store that does not respond is probed. It performs no I/O.
#ifndef FIGSTALL_STORE_CONNECTIVITY_H_
#define FIGSTALL_STORE_CONNECTIVITY_H_

#include <cstdint>
#include <optional>

#include "figstall/types.h"

namespace figstall {

class StoreConnectivity {
 public:
  // Records that the store answered a call, or that a call failed. Returns true
  // if the store was thereby regained, or lost.
  bool OnAnswered();
  bool OnFailed(Instant now);
  // Records that a call sent at `sent_at` was answered. This confirms the copy
  // as of then if a watch sent earlier is still pending and no call failed
  // since: that watch delivers all changes up to then.
  void OnConfirmed(Instant sent_at);

  void OnWatchSent(Instant now) { watch_sent_at_ = now; }
  void OnWatchEnded(bool answered);

  // While the store is lost, only its cheapest calls are made as probes, since
  // hundreds of members probe it at the same time.
  bool lost() const { return lost_; }
  // Delay until the next probe.
  Duration ProbeDelay() const;
  bool watching() const { return watch_sent_at_.has_value(); }
  // True if the pending watch may have lost its connection unnoticed: a call
  // failed while the watch was pending, and the store answers again.
  bool WatchMayBeStale() const { return !lost_ && FailedSinceWatch(); }
  // The copy has all changes up to this time; empty if it was never confirmed.
  std::optional<Instant> confirmed_at() const { return confirmed_at_; }

 private:
  bool FailedSinceWatch() const {
    return watch_sent_at_ && last_failed_at_ &&
           *watch_sent_at_ <= *last_failed_at_;
  }

  bool lost_ = false;
  std::uint32_t consecutive_failures_ = 0;
  std::optional<Instant> last_failed_at_;
  std::optional<Instant> watch_sent_at_;
  // Never decreases.
  std::optional<Instant> confirmed_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_STORE_CONNECTIVITY_H_
