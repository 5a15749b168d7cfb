// Tests when all ranges of a service without a table may be assigned anew, by
// the decision alone.
#include "figstall/first_assignment.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("accounts");
const Instant kStart{seconds(1000)};

// A process that started after the system did and knows the members since
// `kStart`.
struct Mover {
  FirstAssignmentInput input;
  MemberReports members;
  GrantTiming timing;

  Mover() { input.members_known_since = kStart; }
  std::optional<FirstAssignmentBasis> At(Instant now) {
    input.now = now;
    input.members = &members;
    return MayAssignAnew(kService, input, timing);
  }
  // When all grants by tables that this process does not know have expired.
  Instant GrantsEnd(Instant since) const {
    return since + timing.membership_lease_duration + timing.MaxHoldFromSend();
  }
};

}  // namespace

TEST_CASE("a process that began with the system assigns ranges at once") {
  Mover mover;
  mover.input.first_start = true;
  CHECK(mover.At(kStart) == FirstAssignmentBasis::kFirstStart);
}

// Guards against OWNER (soak seed 51): a process that started after the store
// had lost the first table assigned all ranges while grants by it lasted.
TEST_CASE("a process that started later waits for grants that it cannot know") {
  Mover mover;
  CHECK_FALSE(mover.At(kStart + milliseconds(1300)));
  CHECK_FALSE(mover.At(mover.GrantsEnd(kStart) - milliseconds(1)));
  CHECK(mover.At(mover.GrantsEnd(kStart)) ==
        FirstAssignmentBasis::kKnownToNone);
}

// Guards against a wait for each keyed service that a desired state adds.
TEST_CASE("a service added later does not wait in a process that knows all") {
  Mover mover;
  CHECK(mover.At(kStart + seconds(600)) == FirstAssignmentBasis::kKnownToNone);
}

// Guards against OWNER: a process that had run for long assigned all ranges
// right after the store had lost a table that it had not seen.
TEST_CASE("the wait for unknown grants counts from the store's return") {
  Mover mover;
  const Instant restored_at = kStart + seconds(600);
  mover.input.restored_at = restored_at;
  mover.input.earlier_table_exists = true;
  CHECK_FALSE(mover.At(restored_at + milliseconds(1300)));
  CHECK_FALSE(mover.At(mover.GrantsEnd(restored_at) - milliseconds(1)));
  CHECK(mover.At(mover.GrantsEnd(restored_at)) ==
        FirstAssignmentBasis::kWaited);
}

// Guards against OWNER: a member that knew the table joined after the store's
// return, granted by it, and left before the mover assigned all ranges.
TEST_CASE("a departed member that named a table is waited for") {
  Mover mover;
  const Instant departed_at = kStart + seconds(9);
  mover.members["m1#a"].seen_fence[kService] = 7;
  CHECK_FALSE(mover.At(kStart + seconds(600)));
  mover.members["m1#a"].departed_at = departed_at;
  const Instant grants_end = mover.GrantsEnd(departed_at);
  CHECK(grants_end > mover.GrantsEnd(kStart));
  CHECK_FALSE(mover.At(grants_end - milliseconds(1)));
  CHECK(mover.At(grants_end) == FirstAssignmentBasis::kWaited);
}

TEST_CASE("a table of another service delays no first assignment") {
  Mover mover;
  mover.members["m1#a"].seen_fence[ServiceId("orders")] = 7;
  CHECK(mover.At(kStart + seconds(600)) == FirstAssignmentBasis::kKnownToNone);
}

// Guards against OWNER: a member joined again, granted by an earlier table and
// left between two updates of the mover's copy of the store.
TEST_CASE("a member that joined again and left unseen is waited for") {
  Mover mover;
  const Instant seen_at = kStart + seconds(9);
  mover.input.rejoin_seen_at = seen_at;
  const Instant grants_end = mover.GrantsEnd(seen_at);
  CHECK(grants_end > mover.GrantsEnd(kStart));
  CHECK_FALSE(mover.At(grants_end - milliseconds(1)));
  CHECK(mover.At(grants_end) == FirstAssignmentBasis::kKnownToNone);
}

// Guards against OWNER: a member that knew a newer table granted by it, and the
// tables were continued from an older one once it had left.
TEST_CASE("tables are continued once grants of departed members have expired") {
  const GrantTiming timing;
  MemberReports members;
  MemberReport& member = members["m1#a"];
  CHECK_FALSE(DepartedMembersMayHold(kStart, members, timing));
  member.departed_at = kStart;
  const Instant lease_end = kStart + timing.membership_lease_duration;
  const Instant expiry = lease_end + timing.MaxHoldFromSend();
  CHECK(DepartedMembersMayHold(expiry - milliseconds(1), members, timing));
  CHECK_FALSE(DepartedMembersMayHold(expiry, members, timing));
  member.grants_ended = true;
  member.holds_until[TargetId("t1")] = kStart + seconds(2);
  CHECK(DepartedMembersMayHold(kStart + seconds(1), members, timing));
  CHECK_FALSE(DepartedMembersMayHold(kStart + seconds(2), members, timing));
}

}  // namespace figstall
