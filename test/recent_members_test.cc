// Which members count while their list is disturbed.
#include "figstall/recent_members.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

using Members = std::map<VmId, ZoneId>;

Members First(int count) {
  Members members;
  for (int i = 0; i < count; ++i)
    members[VmId("m-" + std::to_string(i))] = ZoneId("z");
  return members;
}

Instant At(int ms) {
  return Instant{std::chrono::milliseconds(100'000 + ms)};
}

}  // namespace

// Guards against members that each issue credits by themselves since the leases
// of all have lapsed.
TEST_CASE("members that vanish together count for a moment") {
  RecentMembers members;
  CHECK(members.Update(At(0), First(8)) == First(8));
  // In two updates.
  CHECK(members.Update(At(100), First(4)) == First(4));
  CHECK(members.Update(At(150), First(1)) == First(8));
  CHECK_FALSE(members.settled());
  // Most have joined again.
  CHECK(members.Update(At(400), First(6)) == First(6));
  CHECK(members.settled());
  CHECK(members.Update(At(500), {}) == First(8));
  // A member that is gone for good does not count for long.
  CHECK(members.Update(At(2100), {}) == First(6));
  CHECK(members.Update(At(2400), {}).empty());
  CHECK(members.settled());
}

// Guards against a lost issuer that is asked for longer than it is listed.
TEST_CASE("a member that is removed alone counts no more") {
  RecentMembers members;
  members.Update(At(0), First(3));
  CHECK(members.Update(At(10), First(2)) == First(2));
  CHECK(members.settled());
}

}  // namespace figstall
