// Tests the status of a request without a target's response, and the handling
// of response bodies.
#include "figstall/exchange.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

constexpr std::size_t kLong = 10'000'000;

ResponseHead Head(unsigned status) {
  ResponseHead head;
  head.result(status);
  return head;
}

}  // namespace

TEST_CASE("only a request that has not run gets status 503") {
  CHECK(LocalResponseStatus(ExecutionState::kNotRun, false) == 503);
  CHECK(LocalResponseStatus(ExecutionState::kNotRun, true) == 503);
  CHECK(LocalResponseStatus(ExecutionState::kUnknown, false) == 502);
  CHECK(LocalResponseStatus(ExecutionState::kUnknown, true) == 504);
}

TEST_CASE("a short body is buffered whatever the response") {
  ResponseHead sized = Head(200);
  sized.set(boost::beast::http::field::content_length, "1000");
  for (const ResponseHead& head : {Head(200), Head(500), sized})
    CHECK(BodyHandlingFor(head, 1000) == BodyHandling::kBuffer);
}

TEST_CASE("a body of unlimited length is never buffered whole") {
  // This applies to a body that ends with its connection and to that of a
  // server error.
  CHECK(BodyHandlingFor(Head(200), kLong) == BodyHandling::kStream);
  CHECK(BodyHandlingFor(Head(500), kLong) == BodyHandling::kStream);
  ResponseHead refused = Head(503);
  refused.set("Not-Executed", "1");
  CHECK(BodyHandlingFor(refused, 1000) == BodyHandling::kDrop);
  CHECK(BodyHandlingFor(refused, kLong) == BodyHandling::kDrop);
}

}  // namespace figstall
