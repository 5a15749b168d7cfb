// Tests route lookup by host and prefix, distribution over weighted services,
// and decoding of the desired state and of target entries, which other
// processes write.
#include <catch2/catch.hpp>
#include <map>

#include "figstall/desired_state.h"
#include "platform/decode.h"

namespace figstall {
namespace {

IngressRoute MakeRoute(std::string name, std::string host, std::string prefix) {
  IngressRoute route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.services = {{ServiceId("s"), 1}};
  return route;
}

template <typename Value>
Value DecodeOrFail(Result<Value> (*decode)(const std::string&),
                   const std::string& text) {
  return HandleError([&]() -> Result<Value> { return decode(text); },
                     [](const Error& error) -> Value {
                       FAIL(error.message);
                       throw std::logic_error(error.message);
                     });
}

// Returns all findings of a desired state, or "accepted" if it is valid.
std::string FindingsOf(const std::string& text) {
  return HandleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(platform::DecodeDesiredState(text));
        return std::string("accepted");
      },
      [](const Error& error) {
        std::string all;
        for (const Finding& finding : error.findings)
          all += finding.ToString() + "\n";
        return all;
      });
}

constexpr char kDesiredStateJson[] = R"({"version":7,"routes":{
  "r1":{"host":"a.example","prefix":"/x/","kind":"safe","timeoutS":1,
        "sloS":0.4,"priority":2,"attempts":2,
        "split":[{"service":"one","weight":90},{"service":"two","weight":10}]},
  "r2":{"host":"b.example","prefix":"/","kind":"unsafe","service":"two"}},
  "services":{"one":{"maxConns":120,"sharded":true,"warmS":3.0},"two":{}},
  "limits":{"maxHeaderBytes":1000,"idleTimeoutS":15}})";

}  // namespace

TEST_CASE("a route is found by its host and the longest prefix of the path") {
  DesiredState state;
  state.routes = {MakeRoute("short", "a.example", "/x/"),
                  MakeRoute("long", "a.example", "/x/y/"),
                  MakeRoute("other", "b.example", "/")};
  const RouteIndex index(state);
  const auto name = [&](const char* host, const char* path) {
    const IngressRoute* route = index.Find(host, path);
    return route ? route->name : std::string("none");
  };
  CHECK(name("a.example", "/x/1") == "short");
  CHECK(name("a.example", "/x/y/1") == "long");
  CHECK(name("a.example", "/x/y") == "short");
  CHECK(name("a.example", "/x") == "none");
  CHECK(name("A.Example:8080", "/x/1?to=/x/y/") == "short");
  CHECK(name("b.example", "/anything") == "other");
  CHECK(name("c.example", "/x/1") == "none");
}

TEST_CASE(
    "requests are distributed over services in proportion to the weights") {
  WeightedRoundRobin round_robin;
  const std::vector<WeightedService> services = {
      {ServiceId("a"), 90}, {ServiceId("b"), 10}, {ServiceId("c"), 0}};
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i)
    ++counts[round_robin.Next(services).value()];
  CHECK(counts["a"] == 900);
  CHECK(counts["b"] == 100);
  CHECK(counts["c"] == 0);
}

TEST_CASE("a valid desired state is decoded field by field") {
  const DesiredState state =
      DecodeOrFail(&platform::DecodeDesiredState, kDesiredStateJson);
  CHECK(state.version == 7);
  REQUIRE(state.routes.size() == 2);
  const IngressRoute& first = state.routes[0];
  CHECK(first.idempotent);
  CHECK_FALSE(first.bulk);
  CHECK(first.request_timeout == std::chrono::seconds(1));
  CHECK(first.latency_objective == std::chrono::milliseconds(400));
  CHECK(first.services.size() == 2);
  CHECK_FALSE(state.routes[1].idempotent);
  CHECK(state.services.at(ServiceId("one")).keyed);
  CHECK_FALSE(state.services.at(ServiceId("two")).keyed);
  CHECK(state.limits.max_header_bytes == 1000);
  CHECK(state.limits.idle_timeout == std::chrono::seconds(15));
}

TEST_CASE(
    "an invalid desired state is rejected with the location of each finding") {
  CHECK_THAT(
      FindingsOf(R"({"version":1,"routes":{"r":{"host":"a","prefix":"/x",
                          "kind":"odd","service":"s"}},"services":{}})"),
      Catch::Contains("/routes/r/prefix") && Catch::Contains("/routes/r/kind"));
  CHECK_THAT(
      FindingsOf(R"({"version":1,"routes":{"r":{"host":"a","prefix":"/x/",
                          "kind":"safe","service":"s"}},"services":{}})"),
      Catch::Contains("unknown service s"));
  CHECK(FindingsOf("{\"version\":").find("accepted") == std::string::npos);
}

TEST_CASE("malformed target entries are rejected") {
  const auto is_rejected = [](const char* text) {
    return HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(platform::DecodeTargetEntry("i-1", text));
          return false;
        },
        [](const Error&) { return true; });
  };
  CHECK_FALSE(is_rejected(
      R"({"addr":"10.0.0.1:80","born":5,"info":{"service":"s","zone":"z",
          "slots":4},"status":{"state":"ready","seq":1,"warmupLeftS":0}})"));
  CHECK(is_rejected(
      R"({"addr":"10.0.0.1:80","info":{"service":"s","zone":"z"}})"));
  CHECK(is_rejected(
      R"({"addr":7,"info":{"service":"s","zone":"z"},
          "status":{"state":"ready"}})"));
  CHECK(is_rejected(
      R"({"addr":"10.0.0.1:80","info":{"service":"s","zone":"z"},
          "status":{"state":"odd"}})"));
  CHECK(is_rejected("\xff\xfe"));
}

// Guards against processes that end, or stop following the store, since another
// writer left an odd entry among those of the targets.
TEST_CASE("odd target entries of another writer are rejected") {
  const auto entry = [](const std::string& address, const std::string& born,
                        const std::string& slots, const std::string& warm_up,
                        const std::string& more) {
    return R"({"addr":")" + address + R"(","born":)" + born +
           R"(,"info":{"service":"s","zone":"z","slots":)" + slots +
           R"(},"status":{"state":"ready","seq":1,"warmupLeftS":)" + warm_up +
           "}" + more + "}";
  };
  const auto is_rejected = [](const std::string& text) {
    return HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(platform::DecodeTargetEntry("i-1", text));
          return false;
        },
        [](const Error&) { return true; });
  };
  const std::string address = "10.0.0.1:80";
  REQUIRE_FALSE(is_rejected(entry(address, "5", "4", "0", "")));
  SECTION("a number that no type holds") {
    constexpr const char* kNumbers[] = {"1e400", "-1e400", "1e300",
                                        "18446744073709551615",
                                        "99999999999999999999999999"};
    for (const char* number : kNumbers) {
      CAPTURE(number);
      CHECK(is_rejected(entry(address, number, "4", "0", "")));
      CHECK(is_rejected(entry(address, "5", number, "0", "")));
      CHECK(is_rejected(entry(address, "5", "4", number, "")));
    }
    CHECK(is_rejected(entry(address, "5", "4294967296", "0", "")));
    CHECK(is_rejected(
        R"({"addr":"10.0.0.1:80","info":{"service":"s","zone":"z"},
            "status":{"state":"ready","seq":1e400}})"));
  }
  SECTION("an address that names no port") {
    for (const char* odd :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999",
          "10.0.0.1:", "10.0.0.1", ":80", "somewhere:80", "10.0.0.1:8x"}) {
      CAPTURE(odd);
      CHECK(is_rejected(entry(odd, "5", "4", "0", "")));
    }
  }
  SECTION("values nested deeply") {
    constexpr int kLevels = 300'000;
    const std::string nested =
        std::string(kLevels, '[') + std::string(kLevels, ']');
    CHECK(is_rejected(nested));
    CHECK(is_rejected(entry(address, "5", "4", "0", R"(,"x":)" + nested)));
    std::string objects;
    for (int i = 0; i < kLevels; ++i)
      objects += R"({"x":)";
    CHECK(is_rejected(objects + "1" + std::string(kLevels, '}')));
  }
}

}  // namespace figstall
