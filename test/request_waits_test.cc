// How long requests wait, and when callers come back.
#include "figstall/request_waits.h"

#include <catch2/catch.hpp>

namespace figstall {

using std::chrono::milliseconds;

// Load: targets that take half a second of work each, callers that bear two
// seconds; a queue that empties in 300 ms refused them after 250 ms.
TEST_CASE("waits grow with what the caller can bear") {
  const RequestWaits small =
      ComputeRequestWaits(milliseconds(400), milliseconds(120), /*keyed=*/true);
  const RequestWaits large = ComputeRequestWaits(
      milliseconds(2000), milliseconds(550), /*keyed=*/true);
  CHECK(small.capacity_wait_timeout == milliseconds(160));
  CHECK(small.owner_wait_timeout == milliseconds(240));
  CHECK(large.capacity_wait_timeout == milliseconds(800));
  CHECK(large.owner_wait_timeout == milliseconds(1200));
  CHECK(large.target_retry_interval > small.target_retry_interval);
  CHECK(large.retry_after == milliseconds(400));
}

TEST_CASE("a request that can go elsewhere waits less") {
  CHECK(ComputeRequestWaits(milliseconds(1000), milliseconds(200), false)
            .capacity_wait_timeout <
        ComputeRequestWaits(milliseconds(1000), milliseconds(200), true)
            .capacity_wait_timeout);
}

TEST_CASE("targets and callers are not asked again at once") {
  const RequestWaits waits =
      ComputeRequestWaits(milliseconds(100), milliseconds(5), /*keyed=*/true);
  CHECK(waits.target_retry_interval == milliseconds(60));
  CHECK(waits.retry_after == milliseconds(150));
  CHECK(waits.retry_after_moving == milliseconds(300));
  CHECK(ComputeRequestWaits(milliseconds(5000), milliseconds(5000), true)
            .target_retry_interval == milliseconds(250));
}

// Load: Atlas scale-1, a burst on targets of 120 ms of work. Answers take 400
// ms then, and a request that waits 160 ms asked only once.
TEST_CASE("a request that waits asks more than once") {
  const RequestWaits waits =
      ComputeRequestWaits(milliseconds(400), milliseconds(400), /*keyed=*/true);
  CHECK(waits.target_retry_interval * 2 < waits.capacity_wait_timeout);
}

}  // namespace figstall
