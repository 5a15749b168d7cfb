// Tests the retry budget that all routers share.
#include <catch2/catch.hpp>

#include "figstall/shared_retry_budget.h"

namespace figstall {
namespace {

Instant At(int millis) {
  return Instant(std::chrono::seconds(1000) +
                 std::chrono::milliseconds(millis));
}

}  // namespace

// Guards against exceeding the retry budget when half of a service's targets
// lose their responses (answer_lost) and ten routers retry.
TEST_CASE("routers together stay within the budget in every window") {
  const RetryBudgetOptions options;
  constexpr int kRouters = 10;
  std::vector<SharedRetryBudget> budgets(kRouters, SharedRetryBudget(options));
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  for (int millis = 0; millis < 60'000; millis += 10) {
    const int router = millis / 10 % kRouters;
    // A burst of requests in the middle, later a period without any.
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
        return begin <= at && at < begin + options.window;
      });
    };
    // The platform uses the requests of the preceding window if it has more.
    const auto before = std::count_if(
        requests.begin(), requests.end(),
        [&](Instant at) { return begin - options.window <= at && at < begin; });
    const double allowed = options.ratio * static_cast<double>(std::max<long>(
                                               in_window(requests), before)) +
                           options.slack;
    CHECK(static_cast<double>(in_window(retries)) <= allowed);
  }
}

TEST_CASE("a router with few requests may still retry a few times") {
  SharedRetryBudget budget{RetryBudgetOptions{}};
  budget.OnRequest(At(0));
  CHECK(budget.TryRetry(At(0), 10));
  CHECK(budget.TryRetry(At(0), 10));
  int further_retries = 0;
  while (budget.TryRetry(At(0), 10))
    ++further_retries;
  CHECK(further_retries <= 2);
}

}  // namespace figstall
