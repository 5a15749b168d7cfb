// A sliding window, kept as two queues of timestamps. A router's allowance
// grows with its own requests and includes an equal share of the fixed slack.
#include "figstall/shared_retry_budget.h"

#include <algorithm>

namespace figstall {

void SharedRetryBudget::DropExpired(Instant now) {
  for (std::deque<Instant>* each : {&requests_, &retries_}) {
    while (!each->empty() && now - each->front() >= options_.window)
      each->pop_front();
  }
}

void SharedRetryBudget::OnRequest(Instant now) {
  DropExpired(now);
  requests_.push_back(now);
}

RetryDecisionBasis SharedRetryBudget::TryRetry(Instant now,
                                               std::uint32_t routers) {
  DropExpired(now);
  RetryDecisionBasis basis;
  basis.requests = requests_.size();
  basis.used = retries_.size();
  basis.limit = options_.budget_share *
                (options_.ratio * static_cast<double>(requests_.size()) +
                 options_.slack / std::max<std::uint32_t>(1, routers));
  basis.allowed = static_cast<double>(basis.used) + 1 <= basis.limit;
  if (basis.allowed)
    retries_.push_back(now);
  return basis;
}

}  // namespace figstall
