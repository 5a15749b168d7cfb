// Tests of request ids that run at most once, retries, admission by lane, and
// the budgets for retries and for the link between regions.
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

Answer AnswerWith(Outcome outcome, Reason reason = Reason::kNone) {
  Answer answer;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.body = "first";
  return answer;
}

AtMostOnceRegistry MakeRegistry(std::uint64_t incarnation = 1) {
  return {VmId("e1"), incarnation,
          AtMostOnceRegistry::Limits{seconds(60), 3, 8}};
}

struct BudgetMock {
  MAKE_MOCK0(TakeRetry, bool());
};

RetryController MakeController(bool idempotent, BudgetMock& budget) {
  return {idempotent, At(1000), RetryPolicy{},
          [&budget] { return budget.TakeRetry(); }};
}

}  // namespace

TEST_CASE("an id runs once and a repeated request gets the first answer") {
  AtMostOnceRegistry registry = MakeRegistry();
  const RequestId id = registry.Issue(At(0));
  CHECK(registry.Begin(At(1), id, 7).verdict == AtMostOnceVerdict::kRun);
  CHECK(registry.Begin(At(2), id, 7).verdict == AtMostOnceVerdict::kInProgress);
  registry.Finish(At(3), id, AnswerWith(Outcome::kAnswered));
  const AtMostOnceDecision repeat = registry.Begin(At(4), id, 7);
  CHECK(repeat.verdict == AtMostOnceVerdict::kRepeat);
  CHECK(repeat.answer.body == "first");
}

TEST_CASE("an id may be used again only if its request did not run") {
  AtMostOnceRegistry registry = MakeRegistry();
  const RequestId id = registry.Issue(At(0));
  CHECK(registry.KnownNotRun(id));
  registry.Begin(At(1), id, 7);
  CHECK_FALSE(registry.KnownNotRun(id));
  SECTION("not run") {
    registry.Finish(At(2), id, AnswerWith(Outcome::kNotRun));
    CHECK(registry.KnownNotRun(id));
    CHECK(registry.Begin(At(3), id, 7).verdict == AtMostOnceVerdict::kRun);
  }
  SECTION("unknown") {
    registry.Finish(At(2), id, AnswerWith(Outcome::kUnknown));
    CHECK(registry.Begin(At(3), id, 7).verdict == AtMostOnceVerdict::kExpired);
  }
}

TEST_CASE("an id that is foreign, never issued or expired does not run") {
  AtMostOnceRegistry registry = MakeRegistry(2);
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

TEST_CASE("an id that was used for another request is refused") {
  AtMostOnceRegistry registry = MakeRegistry();
  const RequestId id = registry.Issue(At(0));
  registry.Begin(At(1), id, 7);
  CHECK(registry.Begin(At(2), id, 8).verdict == AtMostOnceVerdict::kReused);
}

TEST_CASE("ids and answers are bounded, and a dropped one never runs again") {
  AtMostOnceRegistry registry = MakeRegistry();
  const RequestId first = registry.Issue(At(0));
  const RequestId second = registry.Issue(At(0));
  for (const RequestId& id : {first, second}) {
    registry.Begin(At(1), id, 7);
    registry.Finish(At(2), id, AnswerWith(Outcome::kAnswered));
  }
  CHECK(registry.Begin(At(3), first, 7).verdict == AtMostOnceVerdict::kExpired);
  CHECK(registry.Begin(At(3), second, 7).verdict == AtMostOnceVerdict::kRepeat);
  for (int i = 0; i < 10; ++i)
    registry.Issue(At(4));
  CHECK(registry.size() == 3);
  CHECK(registry.Begin(At(5), second, 7).verdict ==
        AtMostOnceVerdict::kExpired);
}

TEST_CASE("request ids are parsed back and malformed ones are rejected") {
  const RequestId id{VmId("a.b"), 255, 12};
  CHECK(RequestId::Parse(id.ToString()) == id);
  for (const char* text : {"", ".", "..", "a.1", "a.x.1", "a.1.", "a.1.-1",
                           ".1.1", "a.1.99999999999999999999"})
    CHECK_FALSE(RequestId::Parse(text));
}

TEST_CASE("a non-idempotent request is not retried after an unknown outcome") {
  BudgetMock budget;
  RetryController controller = MakeController(/*idempotent=*/false, budget);
  const RetryDecision decision = controller.OnAttempt(
      At(0), AnswerWith(Outcome::kUnknown, Reason::kTargetSilent));
  CHECK(decision.verdict == RetryVerdict::kFinish);
  CHECK(decision.answer.outcome == Outcome::kUnknown);
}

TEST_CASE("a retry needs retry budget and time before the deadline") {
  BudgetMock budget;
  RetryController controller = MakeController(/*idempotent=*/true, budget);
  const Answer refused = AnswerWith(Outcome::kNotRun, Reason::kTargetRefused);
  SECTION("granted") {
    REQUIRE_CALL(budget, TakeRetry()).RETURN(true);
    CHECK(controller.OnAttempt(At(0), refused).verdict == RetryVerdict::kRetry);
  }
  SECTION("budget spent") {
    REQUIRE_CALL(budget, TakeRetry()).RETURN(false);
    CHECK(controller.OnAttempt(At(0), refused).verdict ==
          RetryVerdict::kFinish);
  }
  SECTION("too late") {
    CHECK(controller.OnAttempt(At(995), refused).verdict ==
          RetryVerdict::kFinish);
  }
  SECTION("waiting for an owner takes no retry budget") {
    const Answer no_owner = AnswerWith(Outcome::kNotRun, Reason::kNoOwner);
    CHECK(controller.OnAttempt(At(0), no_owner).verdict ==
          RetryVerdict::kRetry);
  }
}

TEST_CASE("a refusal after an unknown attempt is reported as unknown") {
  BudgetMock budget;
  ALLOW_CALL(budget, TakeRetry()).RETURN(true);
  RetryController controller = MakeController(/*idempotent=*/true, budget);
  controller.OnAttempt(At(0),
                       AnswerWith(Outcome::kUnknown, Reason::kTargetSilent));
  const RetryDecision last = controller.OnAttempt(
      At(999), AnswerWith(Outcome::kNotRun, Reason::kDeadline));
  CHECK(last.answer.outcome == Outcome::kUnknown);
}

TEST_CASE("only idempotent non-bulk requests keep time for another attempt") {
  Request request;
  request.deadline = At(2000);
  CHECK(AttemptTimeout(request, At(0)) == seconds(2));
  request.idempotent = true;
  CHECK(AttemptTimeout(request, At(0)) == seconds(1));
  request.lane = Lane::kBulk;
  CHECK(AttemptTimeout(request, At(0)) == seconds(2));
}

TEST_CASE("bulk and enquiries each keep their reserved slots") {
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

TEST_CASE("a full queue refuses and a released slot admits a waiting request") {
  Admission admission(AdmissionLimits::ForSlots(1, 1));
  CHECK(admission.TryAdmit(1, Lane::kOrder) == AdmissionVerdict::kAdmitted);
  CHECK(admission.TryAdmit(2, Lane::kOrder) == AdmissionVerdict::kQueued);
  CHECK(admission.TryAdmit(3, Lane::kOrder) == AdmissionVerdict::kRefused);
  CHECK(admission.Release(Lane::kOrder) == std::vector<Ticket>{2});
  CHECK_FALSE(admission.CancelWaiting(2, Lane::kOrder));
}

TEST_CASE("retries are limited to a share of first attempts") {
  RetryBudget budget(0.1, 2);
  CHECK(budget.TryRetry());
  CHECK(budget.TryRetry());
  CHECK_FALSE(budget.TryRetry());
  for (int i = 0; i < 11; ++i)
    budget.OnFirstAttempt();
  CHECK(budget.TryRetry());
  CHECK_FALSE(budget.TryRetry());
}

TEST_CASE("bulk stops using the link while enquiries may still use it") {
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
