// Implements reading of scenarios.
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
  "required": ["length_s", "store", "entries", "services", "routes"],
  "properties": {
    "lead_s": {"type": "number", "minimum": 0},
    "length_s": {"type": "number", "exclusiveMinimum": 0},
    "store": {"type": "string"},
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
                           "zone": {"type": "string"}}}},
          "keyed": {"type": "boolean"},
          "slots": {"type": "integer", "minimum": 1},
          "queue": {"type": "integer", "minimum": 0},
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
        "deadline_ms": {"type": "number", "exclusiveMinimum": 0}}}},
    "faults": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["at_s", "kind"],
      "properties": {
        "at_s": {"type": "number", "minimum": 0},
        "for_s": {"type": "number", "minimum": 0},
        "kind": {"enum": ["target-crash", "target-leave", "target-silent",
                          "target-garble", "store-silent", "store-busy",
                          "store-lost-answers", "store-compact"]},
        "service": {"type": "string"},
        "count": {"type": "integer", "minimum": 1},
        "strength": {"type": "number", "minimum": 0, "maximum": 1}}}}}
})json";

constexpr double kDefaultDeadlineMs = 1000;

Duration Seconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

class Reader {
 public:
  Reader(std::string path, json value)
      : path_(std::move(path)), value_(std::move(value)) {}

  Result<Scenario> Read() {
    Scenario scenario;
    scenario.startup_delay = Seconds(value_.value("lead_s", 3.0));
    scenario.duration = Seconds(value_.at("length_s"));
    scenario.store = EndpointAt("/store", value_.at("store"));
    for (const json& entry : value_.at("entries"))
      scenario.entries.push_back(EndpointAt("/entries", entry));
    scenario.desired_state = {{"version", 1},
                              {"routes", json::object()},
                              {"services", json::object()}};
    for (const auto& [name, service] : value_.at("services").items())
      ReadService(name, service, scenario);
    for (const auto& [name, route] : value_.at("routes").items())
      ReadRoute(name, route, scenario);
    for (const json& fault : value_.value("faults", json::array()))
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
  Endpoint EndpointAt(const std::string& place, const std::string& text) {
    return HandleError(
        [&]() -> Result<Endpoint> { return ParseEndpoint(text); },
        [&](const Error& error) {
          findings_.push_back({path_, place, error.message});
          return Endpoint{};
        });
  }

  void ReadService(const std::string& name,
                   const json& service,
                   Scenario& scenario) {
    const bool keyed = service.value("keyed", false);
    scenario.desired_state["services"][name] = {
        {"healthPath", "/healthz"}, {"maxConns", 120}, {"sharded", keyed}};
    for (const json& target : service.at("targets")) {
      EmulatedTargetOptions options;
      options.service = name;
      options.keyed = keyed;
      options.zone = target.at("zone");
      options.address = EndpointAt("/services/" + name, target.at("address"));
      options.slots = service.value("slots", options.slots);
      options.queue = service.value("queue", options.queue);
      options.work = Seconds(service.value("work_ms", 20.0) / 1e3);
      options.answer_bytes =
          service.value("answer_bytes", options.answer_bytes);
      scenario.targets.push_back(std::move(options));
    }
  }

  void ReadRoute(const std::string& name,
                 const json& route,
                 Scenario& scenario) {
    const std::string service = route.at("service");
    if (!value_.at("services").contains(service))
      findings_.push_back(
          {path_, "/routes/" + name, "unknown service " + service});
    const double deadline =
        route.value("deadline_ms", kDefaultDeadlineMs) / 1e3;
    ScenarioTraffic traffic;
    traffic.name = name;
    traffic.host = route.at("host");
    traffic.prefix = route.at("prefix");
    traffic.idempotent = route.at("kind") != "unsafe";
    traffic.keyed = value_.at("services")
                        .value(service, json::object())
                        .value("keyed", false);
    traffic.per_second = route.at("per_second");
    traffic.deadline = Seconds(deadline);
    scenario.traffic.push_back(traffic);
    scenario.desired_state["routes"][name] = {
        {"host", traffic.host},
        {"prefix", traffic.prefix},
        {"kind", route.at("kind")},
        {"service", service},
        {"timeoutS", deadline},
        {"sloS", deadline / 2},
        {"attempts", 2},
        {"priority", traffic.idempotent ? 2 : 1}};
  }

  void ReadFault(const json& value, Scenario& scenario) {
    ScenarioFault fault;
    fault.start_offset = Seconds(value.at("at_s"));
    fault.duration = Seconds(value.value("for_s", 2.0));
    fault.kind = value.at("kind");
    fault.strength = value.value("strength", 0.2);
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
            {path_, "/faults",
             fmt::format("service \"{}\" lacks {} targets", service, count)});
    }
    scenario.faults.push_back(std::move(fault));
  }

  const std::string path_;
  const json value_;
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
  return Reader(path, std::move(value)).Read();
}

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> parts;
  std::size_t begin = 0;
  while (begin < query.size()) {
    const std::size_t end = std::min(query.find('&', begin), query.size());
    const std::string part = query.substr(begin, end - begin);
    const std::size_t equals = std::min(part.find('='), part.size());
    int length = 0;
    const std::string raw = equals < part.size() ? part.substr(equals + 1) : "";
    char* decoded = curl_easy_unescape(nullptr, raw.data(),
                                       static_cast<int>(raw.size()), &length);
    parts[part.substr(0, equals)] =
        std::string(decoded, static_cast<std::size_t>(length));
    curl_free(decoded);
    begin = end + 1;
  }
  return parts;
}

}  // namespace figstall::detail
