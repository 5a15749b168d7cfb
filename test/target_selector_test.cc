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
  SendCredits credits{VmId("self"), notices, {}};
  TargetSelector selector{io, settings, view, notices, credits};
};

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

}  // namespace figstall
