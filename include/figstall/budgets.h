// Budgets that refill: one for retries, one for the link between regions.
#ifndef FIGSTALL_BUDGETS_H_
#define FIGSTALL_BUDGETS_H_

#include <cstdint>
#include <optional>

#include "figstall/records.h"
#include "figstall/types.h"

namespace figstall {

// Retries may add at most `ratio` of first attempts, after the retry budget of
// Finagle. The reserve lets a quiet router retry at all.
class RetryBudget {
 public:
  RetryBudget(double ratio, double reserve)
      : ratio_(ratio), reserve_(reserve), tokens_(reserve) {}

  void OnFirstAttempt();
  // Takes one retry; false if the budget is spent.
  bool TryRetry();

 private:
  const double ratio_;
  const double reserve_;
  // Between zero and ten times the reserve.
  double tokens_;
};

// Token bucket in bytes for the link between regions. Sizes of answers are
// known only afterwards, so the balance may go below zero.
class LinkBudget {
 public:
  // `bytes_per_second` is this router's share of the link.
  LinkBudget(double bytes_per_second, Duration burst);

  // Whether a request of this lane may cross now. Bulk needs a balance above
  // half the burst, so that it never takes what enquiries need.
  bool MaySend(Instant now, Lane lane);
  void Charge(Instant now, std::uint64_t bytes);

 private:
  void Refill(Instant now);

  const double rate_;
  const Duration burst_;
  double balance_;
  std::optional<Instant> refilled_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_BUDGETS_H_
