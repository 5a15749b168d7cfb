// Tests whether a request that waited for its connection may still be sent to
// the target that was chosen for it.
#include "figstall/target_selector.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const ServiceId kService("ledger");
const Endpoint kAddress{"127.0.0.1", 9};

TargetEntry MakeEntry(const std::string& id, std::int64_t started_at_ms) {
  TargetEntry entry;
  entry.incarnation = {TargetId(id), started_at_ms};
  entry.service = kService;
  entry.address = kAddress;
  entry.slots = 4;
  return entry;
}

class TestSelector {
 public:
  TestSelector() {
    for (const char* id : {"a", "b"})
      view.targets[TargetId(id)] = MakeEntry(id, 1);
    view.targets[TargetId("a")].zone = ZoneId("north-a");
    view.targets[TargetId("b")].zone = ZoneId("south-a");
    view.regions = {{ZoneId("north-a"), RegionId("north")},
                    {ZoneId("south-a"), RegionId("south")}};
    selector.OnViewChanged();
  }

  void SetOwner(const std::string& id, std::uint64_t fence, RangePhase phase) {
    RangeTable table;
    RangeEntry entry;
    entry.range = {0, static_cast<ShardKey>(kKeySpaceSize - 1)};
    entry.owner = {TargetId(id), 1};
    entry.fence = fence;
    entry.phase = phase;
    table.entries = {entry};
    view.tables[kService] = table;
  }

  // The targets warm up for two seconds from here on.
  void WarmUp(const std::vector<std::string>& ids) {
    TargetService service;
    service.warm_up_rate = 4.5;
    warm_ups.OnServices(kStart, {{kService, service}});
    for (const std::string& id : ids) {
      TargetEntry entry = MakeEntry(id, 1);
      entry.warm_up_left = std::chrono::seconds(2);
      warm_ups.OnListed(kStart, entry);
    }
  }

  // The target that gets a request now, or why there is none.
  std::string Choose(Instant now,
                     std::optional<ShardKey> key,
                     bool bulk = false) {
    TargetQuery query;
    query.bulk = bulk;
    query.service = kService;
    query.key = key;
    query.mean_latency = std::chrono::milliseconds(100);
    query.latency_objective = std::chrono::milliseconds(300);
    const TargetChoice choice = selector.Choose(now, query);
    if (!choice.client)
      return std::string(ToString(choice.reason));
    const TargetIncarnation& target = choice.client->entry().incarnation;
    credits.Consume(now, target);
    choice.client->load().OnSent(now);
    return target.id.value();
  }

  Unavailability Check(Instant now, std::optional<ShardKey> key) const {
    TargetQuery query;
    query.service = kService;
    query.key = key;
    return selector.CheckChosen(now, query, a, kAddress);
  }

  const TargetIncarnation a{TargetId("a"), 1};
  boost::asio::io_context io;
  EntrySettings settings;
  EntryView view;
  TargetNotices notices;
  WarmUpLimits warm_ups{WarmUpBounds{1.5, 8}};
  SendCredits credits{VmId("self"),
                      notices,
                      warm_ups,
                      {{}, {}, {}, [](const auto&...) {}}};
  RegionLinks region_links;
  TargetSelector selector{io, settings, view, notices, credits, region_links};
};

AllowedRegions Only(const char* region) {
  return AllowedRegions::FromList({RegionId(region)});
}

}  // namespace

TEST_CASE("a target that left meanwhile gets no request") {
  TestSelector test;
  REQUIRE(test.Check(kStart, std::nullopt) == Unavailability::kNone);
  SECTION("by its entry") {
    test.notices.OnListed(kStart, test.a, true);
    CHECK(test.Check(kStart, std::nullopt) == Unavailability::kLeaving);
  }
  SECTION("by what it said to another router") {
    test.notices.OnReportedLeaving(kStart, test.a);
    CHECK(test.Check(kStart, std::nullopt) == Unavailability::kLeaving);
  }
  SECTION("with its entry removed") {
    test.view.targets.erase(test.a.id);
    test.selector.OnViewChanged();
    CHECK(test.Check(kStart, std::nullopt) == Unavailability::kGone);
  }
}

TEST_CASE("an owner that leaves gets requests for a part of the drain time") {
  TestSelector test;
  test.SetOwner("a", 1, RangePhase::kSettled);
  test.notices.OnListed(kStart, test.a, true);
  CHECK(test.Check(kStart, 7) == Unavailability::kNone);
  CHECK(test.Check(kStart + test.settings.drain_duration, 7) ==
        Unavailability::kLeaving);
}

// Guards against a request for one target that reaches another one, which has
// its address or its id by now.
TEST_CASE("another target at the address gets no request") {
  TestSelector test;
  SECTION("another incarnation") {
    test.view.targets[test.a.id] = MakeEntry("a", 2);
  }
  SECTION("the same target at another address") {
    test.view.targets[test.a.id].address.port = 10;
  }
  SECTION("another id") {
    test.view.targets.erase(test.a.id);
    test.view.targets[TargetId("c")] = MakeEntry("c", 2);
  }
  test.selector.OnViewChanged();
  CHECK(test.Check(kStart, std::nullopt) == Unavailability::kGone);
}

TEST_CASE("a target whose key moves or has moved gets no request") {
  TestSelector test;
  test.SetOwner("a", 1, RangePhase::kSettled);
  REQUIRE(test.Check(kStart, 7) == Unavailability::kNone);
  test.SetOwner("a", 2, RangePhase::kMoving);
  CHECK(test.Check(kStart, 7) == Unavailability::kNoOwner);
  test.SetOwner("b", 2, RangePhase::kSettled);
  CHECK(test.Check(kStart, 7) == Unavailability::kOtherOwner);
  // It owns the key again, under a higher token.
  test.SetOwner("a", 3, RangePhase::kSettled);
  CHECK(test.Check(kStart, 7) == Unavailability::kNone);
}

// Guards against less urgent requests that fill the owner of a key, so that it
// rejects more urgent ones.
TEST_CASE("a less urgent request yields while its owner has little room") {
  TestSelector test;
  test.SetOwner("a", 1, RangePhase::kSettled);
  TargetQuery query;
  query.service = kService;
  query.key = 7;
  query.mean_latency = std::chrono::milliseconds(300);
  const auto reason = [&](const StatedLoad& load,
                          std::optional<double> reserved) {
    test.selector.Find(test.a.id)->load().OnStated(kStart, load);
    query.reserved = reserved;
    return test.selector.Choose(kStart, query).reason;
  };
  const StatedLoad busy{4, 5, 4, 1};
  const StatedLoad free_slot{3, 0, 4, 1};
  const StatedLoad full{4, 16, 4, 1};
  CHECK(reason(busy, std::nullopt) == Unavailability::kNone);
  CHECK(reason(busy, 1.5) == Unavailability::kNone);
  CHECK(reason(busy, 2.5) == Unavailability::kYieldsToPriority);
  // However many more urgent requests are expected.
  CHECK(reason(free_slot, 100) == Unavailability::kNone);
  CHECK(reason(full, std::nullopt) == Unavailability::kNoCapacity);
  // The owner has room after nine requests, 75 ms each.
  CHECK(test.selector.Choose(kStart, query).available_at ==
        kStart + std::chrono::milliseconds(675));
}

TEST_CASE("a target that asked for a pause gets no request until its end") {
  TestSelector test;
  TargetNotice notice;
  notice.retry_after = std::chrono::seconds(1);
  test.notices.OnAnswer(kStart, test.a, notice);
  CHECK(test.Check(kStart, std::nullopt) == Unavailability::kPaused);
  CHECK(test.Check(kStart + std::chrono::seconds(2), std::nullopt) ==
        Unavailability::kNone);
}

// Guards against a request that leaves its allowed regions, also while it waits
// for its connection.
TEST_CASE("a target outside the allowed regions gets no request") {
  TestSelector test;
  TargetQuery query;
  query.service = kService;
  const auto chosen = [&] {
    const TargetChoice choice = test.selector.Choose(kStart, query);
    return choice.client ? choice.client->entry().incarnation.id.value()
                         : std::string(ToString(choice.reason));
  };
  const auto checked = [&] {
    return test.selector.CheckChosen(kStart, query, test.a, kAddress);
  };
  SECTION("without a key, the others serve it") {
    query.allowed_regions = Only("south");
    CHECK(chosen() == "b");
    CHECK(checked() == Unavailability::kOutsideRegions);
    // A pause of the target inside doesn't make the others candidates, and the
    // request waits for its end.
    TargetNotice notice;
    notice.retry_after = std::chrono::seconds(1);
    test.notices.OnAnswer(kStart, {TargetId("b"), 1}, notice);
    CHECK(chosen() == "paused");
    query.tried_targets = {TargetId("b")};
    CHECK(chosen() == "no-capacity");
  }
  SECTION("with a key, nobody else serves it") {
    query.key = 7;
    test.SetOwner("a", 1, RangePhase::kSettled);
    query.allowed_regions = Only("north");
    CHECK(chosen() == "a");
    query.allowed_regions = Only("south");
    CHECK(chosen() == "outside-regions");
    CHECK(checked() == Unavailability::kOutsideRegions);
    // The next owner may be inside.
    test.SetOwner("a", 2, RangePhase::kMoving);
    CHECK(chosen() == "no-owner");
  }
  SECTION("no region allows it") {
    query.allowed_regions = Intersect(Only("north"), Only("south"));
    CHECK(chosen() == "outside-regions");
    CHECK(checked() == Unavailability::kOutsideRegions);
    query.key = 7;
    CHECK(chosen() == "outside-regions");
  }
  SECTION("an unknown region has no targets") {
    query.allowed_regions = Only("soth");
    CHECK(chosen() == "outside-regions");
  }
  SECTION("a target in an unknown zone is in no region") {
    test.view.targets[TargetId("b")].zone = ZoneId("elsewhere");
    test.selector.OnViewChanged();
    query.allowed_regions = Only("south");
    CHECK(chosen() == "outside-regions");
    query.allowed_regions = AllowedRegions();
    CHECK(chosen() != "outside-regions");
  }
}

// Guards against EVACUATE: a request that waits for a connection to a target of
// an evacuated zone, or that is chosen for one.
TEST_CASE("targets of an evacuated zone get no request") {
  TestSelector test;
  test.view.targets.at(test.a.id).zone = ZoneId("z1");
  test.view.targets.at(TargetId("b")).zone = ZoneId("z2");
  test.selector.OnViewChanged();
  TargetQuery query;
  query.service = kService;
  const Evacuation evacuation{kStart, kStart + std::chrono::seconds(2)};
  test.view.evacuations[ZoneId("z1")] = evacuation;
  CHECK(test.Check(kStart, std::nullopt) == Unavailability::kEvacuated);
  TargetClient* chosen = test.selector.Choose(kStart, query).client;
  REQUIRE(chosen);
  CHECK(chosen->entry().incarnation.id == TargetId("b"));
  // Its keys are its own until they have moved.
  test.SetOwner("a", 1, RangePhase::kSettled);
  CHECK(test.Check(kStart, 7) == Unavailability::kNone);
  CHECK(test.Check(evacuation.owners_until, 7) == Unavailability::kEvacuated);
  SECTION("no zone is left") {
    test.view.evacuations[ZoneId("z2")] = evacuation;
    const TargetChoice choice = test.selector.Choose(kStart, query);
    CHECK_FALSE(choice.client);
    CHECK(choice.reason == Unavailability::kEvacuated);
  }
  SECTION("the only target elsewhere asked for a pause") {
    TargetNotice notice;
    notice.retry_after = std::chrono::seconds(1);
    test.notices.OnAnswer(kStart, {TargetId("b"), 1}, notice);
    const TargetChoice choice = test.selector.Choose(kStart, query);
    CHECK(choice.reason == Unavailability::kPaused);
    CHECK(choice.available_at);
  }
  SECTION("the evacuation is cancelled") {
    test.view.evacuations.clear();
    CHECK(test.Check(kStart, std::nullopt) == Unavailability::kNone);
  }
}

// Guards against requests that all go to a target that warms up, since it is
// idle.
TEST_CASE("a target that warms up gets what would queue at others") {
  TestSelector test;
  for (const char* id : {"a", "b"})
    test.view.targets[TargetId(id)].zone = ZoneId();
  test.selector.OnViewChanged();
  test.view.member_counts.Record(kStart, {{ZoneId(), 1}}, kStart);
  test.WarmUp({"a"});
  for (int i = 0; i < 4; ++i)
    CHECK(test.Choose(kStart, std::nullopt) == "b");
  // Its slots are taken. The first credit for the other one comes later.
  CHECK(test.Choose(kStart, std::nullopt) == "b");
  const Instant later = kStart + std::chrono::milliseconds(500);
  CHECK(test.Choose(later, std::nullopt) == "a");
  CHECK(test.Choose(later, std::nullopt) == "b");
  // Once it is warm it gets its part.
  const Instant warm = kStart + std::chrono::milliseconds(2500);
  for (int i = 0; i < 3; ++i)
    CHECK(test.Choose(warm, std::nullopt) == "a");
}

// Guards against large responses that cross regions, since no target of this
// one is as good while all warm up.
TEST_CASE("large responses stay in a region whose targets warm up") {
  TestSelector test;
  test.settings.region = RegionId("near");
  test.view.regions = {{ZoneId(), RegionId("near")},
                       {ZoneId("z"), RegionId("far")}};
  test.view.targets[TargetId("a")].zone = ZoneId();
  test.view.targets[TargetId("b")].zone = ZoneId("z");
  test.selector.OnViewChanged();
  test.WarmUp({"a"});
  CHECK(test.Choose(kStart, std::nullopt) == "b");
  CHECK(test.Choose(kStart, std::nullopt, /*bulk=*/true) == "warming-up");
  CHECK(test.Choose(kStart + std::chrono::milliseconds(500), std::nullopt,
                    /*bulk=*/true) == "a");
}

TEST_CASE("requests beyond the rate of targets that warm up are refused") {
  TestSelector test;
  test.WarmUp({"a", "b"});
  test.SetOwner("a", 1, RangePhase::kSettled);
  const auto key = GENERATE(std::optional<ShardKey>(), std::optional(7));
  CHECK(test.Choose(kStart, key) == "warming-up");
  const Instant later = kStart + std::chrono::milliseconds(600);
  if (key) {
    CHECK(test.Choose(later, key) == "a");
  } else {
    const std::set<std::string> chosen = {test.Choose(later, key),
                                          test.Choose(later, key)};
    CHECK(chosen == std::set<std::string>{"a", "b"});
  }
  TargetQuery query;
  query.service = kService;
  query.key = key;
  const TargetChoice refused = test.selector.Choose(later, query);
  REQUIRE(refused.reason == Unavailability::kWarmingUp);
  REQUIRE(refused.available_at);
  CHECK(*refused.available_at > later);
  CHECK(*refused.available_at <= later + std::chrono::milliseconds(500));
  CHECK(test.selector.Explain(later, query, refused).find("warming up") !=
        std::string::npos);
}

}  // namespace figstall
