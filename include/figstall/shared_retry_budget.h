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
  // Retries that each request pays for, as a fraction of `ratio`. The requests
  // of a window and those before it may both pay for retries in the window, and
  // the platform counts those of one window only.
  double payment_share = 0.5;
  // A request pays only for retries within this fraction of the window. The
  // rest is a margin for the time that requests and retries are on their way.
  double payment_validity = 0.9;
  // Fraction of the slack that routers use. The rest is a margin for members
  // that have not seen each other yet.
  double slack_share = 0.8;
};

// What a decision about a retry was based on, for the log.
struct RetryDecisionBasis {
  bool allowed = false;
  // Retries paid for by requests and not used yet, before the decision.
  double paid = 0;
  // Part of the slack that this router may use in a window, and has used.
  double slack_allowed = 0;
  double slack_used = 0;
};

// Retry budget of one service. Every retry is paid for by requests that this
// router has received, and each request pays once. So the retries of all
// routers are bounded by the requests of all routers, whatever the number of
// routers, what they know of each other, and who restarts.
//
// Only the slack is divided among the routers, which a router takes part in
// after it has been a member for a whole window.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBudgetOptions options) : options_(options) {}

  void OnRequest(Instant now);
  // Consumes one retry if the budget allows it. `slack_fraction` is this
  // router's fraction of the slack, zero if it may use none.
  RetryDecisionBasis TryRetry(Instant now, double slack_fraction);

 private:
  // Millionths of a retry, so that sums are exact.
  using Micros = std::int64_t;
  // An amount of retries, and when it was earned or used.
  struct Amount {
    Instant at;
    Micros retries = 0;
  };

  void DropExpired(Instant now);

  const RetryBudgetOptions options_;
  // Payments not used up yet, oldest first.
  std::deque<Amount> payments_;
  Micros paid_ = 0;
  std::deque<Amount> slack_uses_;
  Micros slack_used_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_SHARED_RETRY_BUDGET_H_
