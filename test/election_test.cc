// Tests of elections through the zone's document, with lost store replies and
// earlier leaders.
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
const Action* FindAction(const StewardActions& actions) {
  for (const StewardAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action))
      return found;
  }
  return nullptr;
}

// Drives `election` until it writes the document that makes it leader, and
// returns that write.
WriteZone RunForLeader(Election& election,
                       const std::optional<ZoneDocument>& stored,
                       std::uint64_t version) {
  StewardActions actions;
  election.OnVmList(1, {kSelf.vm, kOther.vm});
  election.Tick(At(0), actions);
  election.Tick(At(2500), actions);
  election.OnLeaseReply(At(2501), {true, true}, actions);
  const ReadZone read = *FindAction<ReadZone>(actions);
  actions.clear();
  election.OnRead(At(2502), {read.call, true, stored, version}, actions);
  return *FindAction<WriteZone>(actions);
}

ZoneDocument DocumentOfOtherLeader() {
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
  const WriteZone write = RunForLeader(election, std::nullopt, 0);
  CHECK(write.expected_version == 0);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kDone, 1}, actions);
  CHECK(election.leading());
  CHECK(election.authority());
}

TEST_CASE("a leader whose predecessor may still act has no authority") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunForLeader(election, DocumentOfOtherLeader(), 9);
  CHECK(write.document.epoch == 5);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kDone, 10}, actions);
  CHECK(election.leading());
  CHECK_FALSE(election.authority());
  SECTION("until the predecessor acknowledges") {
    election.OnStepDownAck(kOther, 5);
    CHECK(election.authority());
  }
  SECTION("an acknowledgement of another epoch is ignored") {
    election.OnStepDownAck(kOther, 4);
    CHECK_FALSE(election.authority());
  }
  SECTION("until the predecessor is known to have terminated") {
    election.OnVmList(2, {kSelf.vm});
    CHECK(election.UnlistedStewards() == std::vector{kOther, kOther});
    election.OnTerminated(kOther);
    CHECK(election.authority());
  }
  SECTION("a VM list that is not newer than the known one is ignored") {
    election.OnVmList(1, {kSelf.vm});
    CHECK(election.UnlistedStewards().empty());
  }
}

TEST_CASE(
    "a write that took effect but whose reply was lost is found by reading") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunForLeader(election, DocumentOfOtherLeader(), 9);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kUnknown, 0},
                     actions);
  CHECK_FALSE(election.leading());
  const ReadZone read = *FindAction<ReadZone>(actions);
  election.OnRead(At(2504), {read.call, true, write.document, 10}, actions);
  CHECK(election.leading());
}

TEST_CASE("a steward whose compare-and-swap conflicts does not become leader") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunForLeader(election, DocumentOfOtherLeader(), 9);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kConflict, 0},
                     actions);
  ZoneDocument other_document = DocumentOfOtherLeader();
  other_document.epoch = 5;
  const ReadZone read = *FindAction<ReadZone>(actions);
  election.OnRead(At(2504), {read.call, true, other_document, 10}, actions);
  CHECK_FALSE(election.leading());
}

TEST_CASE("a store reply that arrives after its timeout is ignored") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunForLeader(election, std::nullopt, 0);
  StewardActions actions;
  election.Tick(At(2800), actions);
  election.OnWritten(At(2900), {write.call, StoreOutcome::kDone, 1}, actions);
  CHECK_FALSE(election.leading());
}

TEST_CASE("a leader that receives a higher epoch stops leading") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunForLeader(election, std::nullopt, 0);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kDone, 1}, actions);
  election.OnEpochSeen(At(2600), 2, /*from_leader=*/true, actions);
  CHECK_FALSE(election.leading());
}

TEST_CASE("a steward whose VM the platform does not list is not admitted") {
  Election election(kSelf, StewardTiming{});
  const WriteZone write = RunForLeader(election, std::nullopt, 0);
  StewardActions actions;
  election.OnWritten(At(2503), {write.call, StoreOutcome::kDone, 1}, actions);
  const StewardId unlisted{VmId("e9"), 1};
  election.OnJoin(unlisted);
  CHECK_FALSE(election.roster().contains(unlisted));
  election.OnJoin(kOther);
  CHECK(election.roster().contains(kOther));
}

}  // namespace figstall
