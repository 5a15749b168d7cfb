// Implements what is believed of the contact with the store.
#include "figstall/store_contact.h"

#include <algorithm>

namespace figstall {

bool StoreContact::OnAnswered() {
  const bool regained = lost_;
  lost_ = false;
  return regained;
}

bool StoreContact::OnFailed(Instant now) {
  const bool newly_lost = !lost_;
  lost_ = true;
  failed_at_ = now;
  return newly_lost;
}

void StoreContact::OnConfirmed(Instant asked) {
  if (watch_sent_ && *watch_sent_ <= asked && !FailedSinceWatch())
    confirmed_at_ = std::max(asked, confirmed_at_.value_or(asked));
}

void StoreContact::OnWatchEnded(bool answered) {
  if (answered && watch_sent_)
    confirmed_at_ =
        std::max(*watch_sent_, confirmed_at_.value_or(*watch_sent_));
  watch_sent_.reset();
}

}  // namespace figstall
