// Tests the estimate of a target's load from what it stated.
#include "figstall/stated_load.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "figstall/target_load.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

constexpr Duration kResponseTime = milliseconds(300);

Instant At(int millis) {
  return Instant(std::chrono::seconds(1000) + milliseconds(millis));
}

TargetEntry Entry(const std::string& id) {
  TargetEntry entry;
  entry.incarnation.id = TargetId(id);
  entry.slots = 4;
  return entry;
}

}  // namespace

// Guards against an estimate that lacks what this entry sent since, or counts
// what it had there twice.
TEST_CASE("an estimate follows this entry's own requests exactly") {
  LoadEstimator estimator;
  estimator.OnStated(At(0), {4, 2, 4, 1}, /*own_in_flight=*/3);
  CHECK(estimator.At(At(0), 3, kResponseTime)->requests == Approx(6));
  CHECK(estimator.At(At(0), 5, kResponseTime)->requests == Approx(8));
  CHECK(estimator.At(At(0), 0, kResponseTime)->requests == Approx(3));
  CHECK(estimator.At(At(0), 3, kResponseTime)->QueueingFactor() ==
        Approx(7.0 / 4));
}

// Guards against the use of a peak or of a moment without load for seconds.
TEST_CASE("the load from other entries returns to its mean") {
  LoadEstimator estimator;
  for (int millis = 0; millis < 10'000; millis += 100)
    estimator.OnStated(At(millis), {4, 0, 4, 1}, 0);
  estimator.OnStated(At(10'000), {0, 0, 4, 1}, 0);
  CHECK(estimator.At(At(10'000), 0, kResponseTime)->requests == Approx(0));
  CHECK(estimator.At(At(11'500), 0, kResponseTime)->requests > 3.5);
}

// Load pattern: a target that stops stating its load.
TEST_CASE("a target that stops stating its load is judged by own requests") {
  const SelectionOptions options{false, milliseconds(300), milliseconds(1000)};
  const TargetEntry entry = Entry("a");
  TargetLoad load;
  load.OnStated(At(0), StatedLoad{4, 16, 4, 1});
  REQUIRE_FALSE(load.HasSpareCapacity(At(0), 4, 10));
  SECTION("with a response that states none") {
    load.OnStated(At(10), std::nullopt);
    CHECK_FALSE(load.StatesLoad());
    CHECK(load.HasSpareCapacity(At(10), 4, 10));
  }
  SECTION("without any response, within two seconds") {
    CHECK(load.EstimatedLoad(At(2000)));
    CHECK_FALSE(load.EstimatedLoad(At(2001)));
    CHECK(load.HasSpareCapacity(At(2001), 4, 10));
  }
  const std::vector<Candidate> candidates = {
      {&entry, &load, Distance::kSameZone, 10}};
  CHECK(PickTarget(candidates, options, At(2001), 0.5) != nullptr);
}

// Guards against a full target that nobody tries again although it has become
// idle: only a response brings another statement.
TEST_CASE("a target that was full is tried again after some response times") {
  TargetLoad load;
  for (int millis = 0; millis < 5000; millis += 100)
    load.OnStated(At(millis), StatedLoad{4, 16, 4, 1});
  CHECK_FALSE(load.HasSpareCapacity(At(5000), 4, 10));
  CHECK(load.HasSpareCapacity(At(4900 + 3 * 300), 4, 10));
}

// Guards against idle targets while requests wait: of 72 entries each had a
// share of one request in flight at a target of 4 slots.
TEST_CASE("the limit of requests in flight follows the stated load") {
  TargetLoad load;
  for (int i = 0; i < 3; ++i)
    load.OnSent(At(0));
  CHECK_FALSE(load.HasSpareCapacity(At(500), 4, 72));
  load.OnStated(At(500), StatedLoad{3, 0, 4, 1});
  CHECK(load.HasSpareCapacity(At(500), 4, 72));
  load.OnStated(At(600), StatedLoad{4, 8, 4, 1});
  CHECK_FALSE(load.HasSpareCapacity(At(600), 4, 72));
}

// Load pattern: a machine that is slow for 0.4 s.
TEST_CASE("a target that states to be slow is avoided for that time") {
  const TargetEntry slow = Entry("slow");
  const TargetEntry usual = Entry("usual");
  TargetLoad slow_load;
  TargetLoad usual_load;
  slow_load.OnStated(At(0), StatedLoad{1, 0, 4, 3});
  usual_load.OnStated(At(0), StatedLoad{1, 0, 4, 1});
  const std::vector<Candidate> candidates = {
      {&slow, &slow_load, Distance::kSameZone, 8},
      {&usual, &usual_load, Distance::kSameZone, 8}};
  const SelectionOptions options{false, milliseconds(300), milliseconds(1000)};
  const auto slow_choices = [&](int millis) {
    int count = 0;
    for (int i = 0; i < 1000; ++i) {
      if (PickTarget(candidates, options, At(millis), i / 1000.0)->entry ==
          &slow)
        ++count;
    }
    return count;
  };
  CHECK(slow_choices(10) < 50);
  CHECK(slow_choices(1500) > 450);
}

// Load pattern: unequal speeds. The faster target gets more, not all.
TEST_CASE("a faster target has more requests before both are equally good") {
  const TargetEntry fast = Entry("fast");
  const TargetEntry slow = Entry("slow");
  TargetLoad fast_load;
  TargetLoad slow_load;
  for (int i = 0; i < 20; ++i) {
    fast_load.OnSent(At(0));
    fast_load.OnDone(At(0), AttemptOutcome::kAnswered, milliseconds(200));
    slow_load.OnSent(At(0));
    slow_load.OnDone(At(0), AttemptOutcome::kAnswered, milliseconds(480));
  }
  const std::vector<Candidate> candidates = {
      {&fast, &fast_load, Distance::kSameZone, 1},
      {&slow, &slow_load, Distance::kSameZone, 1}};
  const SelectionOptions options{false, milliseconds(300), milliseconds(1000)};
  fast_load.OnStated(At(0), StatedLoad{4, 1, 4, 1});
  slow_load.OnStated(At(0), StatedLoad{0, 0, 4, 1});
  CHECK(PickTarget(candidates, options, At(0))->entry == &fast);
  fast_load.OnStated(At(0), StatedLoad{4, 6, 4, 1});
  CHECK(PickTarget(candidates, options, At(0))->entry == &slow);
}

// Load pattern: herding on a stale view. All routers see the same target idle
// and the others nearly idle.
TEST_CASE("routers with the same view do not all choose the same target") {
  constexpr int kRouters = 72;
  std::vector<TargetEntry> entries;
  entries.reserve(12);
  for (int i = 0; i < 12; ++i)
    entries.push_back(Entry(std::to_string(i)));
  std::vector<TargetLoad> loads(entries.size());
  for (std::size_t i = 0; i < entries.size(); ++i)
    loads[i].OnStated(At(0), StatedLoad{i == 0 ? 0U : 4U, 0, 4, 1});
  std::vector<int> chosen(entries.size());
  for (int router = 0; router < kRouters; ++router) {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < entries.size(); ++i)
      candidates.push_back({&entries[i], &loads[i], Distance::kSameZone,
                            kRouters, true,
                            (router * 7919U + i * 104'729U) % 1009});
    const Candidate* choice =
        PickTarget(candidates, {false, milliseconds(300), milliseconds(1000)},
                   At(100), router / static_cast<double>(kRouters));
    ++chosen[static_cast<std::size_t>(choice->entry - entries.data())];
  }
  CHECK(chosen[0] >= 1);
  CHECK(*std::max_element(chosen.begin(), chosen.end()) <= 4 + 16);
}

// Load pattern: a hot key, of which 72 entries send more to its owner than it
// can serve. Guards against an owner that rejects most of what it gets, which
// uses up the retry budget, and against one that idles while requests wait.
TEST_CASE("entries hold back what a full owner would reject") {
  constexpr std::uint32_t kEntries = 72;
  const auto rejected_share = [](bool states_load) {
    std::mt19937_64 random(5);
    std::vector<TargetLoad> loads(kEntries);
    struct Sent {
      std::size_t entry;
      int sent_at;
      int done_at;
    };
    std::vector<Sent> running;
    std::queue<Sent> waiting;
    int sent = 0;
    int rejected = 0;
    int served = 0;
    // One request each 16 ms, four times the capacity.
    for (int millis = 0; millis < 60'000; ++millis) {
      const StatedLoad load{static_cast<std::uint32_t>(running.size()),
                            static_cast<std::uint32_t>(waiting.size()), 4, 1};
      std::erase_if(running, [&](const auto& each) {
        if (each.done_at > millis)
          return false;
        if (states_load)
          loads[each.entry].OnStated(At(millis), load);
        loads[each.entry].OnDone(At(millis), AttemptOutcome::kAnswered,
                                 milliseconds(millis - each.sent_at));
        ++served;
        return true;
      });
      while (running.size() < 4 && !waiting.empty()) {
        running.push_back(waiting.front());
        running.back().done_at = millis + 260;
        waiting.pop();
      }
      const std::size_t entry = random() % kEntries;
      if (millis % 16 != 0 ||
          !loads[entry].HasSpareCapacity(At(millis), 4, kEntries))
        continue;
      ++sent;
      loads[entry].OnSent(At(millis));
      if (waiting.size() < 16) {
        waiting.push({entry, millis, 0});
        continue;
      }
      ++rejected;
      if (states_load)
        loads[entry].OnStated(At(millis), load);
      loads[entry].OnDone(At(millis), AttemptOutcome::kRefused, Duration{0});
    }
    CHECK(served > 0.97 * 60 * 4 / 0.26);
    return rejected / static_cast<double>(sent);
  };
  CHECK(rejected_share(true) < 0.5 * rejected_share(false));
}

// Guards against another choice where no target states its load.
TEST_CASE("without stated loads the random number decides nothing") {
  const TargetEntry first = Entry("first");
  const TargetEntry second = Entry("second");
  TargetLoad load;
  const std::vector<Candidate> candidates = {
      {&first, &load, Distance::kSameZone, 8},
      {&second, &load, Distance::kSameZone, 8}};
  for (const double random : {0.0, 0.5, 0.999})
    CHECK(PickTarget(candidates, {}, At(0), random)->entry == &first);
}

}  // namespace figstall
