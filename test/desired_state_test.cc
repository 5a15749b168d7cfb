// Routes by host and prefix, the spread over weighted services, and decoding of
// what operators and targets write.
#include <catch2/catch.hpp>
#include <map>

#include "figstall/desired_state.h"
#include "platform/decode.h"

namespace figstall {
namespace {

IngressRoute Route(std::string name, std::string host, std::string prefix) {
  IngressRoute route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.services = {{ServiceId("s"), 1}};
  return route;
}

template <typename Value>
Value MustDecode(Result<Value> (*decode)(const std::string&),
                 const std::string& text) {
  return HandleError([&]() -> Result<Value> { return decode(text); },
                     [](const Error& error) -> Value {
                       FAIL(error.message);
                       throw std::logic_error(error.message);
                     });
}

// All findings of a text that must be refused.
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

constexpr char kState[] = R"({"version":7,"routes":{
  "r1":{"host":"a.example","prefix":"/x/","kind":"safe","timeoutS":1,
        "sloS":0.4,"priority":2,"attempts":2,
        "split":[{"service":"one","weight":90},{"service":"two","weight":10}]},
  "r2":{"host":"b.example","prefix":"/","kind":"unsafe","service":"two"}},
  "services":{"one":{"maxConns":120,"sharded":true,"warmS":3.0},"two":{}},
  "limits":{"maxHeaderBytes":1000,"idleTimeoutS":15}})";

}  // namespace

TEST_CASE("the longest prefix of the host that begins the path is the route") {
  DesiredState state;
  state.routes = {Route("short", "a.example", "/x/"),
                  Route("long", "a.example", "/x/y/"),
                  Route("other", "b.example", "/")};
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

TEST_CASE("each run of requests is spread by the weights") {
  WeightedRoundRobin spread;
  const std::vector<WeightedService> services = {
      {ServiceId("a"), 90}, {ServiceId("b"), 10}, {ServiceId("c"), 0}};
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i)
    ++counts[spread.Next(services).value()];
  CHECK(counts["a"] == 900);
  CHECK(counts["b"] == 100);
  CHECK(counts["c"] == 0);
}

TEST_CASE("a desired state is decoded into what its fields say") {
  const DesiredState state = MustDecode(&platform::DecodeDesiredState, kState);
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

TEST_CASE("a wrong desired state is refused with every place") {
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

TEST_CASE("entries of another writer name no target to use") {
  const auto refused = [](const char* text) {
    return HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(platform::DecodeTargetEntry("i-1", text));
          return false;
        },
        [](const Error&) { return true; });
  };
  CHECK_FALSE(refused(
      R"({"addr":"10.0.0.1:80","born":5,"info":{"service":"s","zone":"z",
          "slots":4},"status":{"state":"ready","seq":1,"warmupLeftS":0}})"));
  CHECK(refused(R"({"addr":"10.0.0.1:80","info":{"service":"s","zone":"z"}})"));
  CHECK(refused(
      R"({"addr":7,"info":{"service":"s","zone":"z"},
          "status":{"state":"ready"}})"));
  CHECK(refused(
      R"({"addr":"10.0.0.1:80","info":{"service":"s","zone":"z"},
          "status":{"state":"odd"}})"));
  CHECK(refused("\xff\xfe"));
}

}  // namespace figstall
