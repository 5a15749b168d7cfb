// The limits that the desired state sets for callers, as they change with its
// versions.
#ifndef FIGSTALL_CALLER_LIMITS_H_
#define FIGSTALL_CALLER_LIMITS_H_

#include <vector>

#include "figstall/desired_state.h"
#include "figstall/types.h"

namespace figstall {

// Callers and entries learn of a version at different times. A caller may use
// the limits of the version that it knew when it began to wait or to send, and
// those of a version that this process has not received yet.
class CallerLimitsHistory {
 public:
  // `propagation_time`: by how much earlier or later than here a version may
  // take effect at a caller.
  explicit CallerLimitsHistory(const CallerLimits& initial = {},
                               Duration propagation_time = Duration{0});

  // Applies `limits` from `now` on. `now` must not decrease.
  void Set(Instant now, const CallerLimits& limits);
  // The limits on what a caller began at `begin`: the greatest of each that it
  // may have known then or since. Times are extended by the propagation time.
  CallerLimits Since(Instant begin) const;

 private:
  struct Superseded {
    CallerLimits limits;
    // When later limits were applied.
    Instant until;
  };

  const Duration propagation_time_;
  CallerLimits current_;
  // In the order of `until`. Each has a limit that exceeds that of all later
  // ones and of `current_`.
  std::vector<Superseded> superseded_;
};

}  // namespace figstall

#endif  // FIGSTALL_CALLER_LIMITS_H_
