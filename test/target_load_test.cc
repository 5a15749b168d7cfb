// What is learned of targets, and the choice among them.
#include <catch2/catch.hpp>

#include "figstall/target_load.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) {
  return Instant(std::chrono::seconds(1000) + milliseconds(millis));
}

TargetEntry Entry(const std::string& id, std::uint32_t slots = 4) {
  TargetEntry entry;
  entry.incarnation.id = TargetId(id);
  entry.slots = slots;
  return entry;
}

void Answer(TargetLoad& load, int times, int millis) {
  for (int i = 0; i < times; ++i) {
    load.OnSent(At(0));
    load.OnDone(At(0), AttemptOutcome::kAnswered, milliseconds(millis));
  }
}

}  // namespace

TEST_CASE("the faster of two idle targets is chosen") {
  const TargetEntry slow = Entry("slow");
  const TargetEntry fast = Entry("fast");
  TargetLoad slow_load;
  TargetLoad fast_load;
  Answer(slow_load, 20, 200);
  Answer(fast_load, 20, 80);
  const std::vector<Candidate> candidates = {
      {&slow, &slow_load, Distance::kSameZone, 2},
      {&fast, &fast_load, Distance::kSameZone, 2}};
  CHECK(PickTarget(candidates, {}, At(0))->entry == &fast);
}

TEST_CASE("work goes elsewhere before a target's queue grows long") {
  const TargetEntry near = Entry("near");
  const TargetEntry far = Entry("far");
  TargetLoad near_load;
  TargetLoad far_load;
  Answer(near_load, 20, 100);
  Answer(far_load, 20, 100);
  const std::vector<Candidate> candidates = {
      {&near, &near_load, Distance::kSameZone, 3},
      {&far, &far_load, Distance::kSameRegion, 3}};
  // One request each 200 ms that is not answered, from each of three routers.
  int near_sent = 0;
  int millis = 0;
  while (PickTarget(candidates, {}, At(millis))->entry == &near) {
    near_load.OnSent(At(millis));
    ++near_sent;
    millis += 200;
  }
  CHECK(near_sent >= 1);
  CHECK(near_sent <= 3);
}

// Load: caroni quiet-1. A zone with one archive target refused a fifth of its
// drawings, since another region counted as nearer than another zone.
TEST_CASE("large answers stay in their region while it has any target") {
  const TargetEntry home = Entry("home");
  const TargetEntry zone = Entry("zone");
  const TargetEntry region = Entry("region");
  TargetLoad home_load;
  TargetLoad zone_load;
  TargetLoad region_load;
  const std::vector<Candidate> candidates = {
      {&home, &home_load, Distance::kSameZone, 2},
      {&region, &region_load, Distance::kOtherRegion, 2},
      {&zone, &zone_load, Distance::kSameRegion, 2}};
  const SelectionOptions bulk{true, milliseconds(100)};
  CHECK(PickTarget(candidates, bulk, At(0))->entry == &home);
  while (home_load.HasSpareCapacity(At(0), 4, 2))
    home_load.OnSent(At(0));
  CHECK(PickTarget(candidates, bulk, At(0))->entry == &zone);
  while (zone_load.HasSpareCapacity(At(0), 4, 2))
    zone_load.OnSent(At(0));
  CHECK(PickTarget(candidates, bulk, At(0)) == nullptr);
  const std::vector<Candidate> only_far = {candidates[1]};
  CHECK(PickTarget(only_far, bulk, At(0))->entry == &region);
}

// Load: on_full hang and hot_key. A target that is full never answers again,
// and a key that grows hot brings each router twenty requests a second at once.
TEST_CASE("all routers together stay below slots and a short queue") {
  for (const std::uint32_t routers : {1U, 2U, 3U, 6U, 10U}) {
    TargetLoad load;
    for (int millis = 0; millis < 3000; millis += 50) {
      if (load.HasSpareCapacity(At(millis), 4, routers))
        load.OnSent(At(millis));
    }
    CHECK(load.in_flight() * routers <= 4 + 16);
    CHECK(load.in_flight() * routers >= 4);
  }
}

TEST_CASE("a target that keeps failing is left alone and then tried again") {
  TargetLoad load;
  for (int i = 0; i < 3; ++i) {
    load.OnSent(At(0));
    load.OnDone(At(0), AttemptOutcome::kBroken, milliseconds(5));
  }
  CHECK(load.Ejected(At(100)));
  CHECK_FALSE(load.Ejected(At(700)));
  load.OnSent(At(700));
  CHECK_FALSE(load.HasSpareCapacity(At(700), 4, 1));
  load.OnDone(At(800), AttemptOutcome::kAnswered, milliseconds(100));
  load.OnSent(At(900));
  CHECK(load.HasSpareCapacity(At(900), 4, 1));
}

TEST_CASE("only ejected targets left: they are used rather than none") {
  const TargetEntry only = Entry("only");
  TargetLoad load;
  for (int i = 0; i < 3; ++i) {
    load.OnSent(At(0));
    load.OnDone(At(0), AttemptOutcome::kTimedOut, milliseconds(500));
  }
  const std::vector<Candidate> candidates = {
      {&only, &load, Distance::kSameZone, 1}};
  REQUIRE(load.Ejected(At(1)));
  CHECK(PickTarget(candidates, {}, At(1)) != nullptr);
}

// Load: grown umurage quiet-1. Fifteen routers share a zone's targets; one
// request of one router was taken for fifteen, and a third of all downloads
// crossed zones.
TEST_CASE("one request in flight does not push work out of a large zone") {
  const TargetEntry home = Entry("home", 2);
  const TargetEntry zone = Entry("zone", 2);
  TargetLoad home_load;
  TargetLoad zone_load;
  Answer(home_load, 20, 180);
  Answer(zone_load, 20, 180);
  home_load.OnSent(At(10'000));
  const std::vector<Candidate> candidates = {
      {&home, &home_load, Distance::kSameZone, 15},
      {&zone, &zone_load, Distance::kSameRegion, 15}};
  const TargetEntry idle_home = Entry("idle", 2);
  TargetLoad idle_load;
  Answer(idle_load, 20, 220);
  std::vector<Candidate> with_idle = candidates;
  with_idle.push_back({&idle_home, &idle_load, Distance::kSameZone, 15});
  const SelectionOptions bulk{true, milliseconds(180)};
  CHECK(PickTarget(with_idle, bulk, At(10'010))->entry->zone == home.zone);
  CHECK(PickTarget(with_idle, bulk, At(10'010))->entry != &zone);
}

TEST_CASE("requests in flight are remembered for a moment") {
  TargetLoad load;
  load.OnSent(At(0));
  CHECK(load.mean_in_flight(At(0)) < 0.01);
  CHECK(load.mean_in_flight(At(3000)) > 0.9);
  load.OnDone(At(3000), AttemptOutcome::kAnswered, milliseconds(3000));
  CHECK(load.mean_in_flight(At(3100)) > 0.8);
  CHECK(load.mean_in_flight(At(8000)) < 0.05);
}

// Load: umurage quiet-1. Eleven routers share two slots, so each has part of
// one request; one request in seven was refused at targets that were idle.
TEST_CASE("a router uses the free slots of a target that has little to do") {
  TargetLoad load;
  load.OnSent(At(0));
  CHECK(load.HasSpareCapacity(At(80), 2, 11));
  load.OnSent(At(80));
  CHECK_FALSE(load.HasSpareCapacity(At(81), 2, 11));
}

// Load: hot_key. Routers that are all busy at a target keep to their parts.
TEST_CASE("a router keeps to its part at a target where it is always busy") {
  TargetLoad load;
  load.OnSent(At(0));
  CHECK_FALSE(load.HasSpareCapacity(At(500), 2, 11));
  TargetLoad many_slots;
  many_slots.OnSent(At(0));
  CHECK(many_slots.HasSpareCapacity(At(1000), 4, 10));
  many_slots.OnSent(At(1000));
  CHECK_FALSE(many_slots.HasSpareCapacity(At(1000), 4, 10));
}

// Load: grown umurage quiet-1. 91 routers opened 26,743 connections for 43,487
// requests, since each used every target in turn.
TEST_CASE("of equal targets the one with an open connection is chosen") {
  const TargetEntry first = Entry("first");
  const TargetEntry second = Entry("second");
  TargetLoad load;
  Answer(load, 20, 100);
  const std::vector<Candidate> candidates = {
      {&first, &load, Distance::kSameZone, 2, false},
      {&second, &load, Distance::kSameZone, 2, true}};
  CHECK(PickTarget(candidates, {}, At(0))->entry == &second);
  // But not where requests wait for it.
  TargetLoad busy = load;
  for (int i = 0; i < 4; ++i)
    busy.OnSent(At(0));
  const std::vector<Candidate> loaded = {
      {&first, &load, Distance::kSameZone, 2, false},
      {&second, &busy, Distance::kSameZone, 2, true}};
  CHECK(PickTarget(loaded, {}, At(0))->entry == &first);
}

TEST_CASE("callers that leave say nothing about a target") {
  TargetLoad load;
  for (int i = 0; i < 10; ++i) {
    load.OnSent(At(0));
    load.OnDone(At(0), AttemptOutcome::kAbandoned, milliseconds(5));
  }
  CHECK_FALSE(load.Ejected(At(1)));
  CHECK(load.failure_rate() == 0);
  CHECK(load.in_flight() == 0);
}

TEST_CASE("work time is the mean of answers' times without queueing") {
  TargetLoad load;
  for (int i = 0; i < 300; ++i) {
    load.OnSent(At(0));
    load.OnDone(At(0), AttemptOutcome::kAnswered,
                milliseconds(i % 2 ? 50 : 150));
  }
  REQUIRE(load.work(At(0)));
  CHECK(load.work(At(0))->mean > milliseconds(95));
  CHECK(load.work(At(0))->mean < milliseconds(105));
  CHECK(load.work(At(0))->samples == Approx(300));
  CHECK(load.work(At(20'000))->samples < 30);
  CHECK(load.work(At(200'000))->samples == Approx(5));
}

// Load: caroni trouble-1, one key with a third of the traffic. The queue at its
// owner made the owner look slow.
TEST_CASE("a crowded target does not look slow") {
  TargetLoad load;
  for (int i = 0; i < 300; ++i) {
    load.OnSent(At(0));
    load.OnDone(At(0), AttemptOutcome::kAnswered, milliseconds(400),
                /*crowding=*/4);
  }
  CHECK(load.work(At(0))->mean == milliseconds(100));
  CHECK(*load.latency() > milliseconds(300));
}

TEST_CASE("crowding counts what the other routers have") {
  TargetLoad load;
  CHECK(load.QueueingFactor(At(0), 4, 10) == 1);
  load.OnSent(At(0));
  load.OnSent(At(0));
  // Two of ten routers each, after a while: 2 + 9 x 2 + 1 for 4 slots.
  CHECK(load.QueueingFactor(At(20'000), 4, 10) == Approx(21.0 / 4));
}

}  // namespace figstall
