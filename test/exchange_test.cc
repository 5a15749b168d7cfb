// What is said of a request that has no answer, and what is kept of one.
#include "figstall/exchange.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

constexpr std::size_t kLong = 10'000'000;

AnswerHead Head(unsigned status) {
  AnswerHead head;
  head.result(status);
  return head;
}

}  // namespace

TEST_CASE("only what has not run is refused as not run") {
  CHECK(OwnStatus(RunState::kNotRun, false) == 503);
  CHECK(OwnStatus(RunState::kNotRun, true) == 503);
  CHECK(OwnStatus(RunState::kUnknown, false) == 502);
  CHECK(OwnStatus(RunState::kUnknown, true) == 504);
}

TEST_CASE("a body is held while it is short, whatever its answer") {
  AnswerHead sized = Head(200);
  sized.set(boost::beast::http::field::content_length, "1000");
  for (const AnswerHead& head : {Head(200), Head(500), sized})
    CHECK(RuleForBody(head, 1000) == BodyRule::kHold);
}

TEST_CASE("a body without end is never gathered in memory") {
  // Neither one that ends with its connection nor that of a failure.
  CHECK(RuleForBody(Head(200), kLong) == BodyRule::kStream);
  CHECK(RuleForBody(Head(500), kLong) == BodyRule::kStream);
  AnswerHead refused = Head(503);
  refused.set("Not-Executed", "1");
  CHECK(RuleForBody(refused, 1000) == BodyRule::kDrop);
  CHECK(RuleForBody(refused, kLong) == BodyRule::kDrop);
}

}  // namespace figstall
