// Tests the retry budget that all routers share.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

#include "figstall/member_counts.h"
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
  // Whether the process's own membership is valid from now on.
  void SetMember(int process, bool valid) {
    processes_[process].is_member = valid;
  }
  void Restart(int process) { Restart(processes_[process]); }
  void SetRequestsPerSecond(int process, double rate) {
    processes_[process].requests_per_second = rate;
  }
  // Retries from now on arrive this much later.
  void SetTransitMillis(int millis) { transit_millis_ = millis; }
  // Advances by one step. Retries only if `retrying`.
  void Step(bool retrying) {
    now_millis_ += kStepMillis;
    const Instant now = At(now_millis_);
    for (Process& process : processes_) {
      process.members->Record(
          now, {{ZoneId("z1"), process.seen}},
          process.is_member ? now + std::chrono::seconds(6) : Instant{});
      process.due_requests += process.requests_per_second * kStepMillis / 1000;
      for (; process.due_requests >= 1; --process.due_requests) {
        process.budget->OnRequest(now);
        requests_.push_back(now);
      }
      while (retrying &&
             process.budget
                 ->TryRetry(now, process.members->FractionOfFixedSum(
                                     now, options_.window))
                 .allowed)
        retries_.push_back(now + std::chrono::milliseconds(transit_millis_));
    }
  }
  int now_millis() const { return now_millis_; }
  std::size_t retries() const { return retries_.size(); }
  // The largest number of retries over what the platform allows in any window.
  // The platform takes the requests of the window, of the one before, or of the
  // one that begins half a window before, whichever are most.
  double MaxExcess() {
    double excess = -options_.slack;
    std::sort(retries_.begin(), retries_.end());
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
    std::optional<MemberCounts> members;
    bool is_member = true;
    std::uint32_t seen = 1;
    double requests_per_second = 20;
    double due_requests = 0;
  };

  void Restart(Process& process) {
    process.budget.emplace(options_);
    process.members.emplace();
  }
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
  int transit_millis_ = 0;
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
    if (budgets[router].TryRetry(At(millis), 1.0 / kRouters).allowed)
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
  CHECK(budget.TryRetry(At(0), 1.0 / 10).allowed);
  CHECK(budget.TryRetry(At(0), 1.0 / 10).allowed);
  int further_retries = 0;
  while (budget.TryRetry(At(0), 1.0 / 10).allowed)
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
      for (int each = 0; each < processes.count(); ++each) {
        processes.SetSeen(each, seen);
        processes.SetMember(each, millis > 0);
      }
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
        processes.SetMember(each, millis >= 1000);
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
        if (millis >= 6000)
          processes.SetMember(each, millis > 12'000 || (!cut_off && !joins));
        processes.SetSeen(each, millis > 12'000 ? processes.count()
                                : joins         ? 1
                                : cut_off       ? processes.count()
                                : millis > 6000 ? processes.count() / 3
                                                : processes.count());
      }
    });
  }
}

// Guards against a budget of which half stays unused. On a day of contention,
// 24,600 retries were refused while half of what the rule allows was free: each
// request paid for one retry only, and it counts in two windows.
TEST_CASE("steady requests may use four fifths of the retry budget") {
  RetryBudgetOptions options;
  options.slack = 0;
  RetryingProcesses processes(72, options);
  while (processes.now_millis() < 60'000)
    processes.Step(true);
  CHECK(processes.MaxExcess() <= 0);
  constexpr double kRequests = 72 * 20 * 60;
  CHECK(static_cast<double>(processes.retries()) >
        0.8 * options.ratio * kRequests);
}

// Guards against BUDGET: bursts of requests that end, move to other members or
// return after most of a window, while retries come late and members restart.
// Without slack, so that nothing hides an excess.
TEST_CASE("payments alone keep the bound under random bursts and delays") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RetryBudgetOptions options;
    options.slack = 0;
    std::mt19937_64 random(seed);
    constexpr int kCount = 8;
    RetryingProcesses processes(kCount, options);
    bool retrying = false;
    while (processes.now_millis() < 60'000) {
      for (int each = 0; each < kCount; ++each) {
        if (random() % 300 == 0)
          processes.SetRequestsPerSecond(
              each,
              random() % 2 == 0 ? 0 : static_cast<double>(random() % 300));
        if (random() % 3000 == 0)
          processes.Restart(each);
      }
      if (random() % 200 == 0)
        retrying = !retrying;
      if (random() % 500 == 0)
        processes.SetTransitMillis(random() % 2 == 0 ? 0 : 1000);
      processes.Step(retrying);
    }
    CAPTURE(seed, processes.retries());
    CHECK(processes.retries() > 100);
    CHECK(processes.MaxExcess() <= 0);
  }
}

// Guards against BUDGET: members join, restart, lapse together and are cut off
// in series that overlap, while the demand for retries comes and goes.
TEST_CASE("retries stay within the budget under random disruptions") {
  for (const int count : kMemberCounts) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(seed);
      std::mt19937_64 random(seed);
      std::vector<int> cut_off_until(count, 0);
      int lapsed_until = 0;
      CheckBudgetHolds(count, [&](RetryingProcesses& processes, int millis) {
        if (random() % 300 == 0)
          lapsed_until = millis + static_cast<int>(random() % 3000);
        const bool mass_restart = random() % 400 == 0;
        for (int each = 0; each < count; ++each) {
          if (random() % 1500 == 0)
            cut_off_until[each] = millis + static_cast<int>(random() % 15'000);
          if (random() % 1500 == 0 || (mass_restart && random() % 3 > 0))
            processes.Restart(each);
          if (random() % 1500 == 0)
            processes.SetRequestsPerSecond(each,
                                           static_cast<double>(random() % 60));
          const bool out =
              millis < lapsed_until || millis < cut_off_until[each];
          processes.SetMember(each, !out);
          processes.SetSeen(
              each, out ? 1 + static_cast<int>(random() % count) : count);
        }
      });
    }
  }
}

TEST_CASE("members that disappear still count for the retention") {
  MemberCounts counts(std::chrono::seconds(30));
  const ZoneId zone("z1");
  CHECK(counts.total() == 1);
  CHECK(counts.InZone(zone) == 1);
  counts.Record(At(0), {{zone, 12}, {ZoneId("z2"), 5}}, At(6000));
  counts.Record(At(1000), {{zone, 1}}, At(6000));
  CHECK(counts.total() == 17);
  CHECK(counts.InZone(zone) == 12);
  CHECK(counts.InZone(ZoneId("z2")) == 5);
  counts.Record(At(20'000), {{zone, 4}}, At(26'000));
  CHECK(counts.total() == 17);
  counts.Record(At(31'000), {{zone, 2}}, At(36'000));
  CHECK(counts.total() == 4);
  CHECK(counts.InZone(ZoneId("z2")) == 1);
}

TEST_CASE("a fraction of a fixed sum needs a whole window of membership") {
  constexpr Duration kWindow = std::chrono::seconds(10);
  MemberCounts counts;
  const std::map<ZoneId, std::uint32_t> members = {{ZoneId("z1"), 4}};
  counts.Record(At(0), members, At(6000));
  counts.Record(At(5000), members, At(11'000));
  CHECK(counts.FractionOfFixedSum(At(9999), kWindow) == 0);
  CHECK(counts.FractionOfFixedSum(At(10'000), kWindow) == 0.25);
  // The lease is over.
  CHECK(counts.FractionOfFixedSum(At(11'000), kWindow) == 0);
  // An interruption begins the window anew.
  counts.Record(At(11'500), members, At(11'000));
  counts.Record(At(12'000), members, At(18'000));
  counts.Record(At(17'000), members, At(23'000));
  CHECK(counts.FractionOfFixedSum(At(21'999), kWindow) == 0);
  CHECK(counts.FractionOfFixedSum(At(22'000), kWindow) == 0.25);
}

}  // namespace figstall
