// Guards against a placement that moves more partitions than necessary, leaves
// a joining target without its share or fails without a live target, and
// against routing rows that are lost because they arrive before the
// configuration.
#include <catch2/catch.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "figstall/placement.h"
#include "figstall/route_table.h"

namespace figstall {
namespace {

std::vector<PlacementTarget> Targets(std::size_t count) {
  std::vector<PlacementTarget> targets;
  for (std::size_t i = 0; i < count; ++i)
    targets.push_back({i, 1.0 + static_cast<double>(i % 3)});
  return targets;
}

// Highest ratio of a target's load to its fair share.
double Imbalance(const std::vector<PlacementTarget>& targets,
                 const Assignment& assignment) {
  std::vector<double> load(targets.size(), 0);
  double capacity = 0;
  for (const auto& target : targets)
    capacity += target.capacity;
  for (const auto& owner : assignment)
    load[*owner] += 1;
  double highest = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (targets[i].capacity <= 0)
      continue;
    const double fair =
        static_cast<double>(assignment.size()) * targets[i].capacity / capacity;
    highest = std::max(highest, load[i] / fair);
  }
  return highest;
}

int CountMoved(const Assignment& before, const Assignment& after) {
  int moved = 0;
  for (std::size_t p = 0; p < before.size(); ++p)
    moved += before[p] != after[p];
  return moved;
}

}  // namespace

TEST_CASE("losing targets moves little more than their own partitions") {
  std::mt19937 random(1);
  const IncrementalRebalance policy{1.1};
  auto targets = Targets(30);
  Assignment current = policy.Place(targets, Assignment(4096), {});
  int moved = 0;
  int min_moved = 0;
  for (int losses = 0; losses < 15; ++losses) {
    std::size_t lost_target = random() % targets.size();
    while (targets[lost_target].capacity == 0)
      lost_target = random() % targets.size();
    targets[lost_target].capacity = 0;
    min_moved += static_cast<int>(
        std::count(current.begin(), current.end(), lost_target));
    const Assignment next = policy.Place(targets, current, {});
    moved += CountMoved(current, next);
    CHECK(Imbalance(targets, next) <= 1.10);
    current = next;
  }
  CHECK(moved <= 1.05 * min_moved);
}

TEST_CASE("a target that joins receives its share") {
  const IncrementalRebalance policy{1.05};
  auto targets = Targets(12);
  targets[11].capacity = 0;
  Assignment current = policy.Place(targets, Assignment(1024), {});
  targets[11].capacity = 2;
  current = policy.Place(targets, current, {});
  CHECK(std::count(current.begin(), current.end(), 11U) > 70);
}

TEST_CASE("without a live target every partition stays unassigned") {
  const std::vector<PlacementTarget> no_live_target = {{0, 0.0}};
  const Assignment next =
      IncrementalRebalance{}.Place(no_live_target, Assignment(4), {});
  CHECK(std::none_of(next.begin(), next.end(),
                     [](const auto& owner) { return owner.has_value(); }));
}

TEST_CASE("rows received before the configuration are kept") {
  RouteTable table(VmId("e1"), 1, ZoneId("arima"));
  const PartitionKey key{ServiceId("accounts"), 0};
  HolderOrder order;
  order.hints = {{key, FencingToken{1, 1}, VmId("t1")}};
  table.Apply(Instant{}, order);
  const auto configuration = HandleError(
      [] {
        return Configuration::Parse(
            R"({"revision":1,"records":[
              {"kind":"service","schema":1,"name":"accounts","partitions":1,
               "zones":["arima"]},
              {"kind":"vm","schema":1,"name":"e1","zone":"arima",
               "region":"north","role":"entry","address":"127.0.0.1",
               "callers_port":1,"router_port":2,"steward_port":3}]})",
            "test");
      },
      [](const Error&) { return std::shared_ptr<const Configuration>(); });
  REQUIRE(configuration);
  table.SetConfiguration(*configuration);
  CHECK(table.AllOwnersKnown());
  const RouteDecision decision =
      table.Decide(Instant{}, ServiceId("accounts"), 0);
  CHECK(decision.kind == RouteKind::kOwner);
  CHECK(table.TargetVmId(decision.target) == VmId("t1"));
  // A later order with an older fencing token changes nothing.
  order.hints = {{key, FencingToken{1, 0}, VmId("t0")}};
  table.Apply(Instant{}, order);
  CHECK(table.Decide(Instant{}, ServiceId("accounts"), 0).term ==
        FencingToken{1, 1});
}

}  // namespace figstall
