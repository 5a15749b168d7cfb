// Tests that entries of a restored store don't undo what is known of targets.
#include "figstall/target_history.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

const TargetId kTarget("t1");

TargetEntry Entry(std::int64_t started_at_ms, std::uint64_t status_number) {
  TargetEntry entry;
  entry.incarnation = {kTarget, started_at_ms};
  entry.status_number = status_number;
  return entry;
}

}  // namespace

// Guards against DRAIN: the copy lists a target as ready that has since said
// that it leaves.
TEST_CASE("an earlier status in a new era is outdated") {
  TargetHistory history;
  CHECK(history.Accept(Entry(100, 7), 1));
  CHECK_FALSE(history.Accept(Entry(100, 6), 2));
  // Another outdated one, since the store may be restored twice.
  CHECK_FALSE(history.Accept(Entry(100, 5), 3));
  CHECK(history.Accept(Entry(100, 7), 3));
  CHECK(history.Accept(Entry(100, 8), 3));
}

TEST_CASE("an earlier incarnation in a new era is outdated") {
  TargetHistory history;
  CHECK(history.Accept(Entry(200, 1), 1));
  CHECK_FALSE(history.Accept(Entry(100, 9), 2));
  CHECK(history.Accept(Entry(300, 1), 2));
}

// Guards against DRAIN: the copy still lists a target that has left since.
TEST_CASE("the last status of a removed target is outdated in a new era") {
  TargetHistory history;
  CHECK(history.Accept(Entry(100, 7), 1));
  history.OnRemoved(kTarget);
  CHECK_FALSE(history.Accept(Entry(100, 7), 2));
  // It reports again, so it is alive.
  CHECK(history.Accept(Entry(100, 8), 2));
}

TEST_CASE("within an era the store's order decides") {
  TargetHistory history;
  CHECK(history.Accept(Entry(200, 5), 1));
  CHECK(history.Accept(Entry(200, 3), 1));
  history.OnRemoved(kTarget);
  CHECK(history.Accept(Entry(200, 3), 1));
}

TEST_CASE("removed targets are forgotten after an era") {
  TargetHistory history;
  CHECK(history.Accept(Entry(100, 7), 1));
  history.OnRemoved(kTarget);
  history.ForgetRemovedBefore(2);
  CHECK(history.Accept(Entry(100, 7), 3));
}

}  // namespace figstall
