// How long a request waits for a target, and when its caller is told to come
// back. All of it follows from what the caller can bear: a wait that suits an
// answer of 300 ms is no wait for one of two seconds.
#ifndef FIGSTALL_REQUEST_WAITS_H_
#define FIGSTALL_REQUEST_WAITS_H_

#include "figstall/types.h"

namespace figstall {

struct RequestWaits {
  // For a target with room. Then the request is refused, so that its caller can
  // come back while there is time.
  Duration capacity_wait_timeout{0};
  // For the next owner of a key that moves; it has one again soon.
  Duration owner_wait_timeout{0};
  // Until a target that said "not run" is asked again.
  Duration target_retry_interval{0};
  // What a caller is told where no target has room, and where its key moves.
  Duration retry_after{0};
  Duration retry_after_moving{0};

  friend bool operator==(const RequestWaits&, const RequestWaits&) = default;
};

// `latency_objective`: time within which an answer is in time. `mean_latency`:
// mean time of an answer. `keyed`: only one target may serve the request.
RequestWaits ComputeRequestWaits(Duration latency_objective,
                                 Duration mean_latency,
                                 bool keyed);

}  // namespace figstall

#endif  // FIGSTALL_REQUEST_WAITS_H_
