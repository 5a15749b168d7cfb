// Whether requests may be sent by what this process knows. After a standstill,
// by a stopped process, a suspended VM or a lack of processor, callers'
// requests may be read before the news of targets, or that news is still to be
// asked for. Performs no I/O.
#ifndef FIGSTALL_STANDSTILL_GATE_H_
#define FIGSTALL_STANDSTILL_GATE_H_

#include <optional>

#include "figstall/types.h"

namespace figstall {

struct StandstillLimits {
  // The loop stood still if it did not tick for longer than this.
  Duration max_gap{0};
  // After a standstill, requests wait for a confirmation of the copy of the
  // store, but not longer than this, since the store may be lost.
  Duration max_wait{0};
};

class StandstillGate {
 public:
  explicit StandstillGate(StandstillLimits limits) : limits_(limits) {}

  // The loop reaches its periodic work. `confirmed_at`: the copy has all
  // changes of the store up to then, if that is known.
  void OnTick(Instant now, std::optional<Instant> confirmed_at) {
    if (!resumed_at_) {
      if (last_tick_at_ && now - *last_tick_at_ > limits_.max_gap)
        resumed_at_ = now;
    } else if (confirmed_at >= resumed_at_ ||
               now - *resumed_at_ >= limits_.max_wait) {
      resumed_at_.reset();
    }
    last_tick_at_ = now;
  }
  bool MaySend(Instant now) const {
    return !resumed_at_ &&
           (!last_tick_at_ || now - *last_tick_at_ <= limits_.max_gap);
  }

 private:
  const StandstillLimits limits_;
  std::optional<Instant> last_tick_at_;
  // The first tick after a standstill, until requests may be sent again.
  std::optional<Instant> resumed_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_STANDSTILL_GATE_H_
