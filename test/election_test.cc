// Elections through the zone's document, with lost answers and old leaders.
#include <catch2/catch.hpp>

#include "figstall/election.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

const StewardId kSelf{VmId("e1"), 10};
const StewardId kOther{VmId("e2"), 5};

Instant At(int millis) {
  return Instant(milliseconds(millis));
}

template <typename Action>
const Action* Find(const StewardActions& actions) {
  for (const StewardAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action))
      return found;
  }
  return nullptr;
}

// Brings `election` to the point where it has sent its candidacy.
WriteZone RunFor(Election& election,
                 const std::optional<ZoneDocument>& stored,
                 std::uint64_t version) {
  StewardActions actions;
  election.OnVmList(1, {kSelf.vm, kOther.vm});
  election.Tick(At(0), actions);
  election.Tick(At(2500), actions);
  election.OnLease(At(2501), {true, true}, actions);
  const ReadZone read = *Find<ReadZone>(actions);
  actions.clear();
  election.OnRead(At(2502), {read.call, true, stored, version}, actions);
  return *Find<WriteZone>(actions);
}

ZoneDocument LedByOther() {
  ZoneDocument document;
  document.epoch = 4;
  document.leader = kOther;
  document.roster = {kOther};
  document.list_version = 1;
  return document;
}

}  // namespace

TEST_CASE("the first steward of a zone becomes its leader with authority") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunFor(election, std::nullopt, 0);
  CHECK(write.expected_version == 0);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kDone, 1}, actions);
  CHECK(election.leading());
  CHECK(election.authority());
}

TEST_CASE("a leader whose predecessor may still act has no authority") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunFor(election, LedByOther(), 9);
  CHECK(write.document.epoch == 5);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kDone, 10}, actions);
  CHECK(election.leading());
  CHECK_FALSE(election.authority());
  SECTION("until the predecessor acknowledges") {
    election.OnStepDownAck(kOther, 5);
    CHECK(election.authority());
  }
  SECTION("an acknowledgement of another epoch counts for nothing") {
    election.OnStepDownAck(kOther, 4);
    CHECK_FALSE(election.authority());
  }
  SECTION("until the predecessor is provably gone") {
    election.OnVmList(2, {kSelf.vm});
    CHECK(election.UnlistedStewards() == std::vector{kOther, kOther});
    election.OnTerminated(kOther);
    CHECK(election.authority());
  }
  SECTION("a VM list older than the roster proves nothing") {
    election.OnVmList(1, {kSelf.vm});
    CHECK(election.UnlistedStewards().empty());
  }
}

TEST_CASE("an answer lost after the write took effect is found by reading") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunFor(election, LedByOther(), 9);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kUnknown, 0},
                     actions);
  CHECK_FALSE(election.leading());
  const ReadZone read = *Find<ReadZone>(actions);
  election.OnRead(At(2504), {read.call, true, write.document, 10}, actions);
  CHECK(election.leading());
}

TEST_CASE("a race lost by compare-and-swap makes no leader") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunFor(election, LedByOther(), 9);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kConflict, 0},
                     actions);
  ZoneDocument theirs = LedByOther();
  theirs.epoch = 5;
  const ReadZone read = *Find<ReadZone>(actions);
  election.OnRead(At(2504), {read.call, true, theirs, 10}, actions);
  CHECK_FALSE(election.leading());
}

TEST_CASE("a late answer is not taken for that of a later call") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunFor(election, std::nullopt, 0);
  StewardActions actions;
  election.Tick(At(2800), actions);
  election.OnWritten(At(2900), {write.call, StoreOutcome::kDone, 1}, actions);
  CHECK_FALSE(election.leading());
}

TEST_CASE("a leader that hears of a later epoch stops leading") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunFor(election, std::nullopt, 0);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kDone, 1}, actions);
  election.OnEpochSeen(At(2600), 2, /*from_leader=*/true, actions);
  CHECK_FALSE(election.leading());
}

TEST_CASE("a VM that the platform does not list is not admitted") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunFor(election, std::nullopt, 0);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kDone, 1}, actions);
  const StewardId stranger{VmId("e9"), 1};
  election.OnJoin(stranger);
  CHECK_FALSE(election.roster().contains(stranger));
  election.OnJoin(kOther);
  CHECK(election.roster().contains(kOther));
}

}  // namespace figstall
