// Implements the waits of requests.
#include "figstall/request_waits.h"

#include <algorithm>

namespace figstall {
namespace {

// Parts of the latency objective.
constexpr double kRoomShare = 0.25;
// A keyed request has nowhere else to go.
constexpr double kKeyedRoomShare = 0.4;
constexpr double kOwnerShare = 0.6;
constexpr double kComeBackShare = 0.2;
constexpr double kComeBackMovingShare = 0.3;
// A target that works on a request for some time has room again after about
// this part of it; but a request asks more than once while it waits.
constexpr double kAskAgainShare = 0.25;
constexpr double kAsksInWait = 3;
constexpr Duration kLeastAskAgain = std::chrono::milliseconds(60);
constexpr Duration kLongestAskAgain = std::chrono::milliseconds(250);
// A caller that comes back sooner finds things as they were.
constexpr Duration kLeastComeBack = std::chrono::milliseconds(150);
constexpr Duration kLeastComeBackMoving = std::chrono::milliseconds(300);

}  // namespace

RequestWaits WaitsFor(Duration objective, Duration typical, bool keyed) {
  RequestWaits waits;
  waits.room = Scaled(objective, keyed ? kKeyedRoomShare : kRoomShare);
  waits.owner = Scaled(objective, kOwnerShare);
  waits.ask_again = std::clamp(std::min(Scaled(typical, kAskAgainShare),
                                        Scaled(waits.room, 1 / kAsksInWait)),
                               kLeastAskAgain, kLongestAskAgain);
  waits.come_back = std::max(kLeastComeBack, Scaled(objective, kComeBackShare));
  waits.come_back_moving =
      std::max(kLeastComeBackMoving, Scaled(objective, kComeBackMovingShare));
  return waits;
}

}  // namespace figstall
