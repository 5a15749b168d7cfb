// Tests what ends an operation.
#include "figstall/pending_operation.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <stdexcept>

namespace figstall {
namespace {

// Hands a handler over, or fails to.
void Start(bool fails,
           std::function<void()>& kept,
           const std::function<void()>& handler) {
  if (fails)
    throw std::runtime_error("cannot encode");
  kept = handler;
}

}  // namespace

TEST_CASE("an operation is in progress until its handler ends it") {
  PendingOperation operation;
  CHECK_FALSE(operation.in_progress());
  std::function<void()> handler;
  Start(false, handler, [handle = operation.Begin()] { handle.End(); });
  CHECK(operation.in_progress());
  handler();
  CHECK_FALSE(operation.in_progress());
}

// Guards against a flag that an exception leaves set: nothing was written for
// the service any more (review/8).
TEST_CASE("an operation that cannot start or loses its handler has ended") {
  PendingOperation operation;
  std::function<void()> handler;
  SECTION("an exception before it starts") {
    CHECK_THROWS(Start(true, handler, [handle = operation.Begin()] {}));
  }
  SECTION("a handler that is destroyed") {
    Start(false, handler, [handle = operation.Begin()] {});
    CHECK(operation.in_progress());
    handler = nullptr;
  }
  CHECK_FALSE(operation.in_progress());
}

TEST_CASE("the end of an earlier operation does not end a later one") {
  PendingOperation operation;
  const auto earlier = operation.Begin();
  const auto later = operation.Begin();
  earlier.End();
  CHECK(operation.in_progress());
  later.End();
  CHECK_FALSE(operation.in_progress());
}

}  // namespace figstall
