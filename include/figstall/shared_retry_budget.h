// Retries that one router may add, so that all routers together stay within the
// operator's budget in every window of time. Pure decisions.
#ifndef FIGSTALL_SHARED_RETRY_BUDGET_H_
#define FIGSTALL_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "figstall/types.h"

namespace figstall {

struct RetryBudgetOptions {
  // Retries per request of the window. Source: the platform's bounds.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  // Retries beyond that, for all routers together.
  double slack = 60;
  // Share that is used, since the platform's windows begin at other moments.
  double budget_share = 0.8;
};

// One for each service.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBudgetOptions allowance)
      : allowance_(allowance) {}

  void OnRequest(Instant now);
  // Takes one retry; false if this router's share of `routers` is spent.
  bool TryRetry(Instant now, std::uint32_t routers);

 private:
  void DropExpired(Instant now);

  const RetryBudgetOptions allowance_;
  std::deque<Instant> requests_;
  std::deque<Instant> retries_;
};

}  // namespace figstall

#endif  // FIGSTALL_SHARED_RETRY_BUDGET_H_
