// Members that share one target while it warms up, in virtual time, counted as
// the users' rule does: arrivals in any one second. And when a target is taken
// to warm up.
#include "figstall/warm_up_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "figstall/range_balance.h"
#include "figstall/send_credits.h"
#include "iteration_factor.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("ledger");
const ZoneId kZone("zone-0");
const TargetIncarnation kTarget{TargetId("t-1"), 1000};
constexpr double kRate = 4.5;
constexpr WarmUpBounds kBounds{1.5, 8};
constexpr double kAllowed = kRate * 1.5 + 8;
constexpr Duration kWarmUpTime = seconds(3);
// Requests that find no credit are refused after this time.
constexpr Duration kMaxWait = milliseconds(200);

std::map<ServiceId, TargetService> Services() {
  TargetService service;
  service.id = kService;
  service.warm_up_time = kWarmUpTime;
  service.warm_up_rate = kRate;
  return {{kService, service}};
}

TargetEntry Entry(Duration left, std::uint64_t status = 1) {
  TargetEntry entry;
  entry.incarnation = kTarget;
  entry.service = kService;
  entry.zone = kZone;
  entry.warm_up_left = left;
  entry.status_number = status;
  return entry;
}

Instant At(double seconds) {
  return Instant(Duration(static_cast<Duration::rep>(seconds * 1e6)));
}

struct Options {
  int members = 8;
  // Requests per second of all members together, at even intervals.
  double demand = 60;
  std::uint64_t seed = 1;
  // Members learn of the warm-up at random times within this one.
  Duration max_learning_delay{0};
  double message_loss = 0.02;
};

class Simulation {
 public:
  // The target warms up from here on, for as long as the run lasts.
  static constexpr Instant kStart{seconds(10)};

  explicit Simulation(const Options& options)
      : options_(options), random_(options.seed), now_(kStart - seconds(2)) {
    for (int i = 0; i < options.members; ++i)
      AddMember();
    for (const auto& member : members_) {
      member->warm_ups.OnListed(Instant{}, Entry(Duration{0}));
      Learn(*member, kStart + RandomUpTo(options.max_learning_delay));
      member->credits->SetMembers(All());
    }
    ScheduleRequest();
  }

  void Run(Duration length) {
    const Instant end = kStart + length;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  // Most arrivals in any one second.
  std::size_t Most() const {
    std::deque<Instant> window;
    std::size_t most = 0;
    for (const Instant at : Arrivals()) {
      window.push_back(at);
      while (at - window.front() >= seconds(1))
        window.pop_front();
      if (at >= kStart)
        most = std::max(most, window.size());
    }
    return most;
  }
  std::size_t ArrivedBetween(Duration from, Duration to) const {
    const auto arrivals = Arrivals();
    return static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(),
        [&](Instant at) { return at >= kStart + from && at < kStart + to; }));
  }

  std::map<VmId, ZoneId> All() const {
    std::map<VmId, ZoneId> all;
    for (const auto& member : members_)
      all[member->vm] = member->zone;
    return all;
  }
  void SetMembers(int index, const std::map<VmId, ZoneId>& list) {
    members_.at(static_cast<std::size_t>(index))->credits->SetMembers(list);
  }
  // The member that others named as the issuer last.
  VmId issuer() const { return issuer_; }
  // The member sends and receives nothing from now on.
  void Kill(const VmId& vm) { IndexOf(vm).alive = false; }
  // No messages between even and odd members from now on.
  void Cut() { cut_ = true; }

 private:
  struct Member {
    VmId vm;
    ZoneId zone;
    TargetNotices notices;
    WarmUpLimits warm_ups{kBounds};
    std::unique_ptr<SendCredits> credits;
    double weight = 1;
    bool alive = true;
  };

  Duration RandomUpTo(Duration longest) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, longest.count())(random_));
  }
  Duration NetworkDelay() {
    return milliseconds(1) + RandomUpTo(milliseconds(13));
  }
  void After(Duration delay, std::function<void()> run) {
    events_.emplace(now_ + delay, std::move(run));
  }
  Member& IndexOf(const VmId& vm) {
    return *members_.at(std::stoul(vm.value().substr(2)));
  }

  void AddMember() {
    const std::size_t index = members_.size();
    auto added = std::make_unique<Member>();
    Member& member = *added;
    member.vm = VmId("m-" + std::to_string(index));
    member.zone = ZoneId("zone-" + std::to_string(index % 4));
    // A few members have most of the demand.
    member.weight = 1 / (1.0 + static_cast<double>(index % 17));
    SendCredits::Handlers handlers;
    handlers.send = [this, &member](const VmId& to,
                                    const CreditMessage& message) {
      SendMessage(member, to, message);
    };
    handlers.on_limit = [](const auto&...) {};
    handlers.on_warm_up = [this, &member](const VmId& from,
                                          const TargetIncarnation& target,
                                          const WarmUpStatement& warm_up) {
      member.warm_ups.OnReported(now_, from, target, warm_up);
    };
    handlers.on_issuer = [this](const TargetIncarnation&, const VmId& issuer) {
      issuer_ = issuer;
    };
    member.warm_ups.OnServices(now_, Services());
    member.credits = std::make_unique<SendCredits>(
        member.vm, member.notices, member.warm_ups, std::move(handlers));
    members_.push_back(std::move(added));
  }

  void Learn(Member& member, Instant at) {
    events_.emplace(at, [this, &member] {
      member.warm_ups.OnListed(now_, Entry(seconds(60), 2));
    });
  }

  void SendMessage(Member& from, const VmId& to, const CreditMessage& message) {
    Member& receiver = IndexOf(to);
    const bool lost =
        std::uniform_real_distribution<>()(random_) < options_.message_loss;
    const bool cut = cut_ && (std::stoul(from.vm.value().substr(2)) +
                              std::stoul(to.value().substr(2))) %
                                     2 ==
                                 1;
    if (!from.alive || lost || cut)
      return;
    After(NetworkDelay(), [this, &from, &receiver, message] {
      if (!receiver.alive)
        return;
      if (const auto* request = std::get_if<CreditRequest>(&message))
        return SendMessage(receiver, from.vm,
                           receiver.credits->OnRequest(now_, *request, kZone));
      receiver.credits->OnResponse(now_, std::get<CreditResponse>(message));
    });
  }

  void ScheduleRequest() {
    After(Duration(static_cast<Duration::rep>(1e6 / options_.demand)), [this] {
      std::vector<double> weights;
      for (const auto& member : members_)
        weights.push_back(member->alive ? member->weight : 0);
      const std::size_t index = std::discrete_distribution<std::size_t>(
          weights.begin(), weights.end())(random_);
      Try(*members_[index], now_);
      ScheduleRequest();
    });
  }

  void Try(Member& member, Instant arrived_at) {
    if (!member.alive)
      return;
    const CreditState state = member.credits->Check(now_, kTarget, kZone);
    if (state == CreditState::kAvailable) {
      member.credits->Consume(now_, kTarget);
      return arrivals_.push_back(now_ + NetworkDelay());
    }
    if (state == CreditState::kPending && now_ - arrived_at < kMaxWait)
      After(milliseconds(25),
            [this, &member, arrived_at] { Try(member, arrived_at); });
  }

  std::vector<Instant> Arrivals() const {
    std::vector<Instant> sorted = arrivals_;
    std::sort(sorted.begin(), sorted.end());
    return sorted;
  }

  const Options options_;
  std::mt19937_64 random_;
  Instant now_;
  std::multimap<Instant, std::function<void()>> events_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<Instant> arrivals_;
  VmId issuer_;
  bool cut_ = false;
};

template <typename Case>
void ForAll(Case run) {
  for (const int members : {1, 8, 72}) {
    for (int seed = 1; seed <= 5 * IterationFactor("FIGSTALL_WALKS"); ++seed) {
      CAPTURE(members, seed);
      Options options;
      options.members = members;
      options.seed = static_cast<std::uint64_t>(seed);
      run(options);
    }
  }
}

}  // namespace

// Guards against a target that all members prefer at once, since it is idle
// after a return of its zone.
TEST_CASE("a target that warms up gets its rate, whatever the demand") {
  ForAll([](Options options) {
    Simulation simulation(options);
    simulation.Run(seconds(8));
    // The first second after the start has what was on its way.
    CHECK(simulation.ArrivedBetween(seconds(1), seconds(2)) <= kAllowed);
    const auto used =
        static_cast<double>(simulation.ArrivedBetween(seconds(2), seconds(8)));
    CHECK(used <= kRate * 6 + 3);
    CHECK(used >= 0.8 * kRate * 6);
  });
}

// Guards against requests of members that do not know yet, on top of a full
// bucket for those that do.
TEST_CASE("the bound holds while members learn of a warm-up within a second") {
  ForAll([](Options options) {
    options.demand = 11;
    options.max_learning_delay = seconds(1);
    Simulation simulation(options);
    simulation.Run(seconds(6));
    CHECK(static_cast<double>(simulation.Most()) <= kAllowed);
  });
}

// Guards against credits of two issuers in one second, and against a lost
// issuer that stops all requests to the target.
TEST_CASE("another member issues credits when the issuer is lost") {
  ForAll([](Options options) {
    if (options.members == 1)
      return;
    Simulation simulation(options);
    simulation.Run(milliseconds(3100));
    simulation.Kill(simulation.issuer());
    simulation.Run(seconds(8));
    for (int ms = 1000; ms <= 7000; ms += 50) {
      CHECK(static_cast<double>(simulation.ArrivedBetween(
                milliseconds(ms), milliseconds(ms + 1000))) <= kAllowed);
    }
    // Members find out one by one; half of the rate is used meanwhile.
    CHECK(static_cast<double>(simulation.ArrivedBetween(
              milliseconds(4500), seconds(8))) >= 0.5 * kRate * 3.5);
  });
}

// Guards against a bucket so large that two members which both take themselves
// for the issuer exceed the bound together.
TEST_CASE("the bound holds with two issuers of one target") {
  ForAll([](Options options) {
    if (options.members == 1)
      return;
    Simulation simulation(options);
    simulation.Run(seconds(2));
    SECTION("whose member lists differ") {
      auto without_issuer = simulation.All();
      without_issuer.erase(simulation.issuer());
      for (int i = 0; i < options.members; i += 2) {
        if (VmId("m-" + std::to_string(i)) != simulation.issuer())
          simulation.SetMembers(i, without_issuer);
      }
    }
    SECTION("which are cut off from each other") {
      simulation.Cut();
    }
    simulation.Run(seconds(8));
    for (int ms = 1000; ms <= 7000; ms += 50) {
      CHECK(static_cast<double>(simulation.ArrivedBetween(
                milliseconds(ms), milliseconds(ms + 1000))) <= kAllowed);
    }
  });
}

// Guards against members that send at the normal rate until the store tells
// them, since one alone read in an answer that the target warms up again.
TEST_CASE("a warm-up that one member learns of reaches the others") {
  TargetNotices notices;
  std::vector<std::pair<VmId, CreditMessage>> sent;
  SendCredits::Handlers handlers;
  handlers.send = [&](const VmId& to, const CreditMessage& message) {
    sent.emplace_back(to, message);
  };
  WarmUpLimits limits(kBounds);
  limits.OnServices(At(0), Services());
  limits.OnListed(At(0), Entry(Duration{0}));
  limits.OnAnswer(At(20), kTarget, seconds(2), "response");
  SendCredits credits(VmId("m-0"), notices, limits, handlers);
  credits.SetMembers(
      {{VmId("m-0"), kZone}, {VmId("m-1"), kZone}, {VmId("m-2"), kZone}});
  credits.AnnounceWarmUp(At(20), kTarget);
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].first == VmId("m-1"));
  const auto& request = std::get<CreditRequest>(sent[0].second);
  CHECK(request.wanted == 0);
  CHECK(request.warm_up == WarmUpStatement{seconds(2), kRate});
  // Many at once are left to the store's entries.
  for (int i = 0; i < 100; ++i)
    credits.AnnounceWarmUp(At(20.5), kTarget);
  CHECK(sent.size() == 16);
  credits.AnnounceWarmUp(At(21.5), kTarget);
  CHECK(sent.size() == 18);
}

TEST_CASE("rate and burst follow from the bounds") {
  const WarmUpIssue issue = ComputeWarmUpIssue(kRate, kBounds);
  CHECK(issue.per_second == kRate);
  CHECK(issue.burst >= 1);
  const double seconds_used =
      1 + std::chrono::duration<double>(issue.validity).count();
  CHECK(2 * (issue.burst + issue.per_second * seconds_used) <= kAllowed);
  // Without slack even one issuer stays below the tolerated rate.
  const WarmUpIssue tight = ComputeWarmUpIssue(kRate, {1, 0});
  CHECK(tight.burst + tight.per_second * seconds_used <= kRate);
  CHECK(tight.per_second > 0);
}

TEST_CASE("a target is taken to warm up from when it appears in traffic") {
  WarmUpLimits limits(kBounds);
  limits.OnServices(At(0), Services());
  // The first entry of this process was read long before.
  TargetEntry other = Entry(Duration{0});
  other.incarnation.id = TargetId("t-0");
  CHECK(limits.OnListed(At(0), other).empty());
  SECTION("for the service's time if its entry says nothing") {
    const auto changes = limits.OnListed(At(20), Entry(Duration{0}));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].source == "first-seen");
    CHECK(limits.IsWarmingUp(At(22.9), kTarget));
    CHECK_FALSE(limits.IsWarmingUp(At(23), kTarget));
    // Others know for themselves whether the target is new.
    CHECK_FALSE(limits.StatementOf(At(21), kTarget));
    REQUIRE(limits.Advance(At(23)).size() == 1);
    CHECK(limits.count() == 0);
  }
  SECTION("for the time in its entry") {
    limits.OnListed(At(20), Entry(milliseconds(500)));
    CHECK(limits.IsWarmingUp(At(20.4), kTarget));
    CHECK_FALSE(limits.IsWarmingUp(At(20.5), kTarget));
  }
  SECTION("but not once more when its entry is read again") {
    limits.OnListed(At(20), Entry(milliseconds(500)));
    CHECK(limits.OnListed(At(20.4), Entry(milliseconds(500))).empty());
    CHECK_FALSE(limits.IsWarmingUp(At(20.5), kTarget));
    // Removed from the store and written again.
    limits.Prune(At(30), {});
    limits.OnListed(At(30), Entry(Duration{0}, 2));
    CHECK_FALSE(limits.IsWarmingUp(At(30), kTarget));
  }
}

// Guards against limits on all targets when the whole system starts.
TEST_CASE("targets that this process finds at its start are warm") {
  WarmUpLimits limits(kBounds);
  // However late the store answered for the first time.
  CHECK(limits.OnListed(At(40), Entry(Duration{0})).empty());
  CHECK(limits.OnServices(At(41), Services()).empty());
  CHECK_FALSE(limits.IsWarmingUp(At(41), kTarget));
  // Unless their entries say otherwise, then or later.
  CHECK(limits.OnListed(At(42), Entry(seconds(2), 2)).size() == 1);
  CHECK(limits.IsWarmingUp(At(43.9), kTarget));
}

TEST_CASE("a warm-up that begins again applies at once") {
  WarmUpLimits limits(kBounds);
  limits.OnServices(At(0), Services());
  limits.OnListed(At(0), Entry(Duration{0}));
  CHECK(limits.OnAnswer(At(50), kTarget, seconds(2), "grant").size() == 1);
  // An entry that was written before does not end it, nor does an older answer.
  limits.OnListed(At(50.1), Entry(Duration{0}, 2));
  limits.OnAnswer(At(50.2), kTarget, milliseconds(100), "response");
  CHECK(limits.IsWarmingUp(At(51.9), kTarget));
  CHECK_FALSE(limits.IsWarmingUp(At(52), kTarget));
  // Once more, before anything noted the end of the last one.
  const auto changes = limits.OnAnswer(At(60), kTarget, seconds(1), "grant");
  REQUIRE(changes.size() == 2);
  CHECK_FALSE(changes[0].started);
  CHECK(changes[1].started);
  CHECK(limits.Reportable(At(60)) == std::vector{kTarget});
}

// Guards against a warm-up that never ends, because members tell each other of
// it and each counts from the arrival of the message.
TEST_CASE("a member passes on only what it learned itself") {
  WarmUpLimits limits(kBounds);
  limits.OnServices(At(0), Services());
  limits.OnReported(At(10), VmId("m-1"), kTarget, {seconds(2), kRate});
  CHECK(limits.IsWarmingUp(At(11), kTarget));
  CHECK(limits.RateOf(At(11), kTarget) == kRate);
  CHECK_FALSE(limits.StatementOf(At(11), kTarget));
  limits.OnAnswer(At(11), kTarget, milliseconds(600), "response");
  CHECK(limits.StatementOf(At(11), kTarget) ==
        WarmUpStatement{milliseconds(600), kRate});
  CHECK_FALSE(limits.IsWarmingUp(At(12), kTarget));
}

TEST_CASE("an evacuated zone returns with targets that may warm up") {
  WarmUpLimits limits(kBounds);
  limits.OnServices(At(0), Services());
  limits.OnListed(At(0), Entry(Duration{0}));
  const TargetDirectory directory = {{kTarget.id, Entry(Duration{0})}};
  CHECK(limits.OnZoneReturned(At(60), ZoneId("zone-9"), directory).empty());
  CHECK(limits.OnZoneReturned(At(60), kZone, directory).size() == 1);
  CHECK(limits.IsWarmingUp(At(62.9), kTarget));
  CHECK_FALSE(limits.IsWarmingUp(At(63), kTarget));
}

// Guards against any effect on deployments without the rule.
TEST_CASE("nothing warms up without bounds or without a rate") {
  WarmUpLimits no_bounds;
  no_bounds.OnServices(At(0), Services());
  CHECK(no_bounds.OnListed(At(0), Entry(seconds(3))).empty());
  CHECK(no_bounds.OnAnswer(At(1), kTarget, seconds(3), "response").empty());
  CHECK_FALSE(no_bounds.IsWarmingUp(At(1), kTarget));
  WarmUpLimits no_rate(kBounds);
  auto services = Services();
  services.at(kService).warm_up_rate = 0;
  no_rate.OnServices(At(0), services);
  no_rate.OnListed(At(0), Entry(seconds(3)));
  CHECK_FALSE(no_rate.IsWarmingUp(At(1), kTarget));
}

// Guards against all keys of a lost target that move to one which has nothing
// to do because it warms up.
TEST_CASE("an owner that warms up gets few keys, and its part afterwards") {
  constexpr int kTargets = 8;
  constexpr Duration kProcessingTime = milliseconds(260);
  constexpr std::size_t kParts = 1024;
  std::vector<TargetEntry> targets(kTargets, Entry(Duration{0}));
  RangeTable table;
  std::map<TargetId, double> capacity;
  std::vector<const TargetEntry*> usable;
  for (int i = 0; i < kTargets; ++i) {
    TargetEntry& target = targets[static_cast<std::size_t>(i)];
    target.incarnation.id = TargetId("t-" + std::to_string(i));
    target.slots = 4;
    capacity[target.incarnation.id] = 4;
    usable.push_back(&target);
    // The last one is new.
    if (i == kTargets - 1)
      continue;
    RangeEntry entry;
    const int size = kKeySpaceSize / (kTargets - 1);
    entry.range = {
        static_cast<ShardKey>(i * size),
        static_cast<ShardKey>(i == kTargets - 2 ? kKeySpaceSize - 1
                                                : (i + 1) * size - 1)};
    entry.owner = target.incarnation;
    table.entries.push_back(entry);
  }
  const TargetId added("t-7");
  // Of a capacity of 32.
  const RangeLoad load(std::vector<double>(kParts, 14.0 / kParts));
  const auto load_moved = [&] {
    double moved = 0;
    const auto shares = ComputeTargetShares(table, usable, &capacity, load, {});
    for (const PlannedMove& move : PlanBalance(table, shares, load, {})) {
      CHECK(move.to == added);
      moved += load.Of(move.range);
    }
    return moved;
  };
  capacity[added] = WarmUpCapacity(kRate, kProcessingTime);
  const double while_warming_up = load_moved();
  CHECK(while_warming_up < 0.5 * kRate * 0.26);
  auto shares = ComputeTargetShares(table, usable, &capacity, load, {});
  CHECK(LeastLoaded(shares, 2)->target->incarnation.id != added);
  capacity[added] = 4;
  // One change of the table moves at most twelve ranges.
  CHECK(load_moved() > 4 * while_warming_up);
  shares = ComputeTargetShares(table, usable, &capacity, load, {});
  CHECK(LeastLoaded(shares, 2)->target->incarnation.id == added);
}

// Guards against a request that is sent long after its credit, because its
// connection took long to open.
TEST_CASE("a request that waited for its connection needs a valid credit") {
  WarmUpLimits limits(kBounds);
  TargetNotices notices;
  SendCredits::Handlers handlers;
  handlers.on_issuer = [](const auto&...) {};
  SendCredits credits(VmId("m-0"), notices, limits, handlers);
  std::optional<Instant> credit_until;
  // Chosen before anyone knew that the target warms up.
  CHECK(credits.MaySendDelayed(At(9), kTarget, kZone, credit_until));
  limits.OnServices(At(9), Services());
  limits.OnListed(At(9), Entry(seconds(3)));
  CHECK_FALSE(credits.MaySendDelayed(At(9), kTarget, kZone, credit_until));
  REQUIRE(credits.Check(At(10), kTarget, kZone) == CreditState::kAvailable);
  credit_until = credits.Consume(At(10), kTarget);
  CHECK(credit_until == At(10.3));
  CHECK(credits.MaySendDelayed(At(10.299), kTarget, kZone, credit_until));
  // Its credit has expired; another one is at hand.
  CHECK(credits.MaySendDelayed(At(10.3), kTarget, kZone, credit_until));
  CHECK(credit_until == At(10.6));
  std::optional<Instant> other;
  CHECK_FALSE(credits.MaySendDelayed(At(10.3), kTarget, kZone, other));
}

}  // namespace figstall
