// Computes how long a request waits for a target and which Retry-After its
// caller receives. Both depend on the latency objective: a wait that suits an
// objective of 300 ms is too short for one of two seconds.
#ifndef FIGSTALL_REQUEST_WAITS_H_
#define FIGSTALL_REQUEST_WAITS_H_

#include "figstall/types.h"

namespace figstall {

struct RequestWaits {
  // Time to wait for a target with spare capacity. After it the request is
  // refused, so that its caller can retry before its deadline.
  Duration capacity_wait_timeout{0};
  // Time to wait for the next owner of a key that is being moved. It is longer,
  // since the key will soon have an owner again.
  Duration owner_wait_timeout{0};
  // Interval after which a request is sent again to a target that did not run
  // it.
  Duration target_retry_interval{0};
  // Retry-After of a refused request, and the longer one of a keyed request
  // whose key is moving or otherwise has no target that could take it.
  Duration retry_after{0};
  Duration retry_after_moving{0};

  friend bool operator==(const RequestWaits&, const RequestWaits&) = default;
};

// `latency_objective`: time within which a response is in time. `mean_latency`:
// mean latency of the service. `keyed`: only one target may serve the request.
RequestWaits ComputeRequestWaits(Duration latency_objective,
                                 Duration mean_latency,
                                 bool keyed);

}  // namespace figstall

#endif  // FIGSTALL_REQUEST_WAITS_H_
