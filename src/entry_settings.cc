// Implements reading and validating the settings of figstall-entry.
#include "figstall/entry_settings.h"

#include <nlohmann/json.hpp>

#include "figstall/schema_check.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr const char* kSchema = R"json({
  "type": "object",
  "required": ["vm", "zone", "region", "listen", "store", "regions"],
  "additionalProperties": false,
  "properties": {
    "vm": {"type": "string", "minLength": 1},
    "zone": {"type": "string", "minLength": 1},
    "region": {"type": "string", "minLength": 1},
    "listen": {"type": "object", "required": ["callers", "ready", "metrics", "peers"],
      "additionalProperties": false,
      "properties": {"callers": {"type": "string"},
                     "ready": {"type": "string"},
                     "metrics": {"type": "string"},
                     "peers": {"type": "string"}}},
    "store": {"type": "string"},
    "regions": {"type": "object", "additionalProperties": {"type": "string"}},
    "log": {"type": "object", "additionalProperties": false,
      "properties": {
        "level": {"enum": ["debug", "info", "warning", "error"]},
        "format": {"enum": ["text", "json"]}}},
    "grants": {"type": "object", "additionalProperties": false,
      "properties": {
        "hold_s": {"type": "number", "exclusiveMinimum": 0},
        "longest_hold_s": {"type": "number", "exclusiveMinimum": 0}}},
    "retries": {"type": "object", "additionalProperties": false,
      "properties": {
        "ratio": {"type": "number", "minimum": 0},
        "window_s": {"type": "number", "exclusiveMinimum": 0},
        "slack": {"type": "number", "minimum": 0}}},
    "vm_size": {"type": "object", "additionalProperties": false,
      "properties": {
        "cores": {"type": "number", "exclusiveMinimum": 0},
        "link_mbps": {"type": "number", "exclusiveMinimum": 0},
        "memory_mb": {"type": "number", "minimum": 16, "maximum": 1048576}}},
    "first_start": {"type": "boolean"},
    "drain_s": {"type": "number", "exclusiveMinimum": 0},
    "version_delay": {"type": "object", "additionalProperties": false,
      "required": ["calm_s", "disturbed_extra_s"],
      "properties": {
        "calm_s": {"type": "number", "minimum": 0, "maximum": 3600},
        "disturbed_extra_s": {"type": "number", "minimum": 0,
                              "maximum": 3600}}},
    "warm_up": {"type": "object", "additionalProperties": false,
      "required": ["overshoot", "slack"],
      "properties": {
        "overshoot": {"type": "number", "minimum": 0},
        "slack": {"type": "number", "minimum": 0}}},
    "evacuation": {"type": "object", "additionalProperties": false,
      "required": ["limit_s"],
      "properties": {
        "limit_s": {"type": "number", "exclusiveMinimum": 0}}},
    "stop_grace_s": {"type": "number", "exclusiveMinimum": 0}}
})json";

// Network traffic of one fully used core, in Mbit/s. Source: 3,000 requests per
// second and core (docs/CAPACITY.md) of 20 kB each, the size at the users'
// sites.
constexpr double kMbpsPerCore = 400;

// Memory of the smallest VMs, in MB. Source: the platform's deployments.
constexpr double kDefaultMemoryMb = 120;
// Of the VM's memory, what may be kept of requests.
constexpr double kRequestMemoryShare = 0.25;
constexpr double kBytesPerMb = 1e6;

Duration ReadSeconds(const json& object, const char* field, Duration fallback) {
  if (!object.contains(field))
    return fallback;
  return Duration(
      static_cast<Duration::rep>(object.at(field).get<double>() * 1e6));
}

struct EndpointReader {
  const std::string& path;
  Findings& findings;

  Endpoint At(const std::string& pointer, const std::string& text) {
    return HandleError(
        [&]() -> Result<Endpoint> { return ParseEndpoint(text); },
        [&](const Error& error) {
          findings.push_back({path, pointer, error.message});
          return Endpoint{};
        });
  }
};

}  // namespace

Result<EntrySettings> ReadEntrySettings(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  BOOST_LEAF_AUTO(value, ParseJson(text, path));
  Findings findings;
  if (!JsonSchema(kSchema).Check(value, path, "", findings))
    return Fail(ErrorCode::kInvalidInput, "invalid settings",
                std::move(findings));
  EndpointReader endpoints{path, findings};
  EntrySettings settings;
  settings.vm = VmId(value.at("vm"));
  settings.zone = ZoneId(value.at("zone"));
  settings.region = RegionId(value.at("region"));
  const json& listen = value.at("listen");
  settings.callers = endpoints.At("/listen/callers", listen.at("callers"));
  settings.ready = endpoints.At("/listen/ready", listen.at("ready"));
  settings.metrics = endpoints.At("/listen/metrics", listen.at("metrics"));
  settings.peers = endpoints.At("/listen/peers", listen.at("peers"));
  settings.store = endpoints.At("/store", value.at("store"));
  for (const auto& [zone, region] : value.at("regions").items())
    settings.regions[ZoneId(zone)] = RegionId(region);
  const json log = value.value("log", json::object());
  settings.log.level =
      ParseLogLevel(log.value("level", "info")).value_or(LogLevel::kInfo);
  settings.log.format =
      ParseLogFormat(log.value("format", "json")).value_or(LogFormat::kJson);
  settings.first_start = value.value("first_start", settings.first_start);
  const json grants = value.value("grants", json::object());
  settings.grant_timing.hold_duration = std::min(
      ReadSeconds(grants, "hold_s", settings.grant_timing.hold_duration),
      ReadSeconds(grants, "longest_hold_s",
                  settings.grant_timing.hold_duration));
  const json retries = value.value("retries", json::object());
  settings.retries.ratio = retries.value("ratio", settings.retries.ratio);
  settings.retries.window =
      ReadSeconds(retries, "window_s", settings.retries.window);
  settings.retries.slack = retries.value("slack", settings.retries.slack);
  const json vm_size = value.value("vm_size", json::object());
  settings.capacity_cores =
      std::min(vm_size.value("cores", 1.0),
               vm_size.value("link_mbps", kMbpsPerCore) / kMbpsPerCore);
  settings.max_request_bytes =
      static_cast<std::size_t>(vm_size.value("memory_mb", kDefaultMemoryMb) *
                               kRequestMemoryShare * kBytesPerMb);
  settings.drain_duration =
      ReadSeconds(value, "drain_s", settings.drain_duration);
  if (value.contains("version_delay")) {
    const json& delay = value.at("version_delay");
    settings.max_version_delay = ReadSeconds(delay, "calm_s", {}) +
                                 ReadSeconds(delay, "disturbed_extra_s", {});
  }
  if (value.contains("warm_up")) {
    const json& warm_up = value.at("warm_up");
    settings.warm_up = WarmUpBounds{warm_up.at("overshoot").get<double>(),
                                    warm_up.at("slack").get<double>()};
  }
  if (value.contains("evacuation"))
    settings.evacuation_limit =
        ReadSeconds(value.at("evacuation"), "limit_s", {});
  settings.stop_grace = ReadSeconds(value, "stop_grace_s", settings.stop_grace);
  if (!settings.regions.contains(settings.zone))
    findings.push_back({path, "/regions", "must contain the zone of this VM"});
  if (!findings.empty())
    return Fail(ErrorCode::kInvalidInput, "invalid settings",
                std::move(findings));
  return settings;
}

}  // namespace figstall
