// Waits until no renewal can keep a holder's lease alive any longer.
#ifndef FIGSTALL_SEAL_H_
#define FIGSTALL_SEAL_H_

#include <algorithm>
#include <set>
#include <vector>

#include "figstall/types.h"

namespace figstall {

// One seal of one holder: every admitted steward must have stopped renewing or
// be provably gone; then the lease lapses when the youngest stamp any of them
// could have used is older than the validity.
class Seal {
 public:
  Seal(const std::vector<StewardId>& stewards,
       Duration validity,
       Duration clock_drift_margin,
       Instant not_before)
      : waiting_(stewards.begin(), stewards.end()),
        validity_(validity),
        clock_drift_margin_(clock_drift_margin),
        lapse_at_(not_before) {}

  // `steward` renews no more; its newest stamp had this age at `now`.
  void OnRenewalsStopped(const StewardId& steward,
                         Instant now,
                         Duration stamp_age) {
    if (waiting_.erase(steward) == 0)
      return;
    const Duration left = std::max(Duration{0}, validity_ - stamp_age);
    lapse_at_ = std::max(lapse_at_, now + left + clock_drift_margin_);
  }

  // `steward` is provably gone; it may have renewed until just now.
  void OnStewardTerminated(const StewardId& steward, Instant now) {
    OnRenewalsStopped(steward, now, Duration{0});
  }

  bool Expired(Instant now) const {
    return waiting_.empty() && now >= lapse_at_;
  }
  const std::set<StewardId>& waiting() const { return waiting_; }

 private:
  std::set<StewardId> waiting_;
  const Duration validity_;
  // Allows for clocks that run at slightly different rates.
  const Duration clock_drift_margin_;
  // Never earlier than the last steward found gone could have allowed.
  Instant lapse_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_SEAL_H_
