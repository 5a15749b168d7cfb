// Tests which regions a desired state allows for a request, and that unusual
// regions of a state are found without any effect on the others.
#include "figstall/region_rules.h"

#include <catch2/catch.hpp>

#include "platform/decode.h"

namespace figstall {
namespace {

// "captures" and "empty" by the platform's names, with an account of each kind.
constexpr char kState[] = R"({"version":3,"services":{"b":{}},"routes":{
  "captures":{"host":"h","prefix":"/c/","kind":"unsafe","service":"b",
              "allowedRegions":["north","north"]},
  "empty":{"host":"h","prefix":"/e/","kind":"safe","service":"b",
           "allowedRegions":[]},
  "wide":{"host":"h","prefix":"/w/","kind":"safe","service":"b",
          "allowedRegions":["north","soth"]}},
  "tenants":{"both":{"allowedRegions":["north","south"]},"free":{},
             "southern":{"allowedRegions":["south"]}}})";

DesiredState Decode(const std::string& text) {
  return HandleError([&] { return platform::DecodeDesiredState(text); },
                     [](const Error& error) -> DesiredState {
                       throw std::logic_error(error.message);
                     });
}

const RegionId kNorth("north");
const RegionId kSouth("south");

}  // namespace

// Guards against a request that leaves its regions since only its route or only
// its account was looked at.
TEST_CASE("the regions of the route and of each account apply") {
  const RouteIndex routes(Decode(kState));
  const auto allowed = [&](const char* path,
                           const std::vector<AccountId>& accounts) {
    return ToString(
        RegionsForRequest(routes.state(), routes.Find("h", path), accounts));
  };
  CHECK(allowed("/c/", {}) == "north");
  CHECK(allowed("/c/", {AccountId("both")}) == "north");
  CHECK(allowed("/c/", {AccountId("southern")}) == "none");
  CHECK(allowed("/e/", {AccountId("southern")}) == "south");
  CHECK(allowed("/e/", {AccountId("both"), AccountId("southern")}) == "south");
  // An empty list, an account without a list, one that is not listed, and a
  // path without a route restrict nothing.
  CHECK(allowed("/e/", {}) == "any");
  CHECK(allowed("/e/", {AccountId("free")}) == "any");
  CHECK(allowed("/e/", {AccountId("unlisted")}) == "any");
  CHECK(allowed("/none/", {AccountId("both")}) == "north,south");
}

TEST_CASE("an unknown region is found with its route or account") {
  const DesiredState state = Decode(kState);
  CHECK(FindUnknownRegions(state, {kNorth, kSouth}).size() == 1);
  const auto unknown = FindUnknownRegions(state, {kNorth});
  REQUIRE(unknown.size() == 3);
  CHECK(unknown[0].region == RegionId("soth"));
  CHECK(platform::PlaceOfAllowedRegions(*unknown[0].route) ==
        "/routes/wide/allowedRegions");
  CHECK(unknown[2].region == kSouth);
  CHECK(platform::PlaceOfAllowedRegions(*unknown[2].account) ==
        "/tenants/southern/allowedRegions");
}

TEST_CASE("regions that are no list of names are refused with their place") {
  for (const char* regions : {R"("north")", "[1]", "null"}) {
    const std::string text =
        R"({"version":1,"services":{},"routes":{},"tenants":{"a":)"
        R"({"allowedRegions":)" +
        std::string(regions) + "}}}";
    const std::string places = HandleError(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(platform::DecodeDesiredState(text));
          return std::string("accepted");
        },
        [](const Error& error) {
          std::string all;
          for (const Finding& finding : error.findings)
            all += finding.place + " ";
          return all;
        });
    CHECK(places.find("/tenants/a/allowedRegions") != std::string::npos);
  }
}

TEST_CASE("a route and an account without a common region are found") {
  const DesiredState state = Decode(kState);
  const auto disjoint = FindDisjointRegions(state);
  REQUIRE(disjoint.size() == 2);
  CHECK(disjoint[0].route->name == "captures");
  REQUIRE(disjoint[0].accounts.size() == 1);
  CHECK(disjoint[0].accounts[0]->id == AccountId("southern"));
}

}  // namespace figstall
