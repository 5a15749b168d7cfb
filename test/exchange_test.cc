// Tests the status of a request without a target's response, the handling of
// response bodies, and the regions that bind a request until its end.
#include "figstall/exchange.h"

#include <catch2/catch.hpp>

#include "fakes/traffic_harness.h"

namespace figstall {
namespace {

constexpr std::size_t kLong = 10'000'000;

ResponseHead Head(unsigned status) {
  ResponseHead head;
  head.result(status);
  return head;
}

// A desired state with one route to a service with keys and one to another.
// `regions`: a list of regions in JSON, for both.
std::string StateOf(int version, const std::string& regions) {
  const std::string rest =
      R"(,"host":"h","kind":"safe","timeoutS":8,"sloS":5,"attempts":3,)"
      R"("allowedRegions":)" +
      regions + "}";
  return R"({"version":)" + std::to_string(version) +
         R"(,"services":{"keyed":{"sharded":true},"any":{}},"routes":{)"
         R"("k":{"prefix":"/keyed/","service":"keyed")" +
         rest + R"(,"a":{"prefix":"/any/","service":"any")" + rest +
         R"(},"tenants":{"northern":{"allowedRegions":["north"]}}})";
}

std::string Good(const std::string& request) {
  return ResponseTo(request, "200");
}

constexpr char kKeyField[] = "Shard-Key: 7\r\n";

void CheckRefusedOutside(const TrafficHarness::Call& call) {
  CHECK(call.status() == 503);
  CHECK(FieldOf(call.received, "Figstall-Reason") == "outside-regions");
  CHECK(FieldOf(call.received, "Retry-After") == "1.000");
}

}  // namespace

TEST_CASE("only a request that has not run gets status 503") {
  CHECK(LocalResponseStatus(ExecutionState::kNotRun, false) == 503);
  CHECK(LocalResponseStatus(ExecutionState::kNotRun, true) == 503);
  CHECK(LocalResponseStatus(ExecutionState::kUnknown, false) == 502);
  CHECK(LocalResponseStatus(ExecutionState::kUnknown, true) == 504);
}

TEST_CASE("a short body is buffered whatever the response") {
  ResponseHead sized = Head(200);
  sized.set(boost::beast::http::field::content_length, "1000");
  for (const ResponseHead& head : {Head(200), Head(500), sized})
    CHECK(BodyHandlingFor(head, 1000) == BodyHandling::kBuffer);
}

TEST_CASE("a body of unlimited length is never buffered whole") {
  // This applies to a body that ends with its connection and to that of a
  // server error.
  CHECK(BodyHandlingFor(Head(200), kLong) == BodyHandling::kStream);
  CHECK(BodyHandlingFor(Head(500), kLong) == BodyHandling::kStream);
  ResponseHead refused = Head(503);
  refused.set("Not-Executed", "1");
  CHECK(BodyHandlingFor(refused, 1000) == BodyHandling::kDrop);
  CHECK(BodyHandlingFor(refused, kLong) == BodyHandling::kDrop);
}

// Guards against requests that wait for their deadline though no target may
// serve them, and against their counting as load of a key.
TEST_CASE("a request without a target in its regions is refused at once") {
  TrafficHarness test(StateOf(1, R"(["south"])"));
  ScriptedTarget& keyed = test.AddTarget("k", "keyed", "north-a", Good);
  ScriptedTarget& any = test.AddTarget("a", "any", "north-a", Good);
  test.SetOwner("k", RangePhase::kSettled);
  const Instant begun_at = BootNow();
  CheckRefusedOutside(*test.Get("/keyed/", kKeyField));
  CheckRefusedOutside(*test.Get("/any/"));
  // The route and the account have no region in common.
  CheckRefusedOutside(*test.Get("/any/", "Tenant: northern\r\n"));
  // There is no such region.
  test.SetDesiredState(StateOf(2, R"(["soth"])"));
  CheckRefusedOutside(*test.Get("/any/"));
  CHECK(BootNow() - begun_at < std::chrono::seconds(1));
  CHECK(keyed.requests() + any.requests() == 0);
  CHECK(test.traffic.MakeLoadReport(BootNow(), "i").services.empty());
  // An empty list restricts nothing, and the account still does.
  test.SetDesiredState(StateOf(3, "[]"));
  CHECK(test.Get("/any/")->status() == 200);
  CHECK(test.Get("/any/", "Tenant: northern\r\n")->status() == 200);
  test.SetDesiredState(StateOf(4, R"(["north","soth"])"));
  CHECK(test.Get("/keyed/", kKeyField)->status() == 200);
}

// Guards against a request that arrived before a version took effect and leaves
// the regions of either.
TEST_CASE("a later version narrows the regions of a waiting request") {
  const auto [before, after, status] =
      GENERATE(table<std::string, std::string, int>(
          {{"[]", R"(["south"])", 503},
           {R"(["north","south"])", R"(["south"])", 503},
           {R"(["south"])", "[]", 503},
           {R"(["north"])", "[]", 200}}));
  TrafficHarness test(StateOf(1, before));
  ScriptedTarget& owner = test.AddTarget("k", "keyed", "north-a", Good);
  test.SetOwner("k", RangePhase::kMoving);
  const auto call = test.Send("/keyed/", kKeyField);
  test.Await(*call, std::chrono::milliseconds(30));
  REQUIRE_FALSE(call->closed);
  test.SetDesiredState(StateOf(2, after));
  test.SetOwner("k", RangePhase::kSettled);
  const Instant settled_at = BootNow();
  test.Await(*call);
  // It does not wait for capacity, which would take 2 s.
  CHECK(BootNow() - settled_at < std::chrono::seconds(1));
  CHECK(call->status() == status);
  CHECK(owner.requests() == (status == 200 ? 1 : 0));
}

TEST_CASE("a later version narrows the regions of a rejected request") {
  TrafficHarness test(StateOf(1, "[]"));
  int arrivals = 0;
  const auto reject = [&](const std::string& request) {
    if (++arrivals == 1)
      test.SetDesiredState(StateOf(2, R"(["south"])"));
    return ResponseTo(request, "503", "", "Not-Executed: 1\r\n");
  };
  test.AddTarget("a", "any", "north-a", reject);
  test.AddTarget("b", "any", "north-a", reject);
  CheckRefusedOutside(*test.Get("/any/"));
  CHECK(arrivals == 1);
}

}  // namespace figstall
