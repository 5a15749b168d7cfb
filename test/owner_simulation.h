// A keyed service in virtual time: routers that measure owners, a mover that
// limits hot keys by their reports, and callers that repeat refused requests
// once. Uses the code of routers and mover for every estimate and decision.
#ifndef FIGSTALL_OWNER_SIMULATION_H_
#define FIGSTALL_OWNER_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "figstall/hot_key_limits.h"
#include "figstall/load_report.h"
#include "figstall/mean_processing_time.h"

namespace figstall {

struct OwnerScenario {
  // Functions of the time in milliseconds since the start.
  using OfTime = std::function<double(int)>;
  // Share of arrivals that owners reject.
  OfTime rejected_share = [](int) { return 0; };
  // Largest delay of responses between regions, in milliseconds.
  OfTime link_delay = [](int) { return 0; };
  // Share of the requests that are for one key.
  OfTime hot_share = [](int) { return 0; };
};

class OwnerSimulation {
 public:
  explicit OwnerSimulation(OwnerScenario scenario, std::uint64_t seed = 1)
      : scenario_(std::move(scenario)),
        random_(seed),
        loads_(kRouters, std::vector<TargetLoad>(kOwners)),
        key_loads_(kRouters),
        request_times_(kRouters, std::chrono::milliseconds(100)),
        owners_(kOwners) {
    for (int owner = 0; owner < kOwners; ++owner) {
      RangeEntry entry;
      entry.range = {FirstKey(owner),
                     static_cast<ShardKey>(FirstKey(owner) + kKeySpan - 1)};
      entry.owner = {TargetId("t" + std::to_string(1000 + owner)), 1};
      table_.entries.push_back(entry);
      directory_[entry.owner.id].incarnation = entry.owner;
      directory_[entry.owner.id].service = service_;
      directory_[entry.owner.id].slots = kSlots;
    }
  }

  void RunUntil(int end) {
    for (; now_ < end; ++now_) {
      for (; !events_.empty() && events_.top().at <= now_; events_.pop()) {
        const auto run = events_.top().run;
        run();
      }
      if (now_ % 250 == 0)
        Report();
      for (due_ += kRequestsPerMilli; due_ >= 1; --due_)
        Request(ChooseKey(), /*may_repeat=*/true);
    }
  }
  const AdmittedShares& shares() const { return shares_; }
  // Requests that limits refused, and those of the hot key's owner for other
  // keys: arrived and served.
  int limited = 0;
  int beside_hot = 0;
  int beside_hot_served = 0;
  static constexpr ShardKey kHotKey = 500;

 private:
  static constexpr int kRouters = 24;
  static constexpr int kOwners = 69;
  static constexpr int kSlots = 4;
  static constexpr int kMaxQueue = 16;
  static constexpr int kKeySpan = 900;
  static constexpr double kWorkMillis = 260;
  static constexpr double kSpeeds[] = {0.6, 1.0, 1.4};
  // With this rate, 39 % of the slots' time is work.
  static constexpr double kRequestsPerMilli =
      0.39 * kOwners * kSlots / kWorkMillis;

  struct Event {
    int at = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at > other.at; }
  };
  struct Owner {
    int running = 0;
    std::queue<std::function<void()>> waiting;
  };

  static ShardKey FirstKey(int owner) {
    return static_cast<ShardKey>(owner * kKeySpan);
  }
  static double Speed(int owner) { return kSpeeds[owner % 3]; }
  static bool OtherRegion(int router, int owner) {
    return router % 2 != owner / 3 % 2;
  }
  Instant Now() const {
    return Instant(std::chrono::seconds(1000) +
                   std::chrono::milliseconds(now_));
  }
  double Random() { return std::uniform_real_distribution<>()(random_); }
  void After(double millis, std::function<void()> run) {
    events_.push({now_ + 1 + static_cast<int>(millis), std::move(run)});
  }
  ShardKey ChooseKey() {
    if (Random() < scenario_.hot_share(now_))
      return kHotKey;
    // Owners' shares are in proportion to their speeds, which have the mean 1.
    int owner = 0;
    do {
      owner = static_cast<int>(Random() * kOwners);
    } while (Random() * kSpeeds[2] > Speed(owner));
    return static_cast<ShardKey>(FirstKey(owner) + Random() * kKeySpan);
  }

  void Request(ShardKey key, bool may_repeat) {
    const int router = static_cast<int>(Random() * kRouters);
    const int owner = key / kKeySpan;
    const bool beside = key != kHotKey && owner == kHotKey / kKeySpan;
    beside_hot += beside && may_repeat;
    key_loads_[router].Add(key, request_times_[router]);
    const auto refuse = [this, key, may_repeat] {
      if (may_repeat)
        After(300, [this, key] { Request(key, false); });
    };
    if (Random() >= AdmittedShareOf(shares_, key)) {
      ++limited;
      return refuse();
    }
    TargetLoad& load = loads_[router][owner];
    const double factor = load.QueueingFactor(Now(), kSlots, kRouters);
    load.OnSent(Now());
    const auto answer = [this, &load, factor, router, owner, beside, refuse,
                         sent = Now()](bool served) {
      const double delay = OtherRegion(router, owner)
                               ? 24 + scenario_.link_delay(now_) * Random()
                               : 3;
      After(delay, [this, &load, factor, beside, refuse, sent, served] {
        load.OnDone(
            Now(),
            served ? AttemptOutcome::kAnswered : AttemptOutcome::kRefused,
            Now() - sent, factor);
        beside_hot_served += served && beside;
        if (!served)
          refuse();
      });
    };
    Arrive(owner, answer);
  }

  void Arrive(int index, const std::function<void(bool)>& answer) {
    Owner& owner = owners_[index];
    if (Random() < scenario_.rejected_share(now_) ||
        owner.waiting.size() >= kMaxQueue)
      return answer(false);
    owner.waiting.push([this, index, answer] {
      // One owner in five is three times slower, for 0.4 s at a time.
      const bool slow = (index * 7 + now_ / 400) % 5 == 0;
      After(kWorkMillis * (0.5 + Random()) * (slow ? 3 : 1) / Speed(index),
            [this, index, answer] {
              --owners_[index].running;
              StartWaiting(owners_[index]);
              answer(true);
            });
    });
    StartWaiting(owner);
  }

  static void StartWaiting(Owner& owner) {
    while (owner.running < kSlots && !owner.waiting.empty()) {
      ++owner.running;
      const auto start = std::move(owner.waiting.front());
      owner.waiting.pop();
      start();
    }
  }

  void Report() {
    for (int router = 0; router < kRouters; ++router) {
      key_loads_[router].Decay(Now());
      LoadReport report;
      report.vm = VmId("m" + std::to_string(router));
      report.services[service_] = MakeKeyLoadReport(key_loads_[router]);
      MeanProcessingTime mean;
      for (int owner = 0; owner < kOwners; ++owner) {
        const auto time = loads_[router][owner].processing_time(Now());
        if (!time)
          continue;
        const bool far = OtherRegion(router, owner);
        mean.Add(*time, far ? Distance::kOtherRegion : Distance::kSameRegion);
        if (!far && now_ % 3000 == 0)
          report.targets[table_.entries[owner].owner.id] = *time;
      }
      request_times_[router] = mean.Get().value_or(request_times_[router]);
      aggregator_.OnReport(Now(), std::move(report));
    }
    smoothed_.Update(Now(), aggregator_.KeyLoads(Now(), service_, kRouters),
                     request_times_[0]);
    shares_ = ComputeAdmittedShares(
        table_, smoothed_.load(),
        aggregator_.Capacities(Now(), directory_, service_), directory_);
  }

  const OwnerScenario scenario_;
  const ServiceId service_{"accounts"};
  std::mt19937_64 random_;
  int now_ = 0;
  double due_ = 0;
  std::priority_queue<Event> events_;
  // By router and owner; by router; by router.
  std::vector<std::vector<TargetLoad>> loads_;
  std::vector<KeyLoad> key_loads_;
  std::vector<Duration> request_times_;
  std::vector<Owner> owners_;
  RangeTable table_;
  TargetDirectory directory_;
  LoadAggregator aggregator_;
  SmoothedLoad smoothed_;
  AdmittedShares shares_;
};

}  // namespace figstall

#endif  // FIGSTALL_OWNER_SIMULATION_H_
