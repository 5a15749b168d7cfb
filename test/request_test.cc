// Requests: ids that run at most once, outcomes, retries, admission, budgets.
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "figstall/admission.h"
#include "figstall/at_most_once_registry.h"
#include "figstall/budgets.h"
#include "figstall/retry_controller.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Instant At(int millis) {
  return Instant(milliseconds(millis));
}

Answer Ended(Outcome outcome, Reason reason = Reason::kNone) {
  Answer answer;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.body = "first";
  return answer;
}

AtMostOnceRegistry Registry(std::uint64_t run = 1) {
  return {VmId("e1"), run, AtMostOnceRegistry::Limits{seconds(60), 3, 8}};
}

struct BudgetMock {
  MAKE_MOCK0(TakeRetry, bool());
};

RetryController Flow(bool idempotent, BudgetMock& budget) {
  return {idempotent, At(1000), RetryPolicy{},
          [&budget] { return budget.TakeRetry(); }};
}

}  // namespace

TEST_CASE("an id runs once and a repeat gets the first answer") {
  AtMostOnceRegistry registry = Registry();
  const RequestId id = registry.Issue(At(0));
  CHECK(registry.Begin(At(1), id, 7).verdict == AtMostOnceVerdict::kRun);
  CHECK(registry.Begin(At(2), id, 7).verdict == AtMostOnceVerdict::kInProgress);
  registry.Finish(At(3), id, Ended(Outcome::kAnswered));
  const AtMostOnceDecision repeat = registry.Begin(At(4), id, 7);
  CHECK(repeat.verdict == AtMostOnceVerdict::kRepeat);
  CHECK(repeat.answer.body == "first");
}

TEST_CASE("an id may be used again only if nothing ran") {
  AtMostOnceRegistry registry = Registry();
  const RequestId id = registry.Issue(At(0));
  CHECK(registry.KnownNotRun(id));
  registry.Begin(At(1), id, 7);
  CHECK_FALSE(registry.KnownNotRun(id));
  SECTION("not run") {
    registry.Finish(At(2), id, Ended(Outcome::kNotRun));
    CHECK(registry.KnownNotRun(id));
    CHECK(registry.Begin(At(3), id, 7).verdict == AtMostOnceVerdict::kRun);
  }
  SECTION("unknown") {
    registry.Finish(At(2), id, Ended(Outcome::kUnknown));
    CHECK(registry.Begin(At(3), id, 7).verdict == AtMostOnceVerdict::kExpired);
  }
}

TEST_CASE("what a registry cannot know is never run") {
  AtMostOnceRegistry registry = Registry(2);
  const RequestId own = registry.Issue(At(0));
  CHECK(registry.Begin(At(1), {VmId("e1"), 1, 1}, 7).verdict ==
        AtMostOnceVerdict::kOtherIssuer);
  CHECK(registry.Begin(At(1), {VmId("e2"), 2, 1}, 7).verdict ==
        AtMostOnceVerdict::kOtherIssuer);
  CHECK(registry.Begin(At(1), {VmId("e1"), 2, 99}, 7).verdict ==
        AtMostOnceVerdict::kNeverIssued);
  CHECK(registry.Begin(At(61'000), own, 7).verdict ==
        AtMostOnceVerdict::kExpired);
}

TEST_CASE("an id with another request is refused") {
  AtMostOnceRegistry registry = Registry();
  const RequestId id = registry.Issue(At(0));
  registry.Begin(At(1), id, 7);
  CHECK(registry.Begin(At(2), id, 8).verdict == AtMostOnceVerdict::kReused);
}

TEST_CASE("memory for ids and answers is bounded, and forgets safely") {
  AtMostOnceRegistry registry = Registry();
  const RequestId first = registry.Issue(At(0));
  const RequestId second = registry.Issue(At(0));
  for (const RequestId& id : {first, second}) {
    registry.Begin(At(1), id, 7);
    registry.Finish(At(2), id, Ended(Outcome::kAnswered));
  }
  CHECK(registry.Begin(At(3), first, 7).verdict == AtMostOnceVerdict::kExpired);
  CHECK(registry.Begin(At(3), second, 7).verdict == AtMostOnceVerdict::kRepeat);
  for (int i = 0; i < 10; ++i)
    registry.Issue(At(4));
  CHECK(registry.size() == 3);
  CHECK(registry.Begin(At(5), second, 7).verdict ==
        AtMostOnceVerdict::kExpired);
}

TEST_CASE("request ids are read back, and malformed ones are not") {
  const RequestId id{VmId("a.b"), 255, 12};
  CHECK(RequestId::Parse(id.ToString()) == id);
  for (const char* text : {"", ".", "..", "a.1", "a.x.1", "a.1.", "a.1.-1",
                           ".1.1", "a.1.99999999999999999999"})
    CHECK_FALSE(RequestId::Parse(text));
}

TEST_CASE("an order whose outcome is unknown is not tried again") {
  BudgetMock budget;
  RetryController flow = Flow(/*idempotent=*/false, budget);
  const RetryDecision decision =
      flow.OnAttempt(At(0), Ended(Outcome::kUnknown, Reason::kTargetSilent));
  CHECK(decision.verdict == RetryVerdict::kFinish);
  CHECK(decision.answer.outcome == Outcome::kUnknown);
}

TEST_CASE("a retry needs the budget and time") {
  BudgetMock budget;
  RetryController flow = Flow(/*idempotent=*/true, budget);
  const Answer refused = Ended(Outcome::kNotRun, Reason::kTargetRefused);
  SECTION("granted") {
    REQUIRE_CALL(budget, TakeRetry()).RETURN(true);
    CHECK(flow.OnAttempt(At(0), refused).verdict == RetryVerdict::kRetry);
  }
  SECTION("budget spent") {
    REQUIRE_CALL(budget, TakeRetry()).RETURN(false);
    CHECK(flow.OnAttempt(At(0), refused).verdict == RetryVerdict::kFinish);
  }
  SECTION("too late") {
    CHECK(flow.OnAttempt(At(995), refused).verdict == RetryVerdict::kFinish);
  }
  SECTION("waiting for an owner is free") {
    const Answer waiting = Ended(Outcome::kNotRun, Reason::kNoOwner);
    CHECK(flow.OnAttempt(At(0), waiting).verdict == RetryVerdict::kRetry);
  }
}

TEST_CASE("a refusal after an unknown attempt is not called not run") {
  BudgetMock budget;
  ALLOW_CALL(budget, TakeRetry()).RETURN(true);
  RetryController flow = Flow(/*idempotent=*/true, budget);
  flow.OnAttempt(At(0), Ended(Outcome::kUnknown, Reason::kTargetSilent));
  const RetryDecision last =
      flow.OnAttempt(At(999), Ended(Outcome::kNotRun, Reason::kDeadline));
  CHECK(last.answer.outcome == Outcome::kUnknown);
}

TEST_CASE("only idempotent requests keep time for another attempt") {
  Request request;
  request.deadline = At(2000);
  CHECK(AttemptTimeout(request, At(0)) == seconds(2));
  request.idempotent = true;
  CHECK(AttemptTimeout(request, At(0)) == seconds(1));
  request.lane = Lane::kBulk;
  CHECK(AttemptTimeout(request, At(0)) == seconds(2));
}

TEST_CASE("bulk can neither starve enquiries nor be starved") {
  Admission admission(AdmissionLimits::ForSlots(16, 100));
  Ticket ticket = 0;
  const auto fill = [&](Lane lane) {
    int admitted = 0;
    for (int i = 0; i < 40; ++i) {
      if (admission.TryAdmit(++ticket, lane) == AdmissionVerdict::kAdmitted)
        ++admitted;
    }
    return admitted;
  };
  SECTION("bulk first") {
    CHECK(fill(Lane::kBulk) == 8);
    CHECK(fill(Lane::kEnquiry) >= 4);
  }
  SECTION("enquiries first") {
    CHECK(fill(Lane::kEnquiry) == 12);
    CHECK(fill(Lane::kBulk) == 2);
    CHECK(fill(Lane::kOrder) == 2);
  }
}

TEST_CASE("a full queue refuses, and a slot set free admits who waited") {
  Admission admission(AdmissionLimits::ForSlots(1, 1));
  CHECK(admission.TryAdmit(1, Lane::kOrder) == AdmissionVerdict::kAdmitted);
  CHECK(admission.TryAdmit(2, Lane::kOrder) == AdmissionVerdict::kQueued);
  CHECK(admission.TryAdmit(3, Lane::kOrder) == AdmissionVerdict::kRefused);
  CHECK(admission.Release(Lane::kOrder) == std::vector<Ticket>{2});
  CHECK_FALSE(admission.CancelWaiting(2, Lane::kOrder));
}

TEST_CASE("retries are a share of first attempts") {
  RetryBudget budget(0.1, 2);
  CHECK(budget.TryRetry());
  CHECK(budget.TryRetry());
  CHECK_FALSE(budget.TryRetry());
  for (int i = 0; i < 11; ++i)
    budget.OnFirstAttempt();
  CHECK(budget.TryRetry());
  CHECK_FALSE(budget.TryRetry());
}

TEST_CASE("bulk leaves the link to enquiries before it is used up") {
  LinkBudget link(1000, seconds(1));
  CHECK(link.MaySend(At(0), Lane::kBulk));
  link.Charge(At(0), 600);
  CHECK_FALSE(link.MaySend(At(0), Lane::kBulk));
  CHECK(link.MaySend(At(0), Lane::kEnquiry));
  link.Charge(At(0), 600);
  CHECK_FALSE(link.MaySend(At(0), Lane::kEnquiry));
  CHECK(link.MaySend(At(1000), Lane::kBulk));
}

}  // namespace figstall
