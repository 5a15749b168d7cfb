// Members that share the limit of one target, in virtual time: uneven demand,
// lost and late messages, and members that join, fall silent, are cut off or
// end. Requests are counted as the users' rule LIMIT does.
#include "figstall/send_credits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <queue>
#include <random>

#include "iteration_factor.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetIncarnation kTarget{TargetId("t-1"), 1000};
const ZoneId kTargetZone("zone-0");
constexpr int kZones = 6;
// A request that has no credit by then is refused or goes to another target.
constexpr Duration kMaxWait = milliseconds(160);
// The rule's window, and the times from which it counts.
constexpr Duration kWindow = seconds(4);
constexpr Duration kStability = seconds(3);
constexpr Duration kReaction = milliseconds(500);

// Requests that the rule allows in one window.
double Allowed(double limit) {
  return 1.5 * limit * 4 + 5;
}

struct Options {
  std::size_t members = 12;
  double limit = 3.8;
  // Requests per second of all members together.
  double demand = 60;
  Duration length = seconds(30);
  double message_loss = 0.02;
  // Of an update of the member list, at each member on its own.
  Duration max_view_delay = milliseconds(800);
  // Members end, join, are frozen and cut off.
  bool faults = false;
  std::uint64_t seed = 1;
};

struct RunResult {
  // Most counted requests in one window.
  std::size_t most = 0;
  // Requests sent for credits after the first window, as a share of the limit.
  // A request of a member that knows no limit yet is no use of it.
  double use = 0;
  std::size_t requested = 0;
  std::size_t sent = 0;
};

class Simulation {
 public:
  explicit Simulation(const Options& options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options.members; ++i)
      AddMember();
    for (std::size_t i = 0; i < members_.size(); ++i)
      SetView(i);
  }

  RunResult Run() {
    if (options_.faults)
      ScheduleFaults();
    ScheduleNextRequest();
    while (!events_.empty() && events_.top().at <= end_) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return Count();
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Member {
    VmId vm;
    ZoneId zone;
    TargetNotices notices;
    WarmUpLimits warm_ups;
    std::unique_ptr<SendCredits> credits;
    double weight = 1;
    bool alive = true;
    Instant frozen_until{};
    Instant cut_until{};
    // The rule does not count a member while it is disturbed, and until it has
    // passed on the limit again.
    std::optional<Instant> told_at;
    std::vector<std::function<void()>> held_up;
  };

  void After(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++order_, std::move(run)});
  }
  double Random() { return std::uniform_real_distribution<>()(random_); }
  Duration RandomDuration(Duration from, Duration to) {
    return from + Duration(static_cast<Duration::rep>(
                      Random() * static_cast<double>((to - from).count())));
  }

  std::size_t AddMember() {
    const std::size_t index = members_.size();
    auto member = std::make_unique<Member>();
    member->vm = VmId("m-" + std::to_string(index));
    member->zone = ZoneId("zone-" + std::to_string(index % kZones));
    // A few members have most of the demand.
    member->weight = 1 / (1.0 + static_cast<double>(index % 17));
    SendCredits::Handlers handlers;
    handlers.send = [this, index](const VmId& to,
                                  const CreditMessage& message) {
      SendMessage(index, to, message);
    };
    handlers.on_limit = [this, index](const VmId&,
                                      const TargetIncarnation& target,
                                      const RateLimit& limit) {
      members_[index]->notices.OnReportedLimit(target, limit);
    };
    handlers.on_issuer = [](const auto&...) {};
    member->credits = std::make_unique<SendCredits>(
        member->vm, member->notices, member->warm_ups, std::move(handlers));
    members_.push_back(std::move(member));
    return index;
  }

  void SetView(std::size_t index) {
    std::map<VmId, ZoneId> view;
    for (const auto& member : members_) {
      if (member->alive)
        view[member->vm] = member->zone;
    }
    members_[index]->credits->SetMembers(std::move(view));
  }

  // Each member learns of a change of the member list on its own.
  void UpdateViews() {
    for (std::size_t i = 0; i < members_.size(); ++i)
      After(RandomDuration(Duration{0}, options_.max_view_delay),
            [this, i] { SetView(i); });
  }

  bool Reaches(const Member& member) const {
    return member.alive && now_ >= member.cut_until;
  }

  void SendMessage(std::size_t from,
                   const VmId& to,
                   const CreditMessage& message) {
    if (!Reaches(*members_[from]) || Random() < options_.message_loss)
      return;
    const auto receiver = std::stoul(to.value().substr(2));
    After(RandomDuration(milliseconds(1), milliseconds(14)),
          [this, from, receiver, message] {
            if (Reaches(*members_[receiver]))
              WhenRunning(receiver, [this, from, receiver, message] {
                Receive(receiver, from, message);
              });
          });
  }

  // Runs the task once the member is not frozen.
  void WhenRunning(std::size_t index, std::function<void()> task) {
    Member& member = *members_[index];
    if (now_ >= member.frozen_until)
      return task();
    After(member.frozen_until - now_, std::move(task));
  }

  void Receive(std::size_t index,
               std::size_t from,
               const CreditMessage& message) {
    SendCredits& credits = *members_[index]->credits;
    if (const auto* request = std::get_if<CreditRequest>(&message))
      return SendMessage(index, members_[from]->vm,
                         credits.OnRequest(now_, *request, kTargetZone));
    credits.OnResponse(now_, std::get<CreditResponse>(message));
  }

  void ScheduleNextRequest() {
    After(Duration(static_cast<Duration::rep>(-std::log(1 - Random()) /
                                              options_.demand * 1e6)),
          [this] {
            std::vector<double> weights;
            for (const auto& member : members_)
              weights.push_back(member->alive ? member->weight : 0);
            const std::size_t index = std::discrete_distribution<std::size_t>(
                weights.begin(), weights.end())(random_);
            const Instant arrived_at = now_;
            ++requested_;
            WhenRunning(index,
                        [this, index, arrived_at] { Try(index, arrived_at); });
            ScheduleNextRequest();
          });
  }

  void Try(std::size_t index, Instant arrived_at) {
    Member& member = *members_[index];
    if (!member.alive || now_ < member.cut_until)
      return;
    switch (member.credits->Check(now_, kTarget, kTargetZone)) {
      case CreditState::kAvailable:
        member.credits->Consume(now_, kTarget);
        if (member.notices.LimitOf(kTarget) && now_ >= measured_from_)
          ++used_credits_;
        return After(RandomDuration(milliseconds(1), milliseconds(14)),
                     [this, index] { Arrive(index); });
      case CreditState::kPending:
        if (now_ - arrived_at < kMaxWait)
          After(milliseconds(25), [this, index, arrived_at] {
            WhenRunning(index,
                        [this, index, arrived_at] { Try(index, arrived_at); });
          });
        return;
      case CreditState::kRefused:
        return;
    }
  }

  void Arrive(std::size_t index) {
    Member& member = *members_[index];
    first_named_at_ = first_named_at_.value_or(now_);
    const bool counted = member.told_at &&
                         now_ >= *member.told_at + kReaction &&
                         now_ >= *first_named_at_ + kStability;
    arrivals_.push_back({now_, counted});
    After(milliseconds(120), [this, index] {
      Member& told = *members_[index];
      if (!Reaches(told))
        return;
      TargetNotice notice;
      notice.rate_limit = options_.limit;
      notice.complete = true;
      WhenRunning(index, [this, index, notice] {
        Member& running = *members_[index];
        running.notices.OnAnswer(now_, kTarget, notice);
        running.told_at = running.told_at.value_or(now_);
      });
    });
  }

  // The member that issues most credits is hit as often as any other.
  std::size_t PickMember() {
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (members_[i]->alive && now_ >= members_[i]->frozen_until &&
          now_ >= members_[i]->cut_until)
        alive.push_back(i);
    }
    if (Random() < 0.5) {
      std::vector<std::size_t> near;
      for (const std::size_t i : alive) {
        if (members_[i]->zone == kTargetZone)
          near.push_back(i);
      }
      if (!near.empty())
        alive = near;
    }
    return alive[random_() % alive.size()];
  }

  void ScheduleFaults() {
    for (Duration at = seconds(2); at < options_.length;
         at += RandomDuration(milliseconds(300), milliseconds(2500)))
      After(at, [this] { Disturb(); });
  }

  void Disturb() {
    const std::size_t index = PickMember();
    Member& member = *members_[index];
    const Duration length = RandomDuration(milliseconds(300), seconds(4));
    switch (random_() % 4) {
      case 0:
        member.frozen_until = now_ + length;
        break;
      case 1:
        member.cut_until = now_ + length;
        break;
      case 2: {
        // Ends; its key in the store expires with its lease.
        member.alive = false;
        After(RandomDuration(milliseconds(10), seconds(6)),
              [this] { UpdateViews(); });
        break;
      }
      default:
        AddMember();
        SetView(members_.size() - 1);
        UpdateViews();
        return;
    }
    member.told_at.reset();
    // Not counted as long as it is disturbed.
    After(length, [this, index] { members_[index]->told_at.reset(); });
  }

  RunResult Count() const {
    RunResult result;
    std::deque<Instant> window;
    result.requested = requested_;
    for (const auto& [at, counted] : arrivals_) {
      ++result.sent;
      if (!counted)
        continue;
      window.push_back(at);
      while (at - window.front() > kWindow)
        window.pop_front();
      result.most = std::max(result.most, window.size());
    }
    result.use = static_cast<double>(used_credits_) /
                 (options_.limit *
                  std::chrono::duration<double>(end_ - measured_from_).count());
    return result;
  }

  struct Arrival {
    Instant at;
    bool counted;
  };

  const Options options_;
  std::mt19937_64 random_;
  Instant now_{};
  const Instant measured_from_ = Instant{} + kStability + kWindow;
  const Instant end_ = Instant{} + options_.length;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<Arrival> arrivals_;
  std::size_t requested_ = 0;
  std::size_t used_credits_ = 0;
  std::optional<Instant> first_named_at_;
};

// Several times as much demand as the limit allows.
Options OverloadOf(std::size_t members, double limit, int seed) {
  Options options;
  options.members = members;
  options.limit = limit;
  options.demand = std::max(20.0, 6 * limit);
  options.seed = static_cast<std::uint64_t>(seed);
  return options;
}

}  // namespace

// Guards against shares per member whose bursts add up: at 67 and 195 members a
// bucket of one request each is more than a small limit allows.
TEST_CASE("a limit bounds the sum over 12, 67 and 195 members") {
  for (const std::size_t members : {12, 67, 195}) {
    for (const double limit : {0.0, 0.5, 3.8, 25.0}) {
      for (int seed = 1; seed <= 2 * IterationFactor("FIGSTALL_WALKS");
           ++seed) {
        CAPTURE(members, limit, seed);
        const RunResult result =
            Simulation(OverloadOf(members, limit, seed)).Run();
        CHECK(static_cast<double>(result.most) <= Allowed(limit));
        // A target within its limit is used.
        if (limit >= 0.5)
          CHECK(result.use > 0.8);
      }
    }
  }
}

// Guards against two members that issue credits for one target for long, and
// against a lost issuer that stops all requests to the target.
TEST_CASE("a limit holds while members join, fall silent, are cut off or end") {
  for (const std::size_t members : {12, 67, 195}) {
    for (const double limit : {0.5, 3.8, 25.0}) {
      for (int seed = 1; seed <= 4 * IterationFactor("FIGSTALL_WALKS");
           ++seed) {
        Options options = OverloadOf(members, limit, seed);
        options.faults = true;
        options.message_loss = 0.05;
        CAPTURE(members, limit, seed);
        const RunResult result = Simulation(options).Run();
        CHECK(static_cast<double>(result.most) <= Allowed(limit));
        CHECK(result.use > 0.3);
      }
    }
  }
}

// Guards against credits that expire unused at members which rarely need one.
TEST_CASE("demand below the limit is served in full") {
  for (const std::size_t members : {12, 195}) {
    Options options;
    options.members = members;
    options.limit = 20;
    options.demand = 10;
    CAPTURE(members);
    const RunResult result = Simulation(options).Run();
    CHECK(static_cast<double>(result.sent) >
          0.97 * static_cast<double>(result.requested));
  }
}

TEST_CASE("a credit expires, counted from its request") {
  TargetNotices notices;
  const WarmUpLimits warm_ups;
  notices.OnReportedLimit(kTarget, {4.0, Instant{}});
  std::vector<CreditRequest> requests;
  SendCredits::Handlers handlers;
  handlers.send = [&](const VmId&, const CreditMessage& message) {
    requests.push_back(std::get<CreditRequest>(message));
  };
  handlers.on_limit = [](const auto&...) {};
  handlers.on_issuer = [](const auto&...) {};
  SendCredits credits(VmId("m-1"), notices, warm_ups, handlers);
  credits.SetMembers({{VmId("m-0"), kTargetZone}});
  const Instant sent_at = Instant{} + seconds(1);
  CHECK(credits.Check(sent_at, kTarget, kTargetZone) == CreditState::kPending);
  REQUIRE(requests.size() == 1);
  CreditResponse response;
  response.from = VmId("m-0");
  response.serial = requests[0].serial;
  response.target = kTarget;
  // A damaged message grants no more than could have been requested.
  response.granted = 4'000'000'000;
  credits.OnResponse(sent_at + milliseconds(600), response);
  CHECK(credits.granted() == CreditTiming{}.max_wanted);
  CHECK(credits.Check(sent_at + milliseconds(699), kTarget, kTargetZone) ==
        CreditState::kAvailable);
  CHECK(credits.Check(sent_at + milliseconds(700), kTarget, kTargetZone) ==
        CreditState::kPending);
}

// Guards against a target that is used less than it allows, because the credits
// of a lost response are lost with it.
TEST_CASE("a repeated request is granted the credits of a lost response") {
  TargetNotices notices;
  const WarmUpLimits warm_ups;
  notices.OnReportedLimit(kTarget, {0.5, Instant{}});
  std::vector<CreditMessage> sent;
  SendCredits::Handlers handlers;
  handlers.send = [&](const VmId&, const CreditMessage& message) {
    sent.push_back(message);
  };
  handlers.on_limit = [](const auto&...) {};
  handlers.on_issuer = [](const auto&...) {};
  const std::map<VmId, ZoneId> members = {{VmId("m-0"), kTargetZone},
                                          {VmId("m-1"), ZoneId("zone-1")}};
  SendCredits issuer(VmId("m-0"), notices, warm_ups, handlers);
  issuer.SetMembers(members);
  SendCredits member(VmId("m-1"), notices, warm_ups, handlers);
  member.SetMembers(members);
  const auto issue = [&](Instant now) {
    return issuer.OnRequest(now, std::get<CreditRequest>(sent.back()),
                            kTargetZone);
  };
  // The bucket fills from its first request on.
  Instant now = Instant{} + seconds(10);
  CreditRequest other;
  other.from = VmId("m-2");
  other.target = kTarget;
  other.wanted = 1;
  CHECK(issuer.OnRequest(now, other, kTargetZone).granted == 0);
  now += seconds(2);
  CHECK(member.Check(now, kTarget, kTargetZone) == CreditState::kPending);
  CHECK(issue(now).granted == 1);
  now += milliseconds(60);
  CHECK(member.Check(now, kTarget, kTargetZone) == CreditState::kPending);
  REQUIRE(sent.size() == 2);
  const CreditResponse repeated = issue(now);
  CHECK(repeated.granted == 1);
  // Both responses arrive after all: one credit, valid from the first request.
  member.OnResponse(now, repeated);
  member.OnResponse(now, repeated);
  CHECK(member.granted() == 1);
  CHECK(member.HasCredit(now + milliseconds(639), kTarget));
  CHECK_FALSE(member.HasCredit(now + milliseconds(640), kTarget));
  // Nothing was taken twice.
  now += seconds(2);
  other.serial = 1;
  CHECK(issuer.OnRequest(now, other, kTargetZone).granted == 1);
}

TEST_CASE("a statement that a limit has ended reaches those who ask") {
  TargetNotices notices;
  const WarmUpLimits warm_ups;
  notices.OnReportedLimit(kTarget, {4.0, Instant{}});
  std::vector<CreditMessage> sent;
  SendCredits::Handlers handlers;
  handlers.send = [&](const VmId&, const CreditMessage& message) {
    sent.push_back(message);
  };
  handlers.on_limit = [&](const VmId&, const TargetIncarnation& target,
                          const RateLimit& limit) {
    notices.OnReportedLimit(target, limit);
  };
  handlers.on_issuer = [](const auto&...) {};
  SendCredits credits(VmId("m-1"), notices, warm_ups, handlers);
  credits.SetMembers({{VmId("m-0"), kTargetZone}});
  const Instant now = Instant{} + seconds(9);
  CHECK(credits.Check(now, kTarget, kTargetZone) == CreditState::kPending);
  CreditResponse response;
  response.from = VmId("m-0");
  response.serial = std::get<CreditRequest>(sent.at(0)).serial;
  response.target = kTarget;
  response.limit = LimitStatement{std::nullopt, seconds(1)};
  credits.OnResponse(now, response);
  CHECK(credits.Check(now, kTarget, kTargetZone) == CreditState::kAvailable);
}

}  // namespace figstall
