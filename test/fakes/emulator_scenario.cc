// The JSON schema of scenarios, and their translation into emulated targets,
// traffic, faults and the desired state that entries read from the store.
#include "emulator_scenario.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>

#include "figstall/schema_check.h"

namespace figstall::detail {
namespace {

using nlohmann::json;

constexpr const char* kSchema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["length_s", "stores", "entries", "services", "routes"],
  "properties": {
    "limits": {"type": "object"},
    "begins_at_s": {"type": "number", "minimum": 0},
    "lead_s": {"type": "number", "minimum": 0},
    "length_s": {"type": "number", "exclusiveMinimum": 0},
    "stores": {"type": "array", "minItems": 1, "items": {"type": "string"}},
    "entries": {"type": "array", "minItems": 1, "items": {"type": "string"}},
    "services": {"type": "object", "minProperties": 1,
      "additionalProperties": {
        "type": "object", "additionalProperties": false,
        "required": ["targets"],
        "properties": {
          "targets": {"type": "array", "minItems": 1, "items": {
            "type": "object", "additionalProperties": false,
            "required": ["address", "zone"],
            "properties": {"address": {"type": "string"},
                           "zone": {"type": "string"},
                           "external": {"type": "boolean"}}}},
          "keyed": {"type": "boolean"},
          "slots": {"type": "integer", "minimum": 1},
          "warm_up": {
            "type": "object", "additionalProperties": false,
            "required": ["time_s", "per_second", "max_requests"],
            "properties": {
              "time_s": {"type": "number", "exclusiveMinimum": 0},
              "per_second": {"type": "number", "exclusiveMinimum": 0},
              "max_requests": {"type": "number", "exclusiveMinimum": 0}}},
          "queue": {"type": "integer", "minimum": 0},
          "responds_early": {"type": "boolean"},
          "work_ms": {"type": "number", "exclusiveMinimum": 0},
          "answer_bytes": {"type": "integer", "minimum": 40}}}},
    "routes": {"type": "object", "minProperties": 1, "additionalProperties": {
      "type": "object", "additionalProperties": false,
      "required": ["host", "prefix", "kind", "service", "per_second"],
      "properties": {
        "host": {"type": "string"}, "prefix": {"type": "string"},
        "kind": {"enum": ["safe", "unsafe", "download"]},
        "service": {"type": "string"},
        "per_second": {"type": "number", "exclusiveMinimum": 0},
        "keep_connections": {"type": "boolean"},
        "body_bytes": {"type": "integer", "minimum": 1},
        "slow_readers": {
          "type": "object", "additionalProperties": false,
          "required": ["share", "bytes_per_s"],
          "properties": {
            "share": {"type": "number", "minimum": 0, "maximum": 1},
            "bytes_per_s": {"type": "number", "minimum": 1}}},
        "allowed_regions": {"type": "array", "items": {"type": "string"}},
        "deadline_ms": {"type": "number", "exclusiveMinimum": 0}}}},
    "faults": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["at_s", "kind"],
      "properties": {
        "at_s": {"type": "number", "minimum": 0},
        "for_s": {"type": "number", "minimum": 0},
        "kind": {"enum": ["target-crash", "target-reborn", "target-leave",
                          "target-restart", "target-silent",
                          "target-ignores-releases", "target-stopped",
                          "target-accepts-late",
                          "target-garble", "target-says-leaving",
                          "target-limit", "target-retry-after",
                          "target-warm-up",
                          "target-says-invalid",
                          "target-spoils-handovers", "entry-frozen",
                          "entry-killed", "entry-stopping", "store-rejects-entry",
                          "store-revokes-entry", "store-silent", "store-busy",
                          "store-lost-answers", "store-compact",
                          "store-restored", "store-odd-entries",
                          "store-lapse", "desired-state",
                          "zone-evacuated"]},
        "zone": {"type": "string"},
        "limits": {"type": "object"},
        "timeout_ms": {"type": "number", "exclusiveMinimum": 0},
        "more_routes": {"type": "integer", "minimum": 0},
        "versions": {"type": "integer", "minimum": 1},
        "value": {"type": "number", "minimum": 0},
        "keeps_entry": {"type": "boolean"},
        "entry": {"type": "integer", "minimum": 0},
        "service": {"type": "string"},
        "count": {"type": "integer", "minimum": 1},
        "strength": {"type": "number", "minimum": 0, "maximum": 1}}}}}
})json";

constexpr double kDefaultDeadlineMs = 1000;

Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

class ScenarioReader {
 public:
  ScenarioReader(std::string path, json value)
      : file_path_(std::move(path)), document_(std::move(value)) {}

  Result<Scenario> Read() {
    Scenario scenario;
    if (document_.contains("begins_at_s"))
      scenario.begins_at = Instant(FromSeconds(document_.at("begins_at_s")));
    scenario.startup_delay = FromSeconds(document_.value("lead_s", 3.0));
    scenario.duration = FromSeconds(document_.at("length_s"));
    for (const json& store : document_.at("stores"))
      scenario.stores.push_back(ParseEndpointAt("/stores", store));
    for (const json& entry : document_.at("entries"))
      scenario.entries.push_back(ParseEndpointAt("/entries", entry));
    if (scenario.stores.size() != scenario.entries.size())
      findings_.push_back(
          {file_path_, "/stores",
           fmt::format("there are {} addresses for {} entries",
                       scenario.stores.size(), scenario.entries.size())});
    scenario.desired_state = {{"version", 1},
                              {"routes", json::object()},
                              {"services", json::object()}};
    if (document_.contains("limits"))
      scenario.desired_state["limits"] = document_.at("limits");
    for (const auto& [name, service] : document_.at("services").items())
      ReadService(name, service, scenario);
    for (const auto& [name, route] : document_.at("routes").items())
      ReadRoute(name, route, scenario);
    for (const json& fault : document_.value("faults", json::array()))
      ReadFault(fault, scenario);
    std::stable_sort(scenario.faults.begin(), scenario.faults.end(),
                     [](const ScenarioFault& a, const ScenarioFault& b) {
                       return a.start_offset < b.start_offset;
                     });
    if (!findings_.empty())
      return Fail(ErrorCode::kInvalidInput, "invalid scenario",
                  std::move(findings_));
    return scenario;
  }

 private:
  Endpoint ParseEndpointAt(const std::string& json_path,
                           const std::string& text) {
    return HandleError(
        [&]() -> Result<Endpoint> { return ParseEndpoint(text); },
        [&](const Error& error) {
          findings_.push_back({file_path_, json_path, error.message});
          return Endpoint{};
        });
  }

  void ReadService(const std::string& name,
                   const json& service,
                   Scenario& scenario) {
    const bool keyed = service.value("keyed", false);
    scenario.desired_state["services"][name] = {
        {"healthPath", "/healthz"}, {"maxConns", 120}, {"sharded", keyed}};
    const json warm_up = service.value("warm_up", json());
    if (!warm_up.is_null()) {
      json& state = scenario.desired_state["services"][name];
      state["warmupS"] = warm_up.at("time_s");
      state["warmupPerS"] = warm_up.at("per_second");
    }
    for (const json& target : service.at("targets")) {
      EmulatedTargetOptions options;
      options.service = name;
      options.keyed = keyed;
      options.zone = target.at("zone");
      options.external = target.value("external", false);
      options.address =
          ParseEndpointAt("/services/" + name, target.at("address"));
      options.responds_early = service.value("responds_early", false);
      options.slots = service.value("slots", options.slots);
      options.queue_capacity = service.value("queue", options.queue_capacity);
      options.nominal_work_time =
          FromSeconds(service.value("work_ms", 20.0) / 1e3);
      options.response_bytes =
          service.value("answer_bytes", options.response_bytes);
      if (!warm_up.is_null()) {
        options.warm_up_time = FromSeconds(warm_up.at("time_s"));
        options.max_warm_up_requests = warm_up.at("max_requests");
      }
      scenario.targets.push_back(std::move(options));
    }
  }

  void ReadRoute(const std::string& name,
                 const json& route,
                 Scenario& scenario) {
    const std::string service = route.at("service");
    if (!document_.at("services").contains(service))
      findings_.push_back(
          {file_path_, "/routes/" + name, "unknown service " + service});
    const double deadline_s =
        route.value("deadline_ms", kDefaultDeadlineMs) / 1e3;
    ScenarioTraffic traffic;
    traffic.name = name;
    traffic.host = route.at("host");
    traffic.prefix = route.at("prefix");
    traffic.idempotent = route.at("kind") != "unsafe";
    traffic.keyed = document_.at("services")
                        .value(service, json::object())
                        .value("keyed", false);
    traffic.response_bytes =
        document_.at("services")
            .value(service, json::object())
            .value("answer_bytes", EmulatedTargetOptions().response_bytes);
    traffic.requests_per_second = route.at("per_second");
    traffic.keeps_connections = route.value("keep_connections", false);
    traffic.deadline = FromSeconds(deadline_s);
    traffic.request_body_bytes = route.value("body_bytes", std::size_t{0});
    if (route.contains("slow_readers")) {
      const json& readers = route.at("slow_readers");
      traffic.slow_reader_share = readers.at("share");
      traffic.slow_bytes_per_second = readers.at("bytes_per_s");
      if (!traffic.idempotent || traffic.keyed)
        findings_.push_back({file_path_, "/routes/" + name + "/slow_readers",
                             "the route has keys or is unsafe"});
    }
    scenario.traffic.push_back(traffic);
    scenario.desired_state["routes"][name] = {
        {"host", traffic.host},
        {"prefix", traffic.prefix},
        {"kind", route.at("kind")},
        {"service", service},
        {"timeoutS", deadline_s},
        {"sloS", deadline_s / 2},
        {"attempts", 2},
        {"priority", traffic.idempotent ? 2 : 1}};
    if (route.contains("allowed_regions"))
      scenario.desired_state["routes"][name]["allowedRegions"] =
          route.at("allowed_regions");
  }

  void ReadFault(const json& value, Scenario& scenario) {
    ScenarioFault fault;
    fault.start_offset = FromSeconds(value.at("at_s"));
    fault.duration = FromSeconds(value.value("for_s", 2.0));
    fault.kind = value.at("kind");
    fault.abort_ratio = value.value("strength", 0.2);
    fault.value = value.value("value", 1.0);
    fault.keeps_entry = value.value("keeps_entry", false);
    fault.entry = value.value("entry", std::size_t{0});
    fault.zone = value.value("zone", "");
    fault.limits = value.value("limits", json::object());
    if (value.contains("timeout_ms"))
      fault.timeout_s = value.at("timeout_ms").get<double>() / 1e3;
    fault.more_routes = value.value("more_routes", 0);
    fault.versions = value.value("versions", 1);
    if (fault.kind.rfind("target-", 0) == 0) {
      const std::string service = value.value("service", "");
      const std::size_t count = value.value("count", 1U);
      for (std::size_t i = 0; i < scenario.targets.size(); ++i) {
        if (scenario.targets[i].service == service &&
            fault.targets.size() < count)
          fault.targets.push_back(i);
      }
      if (fault.targets.size() < count)
        findings_.push_back(
            {file_path_, "/faults",
             fmt::format("service \"{}\" has fewer than {} targets", service,
                         count)});
    }
    scenario.faults.push_back(std::move(fault));
  }

  const std::string file_path_;
  const json document_;
  Findings findings_;
};

}  // namespace

Result<Scenario> ReadScenario(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  BOOST_LEAF_AUTO(value, ParseJson(text, path));
  Findings findings;
  if (!JsonSchema(kSchema).Check(value, path, "", findings))
    return Fail(ErrorCode::kInvalidInput, "invalid scenario",
                std::move(findings));
  return ScenarioReader(path, std::move(value)).Read();
}

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> parameters;
  std::size_t begin = 0;
  while (begin < query.size()) {
    const std::size_t end = std::min(query.find('&', begin), query.size());
    const std::string parameter = query.substr(begin, end - begin);
    const std::size_t equals_at =
        std::min(parameter.find('='), parameter.size());
    int length = 0;
    const std::string encoded =
        equals_at < parameter.size() ? parameter.substr(equals_at + 1) : "";
    char* decoded = curl_easy_unescape(
        nullptr, encoded.data(), static_cast<int>(encoded.size()), &length);
    parameters[parameter.substr(0, equals_at)] =
        std::string(decoded, static_cast<std::size_t>(length));
    curl_free(decoded);
    begin = end + 1;
  }
  return parameters;
}

}  // namespace figstall::detail
