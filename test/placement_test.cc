// Placement and routing tables.
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

// Largest load over fair share.
double Imbalance(const std::vector<PlacementTarget>& targets,
                 const Assignment& assignment) {
  std::vector<double> load(targets.size(), 0);
  double capacity = 0;
  for (const auto& target : targets)
    capacity += target.capacity;
  for (const auto& owner : assignment)
    load[*owner] += 1;
  double worst = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (targets[i].capacity <= 0)
      continue;
    const double fair =
        static_cast<double>(assignment.size()) * targets[i].capacity / capacity;
    worst = std::max(worst, load[i] / fair);
  }
  return worst;
}

int Moved(const Assignment& before, const Assignment& after) {
  int moved = 0;
  for (std::size_t p = 0; p < before.size(); ++p)
    moved += before[p] != after[p];
  return moved;
}

}  // namespace

TEST_CASE("repair moves only what lost its owner while the fleet thins out") {
  std::mt19937 random(1);
  const IncrementalRebalance policy{1.1};
  auto targets = Targets(30);
  Assignment current = policy.Place(targets, Assignment(4096), {});
  int moved = 0;
  int least = 0;
  for (int lost = 0; lost < 15; ++lost) {
    std::size_t victim = random() % targets.size();
    while (targets[victim].capacity == 0)
      victim = random() % targets.size();
    targets[victim].capacity = 0;
    least +=
        static_cast<int>(std::count(current.begin(), current.end(), victim));
    const Assignment next = policy.Place(targets, current, {});
    moved += Moved(current, next);
    CHECK(Imbalance(targets, next) <= 1.10);
    current = next;
  }
  CHECK(moved <= 1.05 * least);
}

TEST_CASE("a target that joins is given its share") {
  const IncrementalRebalance policy{1.05};
  auto targets = Targets(12);
  targets[11].capacity = 0;
  Assignment current = policy.Place(targets, Assignment(1024), {});
  targets[11].capacity = 2;
  current = policy.Place(targets, current, {});
  CHECK(std::count(current.begin(), current.end(), 11U) > 70);
}

TEST_CASE("no live target leaves partitions without owner, not a crash") {
  const std::vector<PlacementTarget> none = {{0, 0.0}};
  const Assignment next = IncrementalRebalance{}.Place(none, Assignment(4), {});
  CHECK(std::none_of(next.begin(), next.end(),
                     [](const auto& owner) { return owner.has_value(); }));
}

TEST_CASE("rows told before the configuration are kept") {
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
  // An older row arriving late changes nothing.
  order.hints = {{key, FencingToken{1, 0}, VmId("t0")}};
  table.Apply(Instant{}, order);
  CHECK(table.Decide(Instant{}, ServiceId("accounts"), 0).term ==
        FencingToken{1, 1});
}

}  // namespace figstall
