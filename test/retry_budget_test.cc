// Tests the retry budget that all routers share.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "figstall/shared_retry_budget.h"

namespace figstall {
namespace {

Instant At(int millis) {
  return Instant(std::chrono::seconds(1000) +
                 std::chrono::milliseconds(millis));
}

// Processes on several VMs, each of which retries whenever its budget lets it,
// while callers send requests at a steady rate.
class RetryingProcesses {
 public:
  static constexpr int kStepMillis = 10;

  RetryingProcesses(int count, RetryBudgetOptions options)
      : options_(options), processes_(count) {
    for (Process& process : processes_)
      Restart(process);
  }

  int count() const { return static_cast<int>(processes_.size()); }
  // The process sees this many members from now on.
  void SetSeen(int process, int members) { processes_[process].seen = members; }
  void Restart(int process) { Restart(processes_[process]); }
  void SetRequestsPerSecond(int process, double rate) {
    processes_[process].requests_per_second = rate;
  }
  // Advances by one step. Retries only if `retrying`.
  void Step(bool retrying) {
    now_millis_ += kStepMillis;
    const Instant now = At(now_millis_);
    for (Process& process : processes_) {
      process.due_requests += process.requests_per_second * kStepMillis / 1000;
      for (; process.due_requests >= 1; --process.due_requests) {
        process.budget->OnRequest(now);
        requests_.push_back(now);
      }
      while (retrying && process.budget->TryRetry(now, process.seen).allowed)
        retries_.push_back(now);
    }
  }
  int now_millis() const { return now_millis_; }
  std::size_t retries() const { return retries_.size(); }
  // The largest number of retries over what the platform allows in any window.
  // The platform takes the requests of the window, of the one before, or of the
  // one that begins half a window before, whichever are most.
  double MaxExcess() const {
    double excess = -options_.slack;
    for (std::size_t i = 0; i < retries_.size(); ++i) {
      if (i > 0 && retries_[i] == retries_[i - 1])
        continue;
      const Instant begin = retries_[i];
      const auto requests_from = [&](Instant from) {
        return static_cast<double>(
            CountIn(requests_, from, from + options_.window));
      };
      const double requests = std::max(
          {requests_from(begin), requests_from(begin - options_.window / 2),
           requests_from(begin - options_.window)});
      excess = std::max(excess, static_cast<double>(CountIn(
                                    retries_, begin, begin + options_.window)) -
                                    options_.ratio * requests - options_.slack);
    }
    return excess;
  }

 private:
  struct Process {
    std::optional<SharedRetryBudget> budget;
    int seen = 1;
    double requests_per_second = 20;
    double due_requests = 0;
  };

  void Restart(Process& process) { process.budget.emplace(options_); }
  // `times` is sorted.
  static std::ptrdiff_t CountIn(const std::vector<Instant>& times,
                                Instant from,
                                Instant to) {
    return std::lower_bound(times.begin(), times.end(), to) -
           std::lower_bound(times.begin(), times.end(), from);
  }

  const RetryBudgetOptions options_;
  std::vector<Process> processes_;
  int now_millis_ = 0;
  std::vector<Instant> requests_;
  std::vector<Instant> retries_;
};

// Runs `count` processes for 40 s. `disrupt` is called before each step from
// 15 s on, half a second after the first retry.
template <typename Disrupt>
void CheckBudgetHolds(int count, Disrupt disrupt) {
  RetryBudgetOptions options;
  options.slack = 2.6 * count;
  RetryingProcesses processes(count, options);
  for (int each = 0; each < count; ++each)
    processes.SetSeen(each, count);
  while (processes.now_millis() < 40'000) {
    if (processes.now_millis() >= 15'000)
      disrupt(processes, processes.now_millis() - 15'000);
    processes.Step(processes.now_millis() >= 14'500);
  }
  CAPTURE(count, processes.retries());
  CHECK(processes.retries() > 100);
  CHECK(processes.MaxExcess() <= 0);
}

constexpr int kMemberCounts[] = {12, 67};

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
    if (budgets[router].TryRetry(At(millis), kRouters).allowed)
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
  CHECK(budget.TryRetry(At(0), 10).allowed);
  CHECK(budget.TryRetry(At(0), 10).allowed);
  int further_retries = 0;
  while (budget.TryRetry(At(0), 10).allowed)
    ++further_retries;
  CHECK(further_retries <= 2);
}

// Guards against BUDGET: members whose leases lapse together each take the
// whole slack for themselves, since they see no other members.
TEST_CASE("retries stay within the budget while all memberships lapse") {
  for (const int count : kMemberCounts) {
    CheckBudgetHolds(count, [](RetryingProcesses& processes, int millis) {
      // They rejoin one after the other within two seconds.
      const int seen =
          std::clamp(processes.count() * millis / 2000, 1, processes.count());
      for (int each = 0; each < processes.count(); ++each)
        processes.SetSeen(each, seen);
    });
  }
}

// Guards against BUDGET: processes that start again forget their retries.
TEST_CASE("retries stay within the budget while all processes restart") {
  for (const int count : kMemberCounts) {
    CheckBudgetHolds(count, [](RetryingProcesses& processes, int millis) {
      // Twice at the same moment, and once in turn between.
      const bool all = millis == 0 || millis == 6000;
      for (int each = 0; each < processes.count(); ++each) {
        if (all || millis == 2000 + 50 * each)
          processes.Restart(each);
      }
    });
  }
}

// Guards against BUDGET: processes that start while no membership is valid
// forget their retries and see no members.
TEST_CASE("retries stay within the budget after a restart without members") {
  for (const int count : kMemberCounts) {
    CheckBudgetHolds(count, [](RetryingProcesses& processes, int millis) {
      for (int each = 0; each < processes.count(); ++each) {
        if (millis == 0)
          processes.Restart(each);
        processes.SetSeen(each, millis < 3000 ? 1 : processes.count());
      }
    });
  }
}

// Guards against BUDGET: callers move to other members, which then retry as
// well as those that they left.
TEST_CASE("retries stay within the budget while callers change members") {
  for (const int count : kMemberCounts) {
    CheckBudgetHolds(count, [](RetryingProcesses& processes, int millis) {
      for (int each = 0; each < processes.count(); ++each) {
        // All callers alternate between two halves of the members.
        const bool serving = (each % 2 == 0) == (millis / 5000 % 2 == 0);
        processes.SetRequestsPerSecond(each, serving ? 40 : 0);
      }
    });
  }
}

// Guards against BUDGET: members that are cut off and members that join do not
// see each other.
TEST_CASE("retries stay within the budget with members cut off and new ones") {
  for (const int count : kMemberCounts) {
    CheckBudgetHolds(count, [](RetryingProcesses& processes, int millis) {
      // A third is cut off; the others see them leave six seconds later.
      // Another third starts while it is cut off.
      for (int each = 0; each < processes.count(); ++each) {
        const bool cut_off = each % 3 == 0;
        const bool joins = each % 3 == 1;
        if (joins && millis == 3000)
          processes.Restart(each);
        processes.SetSeen(each, millis > 12'000 ? processes.count()
                                : joins         ? 1
                                : cut_off       ? processes.count()
                                : millis > 6000 ? processes.count() / 3
                                                : processes.count());
      }
    });
  }
}

}  // namespace figstall
