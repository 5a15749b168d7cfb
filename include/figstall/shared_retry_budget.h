// Limits the retries of one router so that all routers together stay within the
// operator's budget in every time window. Performs no I/O.
#ifndef FIGSTALL_SHARED_RETRY_BUDGET_H_
#define FIGSTALL_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "figstall/types.h"

namespace figstall {

struct RetryBudgetOptions {
  // Retries allowed per request of the window. Source: the platform's bounds.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  // Additional retries per window for all routers together.
  double slack = 60;
  // Fraction of the budget that routers use. The rest is a margin, since the
  // platform's windows begin at other instants than a router's.
  double budget_share = 0.8;
};

// What a decision about a retry was based on, for the log.
struct RetryDecisionBasis {
  bool allowed = false;
  // Requests and retries of the window, and the highest number of retries.
  std::size_t requests = 0;
  std::size_t used = 0;
  double limit = 0;
};

// Retry budget of one service.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBudgetOptions options) : options_(options) {}

  void OnRequest(Instant now);
  // Consumes one retry, unless the share of this router, one of `routers`, is
  // used up.
  RetryDecisionBasis TryRetry(Instant now, std::uint32_t routers);

 private:
  void DropExpired(Instant now);

  const RetryBudgetOptions options_;
  std::deque<Instant> requests_;
  std::deque<Instant> retries_;
};

}  // namespace figstall

#endif  // FIGSTALL_SHARED_RETRY_BUDGET_H_
