// StoreConnectivity: stale watches, confirmation times and probes of a lost
// store.
#include "figstall/store_connectivity.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

Instant At(int ms) {
  return Instant{} + std::chrono::milliseconds(ms);
}

}  // namespace

// Guards against a watch that waits on a dead connection. In the recorded day
// umurage mix 945827172438 the member that reads the store for its region is
// cut from the store for 4 s while desired states change. Its watch stayed
// pending on a connection that delivered nothing more, and the member responded
// with 404 two seconds after the cut had ended.
TEST_CASE("a watch pending through a cut is stale once the store answers") {
  StoreConnectivity connectivity;
  connectivity.OnWatchSent(At(1000));
  connectivity.OnAnswered();
  CHECK_FALSE(connectivity.WatchMayBeStale());
  CHECK(connectivity.OnFailed(At(2000)));
  CHECK_FALSE(connectivity.WatchMayBeStale());
  CHECK(connectivity.OnAnswered());
  CHECK(connectivity.WatchMayBeStale());
  connectivity.OnWatchSent(At(5001));
  CHECK_FALSE(connectivity.WatchMayBeStale());
}

// Guards against a copy that is reported as current during a cut. In the same
// recorded day the reading member reported its copy as current to subscribers
// until it detected its own cut, a second later than possible.
TEST_CASE("a copy is confirmed as of the last call the store answered") {
  StoreConnectivity connectivity;
  connectivity.OnWatchSent(At(1000));
  connectivity.OnConfirmed(At(1400));
  CHECK(connectivity.confirmed_at() == At(1400));
  connectivity.OnFailed(At(2300));
  CHECK(connectivity.confirmed_at() == At(1400));
  // Lease renewals are answered again, but the watch is still the old one.
  connectivity.OnAnswered();
  connectivity.OnConfirmed(At(5000));
  CHECK(connectivity.confirmed_at() == At(1400));
  connectivity.OnWatchSent(At(5010));
  connectivity.OnConfirmed(At(5400));
  CHECK(connectivity.confirmed_at() == At(5400));
}

TEST_CASE("an answered watch confirms the copy as of when it was sent") {
  StoreConnectivity connectivity;
  connectivity.OnConfirmed(At(900));
  CHECK_FALSE(connectivity.confirmed_at());
  connectivity.OnWatchSent(At(1000));
  connectivity.OnWatchEnded(true);
  CHECK(connectivity.confirmed_at() == At(1000));
  connectivity.OnWatchSent(At(1500));
  connectivity.OnWatchEnded(false);
  CHECK(connectivity.confirmed_at() == At(1000));
}

// Guards against members that overload a store that is down. In the scenario
// platform_down with 195 members each member repeated its own watch, 700 full
// calls a second in all; a lost store is now probed by lease renewals alone.
TEST_CASE("a lost store is probed seldom until it answers") {
  StoreConnectivity connectivity;
  connectivity.OnFailed(At(0));
  CHECK(connectivity.lost());
  CHECK(connectivity.ProbeDelay() == std::chrono::milliseconds(250));
  Instant now = At(0);
  int probes = 0;
  for (; now < At(5000); now += connectivity.ProbeDelay()) {
    connectivity.OnFailed(now);
    ++probes;
  }
  CHECK(probes <= 12);
  connectivity.OnAnswered();
  CHECK_FALSE(connectivity.lost());
  CHECK(connectivity.ProbeDelay() == std::chrono::milliseconds(250));
}

}  // namespace figstall
