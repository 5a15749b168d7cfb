// JSON schemas of the settings files, their decoding, and the checks that a
// schema cannot express.
#include "figstall/settings.h"

#include <nlohmann/json.hpp>

#include "figstall/schema_check.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr const char* kRouterSchema = R"json({
  "type": "object",
  "required": ["vm", "zone", "region", "listen"],
  "additionalProperties": false,
  "properties": {
    "vm": {"type": "string", "minLength": 1},
    "zone": {"type": "string", "minLength": 1},
    "region": {"type": "string", "minLength": 1},
    "listen": {"type": "object", "required": ["callers", "peers"],
      "additionalProperties": false,
      "properties": {"callers": {"type": "string"},
                     "peers": {"type": "string"}}},
    "log": {"type": "object", "additionalProperties": false,
      "properties": {
        "level": {"enum": ["debug", "info", "warning", "error"]},
        "format": {"enum": ["text", "json"]}}},
    "limits": {"type": "object", "additionalProperties": false,
      "properties": {
        "slots": {"type": "integer", "minimum": 8, "maximum": 65536},
        "queue": {"type": "integer", "minimum": 0, "maximum": 65536},
        "link_bytes_per_second": {"type": "number", "minimum": 1},
        "drain_grace_ms": {"type": "integer", "minimum": 0},
        "drain_limit_ms": {"type": "integer", "minimum": 0}}}
  }
})json";

constexpr const char* kStewardSchema = R"json({
  "type": "object",
  "required": ["vm", "zone", "region", "listen", "store", "vm_list"],
  "additionalProperties": false,
  "properties": {
    "vm": {"type": "string", "minLength": 1},
    "zone": {"type": "string", "minLength": 1},
    "region": {"type": "string", "minLength": 1},
    "listen": {"type": "object", "required": ["peers", "status"],
      "additionalProperties": false,
      "properties": {"peers": {"type": "string"},
                     "status": {"type": "string"}}},
    "store": {"type": "string", "pattern": "^http://"},
    "vm_list": {"type": "string", "pattern": "^http://"},
    "log": {"type": "object", "additionalProperties": false,
      "properties": {
        "level": {"enum": ["debug", "info", "warning", "error"]},
        "format": {"enum": ["text", "json"]}}},
    "timing": {"type": "object", "additionalProperties": false,
      "properties": {
        "renew_interval_ms": {"type": "integer", "minimum": 10},
        "validity_ms": {"type": "integer", "minimum": 50},
        "lost_after_ms": {"type": "integer", "minimum": 20},
        "leader_silence_ms": {"type": "integer", "minimum": 100}}},
    "limits": {"type": "object", "additionalProperties": false,
      "properties": {
        "renewers_per_holder": {"type": "integer", "minimum": 1},
        "rebalancing_moves": {"type": "integer", "minimum": 0}}}
  }
})json";

struct SettingsReader {
  std::string path;
  json value;
  Findings findings;

  Endpoint EndpointAt(const std::string& field) {
    const std::string text = value.at("listen").at(field);
    return HandleError(
        [&]() -> Result<Endpoint> { return ParseEndpoint(text); },
        [&](const Error& error) {
          findings.push_back({path, "/listen/" + field, error.message});
          return Endpoint{};
        });
  }

  LogSettings ReadLogSettings() const {
    const json log = value.value("log", json::object());
    LogSettings settings;
    settings.level =
        ParseLogLevel(log.value("level", "info")).value_or(LogLevel::kInfo);
    settings.format =
        ParseLogFormat(log.value("format", "text")).value_or(LogFormat::kText);
    return settings;
  }
};

Result<SettingsReader> Open(const std::string& path, const char* schema) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  SettingsReader reader;
  reader.path = path;
  BOOST_LEAF_ASSIGN(reader.value, ParseJson(text, path));
  if (!JsonSchema(schema).Check(reader.value, path, "", reader.findings)) {
    return Fail(ErrorCode::kInvalidInput, "invalid settings",
                std::move(reader.findings));
  }
  return reader;
}

Duration MillisAt(const json& object,
                  const char* field,
                  Duration default_value) {
  if (!object.contains(field))
    return default_value;
  return std::chrono::milliseconds(object.at(field).get<std::int64_t>());
}

}  // namespace

Result<RouterSettings> ReadRouterSettings(const std::string& path) {
  BOOST_LEAF_AUTO(reader, Open(path, kRouterSchema));
  RouterSettings settings;
  settings.vm = VmId(reader.value.at("vm"));
  settings.zone = ZoneId(reader.value.at("zone"));
  settings.region = RegionId(reader.value.at("region"));
  settings.callers = reader.EndpointAt("callers");
  settings.peers = reader.EndpointAt("peers");
  settings.log = reader.ReadLogSettings();
  const json limits = reader.value.value("limits", json::object());
  settings.slots = limits.value("slots", settings.slots);
  settings.queue = limits.value("queue", settings.queue);
  settings.link_bytes_per_second =
      limits.value("link_bytes_per_second", settings.link_bytes_per_second);
  settings.drain_grace =
      MillisAt(limits, "drain_grace_ms", settings.drain_grace);
  settings.drain_limit =
      MillisAt(limits, "drain_limit_ms", settings.drain_limit);
  if (!reader.findings.empty())
    return Fail(ErrorCode::kInvalidInput, "invalid settings",
                std::move(reader.findings));
  return settings;
}

Result<StewardSettings> ReadStewardSettings(const std::string& path) {
  BOOST_LEAF_AUTO(reader, Open(path, kStewardSchema));
  StewardSettings settings;
  settings.vm = VmId(reader.value.at("vm"));
  settings.zone = ZoneId(reader.value.at("zone"));
  settings.region = RegionId(reader.value.at("region"));
  settings.peers = reader.EndpointAt("peers");
  settings.status = reader.EndpointAt("status");
  settings.store = reader.value.at("store");
  settings.vm_list = reader.value.at("vm_list");
  settings.log = reader.ReadLogSettings();
  const json timing = reader.value.value("timing", json::object());
  StewardTiming& steward_timing = settings.timing;
  steward_timing.renew_interval =
      MillisAt(timing, "renew_interval_ms", steward_timing.renew_interval);
  steward_timing.lease_duration =
      MillisAt(timing, "validity_ms", steward_timing.lease_duration);
  steward_timing.holder_timeout =
      MillisAt(timing, "lost_after_ms", steward_timing.holder_timeout);
  steward_timing.leader_timeout =
      MillisAt(timing, "leader_silence_ms", steward_timing.leader_timeout);
  const json limits = reader.value.value("limits", json::object());
  settings.limits.renewers_per_holder =
      limits.value("renewers_per_holder", settings.limits.renewers_per_holder);
  settings.limits.rebalancing_moves =
      limits.value("rebalancing_moves", settings.limits.rebalancing_moves);
  if (steward_timing.renew_interval * 2 > steward_timing.lease_duration)
    reader.findings.push_back({path, "/timing/renew_interval_ms",
                               "must be at most half of validity_ms"});
  if (steward_timing.holder_timeout >= steward_timing.lease_duration)
    reader.findings.push_back(
        {path, "/timing/lost_after_ms", "must be below validity_ms"});
  if (!reader.findings.empty())
    return Fail(ErrorCode::kInvalidInput, "invalid settings",
                std::move(reader.findings));
  return settings;
}

}  // namespace figstall
