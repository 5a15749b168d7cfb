// Compares ways to choose among targets that state their load, in virtual time.
// Hidden: figstall-test "[.balancing]" prints the table of
// docs/design/even-load.md. Entries hear what each target states at intervals
// of twice the view's age, or only in the responses to their own requests.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "figstall/target_load.h"
#include "virtual_time.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kTargets = 40;
constexpr std::uint32_t kSlots = 4;
constexpr std::uint32_t kMaxQueue = 16;
constexpr Duration kWork = milliseconds(330);
constexpr Duration kObjective = milliseconds(1200);
constexpr Duration kMaxWait = milliseconds(300);
constexpr Duration kDisturbance = milliseconds(400);
constexpr double kSpeeds[] = {0.5, 1, 1, 1.5};
constexpr double kUtilization = 0.85;
constexpr Duration kRun = std::chrono::seconds(30);
constexpr Duration kWarmUp = std::chrono::seconds(5);

enum class Way {
  kOwnView,
  kLeastStated,
  kFreeWeighted,
  kTwoChoices,
  kSubset,
  kTickets,
  kProduct,
};
constexpr const char* kNames[] = {
    "a own view",    "  least stated", "b free weighted", "c two choices",
    "d subset of 8", "e tickets",      "f product"};

struct Outcome {
  double late = 0;
  double rejected = 0;
  double busiest_by_mean = 0;
};

class Simulation {
 public:
  Simulation(Way way, std::size_t entries, Duration view_age)
      : way_(way), view_age_(view_age), loads_(entries), tickets_(entries) {
    for (std::size_t t = 0; t < kTargets; ++t) {
      TargetEntry entry;
      entry.incarnation.id = TargetId(std::to_string(t));
      entry.slots = kSlots;
      targets_.push_back({entry, kSpeeds[t % 4], 0, {}, 0});
    }
    for (auto& loads : loads_) {
      for (std::size_t t = 0; t < kTargets; ++t)
        loads.push_back(std::make_unique<TargetLoad>());
    }
    for (auto& each : tickets_)
      each.resize(kTargets);
  }

  Outcome Run() {
    double speed = 0;
    for (const Target& target : targets_)
      speed += target.speed;
    // One in five targets has a third of its speed.
    const double capacity = speed * kSlots * (0.8 + 0.2 / 3) / Seconds(kWork);
    rate_ = capacity * kUtilization;
    std::exponential_distribution<> gap(rate_);
    std::function<void()> arrive = [&] {
      Arrive(Pick(loads_.size()));
      time_.After(Duration(static_cast<Duration::rep>(gap(random_) * 1e6)),
                  arrive);
    };
    time_.After(Duration{1}, arrive);
    for (std::size_t e = 0;
         e < loads_.size() && view_age_ > Duration{0} && way_ != Way::kOwnView;
         ++e) {
      for (std::size_t t = 0; t < kTargets; ++t)
        time_.After(Scaled(view_age_ * 2, Uniform()),
                    [=, this] { Refresh(e, t); });
    }
    time_.RunUntil(Instant{} + kRun);
    double busiest = 0;
    double sum = 0;
    for (const Target& target : targets_) {
      const double utilization = target.used / target.speed;
      busiest = std::max(busiest, utilization);
      sum += utilization;
    }
    return {late_ / total_, rejected_ / total_, busiest / (sum / kTargets)};
  }

 private:
  struct Waiting {
    std::size_t entry;
    Instant arrived_at;
    Instant sent_at{};
    double factor = 1;
  };
  struct Target {
    TargetEntry entry;
    double speed;
    std::uint32_t running;
    std::queue<Waiting> queue;
    // Processed work, in seconds at speed 1.
    double used;
  };

  // Finalizer of splitmix64.
  static std::uint64_t Mix(std::uint64_t value) {
    value = (value + 0x9E3779B97F4A7C15U) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31);
  }
  static std::uint64_t Affinity(std::size_t e, std::size_t t) {
    return Mix(e * kTargets + t + 1);
  }
  static double Seconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1e6;
  }
  double Uniform() { return std::uniform_real_distribution<>()(random_); }
  std::size_t Pick(std::size_t count) { return random_() % count; }
  bool Counts(Instant arrived_at) const {
    return arrived_at >= Instant{} + kWarmUp;
  }

  // One target in five is three times slower in each period.
  double Slowness(std::size_t t, Instant at) const {
    const auto period =
        static_cast<std::uint64_t>((at - Instant{}) / kDisturbance);
    return Mix(period * kTargets + t) % 5 == 0 ? 3 : 1;
  }
  StatedLoad State(std::size_t t) const {
    return {targets_[t].running,
            static_cast<std::uint32_t>(targets_[t].queue.size()), kSlots,
            Slowness(t, time_.now())};
  }
  void Hear(std::size_t e, std::size_t t) {
    loads_[e][t]->OnStated(time_.now(), State(t));
    tickets_[e][t] = kSlots - std::min(kSlots, targets_[t].running);
  }
  void Refresh(std::size_t e, std::size_t t) {
    Hear(e, t);
    time_.After(view_age_ * 2, [=, this] { Refresh(e, t); });
  }

  double Expected(std::size_t e, std::size_t t) const {
    const auto estimate = loads_[e][t]->EstimatedLoad(time_.now());
    const auto work = loads_[e][t]->processing_time(time_.now());
    return Seconds(work ? work->mean : kWork) *
           (estimate
                ? estimate->QueueingFactor() + Seconds(estimate->slow_delay) * 2
                : 1 + static_cast<double>(loads_[e][t]->in_flight()));
  }
  double Free(std::size_t e, std::size_t t) const {
    const auto estimate = loads_[e][t]->EstimatedLoad(time_.now());
    return std::max(0.05, estimate ? estimate->FreeCapacity(2)
                                   : 2.0 * kSlots - loads_[e][t]->in_flight());
  }
  std::optional<std::size_t> Choose(std::size_t e) {
    std::vector<std::size_t> usable;
    std::vector<Candidate> candidates;
    const auto sharing = static_cast<std::uint32_t>(loads_.size());
    for (std::size_t t = 0; t < kTargets; ++t) {
      if (way_ == Way::kSubset && !InSubset(e, t))
        continue;
      candidates.push_back({&targets_[t].entry, loads_[e][t].get(),
                            Distance::kSameZone, sharing, true,
                            Affinity(e, t)});
      if (loads_[e][t]->HasSpareCapacity(time_.now(), kSlots, sharing))
        usable.push_back(t);
    }
    if (usable.empty())
      return std::nullopt;
    if (way_ == Way::kOwnView || way_ == Way::kProduct) {
      const Candidate* best =
          PickTarget(candidates,
                     {false, kWork, kObjective,
                      rate_ / static_cast<double>(loads_.size()), sharing},
                     time_.now(), Uniform());
      return best ? std::optional<std::size_t>(best - candidates.data())
                  : std::nullopt;
    }
    const auto faster = [&](std::size_t x, std::size_t y) {
      return Expected(e, x) < Expected(e, y);
    };
    if (way_ == Way::kTwoChoices)
      return std::min(usable[Pick(usable.size())], usable[Pick(usable.size())],
                      faster);
    std::vector<double> weights;
    weights.reserve(usable.size());
    for (const std::size_t t : usable)
      weights.push_back(way_ == Way::kTickets ? tickets_[e][t] : Free(e, t));
    if (way_ == Way::kFreeWeighted ||
        (way_ == Way::kTickets &&
         *std::max_element(weights.begin(), weights.end()) > 0)) {
      const std::size_t t = usable[std::discrete_distribution<std::size_t>(
          weights.begin(), weights.end())(random_)];
      if (tickets_[e][t] > 0)
        --tickets_[e][t];
      return t;
    }
    if (way_ == Way::kTickets)
      return usable[Pick(usable.size())];
    std::shuffle(usable.begin(), usable.end(), random_);
    return *std::min_element(usable.begin(), usable.end(), faster);
  }
  bool InSubset(std::size_t e, std::size_t t) const {
    constexpr std::size_t kSubset = 8;
    std::size_t better = 0;
    for (std::size_t other = 0; other < kTargets; ++other)
      better += Affinity(e, other) > Affinity(e, t) ? 1 : 0;
    return better < kSubset;
  }

  void Arrive(std::size_t e) {
    if (Counts(time_.now()))
      ++total_;
    TrySend({e, time_.now()});
  }
  void TrySend(Waiting request) {
    const auto t = Choose(request.entry);
    if (!t) {
      if (time_.now() - request.arrived_at < kMaxWait)
        return time_.After(milliseconds(25), [=, this] { TrySend(request); });
      if (Counts(request.arrived_at))
        ++rejected_;
      return;
    }
    Target& target = targets_[*t];
    TargetLoad& load = *loads_[request.entry][*t];
    request.sent_at = time_.now();
    request.factor = load.QueueingFactor(
        time_.now(), kSlots, static_cast<std::uint32_t>(loads_.size()));
    load.OnSent(time_.now());
    if (target.running < kSlots)
      return Process(*t, request);
    if (target.queue.size() < kMaxQueue)
      return target.queue.push(request);
    if (view_age_ == Duration{0} && way_ != Way::kOwnView)
      Hear(request.entry, *t);
    load.OnDone(time_.now(), AttemptOutcome::kRefused, Duration{0}, 1);
    if (Counts(request.arrived_at))
      ++rejected_;
  }
  void Process(std::size_t t, Waiting request) {
    Target& target = targets_[t];
    ++target.running;
    const double amount = Seconds(kWork) * (0.7 + 0.6 * Uniform());
    target.used += amount;
    double left = amount;
    Instant at = time_.now();
    for (;;) {
      const Duration in_period = (at - Instant{}) % kDisturbance;
      const double rate = target.speed / Slowness(t, at);
      const Duration needed(static_cast<Duration::rep>(left / rate * 1e6) + 1);
      if (needed <= kDisturbance - in_period) {
        at += needed;
        break;
      }
      left -= rate * Seconds(kDisturbance - in_period);
      at += kDisturbance - in_period;
    }
    time_.After(at - time_.now(), [=, this] { Complete(t, request); });
  }
  void Complete(std::size_t t, const Waiting& request) {
    Target& target = targets_[t];
    if (view_age_ == Duration{0} && way_ != Way::kOwnView)
      Hear(request.entry, t);
    loads_[request.entry][t]->OnDone(time_.now(), AttemptOutcome::kAnswered,
                                     time_.now() - request.sent_at,
                                     request.factor);
    if (Counts(request.arrived_at) &&
        time_.now() - request.arrived_at > kObjective)
      ++late_;
    --target.running;
    if (target.queue.empty())
      return;
    const Waiting next = target.queue.front();
    target.queue.pop();
    Process(t, next);
  }

  const Way way_;
  // Requests per second of all entries.
  double rate_ = 0;
  // Zero: entries hear statements in responses only.
  const Duration view_age_;
  std::vector<std::vector<std::unique_ptr<TargetLoad>>> loads_;
  std::vector<std::vector<std::uint32_t>> tickets_;
  std::vector<Target> targets_;
  VirtualTime time_{Instant{}};
  std::mt19937_64 random_{7};
  double total_ = 0;
  double late_ = 0;
  double rejected_ = 0;
};

}  // namespace

TEST_CASE("ways to choose among targets that state their load",
          "[.balancing]") {
  for (const std::size_t entries : {1U, 8U, 72U}) {
    for (const int age_ms : {100, 500, 2000, 0}) {
      for (int way = 0; way <= static_cast<int>(Way::kProduct); ++way) {
        const Outcome result =
            Simulation(static_cast<Way>(way), entries, milliseconds(age_ms))
                .Run();
        std::printf("| %zu | %s | %s | %.3f | %.3f | %.2f |\n", entries,
                    age_ms ? std::to_string(age_ms).c_str() : "responses",
                    kNames[way], result.late, result.rejected,
                    result.busiest_by_mean);
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace figstall
