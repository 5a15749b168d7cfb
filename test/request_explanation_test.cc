// Tests that an explanation names the target that a request would get and what
// rules out each other one, and that it has no effect.
#include "figstall/request_explanation.h"

#include <catch2/catch.hpp>

#include "fakes/traffic_harness.h"

namespace figstall {
namespace {

constexpr char kState[] = R"({"version":3,"services":{"keyed":{"sharded":true},
  "any":{}},"routes":{
  "k":{"host":"h","prefix":"/k/","kind":"safe","service":"keyed"},
  "a":{"host":"h","prefix":"/a/","kind":"safe","service":"any"}},
  "tenants":{"northern":{"allowedRegions":["north"]}}})";

std::string Good(const std::string& request) {
  return ResponseTo(request, "200");
}

// "chosen", the reason or "other" by target.
std::map<std::string, std::string> Verdicts(const ServiceExplanation& service) {
  std::map<std::string, std::string> all;
  for (const TargetExplanation& each : service.targets)
    all[each.target.value()] = each.chosen           ? "chosen"
                               : each.reason.empty() ? "other"
                                                     : each.reason;
  return all;
}

}  // namespace

// Guards against an explanation that tells another choice than the one made.
TEST_CASE("an explanation names the choice and what rules out the others") {
  TrafficHarness test(kState);
  std::map<std::string, ScriptedTarget*> targets;
  for (const char* id : {"a", "b", "leaving", "paused", "limited"})
    targets[id] = &test.AddTarget(id, "any", "north-a", Good);
  targets["south"] = &test.AddTarget("south", "any", "south-a", Good);
  const Instant now = BootNow();
  TargetNotices& notices = test.notices.notices();
  notices.OnListed(now, {TargetId("leaving"), 1}, true);
  TargetNotice notice;
  notice.retry_after = std::chrono::seconds(9);
  notices.OnAnswer(now, {TargetId("paused"), 1}, notice);
  notices.OnReportedLimit({TargetId("limited"), 1}, {5.0, now});
  const RequestDescription request{"h", "/a/x", "", {AccountId("northern")}};
  const RequestExplanation explained = test.traffic.Explain(now, request);
  CHECK(explained.version == 3);
  CHECK(explained.route == "a");
  CHECK(explained.allowed_regions == "north");
  REQUIRE(explained.services.size() == 1);
  const std::string chosen = explained.services[0].chosen.value();
  CHECK((chosen == "a" || chosen == "b"));
  auto expected =
      std::map<std::string, std::string>{{"a", "other"},
                                         {"b", "other"},
                                         {"leaving", "leaving"},
                                         {"paused", "paused"},
                                         {"limited", "awaiting-credit"},
                                         {"south", "outside-regions"}};
  expected[chosen] = "chosen";
  CHECK(Verdicts(explained.services[0]) == expected);
  // It changes nothing, so the same request is served by this target.
  CHECK(test.traffic.Explain(now, request) == explained);
  CHECK(targets[chosen]->requests() == 0);
  CHECK(test.Get("/a/x", "Tenant: northern\r\n")->status() == 200);
  CHECK(targets[chosen]->requests() == 1);
  const std::string table = ExplanationTable(ToJson(explained));
  CHECK(table.find("outside-regions") != std::string::npos);
  CHECK(table.find("* " + chosen) != std::string::npos);
}

TEST_CASE("an explanation of a key names its owner and why nobody serves it") {
  TrafficHarness test(kState);
  test.AddTarget("k1", "keyed", "south-a", Good);
  test.AddTarget("k2", "keyed", "north-a", Good);
  test.SetOwner("k1", RangePhase::kSettled);
  const auto explain = [&](const std::string& key,
                           std::vector<AccountId> accounts) {
    return test.traffic
        .Explain(BootNow(), {"h", "/k/", key, std::move(accounts)})
        .services.at(0);
  };
  CHECK(explain("7", {}).chosen == TargetId("k1"));
  CHECK(Verdicts(explain("7", {})).at("k2") == "other-owner");
  const ServiceExplanation outside = explain("7", {AccountId("northern")});
  CHECK(outside.chosen.empty());
  CHECK(outside.reason == "outside-regions");
  CHECK(Verdicts(outside).at("k1") == "outside-regions");
  for (const char* key : {"", "x", "-1", "65536"})
    CHECK(explain(key, {}).reason == "no-key");
  CHECK(test.traffic.Explain(BootNow(), {"other", "/k/", "", {}}).reason ==
        "no-route");
}

}  // namespace figstall
