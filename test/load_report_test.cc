// Reports of load between members, and the picture made of them.
#include <catch2/catch.hpp>
#include <numeric>

#include "figstall/load_report.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("accounts");

Instant At(int millis) {
  return Instant(std::chrono::seconds(1000) + milliseconds(millis));
}

LoadReport Report(const std::string& vm, std::uint16_t part, double busy) {
  LoadReport report;
  report.vm = VmId(vm);
  report.incarnation = "a";
  report.services[kService] = {100, {{part, busy}}};
  return report;
}

}  // namespace

TEST_CASE("a report survives its form on the wire") {
  LoadReport report = Report("m1", 17, 0.25);
  report.targets[TargetId("t1")] = {milliseconds(80), 12};
  report.grants.seen_fence[kService] = 12;
  report.grants.holds_for[TargetId("t2")] = milliseconds(1500);
  const PeerDatagram read = HandleError(
      [&]() -> Result<PeerDatagram> {
        return DecodePeerDatagram(EncodePeerDatagram(report));
      },
      [](const Error& error) -> PeerDatagram {
        FAIL(error.message);
        return {};
      });
  CHECK(std::get<LoadReport>(read) == report);
}

TEST_CASE("bytes that are no report are refused or name no member") {
  for (const std::string& bytes :
       {std::string(), std::string("GET / HTTP/1.1"), std::string(64, '\xff'),
        std::string(64, '\0')}) {
    const std::string member = HandleError(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(datagram, DecodePeerDatagram(bytes));
          return std::get<LoadReport>(datagram).vm.value();
        },
        [](const Error&) { return std::string(); });
    CHECK(member.empty());
  }
}

TEST_CASE("an order of admission survives its form on the wire") {
  const HotKeyLimits order{VmId("m1"), {{kService, {{3, 0.25}, {900, 0.5}}}}};
  const PeerDatagram read = HandleError(
      [&]() -> Result<PeerDatagram> {
        return DecodePeerDatagram(EncodePeerDatagram(order));
      },
      [](const Error& error) -> PeerDatagram {
        FAIL(error.message);
        return {};
      });
  CHECK(std::get<HotKeyLimits>(read) == order);
}

// Load: hot_key. A third of all requests are about one key, four times what its
// owner can serve.
TEST_CASE("only the hot key of an overloaded owner is limited") {
  RangeTable table;
  TargetDirectory directory;
  for (int i = 0; i < 2; ++i) {
    RangeEntry entry;
    entry.owner.id = TargetId("t" + std::to_string(i));
    entry.range = {static_cast<ShardKey>(i * 32768),
                   static_cast<ShardKey>(i * 32768 + 32767)};
    table.entries.push_back(entry);
    directory[entry.owner.id].slots = 4;
  }
  std::vector<double> heat(kLoadParts, 2.0 / 512);
  heat[100] = 24;
  const AdmittedShares shares = LimitHotParts(table, heat, {}, directory);
  REQUIRE(shares.size() == 1);
  const double admitted = 2.0 * 511 / 512 + 24 * shares.at(100);
  CHECK(admitted == Approx(kHotKeyUtilization * 4).epsilon(0.01));
}

// Load: umurage scale-1. Many owners were a little above their estimated
// capacity for a moment; 4,264 requests for keys that were not hot were
// refused.
TEST_CASE("an owner that moves can relieve is not limited") {
  RangeTable table;
  RangeEntry entry;
  entry.owner.id = TargetId("t1");
  entry.range = {0, 65'535};
  table.entries.push_back(entry);
  TargetDirectory directory;
  directory[entry.owner.id].slots = 4;
  std::vector<double> heat(kLoadParts, 6.0 / kLoadParts);
  heat[100] = 2;
  CHECK(LimitHotParts(table, heat, {}, directory).empty());
}

TEST_CASE("owners with room limit nothing") {
  RangeTable table;
  RangeEntry entry;
  entry.owner.id = TargetId("t1");
  entry.range = {0, 65'535};
  table.entries.push_back(entry);
  TargetDirectory directory;
  directory[entry.owner.id].slots = 4;
  const std::vector<double> heat(kLoadParts, 3.5 / kLoadParts);
  CHECK(LimitHotParts(table, heat, {}, directory).empty());
  CHECK(LimitHotParts(table, heat, {{entry.owner.id, 1.0}}, directory).size() ==
        kLoadParts);
}

TEST_CASE("heat is right from the first observations on and fades") {
  KeyLoad heat;
  heat.Decay(At(0));
  for (int i = 0; i < 30; ++i)
    heat.Add(100, milliseconds(10));
  heat.Decay(At(300));
  CHECK(heat.parts()[1] == Approx(1.0));
  for (int at = 600; at <= 9000; at += 300)
    heat.Decay(At(at));
  CHECK(heat.parts()[1] < 0.02);
}

TEST_CASE("members that were not heard are made up for") {
  LoadAggregator picture;
  picture.OnReport(At(0), Report("m1", 3, 0.5));
  picture.OnReport(At(0), Report("m2", 3, 0.5));
  CHECK(picture.PartLoads(At(10), kService, 4)[3] == Approx(2.0));
  // Too old to count: nothing is known.
  CHECK(picture.PartLoads(At(5000), kService, 4).empty());
}

TEST_CASE("too few requests say nothing of load") {
  LoadAggregator picture;
  LoadReport report = Report("m1", 3, 0.5);
  report.services[kService].samples = 5;
  picture.OnReport(At(0), report);
  CHECK(picture.PartLoads(At(10), kService, 1).empty());
}

TEST_CASE("slots count by how fast a target answers") {
  LoadAggregator picture;
  TargetDirectory directory;
  LoadReport report = Report("m1", 0, 0.1);
  for (const auto& [id, millis] :
       {std::pair("t1", 60), std::pair("t2", 120), std::pair("t3", 240)}) {
    directory[TargetId(id)] = {
        {TargetId(id), 1}, {}, kService, ZoneId("z"), 4, false, Duration{0}};
    report.targets[TargetId(id)] = {milliseconds(millis), 1e6};
  }
  picture.OnReport(At(0), report);
  const auto capacities = picture.Capacities(At(10), directory, kService);
  CHECK(capacities.at(TargetId("t1")) == Approx(8.0));
  CHECK(capacities.at(TargetId("t2")) == Approx(4.0));
  CHECK(capacities.at(TargetId("t3")) == Approx(2.0));
}

// Load: umurage quiet-1, second 2. Each router had seen one answer of a target,
// and work varies by a factor of two.
TEST_CASE("speeds are learned from the answers of all members together") {
  LoadAggregator picture;
  TargetDirectory directory;
  for (const char* id : {"t1", "t2"}) {
    directory[TargetId(id)] = {
        {TargetId(id), 1}, {}, kService, ZoneId("z"), 4, false, Duration{0}};
  }
  LoadReport first = Report("m1", 0, 0.1);
  first.targets = {{TargetId("t1"), {milliseconds(300), 1}},
                   {TargetId("t2"), {milliseconds(200), 30}}};
  LoadReport second = Report("m2", 0, 0.1);
  second.targets = {{TargetId("t1"), {milliseconds(100), 29}}};
  picture.OnReport(At(0), first);
  picture.OnReport(At(0), second);
  const auto capacities = picture.Capacities(At(10), directory, kService);
  const double ratio =
      capacities.at(TargetId("t1")) / capacities.at(TargetId("t2"));
  CHECK(ratio > 1.5);
  CHECK(ratio < 2.0);
  // One answer alone says little.
  LoadAggregator hasty;
  LoadReport single = Report("m1", 0, 0.1);
  single.targets = {{TargetId("t1"), {milliseconds(400), 1}},
                    {TargetId("t2"), {milliseconds(100), 30}}};
  hasty.OnReport(At(0), single);
  const auto guessed = hasty.Capacities(At(10), directory, kService);
  CHECK(guessed.at(TargetId("t2")) / guessed.at(TargetId("t1")) < 2.0);
}

// Load: caroni trouble-1, second 5. A key with a third of the traffic was
// noticed after 1.7 s.
TEST_CASE("a key that grows hot is seen at once, and its end as well") {
  SmoothedLoad heat;
  std::vector<double> parts(kLoadParts, 0.01);
  for (int millis = 0; millis < 3000; millis += 100)
    heat.Update(At(millis), parts);
  parts[7] = 6;
  heat.Update(At(3000), parts);
  CHECK(heat.parts()[7] == Approx(6));
  parts[7] = 0.01;
  heat.Update(At(4000), parts);
  CHECK(heat.parts()[7] < 0.1);
}

// Load: umurage quiet-1, where 144 pieces moved in 32 s without need.
TEST_CASE("chance moves the planned load little") {
  SmoothedLoad heat;
  for (int millis = 0; millis < 20'000; millis += 100) {
    std::vector<double> parts(kLoadParts, 0.01);
    parts[7] = millis / 500 % 2 == 0 ? 0.5 : 0.1;
    heat.Update(At(millis), parts);
  }
  CHECK(heat.parts()[7] > 0.25);
  CHECK(heat.parts()[7] < 0.35);
}

}  // namespace figstall
