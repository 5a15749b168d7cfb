// Token buckets that limit retries and the use of the link between regions.
#ifndef FIGSTALL_BUDGETS_H_
#define FIGSTALL_BUDGETS_H_

#include <cstdint>
#include <optional>

#include "figstall/records.h"
#include "figstall/types.h"

namespace figstall {

// Limits retries to `ratio` times the number of first attempts, like the retry
// budget of Finagle. `reserve` further retries are allowed at the start, so
// that a router with few requests can retry.
class RetryBudget {
 public:
  RetryBudget(double ratio, double reserve)
      : ratio_(ratio), reserve_(reserve), tokens_(reserve) {}

  void OnFirstAttempt();
  // Takes one retry from the budget; false if none is left.
  bool TryRetry();

 private:
  const double ratio_;
  const double reserve_;
  // Retries available, from zero to ten times the reserve.
  double tokens_;
};

// Token bucket in bytes for the link between regions. The size of an answer is
// known only after it was received, so the balance may become negative.
class LinkBudget {
 public:
  // `bytes_per_second` is this router's share of the link.
  LinkBudget(double bytes_per_second, Duration burst);

  // Whether a request of this lane may use the link now. Bulk needs a balance
  // of at least half the burst, so that it leaves the rest to the other lanes.
  bool MaySend(Instant now, Lane lane);
  void Charge(Instant now, std::uint64_t bytes);

 private:
  void Refill(Instant now);

  const double bytes_per_second_;
  const Duration burst_;
  double balance_bytes_;
  std::optional<Instant> refilled_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_BUDGETS_H_
