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

bool SharedRetryBudget::TryRetry(Instant now, std::uint32_t routers) {
  DropExpired(now);
  const double allowed =
      options_.budget_share *
      (options_.ratio * static_cast<double>(requests_.size()) +
       options_.slack / std::max<std::uint32_t>(1, routers));
  if (static_cast<double>(retries_.size()) + 1 > allowed)
    return false;
  retries_.push_back(now);
  return true;
}

}  // namespace figstall
