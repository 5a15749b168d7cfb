// The retry budget that all routers share.
#include <catch2/catch.hpp>

#include "figstall/shared_retry_budget.h"

namespace figstall {
namespace {

Instant At(int millis) {
  return Instant(std::chrono::seconds(1000) +
                 std::chrono::milliseconds(millis));
}

}  // namespace

// Load: answer_lost on half of a service's targets, ten routers.
TEST_CASE("routers together stay within the budget in every window") {
  const RetryBudgetOptions allowance;
  constexpr int kRouters = 10;
  std::vector<SharedRetryBudget> budgets(kRouters,
                                         SharedRetryBudget(allowance));
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  for (int millis = 0; millis < 60'000; millis += 10) {
    const int router = millis / 10 % kRouters;
    // A burst in the middle, then silence.
    const int count = millis > 20'000 && millis < 25'000   ? 5
                      : millis > 40'000 && millis < 52'000 ? 0
                                                           : 1;
    for (int i = 0; i < count; ++i) {
      budgets[router].OnRequest(At(millis));
      requests.push_back(At(millis));
    }
    if (budgets[router].TryRetry(At(millis), kRouters))
      retries.push_back(At(millis));
  }
  CHECK(retries.size() > 500);
  for (const Instant& begin : retries) {
    const auto in_window = [&](const std::vector<Instant>& times) {
      return std::count_if(times.begin(), times.end(), [&](Instant at) {
        return begin <= at && at < begin + allowance.window;
      });
    };
    // The platform counts the window before as well where that has more.
    const auto before =
        std::count_if(requests.begin(), requests.end(), [&](Instant at) {
          return begin - allowance.window <= at && at < begin;
        });
    const double allowed = allowance.ratio * static_cast<double>(std::max<long>(
                                                 in_window(requests), before)) +
                           allowance.slack;
    CHECK(static_cast<double>(in_window(retries)) <= allowed);
  }
}

TEST_CASE("a quiet router may retry a little") {
  SharedRetryBudget budget{RetryBudgetOptions{}};
  budget.OnRequest(At(0));
  CHECK(budget.TryRetry(At(0), 10));
  CHECK(budget.TryRetry(At(0), 10));
  int more = 0;
  while (budget.TryRetry(At(0), 10))
    ++more;
  CHECK(more <= 2);
}

}  // namespace figstall
