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

RequestWaits ComputeRequestWaits(Duration latency_objective,
                                 Duration mean_latency,
                                 bool keyed) {
  RequestWaits waits;
  waits.capacity_wait_timeout =
      Scaled(latency_objective, keyed ? kKeyedRoomShare : kRoomShare);
  waits.owner_wait_timeout = Scaled(latency_objective, kOwnerShare);
  waits.target_retry_interval =
      std::clamp(std::min(Scaled(mean_latency, kAskAgainShare),
                          Scaled(waits.capacity_wait_timeout, 1 / kAsksInWait)),
                 kLeastAskAgain, kLongestAskAgain);
  waits.retry_after =
      std::max(kLeastComeBack, Scaled(latency_objective, kComeBackShare));
  waits.retry_after_moving = std::max(
      kLeastComeBackMoving, Scaled(latency_objective, kComeBackMovingShare));
  return waits;
}

}  // namespace figstall
