// The waits are fixed fractions of the latency objective; only the retry
// interval also depends on the mean latency. Lower bounds apply to the retry
// interval and to Retry-After.
#include "figstall/request_waits.h"

#include <algorithm>

namespace figstall {
namespace {

// Fractions of the latency objective.
constexpr double kCapacityWaitShare = 0.25;
// A keyed request waits longer, since no other target can serve it.
constexpr double kKeyedCapacityWaitShare = 0.4;
constexpr double kOwnerWaitShare = 0.6;
constexpr double kRetryAfterShare = 0.2;
constexpr double kRetryAfterMovingShare = 0.3;
// A busy target has spare capacity again after about this fraction of the mean
// latency. The interval is shorter where a waiting request would otherwise make
// fewer than kRetriesPerWait retries.
constexpr double kRetryIntervalShare = 0.25;
constexpr double kRetriesPerWait = 3;
constexpr Duration kMinRetryInterval = std::chrono::milliseconds(60);
constexpr Duration kMaxRetryInterval = std::chrono::milliseconds(250);
// A caller that retries sooner would find the state unchanged.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kMinRetryAfterMoving = std::chrono::milliseconds(300);

}  // namespace

RequestWaits ComputeRequestWaits(Duration latency_objective,
                                 Duration mean_latency,
                                 bool keyed) {
  RequestWaits waits;
  waits.capacity_wait_timeout = Scaled(
      latency_objective, keyed ? kKeyedCapacityWaitShare : kCapacityWaitShare);
  waits.owner_wait_timeout = Scaled(latency_objective, kOwnerWaitShare);
  waits.target_retry_interval = std::clamp(
      std::min(Scaled(mean_latency, kRetryIntervalShare),
               Scaled(waits.capacity_wait_timeout, 1 / kRetriesPerWait)),
      kMinRetryInterval, kMaxRetryInterval);
  waits.retry_after =
      std::max(kMinRetryAfter, Scaled(latency_objective, kRetryAfterShare));
  waits.retry_after_moving = std::max(
      kMinRetryAfterMoving, Scaled(latency_objective, kRetryAfterMovingShare));
  return waits;
}

}  // namespace figstall
