// How long a target is used after its entry was removed.
#include <catch2/catch.hpp>

#include "figstall/target_absence.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

const TargetId kTarget("t1");
// No request may reach a target so long after it has left, nor from so long
// after the end of a cut. Source: the platform's bounds.
constexpr Duration kDrain = std::chrono::seconds(2);
constexpr Duration kInTouch = std::chrono::seconds(3);

Instant At(int millis) {
  return Instant(std::chrono::seconds(1000) + milliseconds(millis));
}

// When the target is first gone, looking each 25 ms.
Instant GoneAt(TargetAbsence& absence, int from) {
  for (int at = from;; at += 25) {
    if (!absence.TakeRemovedTargets(At(at)).empty())
      return At(at);
  }
}

}  // namespace

TEST_CASE("a removed target is soon gone") {
  TargetAbsence absence;
  absence.OnStoreCall(At(0), true);
  absence.OnEntryRemoved(At(0), kTarget, false);
  CHECK(GoneAt(absence, 0) <= At(300));
  CHECK(absence.TakeRemovedTargets(At(10'000)).empty());
}

TEST_CASE("a leaving target that is removed is gone at once") {
  TargetAbsence absence;
  absence.OnEntryRemoved(At(0), kTarget, true);
  CHECK(GoneAt(absence, 0) == At(0));
}

// Load: platform_down with entries that expire meanwhile.
TEST_CASE("entries that expired in an outage may come back") {
  TargetAbsence absence;
  absence.OnStoreCall(At(0), false);
  absence.OnStoreCall(At(4500), true);
  absence.OnEntryRemoved(At(4510), kTarget, false);
  CHECK(absence.TakeRemovedTargets(At(5800)).empty());
  absence.OnEntryPresent(kTarget);
  CHECK(absence.TakeRemovedTargets(At(9000)).empty());
}

// Load: umurage hunt-1cc5-11, a target that left 1.8 s after an outage.
TEST_CASE("a removal well after an outage is believed like any other") {
  TargetAbsence absence;
  absence.OnStoreCall(At(0), false);
  absence.OnStoreCall(At(4500), true);
  absence.OnEntryRemoved(At(6300), kTarget, false);
  CHECK(GoneAt(absence, 6300) < At(6300) + kDrain);
}

// Load: caroni scale-2 --seed 959422241737, a cut of one VM from 1 s to 13 s in
// which a target left. Its news came 0.94 s after the cut's end.
TEST_CASE("after a cut of one VM its targets that left are soon not used") {
  TargetAbsence absence;
  absence.OnStoreCall(At(1900), false);
  constexpr int kHealed = 13'000;
  for (const int noticed : {0, 300, 940, 1150}) {
    absence.OnStoreCall(At(kHealed + noticed), true);
    absence.OnEntryRemoved(At(kHealed + noticed + 20), kTarget, false);
    CHECK(GoneAt(absence, kHealed) < At(kHealed) + kInTouch);
    absence.OnStoreCall(At(kHealed + noticed + 5000), false);
  }
}

TEST_CASE("trouble too short to expire an entry changes nothing") {
  TargetAbsence absence;
  absence.OnStoreCall(At(0), false);
  absence.OnStoreCall(At(900), true);
  absence.OnEntryRemoved(At(910), kTarget, false);
  CHECK(GoneAt(absence, 910) <= At(1200));
}

}  // namespace figstall
