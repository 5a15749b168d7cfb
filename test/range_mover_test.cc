// Tests single moves of key ranges and the encoding of their table. The random
// runs in range_random_test.cc combine moves.
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

// A mover whose table writes all succeed at once.
class MoverFixture {
 public:
  // The targets are in `zones` zones, z0 and so on, by turns.
  explicit MoverFixture(const std::vector<std::string>& targets,
                        std::size_t zones = 1)
      : mover_(kService, {}) {
    for (std::size_t i = 0; i < targets.size(); ++i) {
      TargetEntry target = Target(targets[i]);
      if (zones > 1)
        target.zone = ZoneId("z" + std::to_string(i % zones));
      directory[target.incarnation.id] = target;
    }
    Advance(milliseconds(1));
    Advance(milliseconds(1500));
  }

  // Advances the time and applies the mover's plans until it has none left.
  void Advance(Duration time) {
    now += time;
    while (const auto next = mover_.Plan(Input())) {
      last_settled = mover_.last_settled();
      mover_.OnTable(*next, now);
      ++writes;
    }
  }
  void ReleaseAll(const std::string& handover) {
    for (const ReleaseRequest& request : mover_.OutstandingReleases())
      mover_.OnReleased(request, std::get<Handover>(Handover::Parse(handover)));
  }
  // The owner of a key leaves the directory and does not respond, and the mover
  // marks its ranges as moving, 401 ms later.
  void LoseOwnerOf(ShardKey key) {
    directory.erase(TargetId(OwnerOf(key)));
    Advance(milliseconds(1));
    Advance(milliseconds(400));
  }
  MoverInput Input() const {
    MoverInput input;
    input.now = now;
    input.directory = &directory;
    input.members = &members;
    input.members_up_to_date = true;
    input.members_known_since = members_known_since;
    input.mover_since = mover_since;
    input.own_hold_until = [this](const TargetId& owner) {
      const auto found = own_holds.find(owner);
      return found == own_holds.end() ? std::nullopt
                                      : std::optional(found->second);
    };
    input.capacity = &capacity;
    load_ = RangeLoad(parts);
    input.load = &load_;
    input.evacuations = &evacuations;
    input.warming_up = &warming_up;
    return input;
  }
  std::string OwnerOf(ShardKey key) const {
    return table().Find(key)->owner.id.value();
  }
  // Ranges of the zone's targets, in one phase or all.
  int RangesIn(const char* zone, std::optional<RangePhase> phase = {}) const {
    int count = 0;
    for (const RangeEntry& entry : table().entries) {
      if (entry.zone == ZoneId(zone) &&
          entry.phase == phase.value_or(entry.phase))
        ++count;
    }
    return count;
  }
  const RangeTable& table() const { return mover_.table(); }
  const RangeMover& mover() const { return mover_; }

  Instant now{std::chrono::seconds(1000)};
  TargetDirectory directory;
  MemberReports members;
  std::map<TargetId, double> capacity;
  std::vector<double> parts;
  Evacuations evacuations;
  std::set<TargetId> warming_up;
  int writes = 0;
  // Ranges that the last written plan settled.
  std::vector<SettledRange> last_settled;
  Instant mover_since{};
  Instant members_known_since{};
  // Until when owners may hold ranges by the mover's own grants.
  std::map<TargetId, Instant> own_holds;

 private:
  mutable RangeLoad load_;
  RangeMover mover_;
};

std::vector<std::string> Ids(int count) {
  std::vector<std::string> ids;
  ids.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    ids.push_back("t" + std::to_string(i));
  return ids;
}

std::map<std::string, double> LoadByOwner(const MoverFixture& fixture) {
  std::map<std::string, double> loads;
  const double part_size = static_cast<double>(kKeySpaceSize) /
                           static_cast<double>(fixture.parts.size());
  for (std::size_t part = 0; part < fixture.parts.size(); ++part) {
    const auto key =
        static_cast<ShardKey>((static_cast<double>(part) + 0.5) * part_size);
    loads[fixture.OwnerOf(key)] += fixture.parts[part];
  }
  return loads;
}

}  // namespace

// Guards against assigning every key to the first target that is seen. Load
// scenario: caroni quiet-1, second 0.
TEST_CASE("the first assignment waits for all targets that start together") {
  RangeMover mover(kService, {});
  TargetDirectory directory{{TargetId("t1"), Target("t1")}};
  const MemberReports members;
  MoverInput input;
  input.now = Instant(std::chrono::seconds(10));
  input.directory = &directory;
  input.members = &members;
  CHECK_FALSE(mover.Plan(input));
  directory[TargetId("t2")] = Target("t2");
  input.now += milliseconds(900);
  CHECK_FALSE(mover.Plan(input));
  input.now += milliseconds(1000);
  const auto first = mover.Plan(input);
  REQUIRE(first);
  CHECK(first->entries.size() == 2);
  CHECK(first->Find(0)->owner.id != first->Find(65'535)->owner.id);
}

// Guards against all keys of a lost owner that move to a target which has no
// load because it warms up.
TEST_CASE("a target that warms up gets no keys while there are others") {
  MoverFixture fixture({"t1", "t2"});
  fixture.parts.assign(1024, 2.0 / 1024);
  for (const char* id : {"t3", "t4"}) {
    fixture.directory[TargetId(id)] = Target(id);
    fixture.warming_up.insert(TargetId(id));
  }
  fixture.Advance(std::chrono::seconds(3));
  fixture.LoseOwnerOf(0);
  const std::string other =
      fixture.directory.contains(TargetId("t1")) ? "t1" : "t2";
  fixture.Advance(std::chrono::seconds(20));
  CHECK(LoadByOwner(fixture)[other] == Approx(2));
  SECTION("and its part once it is warm") {
    fixture.warming_up.clear();
    for (int i = 0; i < 200; ++i) {
      fixture.Advance(milliseconds(200));
      fixture.ReleaseAll("");
    }
    CHECK(LoadByOwner(fixture)["t3"] > 0.3);
    CHECK(LoadByOwner(fixture)["t4"] > 0.3);
  }
  SECTION("but all of them if there is no other") {
    fixture.LoseOwnerOf(0);
    fixture.Advance(std::chrono::seconds(20));
    auto loads = LoadByOwner(fixture);
    CHECK(loads["t3"] + loads["t4"] == Approx(2));
  }
}

TEST_CASE("a leaving owner hands over under a greater token") {
  MoverFixture fixture({"t1", "t2"});
  // A member that has not seen the move yet.
  fixture.members["m1#a"];
  const std::uint64_t before = fixture.table().Find(0)->fence;
  fixture.directory.at(TargetId(fixture.OwnerOf(0))).leaving = true;
  const std::string old_owner = fixture.OwnerOf(0);
  CHECK_FALSE(fixture.mover().OldestMove());
  const Instant moved_at = fixture.now + milliseconds(50);
  fixture.Advance(milliseconds(50));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kMoving);
  CHECK(fixture.OwnerOf(0) == old_owner);
  const auto move = fixture.mover().OldestMove();
  REQUIRE(move);
  CHECK(move->from.value() == old_owner);
  CHECK(move->since == moved_at);
  CHECK_FALSE(move->released);
  fixture.ReleaseAll("warm");
  CHECK(fixture.mover().OldestMove()->released);
  fixture.Advance(milliseconds(200));
  CHECK(fixture.last_settled.size() == 1);
  CHECK(fixture.last_settled.front().from.value() == old_owner);
  CHECK(fixture.last_settled.front().released);
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
  CHECK(fixture.OwnerOf(0) != old_owner);
  CHECK(fixture.table().Find(0)->fence > before);
  CHECK(fixture.table().Find(0)->handover.text() == "warm");
}

TEST_CASE("a restarted owner's earlier incarnation is released first") {
  MoverFixture fixture({"t1", "t2"});
  // A member that has not seen the move yet.
  fixture.members["m1#a"];
  const std::string owner = fixture.OwnerOf(0);
  fixture.directory.at(TargetId(owner)).incarnation.started_at_ms = 2;
  fixture.Advance(milliseconds(50));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kMoving);
  REQUIRE(fixture.mover().OutstandingReleases().size() == 1);
  CHECK(fixture.mover().OutstandingReleases().front().owner.started_at_ms == 1);
}

// Guards against moving an unresponsive owner's ranges before its hold has
// certainly expired, and against waiting longer, since no target serves its
// keys until then. Load scenario: srv_crash (dark).
TEST_CASE("an unresponsive owner's ranges move once all grants have expired") {
  MoverFixture fixture({"t1", "t2"});
  const TargetId owner(fixture.OwnerOf(0));
  const GrantTiming timing;
  MemberReport& member = fixture.members["m1#a"];
  member.holds_until[owner] = fixture.now + timing.MaxHoldFromArrival();
  fixture.LoseOwnerOf(0);
  REQUIRE(fixture.table().Find(0)->phase == RangePhase::kMoving);
  // The member has not seen the move, so it may still send grants.
  fixture.Advance(std::chrono::seconds(20));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kAwaitingReports);
  member.seen_fence[kService] = fixture.table().last_fence;
  member.holds_until[owner] = fixture.now + timing.MaxHoldFromArrival();
  fixture.Advance(timing.MaxHoldFromArrival() - milliseconds(1));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(1));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

// Guards against ignoring the grants that a member sent before it lost its
// membership because the store refused it, and those that it sends while its
// lease runs though the store has removed its key. Load scenario: platform_down
// (nodes).
TEST_CASE("a departed member's grants count until they have expired") {
  MoverFixture fixture({"t1", "t2"});
  fixture.members["m1#a"].departed_at = fixture.now;
  fixture.LoseOwnerOf(0);
  const GrantTiming timing;
  fixture.Advance(timing.membership_lease_duration + timing.MaxHoldFromSend() -
                  milliseconds(402));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(2));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

// Guards against a wait for the lease of a member that knows of the move.
TEST_CASE("a departed member that has seen the move is not waited for") {
  MoverFixture fixture({"t1", "t2"});
  MemberReport& member = fixture.members["m1#a"];
  const TargetId owner(fixture.OwnerOf(0));
  fixture.LoseOwnerOf(0);
  member.departed_at = fixture.now;
  member.seen_fence[kService] = fixture.table().last_fence;
  member.holds_until[owner] = fixture.now + milliseconds(1000);
  fixture.Advance(milliseconds(999));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(1));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

// Guards against a wait for the lease of a member that has resigned, and has
// not seen the move.
TEST_CASE("of a member that has resigned only the holds are waited for") {
  MoverFixture fixture({"t1", "t2"});
  MemberReport& member = fixture.members["m1#a"];
  member.departed_at = fixture.now;
  member.grants_ended = true;
  member.holds_until[TargetId(fixture.OwnerOf(0))] =
      fixture.now + milliseconds(1401);
  fixture.LoseOwnerOf(0);
  fixture.Advance(milliseconds(999));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(1));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

// Guards against a wait for the lease of a process whose VM has started another
// one in its place.
TEST_CASE("a process whose endpoint another one has taken grants no more") {
  MoverFixture fixture({"t1", "t2"});
  const GrantTiming timing;
  const Endpoint endpoint{"10.1.0.1", 7000};
  MemberReport& earlier = fixture.members["m1#a"];
  earlier.departed_at = fixture.now;
  earlier.peer_endpoint = endpoint;
  earlier.started_at_ms = 1;
  MemberReport& later = fixture.members["m1#b"];
  later.zone = ZoneId("elsewhere");
  later.peer_endpoint = endpoint;
  later.started_at_ms = 2;
  MarkEndedProcesses(fixture.now, "m1#", "m1#b", fixture.members);
  fixture.LoseOwnerOf(0);
  fixture.Advance(timing.MaxHoldFromSend() - milliseconds(402));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(2));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

// Guards against OWNER: a VM that replaces another one under its name does not
// end the other one's process.
TEST_CASE("a process whose name another endpoint has taken may still grant") {
  MoverFixture fixture({"t1", "t2"});
  const GrantTiming timing;
  const Endpoint endpoint{"10.1.0.2", 7000};
  MemberReport& earlier = fixture.members["m1#a"];
  earlier.departed_at = fixture.now;
  earlier.peer_endpoint = {"10.1.0.1", 7000};
  earlier.started_at_ms = 1;
  MemberReport& later = fixture.members["m1#b"];
  later.zone = ZoneId("elsewhere");
  later.peer_endpoint = endpoint;
  later.started_at_ms = 2;
  MarkEndedProcesses(fixture.now, "m1#", "m1#b", fixture.members);
  fixture.LoseOwnerOf(0);
  fixture.Advance(timing.membership_lease_duration + timing.MaxHoldFromSend() -
                  milliseconds(402));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(2));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

// Guards against OWNER: a call of a process that has ended may be carried out
// late, so that its record comes after that of the process in its place.
TEST_CASE("a record that is written late ends no later process") {
  MoverFixture fixture({"t1", "t2"});
  for (const char* id : {"m1#a", "m1#b"}) {
    fixture.members[id].peer_endpoint = {"10.1.0.1", 7000};
    fixture.members[id].started_at_ms = static_cast<unsigned char>(id[3]);
  }
  MarkEndedProcesses(fixture.now, "m1#", "m1#a", fixture.members);
  CHECK_FALSE(fixture.members["m1#b"].ended_at);
  MarkEndedProcesses(fixture.now, "m1#", "m1#b", fixture.members);
  CHECK(fixture.members["m1#a"].ended_at == fixture.now);
  CHECK_FALSE(fixture.members["m1#b"].ended_at);
}

// Guards against OWNER: of two members that know the table before and after a
// range was settled, neither looked newer, and the one with the earlier table
// continued it in the store's next era.
TEST_CASE("a table with a settled range is newer than the one before it") {
  MoverFixture fixture({"t1", "t2"});
  fixture.members["m1#a"].zone = ZoneId("z");
  fixture.LoseOwnerOf(0);
  const std::uint64_t moving = fixture.table().last_fence;
  fixture.ReleaseAll("");
  fixture.Advance(milliseconds(100));
  REQUIRE(fixture.table().Find(0)->phase == RangePhase::kSettled);
  CHECK(fixture.table().last_fence > moving);
  CHECK(fixture.table().Find(0)->fence == moving);
}

// Guards against OWNER: a member that departed before this mover knew of any
// may still grant by a lease that it holds by its own count.
TEST_CASE("a mover waits for members that departed before it knew them") {
  MoverFixture fixture({"t1", "t2"});
  const GrantTiming timing;
  fixture.members_known_since = fixture.now;
  fixture.LoseOwnerOf(0);
  fixture.Advance(timing.membership_lease_duration + timing.MaxHoldFromSend() -
                  milliseconds(402));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(2));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

// Guards against a lost VM that delays the moves of all zones until its
// membership ends. Load scenario: Atlas grown trouble-3, where one VM was
// removed and the keys of crashed targets had no owner for 9 s.
TEST_CASE("a silent member of another zone delays no move") {
  MoverFixture fixture({"t1", "t2"});
  fixture.members["m1#a"].zone = ZoneId("elsewhere");
  fixture.LoseOwnerOf(0);
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

TEST_CASE("an earlier mover's grants in another zone are waited for") {
  MoverFixture fixture({"t1", "t2"});
  const GrantTiming timing;
  fixture.members["m1#a"].zone = ZoneId("elsewhere");
  fixture.mover_since = fixture.now;
  fixture.LoseOwnerOf(0);
  fixture.Advance(timing.mover_lease_duration + timing.MaxHoldFromSend() -
                  milliseconds(402));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(2));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

// Guards against OWNER: the mover grants the ranges of a zone without members,
// and moved them before its own grants had expired.
TEST_CASE("the mover's own grants are waited for, in any zone") {
  MoverFixture fixture({"t1", "t2"});
  const GrantTiming timing;
  MemberReport& self = fixture.members["mover#a"];
  self.zone = ZoneId("elsewhere");
  // Sent since the mover's last report, which names no grants.
  fixture.own_holds[TargetId(fixture.OwnerOf(0))] =
      fixture.now + timing.MaxHoldFromArrival();
  fixture.LoseOwnerOf(0);
  self.seen_fence[kService] = fixture.table().last_fence;
  fixture.Advance(timing.MaxHoldFromArrival() - milliseconds(402));
  CHECK(fixture.table().Find(0)->phase != RangePhase::kSettled);
  fixture.Advance(milliseconds(1));
  fixture.Advance(milliseconds(100));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kSettled);
}

TEST_CASE("a silent member of the owner's zone is waited for") {
  MoverFixture fixture({"t1", "t2"});
  fixture.members["m1#a"].zone = ZoneId("z");
  fixture.LoseOwnerOf(0);
  fixture.Advance(std::chrono::seconds(20));
  CHECK(fixture.table().Find(0)->phase == RangePhase::kAwaitingReports);
}

TEST_CASE("a move waits while the list of members may be incomplete") {
  MoverFixture fixture({"t1", "t2"});
  fixture.LoseOwnerOf(0);
  MoverInput input = fixture.Input();
  input.members_up_to_date = false;
  input.now += std::chrono::seconds(60);
  RangeMover mover = RangeMover(kService, {});
  mover.OnTable(fixture.table(), fixture.now);
  const auto next = mover.Plan(input);
  CHECK((!next || next->Find(0)->phase != RangePhase::kSettled));
}

// Guards against leaving a skewed load at few targets. Load scenario: caroni
// quiet-1, where the busiest target had 3.1 times the mean load.
TEST_CASE("skewed load is spread evenly within three table changes") {
  MoverFixture fixture({"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"});
  fixture.parts.assign(1024, 0.004);
  // One contiguous fifth of the key space carries most of the load.
  for (std::size_t part = 0; part < 200; ++part)
    fixture.parts[part] = 0.06;
  for (int change = 0; change < 3; ++change) {
    fixture.Advance(milliseconds(1100));
    fixture.ReleaseAll("");
    fixture.Advance(milliseconds(100));
  }
  double most = 0;
  double sum = 0;
  for (const auto& [owner, load] : LoadByOwner(fixture)) {
    most = std::max(most, load);
    sum += load;
  }
  CHECK(most / (sum / 8) < 1.35);
}

TEST_CASE("an even load moves no ranges") {
  MoverFixture fixture({"t1", "t2", "t3", "t4"});
  fixture.parts.assign(1024, 0.01);
  const int writes = fixture.writes;
  for (int i = 0; i < 10; ++i)
    fixture.Advance(milliseconds(1100));
  CHECK(fixture.writes == writes);
}

// Guards against evaluating the balance at each of 40 ticks a second. Load
// scenario: Atlas scale-2, where this used all processor time of a mover on a
// fifth of a core, so that its updates of the store's state reached other
// members a second late.
TEST_CASE("the balance is evaluated a few times a second, not at each tick") {
  MoverFixture fixture({"t1", "t2", "t3"});
  fixture.parts.assign(256, 0.01);
  const std::uint64_t before = fixture.mover().balance_evaluations();
  for (int tick = 0; tick < 80; ++tick)
    fixture.Advance(milliseconds(25));
  CHECK(fixture.mover().balance_evaluations() - before >= 2);
  CHECK(fixture.mover().balance_evaluations() - before <= 10);
}

TEST_CASE("a target that joins receives load") {
  MoverFixture fixture({"t1", "t2", "t3"});
  fixture.parts.assign(1024, 0.01);
  fixture.directory[TargetId("t4")] = Target("t4");
  for (int change = 0; change < 3; ++change) {
    fixture.Advance(milliseconds(1100));
    fixture.ReleaseAll("");
    fixture.Advance(milliseconds(100));
  }
  CHECK(LoadByOwner(fixture)["t4"] > 1.5);
}

TEST_CASE("a range table is unchanged by encoding and decoding") {
  MoverFixture fixture({"t1", "t2", "t3"});
  const RangeTable& table = fixture.table();
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

// Guards against wrong tables from RangeTableReader, which decodes only the
// rows that changed. Load scenario: grown caroni, where a table of 500 ranges
// changes three times a second at 75 members.
TEST_CASE("RangeTableReader reads changed tables and rejects invalid ones") {
  const auto value_of = [](auto&& read) {
    return HandleError(read, [](const Error& error) -> RangeTable {
      FAIL(error.message);
      return {};
    });
  };
  MoverFixture fixture({"t1", "t2", "t3", "t4"});
  fixture.parts.assign(1024, 0.001);
  RangeTableReader reader;
  for (int change = 0; change < 20; ++change) {
    fixture.parts[static_cast<std::size_t>(change) * 50] = 0.9;
    fixture.Advance(milliseconds(1100));
    fixture.ReleaseAll(change % 2 == 0 ? "hand]over" : "handover");
    fixture.Advance(milliseconds(100));
    const std::string text = EncodeRangeTable(fixture.table());
    CHECK(value_of([&] { return reader.Read(text, "ranges"); }) ==
          fixture.table());
  }
  for (const char* invalid :
       {"", "{}", R"({"last_fence":1,"ranges":[[1,2]]})",
        R"({"last_fence":1,"ranges":[[]})",
        R"({"last_fence":1,"ranges":[["a",2,3,4,5,6,7,8,9]]})",
        R"({"last_fence":1,"ranges":[],]})",
        R"({"last_fence":"x","ranges":[]})"}) {
    const bool read = HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(reader.Read(invalid, "ranges"));
          return true;
        },
        [](const Error&) { return false; });
    CHECK_FALSE(read);
  }
}

// Guards against OWNER: a store restored from an older copy has forgotten the
// last fencing tokens, and a mover issues one of them again.
TEST_CASE("a mover of a new era issues tokens above those of earlier ones") {
  MoverFixture earlier({"t1", "t2"});
  MoverOptions options;
  options.fence_floor = std::uint64_t{2} << 32U;
  RangeMover mover(kService, {}, options);
  const RangeTable continued = mover.Continue(earlier.table(), false);
  CHECK(continued.entries == earlier.table().entries);
  CHECK(continued.last_fence > options.fence_floor);
  const RangeTable renewed = mover.Continue(earlier.table(), true);
  CHECK(std::all_of(renewed.entries.begin(), renewed.entries.end(),
                    [&](const RangeEntry& entry) {
                      return entry.fence > options.fence_floor;
                    }));
  // Nobody knows an earlier table.
  MoverInput input = earlier.Input();
  CHECK_FALSE(mover.Plan(input));
  input.now += milliseconds(1500);
  const auto first = mover.Plan(input);
  REQUIRE(first);
  CHECK(first->last_fence > options.fence_floor);
  CHECK(first->entries.front().fence == first->last_fence);
}

// Guards against EVACUATE: owners in the zone that keep their ranges, also
// those that never leave or respond late, and against a write for each range.
TEST_CASE("an evacuated zone's ranges move out in few writes") {
  MoverFixture fixture(Ids(200), 4);
  // A member that has not seen any move.
  fixture.members["m1#a"];
  REQUIRE(fixture.RangesIn("z1") == 50);
  fixture.evacuations[ZoneId("z1")] = {};
  fixture.writes = 0;
  fixture.Advance(milliseconds(1));
  CHECK(fixture.writes == 1);
  CHECK(fixture.RangesIn("z1", RangePhase::kSettled) == 0);
  fixture.ReleaseAll("warm");
  fixture.Advance(milliseconds(60));
  CHECK(fixture.writes == 2);
  CHECK(fixture.RangesIn("z1") == 0);
  CHECK(fixture.last_settled.size() >= 50);
  for (const SettledRange& settled : fixture.last_settled)
    CHECK(fixture.table().Find(settled.range.first)->handover.text() == "warm");
  // After the end the zone's targets get ranges again.
  fixture.evacuations.clear();
  fixture.parts = std::vector<double>(1024, 0.4);
  fixture.Advance(std::chrono::seconds(2));
  fixture.ReleaseAll("");
  fixture.Advance(milliseconds(60));
  CHECK(fixture.RangesIn("z1") > 0);
}

// Guards against owners elsewhere that get a whole target's load in addition to
// their own, which most of them can't serve, while others get none.
TEST_CASE("an evacuated zone's load is shared by the others") {
  MoverFixture fixture(Ids(40), 4);
  // A member that has not seen any move.
  fixture.members["m1#a"];
  // Two of the four slots of each target are busy.
  fixture.parts = std::vector<double>(2048, 2.0 * 40 / 2048);
  fixture.evacuations[ZoneId("z1")] = {};
  fixture.Advance(milliseconds(1));
  fixture.ReleaseAll("");
  fixture.Advance(milliseconds(60));
  REQUIRE(fixture.RangesIn("z1") == 0);
  double highest = 0;
  for (const auto& [owner, load] : LoadByOwner(fixture))
    highest = std::max(highest, load);
  CHECK(highest < 2.0 * 1.5);
  // A table of a few evacuations does not grow without bound.
  const std::size_t rows = fixture.table().entries.size();
  CHECK(rows <= 30 + 10 * 4);
}

// Guards against EVACUATE: balance, a leaving owner or the first assignment
// gives ranges to targets of the zone.
TEST_CASE("nothing moves into an evacuated zone") {
  MoverFixture fixture(Ids(8), 4);
  // A member that has not seen any move.
  fixture.members["m1#a"];
  fixture.evacuations[ZoneId("z1")] = {};
  fixture.Advance(milliseconds(1));
  fixture.ReleaseAll("");
  fixture.Advance(milliseconds(60));
  fixture.parts = std::vector<double>(1024, 0);
  for (std::size_t part = 0; part < 128; ++part)
    fixture.parts[part] = 0.08;
  fixture.directory.at(TargetId("t2")).leaving = true;
  for (int round = 0; round < 6; ++round) {
    fixture.Advance(std::chrono::seconds(1));
    fixture.ReleaseAll("");
    fixture.Advance(milliseconds(60));
    CHECK(fixture.RangesIn("z1") == 0);
  }
  CHECK(fixture.writes > 5);
  RangeMover mover(kService, {});
  MoverInput input = fixture.Input();
  CHECK_FALSE(mover.Plan(input));
  input.now += std::chrono::seconds(2);
  const auto first = mover.Plan(input);
  REQUIRE(first);
  for (const RangeEntry& entry : first->entries)
    CHECK(entry.zone != ZoneId("z1"));
}

// Guards against ranges that are taken from owners and given to none.
TEST_CASE("ranges stay while all zones are evacuated") {
  MoverFixture fixture(Ids(4), 2);
  // A member that has not seen any move.
  fixture.members["m1#a"];
  const RangeTable before = fixture.table();
  fixture.evacuations = {{ZoneId("z0"), {}}, {ZoneId("z1"), {}}};
  fixture.Advance(std::chrono::seconds(5));
  CHECK(fixture.table() == before);
  fixture.evacuations.erase(ZoneId("z0"));
  fixture.Advance(milliseconds(1));
  fixture.ReleaseAll("");
  SECTION("ranges that move get an owner once there is one again") {
    fixture.evacuations[ZoneId("z0")] = {};
    fixture.Advance(std::chrono::seconds(1));
    CHECK(fixture.RangesIn("z1") > 0);
    fixture.evacuations.clear();
  }
  fixture.Advance(milliseconds(100));
  CHECK(fixture.RangesIn("z1", RangePhase::kMoving) == 0);
  CHECK(fixture.mover().OutstandingReleases().empty());
}

// Guards against moves that begin after the end of an evacuation, or that stay
// half done.
TEST_CASE("moves in progress complete when an evacuation ends") {
  MoverFixture fixture(Ids(8), 4);
  // A member that has not seen any move.
  fixture.members["m1#a"];
  fixture.evacuations[ZoneId("z1")] = {};
  fixture.Advance(milliseconds(1));
  const std::size_t moving = fixture.mover().OutstandingReleases().size();
  CHECK(moving >= 2);
  fixture.evacuations.clear();
  fixture.Advance(milliseconds(1));
  CHECK(fixture.mover().OutstandingReleases().size() == moving);
  fixture.ReleaseAll("");
  fixture.Advance(milliseconds(60));
  fixture.Advance(milliseconds(60));
  CHECK(fixture.mover().OutstandingReleases().empty());
  for (const RangeEntry& entry : fixture.table().entries)
    CHECK(entry.phase == RangePhase::kSettled);
}

}  // namespace figstall
