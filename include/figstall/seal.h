// Determines when a holder's lease has expired for certain.
#ifndef FIGSTALL_SEAL_H_
#define FIGSTALL_SEAL_H_

#include <algorithm>
#include <set>
#include <vector>

#include "figstall/types.h"

namespace figstall {

// The seal of one holder's lease. Every admitted steward must have stopped
// renewing the lease or be known to have terminated. The lease then expires
// once the newest stamp that any of them could have sent is older than the
// lease duration, `validity`.
class Seal {
 public:
  Seal(const std::vector<StewardId>& stewards,
       Duration validity,
       Duration clock_drift_margin,
       Instant not_before)
      : pending_stewards_(stewards.begin(), stewards.end()),
        validity_(validity),
        clock_drift_margin_(clock_drift_margin),
        expires_at_(not_before) {}

  // `steward` stopped renewing; the newest stamp it sent had the age
  // `stamp_age` at `now`.
  void OnRenewalsStopped(const StewardId& steward,
                         Instant now,
                         Duration stamp_age) {
    if (pending_stewards_.erase(steward) == 0)
      return;
    const Duration remaining = std::max(Duration{0}, validity_ - stamp_age);
    expires_at_ = std::max(expires_at_, now + remaining + clock_drift_margin_);
  }

  // `steward` is known to have terminated; it may have sent a renewal as late
  // as `now`.
  void OnStewardTerminated(const StewardId& steward, Instant now) {
    OnRenewalsStopped(steward, now, Duration{0});
  }

  bool Expired(Instant now) const {
    return pending_stewards_.empty() && now >= expires_at_;
  }
  // Stewards that have neither stopped renewing nor terminated.
  const std::set<StewardId>& waiting() const { return pending_stewards_; }

 private:
  std::set<StewardId> pending_stewards_;
  const Duration validity_;
  // Allows for clocks that run at slightly different rates.
  const Duration clock_drift_margin_;
  // No renewal sent by the stewards that have stopped or terminated so far,
  // also before this seal was created, keeps the lease valid past this instant.
  Instant expires_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_SEAL_H_
