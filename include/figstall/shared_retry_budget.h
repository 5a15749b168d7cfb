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
  // Retries that each request pays for in a window, as a fraction of `ratio`.
  // Both the requests of a window and those before it pay for its retries, and
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
  // Retries paid for by requests and not used yet in any window that contains
  // the time of the decision, before it.
  double paid = 0;
  // Part of the slack that this router may use in a window, and has used.
  double slack_allowed = 0;
  double slack_used = 0;
};

// Retry budget of one service. Invariant: in each window, this router's retries
// are at most `payment_share` x `ratio` times the requests that it has received
// in that window and the one before. The sum over all routers keeps the same
// bound, and half of the requests of two windows are at most those of the
// larger one. So the platform's rule holds whatever the number of routers, what
// they know of each other, who restarts, and which of them the callers use.
//
// A request counts in two windows. If it paid for one retry only, as it once
// did, half of the budget would stay unused while requests arrive steadily.
//
// Only the slack is divided among the routers, which a router takes part in
// after it has been a member for a whole window.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBudgetOptions options);

  void OnRequest(Instant now);
  // Consumes one retry if the budget allows it. `slack_fraction` is this
  // router's fraction of the slack, zero if it may use none.
  RetryDecisionBasis TryRetry(Instant now, double slack_fraction);

 private:
  // Millionths of a retry, so that sums are exact.
  using Micros = std::int64_t;
  // An amount of retries, and when it was used.
  struct Amount {
    Instant at;
    Micros retries = 0;
  };
  // The start of a window, at a retry. `surplus`: all retries before it minus
  // the payments of the requests that had expired by then. The retries from it
  // on are within the bound if `used_` - `surplus` <= `earned_`.
  struct WindowStart {
    Instant at;
    Micros surplus = 0;
  };

  void DropExpired(Instant now);
  // What payments allow in each window that has not ended.
  Micros Paid() const;

  const RetryBudgetOptions options_;
  const Micros payment_;
  // Requests that have not expired, oldest first.
  std::deque<Instant> requests_;
  // Sums over the life of the process: payments of all requests, of those that
  // have expired, and retries that payments were used for.
  Micros earned_ = 0;
  Micros expired_ = 0;
  Micros used_ = 0;
  // Windows that have not ended and whose bound may be the lowest one, by
  // ascending time and strictly ascending surplus.
  std::deque<WindowStart> starts_;
  std::deque<Amount> slack_uses_;
  Micros slack_used_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_SHARED_RETRY_BUDGET_H_
