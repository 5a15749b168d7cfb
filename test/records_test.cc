// Tests of operators' records, callers' requests, and stewards' orders and
// statuses. Invalid input must give findings that name its place, or an error,
// and valid input must be accepted.
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "figstall/caller_request.h"
#include "figstall/configuration.h"
#include "figstall/holder_json.h"
#include "figstall/schema_check.h"

namespace figstall {
namespace {

using nlohmann::json;

const char* const kService =
    R"({"kind":"service","schema":2,"name":"accounts","partitions":8,
        "home_weights":{"arima":1},"max_deadline_ms":5000})";
const char* const kEntry =
    R"({"kind":"vm","schema":2,"name":"e1","zone":"arima","region":"north",
        "role":"entry","endpoints":{"callers":"127.0.0.1:1",
        "router":"127.0.0.1:2","steward":"127.0.0.1:3"}})";
const char* const kTarget =
    R"({"kind":"vm","schema":1,"name":"t1","zone":"arima","region":"north",
        "role":"target","address":"127.0.0.1","port":4,"service":"accounts"})";

using ConfigurationPointer = std::shared_ptr<const Configuration>;

std::string Document(std::initializer_list<std::string> records,
                     int revision = 1) {
  json document = {{"revision", revision}, {"records", json::array()}};
  for (const std::string& record : records)
    document["records"].push_back(json::parse(record));
  return document.dump();
}

ConfigurationPointer Parse(const std::string& text, Findings& findings) {
  return HandleError([&] { return Configuration::Parse(text, "file"); },
                     [&](const Error& error) {
                       findings = error.findings;
                       return ConfigurationPointer();
                     });
}

ConfigurationPointer ValidConfiguration(int revision = 1) {
  Findings findings;
  return Parse(Document({kService, kEntry, kTarget}, revision), findings);
}

bool HasFindingAt(const Findings& findings, const std::string& place) {
  for (const Finding& finding : findings) {
    if (finding.place.starts_with(place))
      return true;
  }
  return false;
}

std::string WithField(const char* record,
                      const char* field,
                      const json& value) {
  json changed = json::parse(record);
  changed[field] = value;
  return changed.dump();
}

Findings CallerFindings(const std::string& path, const std::string& deadline) {
  ServerRequest request;
  request.method = "GET";
  request.path = path;
  request.header = [&](const char* name) {
    return std::string(name) == kDeadlineHeader ? deadline : "";
  };
  return HandleError(
      [&]() -> Result<Findings> {
        BOOST_LEAF_CHECK(
            ParseCallerRequest(request, *ValidConfiguration(), Instant{}));
        return Findings{};
      },
      [](const Error& error) { return error.findings; });
}

}  // namespace

TEST_CASE("one document may hold records of both schema versions") {
  const auto configuration = ValidConfiguration();
  REQUIRE(configuration);
  CHECK(configuration->records().vms.size() == 2);
  CHECK(configuration->PlanFor(ZoneId("arima")).targets.size() == 1);
}

TEST_CASE("a service keeps its home zones from schema 1 to schema 2") {
  Findings findings;
  const std::string v1 =
      R"({"kind":"service","schema":1,"name":"accounts","partitions":8,
          "zones":["sando","arima"]})";
  std::string v2 =
      WithField(kService, "home_weights", json{{"arima", 1}, {"sando", 1}});
  const json records_v1 = json::array({json::parse(v1)});
  const json records_v2 = json::array({json::parse(v2)});
  const RecordSet before = ParseRecords(records_v1, "a", "", findings);
  const RecordSet after = ParseRecords(records_v2, "b", "", findings);
  CHECK(CheckTransition(before, after, "b").empty());
}

TEST_CASE("each fault of a record gives a finding that names its place") {
  const auto faults = std::vector<std::pair<std::string, std::string>>{
      {WithField(kService, "partitions", 12), "/records/0/partitions"},
      {WithField(kService, "schema", 9), "/records/0/schema"},
      {WithField(kService, "no_such_field", 1), "/records/0"},
      {WithField(kService, "home_weights", json{{"nowhere", 1}}), "/records/0"},
      {WithField(kTarget, "address", "not-an-ip"), "/records/0/address"},
      {WithField(kTarget, "zone", ""), "/records/0/zone"},
      {WithField(kTarget, "service", "nothing"), "/records/0/service"},
      {WithField(kTarget, "region", "south"), "/records/2/region"},
      {R"({"kind":"lamp","schema":1})", "/records/0/schema"},
      {R"([1])", "/records/0"}};
  for (const auto& [record, place] : faults) {
    Findings findings;
    CHECK_FALSE(Parse(Document({record, kEntry, kTarget}), findings));
    INFO(record);
    CHECK(HasFindingAt(findings, place));
  }
}

TEST_CASE("names and endpoints are unique") {
  Findings findings;
  CHECK_FALSE(Parse(Document({kService, kService, kEntry, kTarget, kTarget}),
                    findings));
  CHECK(HasFindingAt(findings, "/records/1/name"));
  CHECK(HasFindingAt(findings, "/records/4/name"));
}

TEST_CASE(
    "findings of malformed and oversized documents name place and limit") {
  Findings findings;
  CHECK_FALSE(Parse("{\"records\": [\n  1,,\n]}", findings));
  CHECK(findings.at(0).place == "line 2, column 5");
  CHECK_FALSE(Parse(std::string(kMaxDocumentBytes + 1, ' '), findings));
  CHECK(findings.at(0).message.find("at most") != std::string::npos);
}

TEST_CASE("partitions, homes and fence of a service cannot be changed") {
  const auto before = ValidConfiguration();
  for (const auto& [field, value] : std::vector<std::pair<const char*, json>>{
           {"partitions", 16},
           {"home_weights", json{{"arima", 2}, {"sando", 1}}},
           {"fence", "router"}}) {
    Findings findings;
    json target_in_other_zone = json::parse(WithField(kTarget, "name", "t2"));
    target_in_other_zone["zone"] = "sando";
    target_in_other_zone["port"] = 5;
    const auto after =
        Parse(Document({WithField(kService, field, value), kEntry, kTarget,
                        target_in_other_zone.dump()}),
              findings);
    REQUIRE(after);
    CHECK_FALSE(
        CheckTransition(before->records(), after->records(), "b").empty());
  }
}

TEST_CASE("weights may change if each partition keeps its home zone") {
  Findings findings;
  const auto after =
      Parse(Document({WithField(kService, "home_weights", json{{"arima", 2}}),
                      kEntry, kTarget}),
            findings);
  REQUIRE(after);
  CHECK(CheckTransition(ValidConfiguration()->records(), after->records(), "b")
            .empty());
}

TEST_CASE(
    "key records of both schemas set weight and freeze of the partition") {
  Findings findings;
  const auto configuration = Parse(
      Document({kService, kEntry, kTarget,
                R"({"kind":"key","schema":1,"service":"accounts","key":"a",
                    "weight":4})",
                R"({"kind":"key","schema":2,"service":"accounts","key":"d",
                    "placement":{"weight":2,"frozen":true}})"}),
      findings);
  REQUIRE(configuration);
  const ZonePlan zone = configuration->PlanFor(ZoneId("arima"));
  const ServicePlan& plan = zone.services.at(0);
  const std::uint32_t partition_a = PartitionOf("a", 8);
  const std::uint32_t partition_d = PartitionOf("d", 8);
  REQUIRE(partition_a != partition_d);
  CHECK(plan.weights.at(partition_a) == 5);
  CHECK(plan.weights.at(partition_d) == 3);
  CHECK(plan.IsFrozen(partition_d));
  CHECK_FALSE(plan.IsFrozen(partition_a));
}

TEST_CASE("a lower or equal revision does not replace the current one") {
  LatestConfiguration latest;
  CHECK(latest.UpdateIfNewer(ValidConfiguration(5)));
  CHECK_FALSE(latest.UpdateIfNewer(ValidConfiguration(4)));
  CHECK_FALSE(latest.UpdateIfNewer(ValidConfiguration(5)));
  CHECK(latest.UpdateIfNewer(ValidConfiguration(6)));
  CHECK(latest.revision() == 6);
}

TEST_CASE("findings of an invalid caller request name path or header") {
  CHECK(CallerFindings("/v1/accounts/k1", "").empty());
  CHECK(CallerFindings("/v1/accounts/k1", "5000").empty());
  CHECK(HasFindingAt(CallerFindings("/v1/accounts", ""), "path"));
  CHECK(HasFindingAt(CallerFindings("/v1/nothing/k1", ""), "path"));
  CHECK(HasFindingAt(
      CallerFindings("/v1/accounts/" + std::string(600, 'k'), ""), "path"));
  for (const char* deadline :
       {"0", "-1", "5001", "9e9", "soon", "99999999999999999999"})
    CHECK(HasFindingAt(CallerFindings("/v1/accounts/k1", deadline),
                       kDeadlineHeader));
}

TEST_CASE("parsing a malformed order or status returns an error") {
  for (const char* text : {"", "garbage", "{}", "[]", R"({"holder":1})",
                           R"({"holder":"t","epoch":-1,"lease":[]})"}) {
    const auto return_false = [](const Error&) { return false; };
    CHECK_FALSE(HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(ParseOrder(text));
          return true;
        },
        return_false));
    CHECK_FALSE(HandleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(ParseStatus(text));
          return true;
        },
        return_false));
  }
}

}  // namespace figstall
