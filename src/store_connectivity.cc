// A call confirms the copy as of the time it was sent, not of its response,
// since the store may have changed while the response was in transit.
#include "figstall/store_connectivity.h"

#include <algorithm>

namespace figstall {
namespace {

// Most outages are short, so the first probes follow sooner. The longer delay
// is still short compared with the lease duration of a membership.
constexpr std::uint32_t kInitialProbes = 3;
constexpr Duration kInitialProbeDelay = std::chrono::milliseconds(250);
constexpr Duration kProbeDelay = std::chrono::milliseconds(500);

}  // namespace

bool StoreConnectivity::OnAnswered() {
  const bool regained = lost_;
  lost_ = false;
  consecutive_failures_ = 0;
  return regained;
}

bool StoreConnectivity::OnFailed(Instant now) {
  const bool newly_lost = !lost_;
  lost_ = true;
  ++consecutive_failures_;
  last_failed_at_ = now;
  return newly_lost;
}

Duration StoreConnectivity::ProbeDelay() const {
  return consecutive_failures_ <= kInitialProbes ? kInitialProbeDelay
                                                 : kProbeDelay;
}

void StoreConnectivity::OnConfirmed(Instant sent_at) {
  if (watch_sent_at_ && *watch_sent_at_ <= sent_at && !FailedSinceWatch())
    confirmed_at_ = std::max(sent_at, confirmed_at_.value_or(sent_at));
}

void StoreConnectivity::OnWatchEnded(bool answered) {
  if (answered && watch_sent_at_)
    confirmed_at_ =
        std::max(*watch_sent_at_, confirmed_at_.value_or(*watch_sent_at_));
  watch_sent_at_.reset();
}

}  // namespace figstall
