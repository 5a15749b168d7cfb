// Moves of key ranges, one case at a time. The walk in range_random_test.cc
// combines them.
#include <catch2/catch.hpp>

#include "figstall/range_mover.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("accounts");

TargetEntry Target(const std::string& id, std::uint32_t slots = 4) {
  return {{TargetId(id), 1},
          {"10.0.0." + id.substr(1), 80},
          kService,
          ZoneId("z"),
          slots,
          false,
          Duration{0}};
}

// A mover whose writes all succeed at once.
class MoverFixture {
 public:
  explicit MoverFixture(const std::vector<std::string>& targets)
      : mover_(kService, {}) {
    for (const std::string& id : targets)
      directory[TargetId(id)] = Target(id);
    Pass(milliseconds(1));
    Pass(milliseconds(1500));
  }

  // Lets time pass and carries out what the mover plans, until nothing is.
  void Pass(Duration time) {
    now += time;
    while (const auto next = mover_.Plan(View()))
      mover_.OnTable(*next, now), ++writes;
  }
  void ReleaseAll(const std::string& handover) {
    for (const ReleaseRequest& order : mover_.OutstandingReleases())
      mover_.OnReleased(order, handover);
  }
  MoverInput View() const {
    MoverInput view;
    view.now = now;
    view.directory = &directory;
    view.members = &members;
    view.members_up_to_date = true;
    view.members_known_since = Instant{};
    view.capacity = &capacity;
    view.load = &load;
    return view;
  }
  std::string OwnerOf(ShardKey key) const {
    return table().Find(key)->owner.id.value();
  }
  const RangeTable& table() const { return mover_.table(); }
  const RangeMover& mover() const { return mover_; }

  Instant now{std::chrono::seconds(1000)};
  TargetDirectory directory;
  MemberReports members;
  std::map<TargetId, double> capacity;
  RangeLoad load;
  int writes = 0;

 private:
  RangeMover mover_;
};

std::map<std::string, double> LoadByOwner(const MoverFixture& scene) {
  std::map<std::string, double> loads;
  const double part_size = static_cast<double>(kKeySpaceSize) /
                           static_cast<double>(scene.load.parts.size());
  for (std::size_t part = 0; part < scene.load.parts.size(); ++part) {
    const auto key =
        static_cast<ShardKey>((static_cast<double>(part) + 0.5) * part_size);
    loads[scene.OwnerOf(key)] += scene.load.parts[part];
  }
  return loads;
}

}  // namespace

// Load: caroni quiet-1, second 0. The first target to be seen got every key.
TEST_CASE(
    "the first assignment waits until all that start together are known") {
  RangeMover mover(kService, {});
  TargetDirectory directory{{TargetId("t1"), Target("t1")}};
  const MemberReports members;
  MoverInput view;
  view.now = Instant(std::chrono::seconds(10));
  view.directory = &directory;
  view.members = &members;
  CHECK_FALSE(mover.Plan(view));
  directory[TargetId("t2")] = Target("t2");
  view.now += milliseconds(900);
  CHECK_FALSE(mover.Plan(view));
  view.now += milliseconds(1000);
  const auto first = mover.Plan(view);
  REQUIRE(first);
  CHECK(first->entries.size() == 2);
  CHECK(first->Find(0)->owner.id != first->Find(65'535)->owner.id);
}

TEST_CASE("a leaving owner hands over under a greater token") {
  MoverFixture scene({"t1", "t2"});
  // A member that has not seen the move yet.
  scene.members["m1#a"];
  const std::uint64_t before = scene.table().Find(0)->fence;
  scene.directory.at(TargetId(scene.OwnerOf(0))).leaving = true;
  const std::string old_owner = scene.OwnerOf(0);
  scene.Pass(milliseconds(50));
  CHECK(scene.table().Find(0)->phase == RangePhase::kMoving);
  CHECK(scene.OwnerOf(0) == old_owner);
  scene.ReleaseAll("warm");
  scene.Pass(milliseconds(200));
  CHECK(scene.table().Find(0)->phase == RangePhase::kSettled);
  CHECK(scene.OwnerOf(0) != old_owner);
  CHECK(scene.table().Find(0)->fence > before);
  CHECK(scene.table().Find(0)->handover == "warm");
}

TEST_CASE("another life of the same target is released first as well") {
  MoverFixture scene({"t1", "t2"});
  // A member that has not seen the move yet.
  scene.members["m1#a"];
  const std::string owner = scene.OwnerOf(0);
  scene.directory.at(TargetId(owner)).incarnation.started_at_ms = 2;
  scene.Pass(milliseconds(50));
  CHECK(scene.table().Find(0)->phase == RangePhase::kMoving);
  REQUIRE(scene.mover().OutstandingReleases().size() == 1);
  CHECK(scene.mover().OutstandingReleases().front().owner.started_at_ms == 1);
}

// Load: srv_crash (dark). The keys of a silent owner are served by nobody until
// its hold has surely run out, and no longer.
TEST_CASE("a silent owner's ranges move once all grants have run out") {
  MoverFixture scene({"t1", "t2"});
  const TargetId owner(scene.OwnerOf(0));
  const GrantTiming timing;
  MemberReport& member = scene.members["m1#a"];
  member.holds_until[owner] = scene.now + timing.MaxHoldFromArrival();
  scene.directory.erase(owner);
  scene.Pass(milliseconds(1));
  scene.Pass(milliseconds(400));
  REQUIRE(scene.table().Find(0)->phase == RangePhase::kMoving);
  // The member has not seen the move: it may go on granting.
  scene.Pass(std::chrono::seconds(20));
  CHECK(scene.table().Find(0)->phase == RangePhase::kAwaitingReports);
  member.seen_fence[kService] = scene.table().last_fence;
  member.holds_until[owner] = scene.now + timing.MaxHoldFromArrival();
  scene.Pass(timing.MaxHoldFromArrival() - milliseconds(1));
  CHECK(scene.table().Find(0)->phase != RangePhase::kSettled);
  scene.Pass(milliseconds(1));
  scene.Pass(milliseconds(100));
  CHECK(scene.table().Find(0)->phase == RangePhase::kSettled);
}

// Load: platform_down (nodes). A member that the store refuses loses its
// membership; what it granted before still counts.
TEST_CASE("a departed member's grants count until they have run out") {
  MoverFixture scene({"t1", "t2"});
  const TargetId owner(scene.OwnerOf(0));
  scene.members["m1#a"].departed_at = scene.now;
  scene.directory.erase(owner);
  scene.Pass(milliseconds(1));
  scene.Pass(milliseconds(400));
  const GrantTiming timing;
  scene.Pass(timing.MaxHoldFromSend() - milliseconds(402));
  CHECK(scene.table().Find(0)->phase != RangePhase::kSettled);
  scene.Pass(milliseconds(2));
  scene.Pass(milliseconds(100));
  CHECK(scene.table().Find(0)->phase == RangePhase::kSettled);
}

TEST_CASE("members that may be missing from the list end no wait") {
  MoverFixture scene({"t1", "t2"});
  scene.directory.erase(TargetId(scene.OwnerOf(0)));
  scene.Pass(milliseconds(1));
  scene.Pass(milliseconds(400));
  MoverInput view = scene.View();
  view.members_up_to_date = false;
  view.now += std::chrono::seconds(60);
  RangeMover mover = RangeMover(kService, {});
  mover.OnTable(scene.table(), scene.now);
  const auto next = mover.Plan(view);
  CHECK((!next || next->Find(0)->phase != RangePhase::kSettled));
}

// Load: caroni quiet-1, where the busiest target had 3.1 times the mean.
TEST_CASE("skewed keys are spread evenly within three changes") {
  MoverFixture scene({"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"});
  scene.load.parts.assign(1024, 0.004);
  // A fifth of all keys carries most of the load, close together.
  for (std::size_t part = 0; part < 200; ++part)
    scene.load.parts[part] = 0.06;
  for (int change = 0; change < 3; ++change) {
    scene.Pass(milliseconds(1100));
    scene.ReleaseAll("");
    scene.Pass(milliseconds(100));
  }
  double most = 0;
  double sum = 0;
  for (const auto& [owner, load] : LoadByOwner(scene)) {
    most = std::max(most, load);
    sum += load;
  }
  CHECK(most / (sum / 8) < 1.35);
}

TEST_CASE("an even load moves nothing") {
  MoverFixture scene({"t1", "t2", "t3", "t4"});
  scene.load.parts.assign(1024, 0.01);
  const int writes = scene.writes;
  for (int i = 0; i < 10; ++i)
    scene.Pass(milliseconds(1100));
  CHECK(scene.writes == writes);
}

// Load: Atlas scale-2, a mover on a fifth of a core. It worked out the balance
// at each of 40 ticks a second, which took all of its processor, and what it
// tells the others of the store came a second late.
TEST_CASE("the balance is worked out a few times a second, not at each tick") {
  MoverFixture scene({"t1", "t2", "t3"});
  scene.load.parts.assign(256, 0.01);
  const std::uint64_t before = scene.mover().balance_evaluations();
  for (int tick = 0; tick < 80; ++tick)
    scene.Pass(milliseconds(25));
  CHECK(scene.mover().balance_evaluations() - before >= 2);
  CHECK(scene.mover().balance_evaluations() - before <= 10);
}

TEST_CASE("a target that joins gets work") {
  MoverFixture scene({"t1", "t2", "t3"});
  scene.load.parts.assign(1024, 0.01);
  scene.directory[TargetId("t4")] = Target("t4");
  for (int change = 0; change < 3; ++change) {
    scene.Pass(milliseconds(1100));
    scene.ReleaseAll("");
    scene.Pass(milliseconds(100));
  }
  CHECK(LoadByOwner(scene)["t4"] > 1.5);
}

TEST_CASE("a table of ranges survives its form in the store") {
  MoverFixture scene({"t1", "t2", "t3"});
  const RangeTable& table = scene.table();
  const RangeTable read = HandleError(
      [&]() -> Result<RangeTable> {
        return DecodeRangeTable(EncodeRangeTable(table), "ranges");
      },
      [](const Error& error) -> RangeTable {
        FAIL(error.message);
        return {};
      });
  CHECK(read == table);
}

// Load: grown caroni, where a table of 500 ranges changes three times a second
// at 75 members.
TEST_CASE("a table is read anew by the rows that changed") {
  const auto ask = [](auto&& read) {
    return HandleError(read, [](const Error& error) -> RangeTable {
      FAIL(error.message);
      return {};
    });
  };
  MoverFixture scene({"t1", "t2", "t3", "t4"});
  scene.load.parts.assign(1024, 0.001);
  RangeTableReader reader;
  for (int change = 0; change < 20; ++change) {
    scene.load.parts[static_cast<std::size_t>(change) * 50] = 0.9;
    scene.Pass(milliseconds(1100));
    scene.ReleaseAll(change % 2 == 0 ? "hand]over" : "handover");
    scene.Pass(milliseconds(100));
    const std::string text = EncodeRangeTable(scene.table());
    CHECK(ask([&] { return reader.Read(text, "ranges"); }) == scene.table());
  }
  for (const char* wrong :
       {"", "{}", R"({"last_fence":1,"ranges":[[1,2]]})",
        R"({"last_fence":1,"ranges":[[]})",
        R"({"last_fence":1,"ranges":[["a",2,3,4,5,6,7,8,9]]})",
        R"({"last_fence":1,"ranges":[],]})",
        R"({"last_fence":"x","ranges":[]})"}) {
    const bool read = HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(reader.Read(wrong, "ranges"));
          return true;
        },
        [](const Error&) { return false; });
    CHECK_FALSE(read);
  }
}

}  // namespace figstall
