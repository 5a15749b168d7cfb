// Parses each record by its schema version, then checks the records of a set
// against each other.
#include "figstall/records.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "figstall/record_schemas.h"
#include "figstall/schema_check.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultDeadlineMs = 2'000;
constexpr std::int64_t kMaxDeadlineMs = 10'000;
constexpr std::uint32_t kDefaultConnections = 120;

// Where one record is found, and where its findings are collected.
struct RecordContext {
  const std::string& source;
  std::string pointer;
  Findings& findings;

  void AddFinding(const std::string& subpointer,
                  const std::string& message) const {
    findings.push_back({source, pointer + subpointer, message});
  }
};

Lane ParseLane(const std::string& text) {
  if (text == "order")
    return Lane::kOrder;
  if (text == "bulk")
    return Lane::kBulk;
  return Lane::kEnquiry;
}

VmState ParseVmState(const std::string& text) {
  if (text == "leaving")
    return VmState::kLeaving;
  if (text == "lost")
    return VmState::kLost;
  return VmState::kJoining;
}

Endpoint ParseEndpointField(const std::string& text,
                            const std::string& subpointer,
                            const RecordContext& context) {
  return HandleError([&]() -> Result<Endpoint> { return ParseEndpoint(text); },
                     [&](const Error& error) {
                       context.AddFinding(subpointer, error.message);
                       return Endpoint{};
                     });
}

Endpoint EndpointFromPort(const json& record,
                          const std::string& field,
                          const RecordContext& context) {
  if (!record.contains(field))
    return {};
  const std::string address = record.at("address");
  return ParseEndpointField(
      fmt::format("{}:{}", address, record.at(field).get<int>()), "/address",
      context);
}

Endpoint EndpointFromObject(const json& endpoints,
                            const std::string& field,
                            const RecordContext& context) {
  if (!endpoints.contains(field))
    return {};
  return ParseEndpointField(endpoints.at(field), "/endpoints/" + field,
                            context);
}

ServiceRecord ParseServiceRecord(const json& record,
                                 const RecordContext& context) {
  ServiceRecord service;
  service.id = ServiceId(record.at("name"));
  service.schema = record.at("schema");
  service.partitions = record.at("partitions");
  service.lane = ParseLane(record.value("lane", "enquiry"));
  service.default_deadline = std::chrono::milliseconds(
      record.value("default_deadline_ms", kDefaultDeadlineMs));
  service.max_deadline = std::chrono::milliseconds(
      record.value("max_deadline_ms", kMaxDeadlineMs));
  if (service.schema == 1) {
    service.exclusive = record.value("exclusive", true);
    service.checks_grants = record.value("checks_grants", true);
    service.repeatable_methods = {"GET", "HEAD"};
    if (record.value("repeatable", false))
      service.repeatable_methods = {"GET", "HEAD", "PUT", "POST", "DELETE"};
    for (const auto& zone : record.at("zones"))
      service.home_weights.push_back({ZoneId(zone), 1.0});
  } else {
    service.exclusive = record.value("ownership", "exclusive") == "exclusive";
    service.checks_grants = record.value("fence", "target") == "target";
    service.frozen = record.value("frozen", false);
    service.repeatable_methods = record.value(
        "repeatable_methods", std::vector<std::string>{"GET", "HEAD"});
    for (const auto& [zone, weight] : record.at("home_weights").items())
      service.home_weights.push_back({ZoneId(zone), weight});
  }
  // Home zones depend on the order of the weights. Sorting gives both schema
  // versions the same order and thus the same home zones.
  std::sort(service.home_weights.begin(), service.home_weights.end());
  if (!std::has_single_bit(service.partitions))
    context.AddFinding("/partitions", "must be a power of two");
  if (service.default_deadline > service.max_deadline)
    context.AddFinding("/default_deadline_ms",
                       "must not exceed max_deadline_ms");
  const bool has_home_zone =
      std::any_of(service.home_weights.begin(), service.home_weights.end(),
                  [](const HomeWeight& home) { return home.weight > 0; });
  if (!has_home_zone)
    context.AddFinding("/home_weights", "no zone has a weight above 0");
  return service;
}

void CheckRole(const VmRecord& vm, const RecordContext& context) {
  if (vm.role == VmRole::kEntry) {
    if (vm.callers.port == 0)
      context.AddFinding("", "an entry VM needs an endpoint for callers");
    if (vm.router.port == 0)
      context.AddFinding("", "an entry VM needs an endpoint of its router");
    if (vm.steward.port == 0)
      context.AddFinding("", "an entry VM needs an endpoint of its steward");
    return;
  }
  if (vm.http.port == 0)
    context.AddFinding("", "a target needs an HTTP endpoint");
  if (vm.service.empty())
    context.AddFinding("", "a target needs a service");
}

VmRecord ParseVmRecord(const json& record, const RecordContext& context) {
  VmRecord vm;
  vm.id = VmId(record.at("name"));
  vm.schema = record.at("schema");
  vm.zone = ZoneId(record.at("zone"));
  vm.region = RegionId(record.at("region"));
  vm.role = record.at("role") == "entry" ? VmRole::kEntry : VmRole::kTarget;
  vm.state = ParseVmState(record.value("state", "joining"));
  vm.service = ServiceId(record.value("service", ""));
  if (vm.schema == 1) {
    vm.callers = EndpointFromPort(record, "callers_port", context);
    vm.router = EndpointFromPort(record, "router_port", context);
    vm.steward = EndpointFromPort(record, "steward_port", context);
    vm.http = EndpointFromPort(record, "port", context);
    vm.slots = record.value("slots", 1U);
    vm.connections = record.value("connections", kDefaultConnections);
  } else {
    const json& endpoints = record.at("endpoints");
    vm.callers = EndpointFromObject(endpoints, "callers", context);
    vm.router = EndpointFromObject(endpoints, "router", context);
    vm.steward = EndpointFromObject(endpoints, "steward", context);
    vm.http = EndpointFromObject(endpoints, "http", context);
    const json capacity = record.value("capacity", json::object());
    vm.slots = capacity.value("slots", 1U);
    vm.connections = capacity.value("connections", kDefaultConnections);
  }
  CheckRole(vm, context);
  return vm;
}

KeyRecord ParseKeyRecord(const json& record) {
  KeyRecord key;
  key.service = ServiceId(record.at("service"));
  key.key = record.at("key");
  key.schema = record.at("schema");
  const json placement =
      key.schema == 1 ? record : record.value("placement", json::object());
  key.weight = placement.value("weight", 1.0);
  key.frozen = placement.value("frozen", false);
  return key;
}

// A record that matches its schema, with its JSON pointer for findings of the
// checks against other records.
template <typename T>
struct LocatedRecord {
  T record;
  std::string pointer;
};

struct LocatedRecords {
  std::vector<LocatedRecord<ServiceRecord>> services;
  std::vector<LocatedRecord<VmRecord>> vms;
  std::vector<LocatedRecord<KeyRecord>> keys;
};

void ParseRecord(const json& record,
                 const RecordContext& context,
                 LocatedRecords& parsed) {
  if (!record.is_object()) {
    context.AddFinding("", "a record must be an object");
    return;
  }
  const json kind = record.value("kind", json());
  const json version = record.value("schema", json());
  if (!kind.is_string()) {
    context.AddFinding("/kind", "must be \"service\", \"vm\" or \"key\"");
    return;
  }
  if (!version.is_number_integer()) {
    context.AddFinding("/schema", "must be an integer");
    return;
  }
  const JsonSchema* schema = FindRecordSchema(kind, version);
  if (!schema) {
    context.AddFinding(
        "/schema", fmt::format("schema version {} of kind \"{}\" is unknown",
                               version.dump(), kind.get<std::string>()));
    return;
  }
  if (!schema->Check(record, context.source, context.pointer, context.findings))
    return;
  if (kind == "service")
    parsed.services.push_back(
        {ParseServiceRecord(record, context), context.pointer});
  if (kind == "vm")
    parsed.vms.push_back({ParseVmRecord(record, context), context.pointer});
  if (kind == "key")
    parsed.keys.push_back({ParseKeyRecord(record), context.pointer});
}

void CheckUniqueness(const LocatedRecords& parsed,
                     const std::string& source,
                     Findings& findings) {
  std::map<std::string, std::string> services;
  for (const auto& [service, pointer] : parsed.services) {
    const auto [it, added] = services.emplace(service.id.value(), pointer);
    if (!added)
      findings.push_back({source, pointer + "/name",
                          "service \"" + service.id.value() +
                              "\" is declared already at " + it->second});
  }
  std::map<std::string, std::string> vms;
  std::map<Endpoint, std::string> endpoints;
  for (const auto& [vm, pointer] : parsed.vms) {
    const auto [it, added] = vms.emplace(vm.id.value(), pointer);
    if (!added)
      findings.push_back({source, pointer + "/name",
                          "VM \"" + vm.id.value() +
                              "\" is declared already at " + it->second});
    for (const Endpoint& endpoint :
         {vm.callers, vm.router, vm.steward, vm.http}) {
      if (endpoint.port == 0 || vm.state == VmState::kLost)
        continue;
      const auto [other, inserted] = endpoints.emplace(endpoint, pointer);
      if (!inserted)
        findings.push_back({source, pointer,
                            "endpoint " + endpoint.ToString() +
                                " is used already at " + other->second});
    }
  }
  std::set<std::pair<ServiceId, std::string>> keys;
  for (const auto& [key, pointer] : parsed.keys) {
    if (!keys.emplace(key.service, key.key).second)
      findings.push_back({source, pointer + "/key",
                          "key \"" + key.key + "\" is declared already"});
  }
}

void CheckReferences(const LocatedRecords& parsed,
                     const std::string& source,
                     Findings& findings) {
  std::set<ServiceId> services;
  for (const auto& [service, pointer] : parsed.services)
    services.insert(service.id);
  std::map<ZoneId, RegionId> regions;
  for (const auto& [vm, pointer] : parsed.vms) {
    const auto [it, added] = regions.emplace(vm.zone, vm.region);
    if (!added && it->second != vm.region)
      findings.push_back({source, pointer + "/region",
                          "zone \"" + vm.zone.value() + "\" is in region \"" +
                              it->second.value() + "\" in another VM record"});
    if (vm.role == VmRole::kTarget && !services.contains(vm.service))
      findings.push_back(
          {source, pointer + "/service",
           "service \"" + vm.service.value() + "\" is not declared"});
  }
  for (const auto& [service, pointer] : parsed.services) {
    for (const HomeWeight& home : service.home_weights) {
      if (regions.contains(home.zone))
        continue;
      findings.push_back(
          {source, pointer,
           "home zone \"" + home.zone.value() + "\" has no VM declared"});
    }
  }
  for (const auto& [key, pointer] : parsed.keys) {
    if (services.contains(key.service))
      continue;
    findings.push_back(
        {source, pointer + "/service",
         "service \"" + key.service.value() + "\" is not declared"});
  }
}

}  // namespace

const char* ToString(Lane lane) {
  switch (lane) {
    case Lane::kEnquiry:
      return "enquiry";
    case Lane::kOrder:
      return "order";
    case Lane::kBulk:
      return "bulk";
  }
  return "enquiry";
}

const char* ToString(VmRole role) {
  return role == VmRole::kEntry ? "entry" : "target";
}

const char* ToString(VmState state) {
  switch (state) {
    case VmState::kJoining:
      return "joining";
    case VmState::kLeaving:
      return "leaving";
    case VmState::kLost:
      return "lost";
  }
  return "joining";
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return Fail(ErrorCode::kInvalidInput, "\"" + text + "\" lacks a port");
  Endpoint endpoint;
  endpoint.address = text.substr(0, colon);
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, endpoint.port);
  if (error != std::errc() || end != last)
    return Fail(ErrorCode::kInvalidInput,
                "\"" + text + "\" has an invalid port");
  in_addr parsed{};
  if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1)
    return Fail(ErrorCode::kInvalidInput,
                "\"" + endpoint.address + "\" is not an IPv4 address");
  return endpoint;
}

RecordSet ParseRecords(const json& records,
                       const std::string& source,
                       const std::string& pointer,
                       Findings& findings) {
  RecordSet set;
  if (!records.is_array()) {
    findings.push_back({source, pointer, "must be an array of records"});
    return set;
  }
  LocatedRecords parsed;
  for (std::size_t i = 0; i < records.size(); ++i) {
    const RecordContext context{source, fmt::format("{}/{}", pointer, i),
                                findings};
    ParseRecord(records[i], context, parsed);
  }
  CheckUniqueness(parsed, source, findings);
  CheckReferences(parsed, source, findings);
  for (auto& located : parsed.services)
    set.services.push_back(located.record);
  for (auto& located : parsed.vms)
    set.vms.push_back(located.record);
  for (auto& located : parsed.keys)
    set.keys.push_back(located.record);
  return set;
}

}  // namespace figstall
