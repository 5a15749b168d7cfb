// Tests which evacuations are in force, and until when owners of keys in an
// evacuated zone may get requests.
#include "figstall/evacuation.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

using std::chrono::milliseconds;

const ZoneId kZone("z1");
constexpr Duration kLimit = std::chrono::seconds(5);

Instant At(int millis) {
  return Instant(std::chrono::seconds(1000) + milliseconds(millis));
}

EvacuationTracker MakeTracker() {
  EvacuationTiming timing;
  timing.limit = kLimit;
  return EvacuationTracker(timing);
}

}  // namespace

// Guards against EVACUATE: requests to a zone without keys after its evacuation
// is known, or to its owners after half of the limit.
TEST_CASE("only owners get requests, for half of the limit") {
  EvacuationTracker tracker = MakeTracker();
  tracker.OnConfirmed(At(-1200));
  CHECK(tracker.OnWritten(At(0), kZone));
  CHECK_FALSE(MayReceive(tracker.in_force(), kZone, false, At(0)));
  CHECK(MayReceive(tracker.in_force(), kZone, true, At(2499)));
  CHECK_FALSE(MayReceive(tracker.in_force(), kZone, true, At(2500)));
  CHECK(MayReceive(tracker.in_force(), ZoneId("z2"), false, At(9000)));
  // Writing it again extends nothing.
  tracker.OnConfirmed(At(2000));
  CHECK_FALSE(tracker.OnWritten(At(2100), kZone));
  CHECK_FALSE(MayReceive(tracker.in_force(), kZone, true, At(2500)));
  CHECK(tracker.OnRemoved(At(3000), kZone));
  CHECK(MayReceive(tracker.in_force(), kZone, false, At(3000)));
}

// Guards against EVACUATE: a process that starts or was disconnected takes an
// evacuation that was acknowledged long ago for a new one.
TEST_CASE("owners get nothing by an evacuation of unknown age") {
  EvacuationTracker tracker = MakeTracker();
  Duration allowed{0};
  SECTION("found at the start") {}
  SECTION("found after a disconnection") {
    tracker.OnConfirmed(At(-8000));
  }
  SECTION("found after a short disconnection") {
    tracker.OnConfirmed(At(-3000));
    allowed = milliseconds(750);
  }
  CHECK(tracker.OnWritten(At(0), kZone));
  CHECK((allowed == Duration{0} ||
         MayReceive(tracker.in_force(), kZone, true, At(-1) + allowed)));
  CHECK_FALSE(MayReceive(tracker.in_force(), kZone, true, At(0) + allowed));
}

// Guards against EVACUATE: a store that came back from an older copy lacks an
// evacuation which the operator writes again within seconds.
TEST_CASE("an evacuation outlasts a restored store") {
  EvacuationTracker tracker = MakeTracker();
  const Duration hold = EvacuationTiming().post_restore_hold;
  tracker.OnWritten(At(0), kZone);
  tracker.OnStoreRestored(At(10'000));
  CHECK_FALSE(tracker.OnRemoved(At(10'300), kZone));
  CHECK(tracker.TakeLapsed(At(10'000) + hold - milliseconds(1)).empty());
  CHECK_FALSE(MayReceive(tracker.in_force(), kZone, true, At(15'000)));
  SECTION("it is not written again") {
    CHECK(tracker.TakeLapsed(At(10'000) + hold) == std::vector{kZone});
    CHECK(tracker.in_force().empty());
  }
  SECTION("it is written again, and then cancelled") {
    CHECK_FALSE(tracker.OnWritten(At(14'500), kZone));
    CHECK(tracker.TakeLapsed(At(60'000)).empty());
    CHECK(tracker.in_force().contains(kZone));
    CHECK(tracker.OnRemoved(At(14'900), kZone));
  }
  SECTION("the store comes back from a copy once more") {
    tracker.OnStoreRestored(At(15'000));
    CHECK(tracker.TakeLapsed(At(10'000) + hold).empty());
    CHECK(tracker.TakeLapsed(At(15'000) + hold) == std::vector{kZone});
  }
}

}  // namespace figstall
