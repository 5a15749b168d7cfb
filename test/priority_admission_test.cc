// Routes of different priority that share a service, in virtual time: entries
// that choose among its targets by PickTarget() and yield by
// PriorityAdmission.
#include "figstall/priority_admission.h"

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "figstall/target_load.h"
#include "virtual_time.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("archive");
constexpr Instant kStart{seconds(1000)};
constexpr Instant kEnd = kStart + seconds(30);
constexpr std::uint32_t kUrgent = 0;
constexpr std::uint32_t kOther = 2;

IngressRoute Route(std::uint32_t priority,
                   const ServiceId& service,
                   double weight = 1) {
  IngressRoute route;
  route.priority = priority;
  route.services = {{service, weight}};
  return route;
}

PriorityAdmission SharedService() {
  PriorityAdmission admission;
  DesiredState state;
  state.routes = {Route(kUrgent, kService), Route(kOther, kService)};
  admission.OnDesiredState(state);
  admission.OnLoadStated(kService);
  return admission;
}

// Eight targets of four slots and 250 ms of work: 128 requests per second.
class Simulation {
 public:
  struct Counts {
    double arrived = 0;
    double served = 0;
    double Share() const { return served / arrived; }
  };

  explicit Simulation(bool states_load) : states_load_(states_load) {
    for (std::size_t e = 0; e < kEntries; ++e) {
      admissions_.push_back(SharedService());
      loads_.emplace_back();
      for (std::size_t t = 0; t < kTargets; ++t)
        loads_.back().push_back(std::make_unique<TargetLoad>());
    }
    for (std::size_t t = 0; t < kTargets; ++t) {
      entries_[t].incarnation.id = TargetId(std::to_string(t));
      entries_[t].slots = kSlots;
    }
  }

  // Arrivals per second of both classes.
  void Run(double urgent_rate, double other_rate) {
    Arrivals(kUrgent, urgent_rate);
    Arrivals(kOther, other_rate);
    time_.RunUntil(kEnd);
  }
  Counts urgent() const { return counts_.at(kUrgent); }
  Counts other() const { return counts_.at(kOther); }
  double utilization() const {
    return static_cast<double>(served_) * 0.25 / (23.0 * kTargets * kSlots);
  }

 private:
  static constexpr std::size_t kEntries = 4;
  static constexpr std::size_t kTargets = 8;
  static constexpr std::uint32_t kSlots = 4;
  static constexpr Duration kWork = milliseconds(250);
  static constexpr Duration kMaxWait = milliseconds(250);

  struct Request {
    std::size_t entry = 0;
    std::uint32_t priority = 0;
    Instant arrived_at{};
    Instant sent_at{};
    double factor = 1;
    bool of_minimum = false;
  };
  struct Target {
    std::uint32_t running = 0;
    std::queue<Request> queue;
  };

  bool IsCounted(const Request& request) const {
    return request.arrived_at >= kStart + seconds(5) &&
           request.arrived_at < kEnd - seconds(2);
  }
  void Arrivals(std::uint32_t priority, double rate) {
    std::exponential_distribution<> gap(rate);
    time_.After(
        Duration(static_cast<Duration::rep>(gap(random_) * 1e6)), [=, this] {
          Request request{random_() % kEntries, priority, time_.now()};
          admissions_[request.entry].OnArrival(time_.now(), kService, priority);
          if (IsCounted(request))
            ++counts_[priority].arrived;
          TrySend(request);
          Arrivals(priority, rate);
        });
  }
  void TrySend(Request request) {
    PriorityAdmission& admission = admissions_[request.entry];
    const auto reserved = admission.ReservedAtTarget(
        time_.now(), kService, request.priority, kWork, kEntries, kTargets);
    std::vector<Candidate> candidates;
    bool yields = false;
    for (std::size_t t = 0; t < kTargets; ++t) {
      TargetLoad& load = *loads_[request.entry][t];
      if (reserved && !request.of_minimum &&
          !load.LeavesRoom(time_.now(), kSlots, kEntries, *reserved, kWork)) {
        yields = true;
        continue;
      }
      candidates.push_back({&entries_[t], &load, Distance::kSameZone, kEntries,
                            true, request.entry * 31 + t * 17});
    }
    const Candidate* choice =
        PickTarget(candidates, {false, kWork, milliseconds(1000)}, time_.now(),
                   std::uniform_real_distribution<>()(random_));
    if (!choice) {
      if (yields && time_.now() == request.arrived_at &&
          admission.TakeMinimum(kService, request.priority)) {
        request.of_minimum = true;
        return TrySend(request);
      }
      if (time_.now() - request.arrived_at < kMaxWait)
        time_.After(milliseconds(25), [=, this] { TrySend(request); });
      return;
    }
    const auto t = static_cast<std::size_t>(choice->entry - entries_.data());
    TargetLoad& load = *loads_[request.entry][t];
    request.sent_at = time_.now();
    request.factor = load.QueueingFactor(time_.now(), kSlots, kEntries);
    load.OnSent(time_.now());
    if (targets_[t].running < kSlots)
      return Process(t, request);
    if (targets_[t].queue.size() < 16)
      return targets_[t].queue.push(request);
    load.OnDone(time_.now(), AttemptOutcome::kRefused, Duration{0});
  }
  void Process(std::size_t t, const Request& request) {
    ++targets_[t].running;
    time_.After(kWork, [=, this] {
      TargetLoad& load = *loads_[request.entry][t];
      if (states_load_)
        load.OnStated(
            time_.now(),
            StatedLoad{targets_[t].running,
                       static_cast<std::uint32_t>(targets_[t].queue.size()),
                       kSlots, 1});
      load.OnDone(time_.now(), AttemptOutcome::kAnswered,
                  time_.now() - request.sent_at, request.factor);
      admissions_[request.entry].OnServed(time_.now(), kService,
                                          request.priority, request.of_minimum);
      if (IsCounted(request)) {
        ++served_;
        if (time_.now() - request.arrived_at <= seconds(1))
          ++counts_[request.priority].served;
      }
      --targets_[t].running;
      if (targets_[t].queue.empty())
        return;
      const Request next = targets_[t].queue.front();
      targets_[t].queue.pop();
      Process(t, next);
    });
  }

  const bool states_load_;
  std::vector<PriorityAdmission> admissions_;
  std::vector<std::vector<std::unique_ptr<TargetLoad>>> loads_;
  std::array<TargetEntry, kTargets> entries_;
  std::array<Target, kTargets> targets_;
  VirtualTime time_{kStart};
  std::mt19937_64 random_{11};
  std::map<std::uint32_t, Counts> counts_;
  std::uint64_t served_ = 0;
};

}  // namespace

// Load pattern: demand of 140 % of the capacity, half of it less urgent.
TEST_CASE("less urgent requests get what the more urgent ones leave") {
  const bool states_load = GENERATE(true, false);
  CAPTURE(states_load);
  Simulation simulation(states_load);
  simulation.Run(90, 90);
  CAPTURE(simulation.urgent().Share(), simulation.other().Share(),
          simulation.utilization());
  CHECK(simulation.urgent().Share() > (states_load ? 0.97 : 0.9));
  CHECK(simulation.other().Share() > 0.25);
  CHECK(simulation.utilization() > 0.9);
}

// Guards against a class that is starved by a more urgent one whose demand
// alone exceeds the capacity.
TEST_CASE("each class keeps its guaranteed minimum") {
  Simulation simulation(true);
  simulation.Run(170, 60);
  CHECK(simulation.other().Share() > 0.07);
  CHECK(simulation.urgent().Share() > simulation.other().Share());
}

// Guards against requests that are held back while targets have free slots.
TEST_CASE("less urgent requests are not held back while there is room") {
  Simulation simulation(GENERATE(true, false));
  simulation.Run(40, 50);
  CHECK(simulation.other().Share() > 0.99);
  CHECK(simulation.urgent().Share() > 0.99);
}

TEST_CASE("requests yield only where routes of different priority share") {
  PriorityAdmission admission;
  DesiredState state;
  const ServiceId alone("alone");
  const ServiceId unused("unused");
  state.routes = {Route(0, alone), Route(0, alone), Route(0, unused, 0),
                  Route(2, unused)};
  admission.OnDesiredState(state);
  // Nor where targets state no load.
  state.routes.push_back(Route(1, ServiceId("silent")));
  state.routes.push_back(Route(2, ServiceId("silent")));
  admission.OnDesiredState(state);
  admission.OnLoadStated(alone);
  CHECK_FALSE(admission.Applies(ServiceId("silent")));
  CHECK_FALSE(admission.Applies(alone));
  CHECK_FALSE(admission.Applies(unused));
  CHECK_FALSE(admission.ReservedAtTarget(kStart, alone, 0, seconds(1), 4, 4));
  CHECK(admission.ReturnAfter(kStart, alone, 0, milliseconds(200),
                              milliseconds(600), 0.5) == milliseconds(200));
  PriorityAdmission shared = SharedService();
  CHECK(shared.Applies(kService));
  CHECK_FALSE(
      shared.ReservedAtTarget(kStart, kService, kUrgent, seconds(1), 4, 4));
  CHECK(shared.ReservedAtTarget(kStart, kService, kOther, seconds(1), 4, 4));
}

// Load pattern: callers that are refused at the same moment return together,
// and are refused again.
TEST_CASE("refused callers return one after another") {
  PriorityAdmission admission = SharedService();
  Instant now = kStart;
  for (int i = 0; i < 1000; ++i, now += milliseconds(20))
    admission.OnServed(now, kService, kUrgent, false);
  std::vector<Duration> returns;
  returns.reserve(30);
  for (int i = 0; i < 30; ++i)
    returns.push_back(admission.ReturnAfter(now, kService, kUrgent,
                                            milliseconds(200),
                                            milliseconds(600), i / 30.0));
  CHECK(returns.front() == milliseconds(200));
  // Fifty requests per second are served.
  CHECK(returns[10] - returns[0] > milliseconds(180));
  CHECK(returns[10] - returns[0] < milliseconds(220));
  for (const Duration each : returns) {
    CHECK(each >= milliseconds(200));
    CHECK(each <= milliseconds(600));
  }
}

TEST_CASE("the log says when requests begin and cease to yield") {
  PriorityAdmission admission = SharedService();
  REQUIRE(admission.OnYield(kStart, kService));
  CHECK_FALSE(admission.OnYield(kStart + seconds(1), kService));
  CHECK(admission.TakeEnded(kStart + seconds(2)).empty());
  const auto ended = admission.TakeEnded(kStart + seconds(4));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0] == PriorityChange{kService, /*began=*/false, 2, seconds(1)});
  CHECK(admission.TakeEnded(kStart + seconds(5)).empty());
}

}  // namespace figstall
