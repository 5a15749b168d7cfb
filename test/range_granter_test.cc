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

  void SetPhase(RangePhase phase) { SetEntry(kOwner, 1, phase); }
  void SetEntry(const TargetIncarnation& owner,
                std::uint64_t fence,
                RangePhase phase) {
    RangeTable table;
    table.last_fence = ++last_fence_;
    table.entries = {
        {{0, 65'535}, owner, {"10.0.0.1", 80}, ZoneId("z"), fence, phase, {}}};
    granter.OnTable(kService, table);
  }
  std::vector<LeftRange> TakeDueReleases(Instant now) {
    return granter.TakeDueReleases(now, [](const LeftRange&) { return true; });
  }
  // Sends the one grant that is due, with this outcome.
  void Grant(Instant now, GrantOutcome outcome) {
    const auto due = TakeDueGrants(now);
    REQUIRE(due.size() == 1);
    granter.OnTableConfirmed(kService, now);
    REQUIRE(granter.TryBeginSend(now, due.front(), now) == SendDecision::kSend);
    granter.OnOutcome(now, due.front(), outcome, AnswerProof::kConnectionReset);
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
                          : GrantOutcome::kWithdrawn,
                      AnswerProof::kFirstOnConnection);
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

// Guards against OWNER: an answer to an earlier grant ended the count of one
// that was still under way, and the mover did not wait for that one's hold.
TEST_CASE("an answer without proof does not shorten a grant's arrival") {
  const GrantTiming timing;
  for (const auto& [proof, latest_arrival] :
       {std::pair(AnswerProof::kNone, kStart + timing.call_timeout),
        std::pair(AnswerProof::kFirstOnConnection, kStart + milliseconds(2)),
        std::pair(AnswerProof::kRequestId, kStart + milliseconds(2)),
        std::pair(AnswerProof::kConnectionReset, kStart + milliseconds(2))}) {
    CAPTURE(ToString(proof));
    GranterFixture fixture;
    fixture.granter.OnTableConfirmed(kService, kStart);
    const auto due = fixture.TakeDueGrants(kStart);
    REQUIRE(due.size() == 1);
    REQUIRE(fixture.granter.TryBeginSend(kStart, due.front(), kStart) ==
            SendDecision::kSend);
    const Instant answered_at = kStart + milliseconds(2);
    fixture.granter.OnOutcome(answered_at, due.front(), GrantOutcome::kGranted,
                              proof);
    CHECK(fixture.granter.HoldExpiry(answered_at, kOwner.id) ==
          latest_arrival + timing.MaxHoldFromArrival());
    // It counts as granted for the time of the next grant.
    CHECK(fixture.TakeDueGrants(kStart + milliseconds(799)).empty());
    CHECK(fixture.TakeDueGrants(kStart + milliseconds(800)).size() == 1);
  }
}

TEST_CASE("the outcome of one grant does not end the count of another") {
  const GrantTiming timing;
  GranterFixture fixture;
  fixture.granter.OnTableConfirmed(kService, kStart);
  const auto first = fixture.TakeDueGrants(kStart);
  REQUIRE(first.size() == 1);
  GrantRequest second = first.front();
  SECTION("that was sent to another address") {
    second.address = {"10.0.0.2", 80};
  }
  SECTION("that is the same") {}
  for (const GrantRequest& request : {first.front(), second})
    REQUIRE(fixture.granter.TryBeginSend(kStart, request, kStart) ==
            SendDecision::kSend);
  fixture.granter.OnOutcome(kStart, second, GrantOutcome::kGranted,
                            AnswerProof::kRequestId);
  const Instant later = kStart + milliseconds(1000);
  CHECK(fixture.granter.HoldExpiry(later, kOwner.id) ==
        later + timing.MaxHoldFromArrival());
  fixture.granter.OnOutcome(later, first.front(), GrantOutcome::kUnknown,
                            AnswerProof::kConnectionReset);
  CHECK(fixture.granter.HoldExpiry(later, kOwner.id) ==
        later + timing.MaxHoldFromArrival());
}

// Guards against OWNER: a grant that never left ended the count of an equal one
// that was still under way.
TEST_CASE("a grant that was not sent does not end the count of another") {
  const GrantTiming timing;
  GranterFixture fixture;
  fixture.granter.OnTableConfirmed(kService, kStart);
  const auto due = fixture.TakeDueGrants(kStart);
  REQUIRE(due.size() == 1);
  REQUIRE(fixture.granter.TryBeginSend(kStart, due.front(), kStart) ==
          SendDecision::kSend);
  fixture.granter.OnOutcome(kStart, due.front(), GrantOutcome::kNotSent,
                            AnswerProof::kConnectionReset);
  const Instant later = kStart + milliseconds(1000);
  CHECK(fixture.granter.HoldExpiry(later, kOwner.id) ==
        later + timing.MaxHoldFromArrival());
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

// Guards against OWNER: a target that stood still took a grant after its range
// had moved, while the mover could not reach it to release the range.
TEST_CASE("a member releases a range that left an owner without an answer") {
  GranterFixture fixture;
  fixture.Grant(kStart, GrantOutcome::kUnknown);
  CHECK(fixture.TakeDueReleases(kStart).empty());
  fixture.SetEntry(kOwner, 5, RangePhase::kMoving);
  const auto due = fixture.TakeDueReleases(kStart);
  REQUIRE(due.size() == 1);
  CHECK(due.front().release ==
        ReleaseRequest{{0, 65'535}, kOwner, {"10.0.0.1", 80}, 5});
  CHECK(fixture.TakeDueReleases(kStart + std::chrono::seconds(3)).empty());
  // It is repeated until the owner responds, also after the range is settled.
  fixture.granter.OnReleaseOutcome(kStart, due.front().release,
                                   /*ended=*/false);
  CHECK(fixture.TakeDueReleases(kStart).empty());
  fixture.SetEntry({TargetId("t2"), 1}, 5, RangePhase::kSettled);
  const Instant retried_at = kStart + GrantSendTiming().release_retry_interval;
  CHECK(fixture.TakeDueReleases(retried_at).size() == 1);
  fixture.granter.OnReleaseOutcome(retried_at, due.front().release,
                                   /*ended=*/true);
  CHECK(fixture.TakeDueReleases(retried_at + std::chrono::seconds(3)).empty());
}

TEST_CASE("a member that missed a move releases the range at the new token") {
  GranterFixture fixture;
  fixture.Grant(kStart, GrantOutcome::kUnknown);
  fixture.SetEntry({TargetId("t2"), 1}, 7, RangePhase::kSettled);
  const auto due = fixture.TakeDueReleases(kStart);
  REQUIRE(due.size() == 1);
  CHECK(due.front().release.owner == kOwner);
  CHECK(due.front().release.fence == 7);
}

TEST_CASE("releases of ranges that left an owner are few and end") {
  GranterFixture fixture;
  SECTION("none to an owner that answers") {
    fixture.Grant(kStart, GrantOutcome::kGranted);
    fixture.SetEntry(kOwner, 5, RangePhase::kMoving);
    CHECK(fixture.TakeDueReleases(kStart).empty());
    // Unless it does not respond to the mover.
    fixture.SetEntry(kOwner, 5, RangePhase::kAwaitingReports);
    CHECK(fixture.TakeDueReleases(kStart).size() == 1);
  }
  SECTION("none to an owner that has the range again") {
    fixture.Grant(kStart, GrantOutcome::kUnknown);
    fixture.SetEntry(kOwner, 5, RangePhase::kMoving);
    fixture.SetEntry({kOwner.id, 2}, 5, RangePhase::kSettled);
    CHECK(fixture.TakeDueReleases(kStart).empty());
  }
  SECTION("none after a time") {
    fixture.Grant(kStart, GrantOutcome::kUnknown);
    fixture.SetEntry({TargetId("t2"), 1}, 5, RangePhase::kSettled);
    const auto due = fixture.TakeDueReleases(kStart);
    REQUIRE(due.size() == 1);
    const Instant late = kStart + GrantSendTiming().max_release_time +
                         std::chrono::milliseconds(1);
    fixture.granter.OnReleaseOutcome(late, due.front().release,
                                     /*ended=*/false);
    CHECK(fixture.TakeDueReleases(late + std::chrono::seconds(2)).empty());
  }
}

}  // namespace figstall
