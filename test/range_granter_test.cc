// Tests which grants a member sends, and on which connections. The random runs
// in range_random_test.cc combine members, movers and targets.
#include "figstall/range_granter.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("accounts");
const TargetIncarnation kOwner{TargetId("t1"), 1};
constexpr Instant kStart{std::chrono::seconds(1000)};

// A member that knows a table with one settled range.
class GranterFixture {
 public:
  GranterFixture() {
    directory_[kOwner.id] = {kOwner, {"10.0.0.1", 80}, kService, ZoneId("z"), 4,
                             false,  Duration{0}};
    SetPhase(RangePhase::kSettled);
  }

  void SetPhase(RangePhase phase) {
    RangeTable table;
    table.last_fence = ++last_fence_;
    table.entries = {
        {{0, 65'535}, kOwner, {"10.0.0.1", 80}, ZoneId("z"), 1, phase, ""}};
    granter.OnTable(kService, table);
  }
  std::vector<GrantRequest> TakeDueGrants(Instant now) {
    return granter.TakeDueGrants(
        now, directory_,
        [](const ServiceId&, const RangeEntry&) { return true; });
  }
  // Takes the one grant that is due and tries to send it.
  SendDecision TrySend(Instant now, Instant connected_at) {
    const auto due = TakeDueGrants(now);
    REQUIRE(due.size() == 1);
    const SendDecision decision =
        granter.TryBeginSend(now, due.front(), connected_at);
    granter.OnOutcome(now, due.front(),
                      decision == SendDecision::kSend
                          ? GrantOutcome::kGranted
                          : GrantOutcome::kWithdrawn);
    return decision;
  }

  RangeGranter granter{GrantTiming{}};

 private:
  TargetDirectory directory_;
  std::uint64_t last_fence_ = 1;
};

}  // namespace

// Guards against OWNER: a member that heard nothing of a move granted the
// owner's next incarnation, under the same id, the keys under the old token.
TEST_CASE("a grant on a newer connection than the table awaits the table") {
  GranterFixture fixture;
  fixture.granter.OnTableConfirmed(kService, kStart);
  CHECK(fixture.TrySend(kStart + milliseconds(20), kStart) ==
        SendDecision::kSend);
  // The connection broke; the next one may reach another incarnation.
  const Instant reconnected_at = kStart + milliseconds(1300);
  const Instant now = reconnected_at + milliseconds(10);
  CHECK(fixture.TrySend(now, reconnected_at) ==
        SendDecision::kAwaitConfirmation);
  CHECK(fixture.granter.AwaitsConfirmation(kService));
  CHECK(fixture.TakeDueGrants(now + std::chrono::seconds(5)).empty());
  CHECK(fixture.granter.HoldExpiry(now, kOwner.id) <=
        now + GrantTiming().MaxHoldFromArrival());
  // A confirmation that was requested before the connection was opened may miss
  // a move.
  fixture.granter.OnTableConfirmed(kService, reconnected_at - milliseconds(1));
  CHECK(fixture.granter.AwaitsConfirmation(kService));
  CHECK(fixture.TakeDueGrants(now).empty());
  fixture.granter.OnTableConfirmed(kService, reconnected_at);
  CHECK_FALSE(fixture.granter.AwaitsConfirmation(kService));
  CHECK(fixture.TrySend(now, reconnected_at) == SendDecision::kSend);
}

TEST_CASE("a confirmation of another service's table does not count") {
  GranterFixture fixture;
  fixture.granter.OnTableConfirmed(ServiceId("orders"), kStart);
  CHECK(fixture.TrySend(kStart, kStart) == SendDecision::kAwaitConfirmation);
}

TEST_CASE("an older confirmation takes nothing back") {
  GranterFixture fixture;
  fixture.granter.OnTableConfirmed(kService, kStart);
  fixture.granter.OnTableConfirmed(kService, kStart - milliseconds(50));
  CHECK(fixture.TrySend(kStart + milliseconds(5), kStart) ==
        SendDecision::kSend);
}

TEST_CASE("a moving entry is not granted, whatever is confirmed") {
  GranterFixture fixture;
  fixture.granter.OnTableConfirmed(kService, kStart);
  const auto due = fixture.TakeDueGrants(kStart);
  REQUIRE(due.size() == 1);
  fixture.SetPhase(RangePhase::kMoving);
  CHECK(fixture.granter.TryBeginSend(kStart, due.front(), kStart) ==
        SendDecision::kWithdraw);
}

// The mover sends the first grant of an entry, and stays the one to send it.
TEST_CASE("a withdrawn first grant is still the first") {
  GranterFixture fixture;
  const RangeEntry entry =
      fixture.granter.tables().at(kService).entries.front();
  CHECK(fixture.TrySend(kStart, kStart) == SendDecision::kAwaitConfirmation);
  CHECK(fixture.granter.NotYetGranted(kService, entry));
  fixture.granter.OnTableConfirmed(kService, kStart);
  CHECK(fixture.TrySend(kStart, kStart) == SendDecision::kSend);
  CHECK_FALSE(fixture.granter.NotYetGranted(kService, entry));
}

}  // namespace figstall
