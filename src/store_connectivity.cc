// Implements what is believed of the contact with the store.
#include "figstall/store_connectivity.h"

#include <algorithm>

namespace figstall {
namespace {

// Most outages are short, so the first calls follow sooner. The longer delay
// is still short against a membership.
constexpr std::uint32_t kFirstProbes = 3;
constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(250);
constexpr Duration kProbeDelay = std::chrono::milliseconds(500);

}  // namespace

bool StoreConnectivity::OnAnswered() {
  const bool regained = lost_;
  lost_ = false;
  failures_ = 0;
  return regained;
}

bool StoreConnectivity::OnFailed(Instant now) {
  const bool newly_lost = !lost_;
  lost_ = true;
  ++failures_;
  failed_at_ = now;
  return newly_lost;
}

Duration StoreConnectivity::ProbeDelay() const {
  return failures_ <= kFirstProbes ? kFirstProbeDelay : kProbeDelay;
}

void StoreConnectivity::OnConfirmed(Instant asked) {
  if (watch_sent_ && *watch_sent_ <= asked && !FailedSinceWatch())
    confirmed_at_ = std::max(asked, confirmed_at_.value_or(asked));
}

void StoreConnectivity::OnWatchEnded(bool answered) {
  if (answered && watch_sent_)
    confirmed_at_ =
        std::max(*watch_sent_, confirmed_at_.value_or(*watch_sent_));
  watch_sent_.reset();
}

}  // namespace figstall
