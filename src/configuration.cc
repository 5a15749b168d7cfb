// Parsing and look-up of configurations, zone plans made from them, and the
// check of changes between revisions.
#include "figstall/configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "figstall/schema_check.h"

namespace figstall {
namespace {

using nlohmann::json;

const JsonSchema& DocumentSchema() {
  static const JsonSchema schema(R"json({
    "type": "object",
    "required": ["records"],
    "additionalProperties": false,
    "properties": {
      "revision": {"type": "integer", "minimum": 0},
      "records": {"type": "array"}
    }
  })json");
  return schema;
}

// Home zone of each partition of `service`, by name.
std::vector<ZoneId> HomeZonesByPartition(const ServiceRecord& service) {
  std::vector<ZoneId> zones;
  zones.reserve(service.partitions);
  for (std::uint16_t home : HomeZones(service.partitions, service.home_weights))
    zones.push_back(service.home_weights[home].zone);
  return zones;
}

// Adds the weights of key records to the weights of the keys' partitions, which
// are 1 otherwise, and marks the partitions of frozen keys. Skips partitions
// that are not in `plan`.
void ApplyKeyRecords(const ServiceRecord& service,
                     const std::vector<KeyRecord>& keys,
                     ServicePlan& plan) {
  for (const KeyRecord& key : keys) {
    if (key.service != service.id)
      continue;
    const std::uint32_t partition = PartitionOf(key.key, service.partitions);
    const auto position = std::lower_bound(plan.partitions.begin(),
                                           plan.partitions.end(), partition);
    if (position == plan.partitions.end() || *position != partition)
      continue;
    if (key.frozen)
      plan.frozen_partitions.push_back(partition);
    if (plan.weights.empty())
      plan.weights.assign(plan.partitions.size(), 1.0);
    plan.weights[position - plan.partitions.begin()] += key.weight;
  }
}

TargetPlan MakeTargetPlan(const VmRecord& vm) {
  TargetPlan plan;
  plan.id = vm.id;
  plan.service = vm.service;
  plan.capacity = vm.slots;
  plan.leaving = vm.state == VmState::kLeaving;
  return plan;
}

}  // namespace

Result<std::shared_ptr<const Configuration>> Configuration::Parse(
    const std::string& text,
    const std::string& source) {
  BOOST_LEAF_AUTO(document, ParseJson(text, source));
  Findings findings;
  std::shared_ptr<Configuration> parsed(new Configuration());
  if (DocumentSchema().Check(document, source, "", findings)) {
    parsed->records_ =
        ParseRecords(document.at("records"), source, "/records", findings);
  }
  if (!findings.empty())
    return Fail(ErrorCode::kInvalidInput, "invalid records",
                std::move(findings));
  parsed->revision_ = document.value("revision", std::uint64_t{0});
  parsed->text_ = text;
  for (const ServiceRecord& service : parsed->records_.services)
    parsed->home_zones_[service.id] =
        HomeZones(service.partitions, service.home_weights);
  return std::shared_ptr<const Configuration>(std::move(parsed));
}

const ServiceRecord* Configuration::FindService(const ServiceId& id) const {
  for (const ServiceRecord& service : records_.services) {
    if (service.id == id)
      return &service;
  }
  return nullptr;
}

const VmRecord* Configuration::FindVm(const VmId& id) const {
  for (const VmRecord& vm : records_.vms) {
    if (vm.id == id)
      return &vm;
  }
  return nullptr;
}

const ZoneId& Configuration::HomeZoneOf(const ServiceRecord& service,
                                        std::uint32_t partition) const {
  return service.home_weights[home_zones_.at(service.id)[partition]].zone;
}

std::optional<RegionId> Configuration::RegionOf(const ZoneId& zone) const {
  for (const VmRecord& vm : records_.vms) {
    if (vm.zone == zone)
      return vm.region;
  }
  return std::nullopt;
}

std::vector<const VmRecord*> Configuration::EntryVms(const ZoneId& zone) const {
  std::vector<const VmRecord*> found;
  for (const VmRecord& vm : records_.vms) {
    const bool matches = vm.zone == zone && vm.role == VmRole::kEntry &&
                         vm.state != VmState::kLost;
    if (matches)
      found.push_back(&vm);
  }
  return found;
}

std::vector<const VmRecord*> Configuration::Targets(
    const ServiceId& service) const {
  std::vector<const VmRecord*> found;
  for (const VmRecord& vm : records_.vms) {
    const bool matches = vm.service == service && vm.role == VmRole::kTarget &&
                         vm.state != VmState::kLost;
    if (matches)
      found.push_back(&vm);
  }
  return found;
}

ZonePlan Configuration::PlanFor(const ZoneId& zone) const {
  ZonePlan plan;
  plan.revision = revision_;
  for (const ServiceRecord& service : records_.services) {
    if (!service.exclusive)
      continue;
    ServicePlan service_plan;
    service_plan.id = service.id;
    service_plan.checks_grants = service.checks_grants;
    service_plan.frozen = service.frozen;
    service_plan.max_deadline = service.max_deadline;
    for (std::uint32_t p = 0; p < service.partitions; ++p) {
      if (HomeZoneOf(service, p) == zone)
        service_plan.partitions.push_back(p);
    }
    ApplyKeyRecords(service, records_.keys, service_plan);
    plan.services.push_back(std::move(service_plan));
  }
  for (const VmRecord& vm : records_.vms) {
    if (vm.state == VmState::kLost)
      plan.declared_lost.push_back(vm.id);
    if (vm.zone != zone || vm.state == VmState::kLost)
      continue;
    if (vm.role == VmRole::kEntry) {
      plan.routers.push_back(vm.id);
      plan.stewards.push_back(vm.id);
      continue;
    }
    const ServiceRecord* service = FindService(vm.service);
    if (service && service->exclusive)
      plan.targets.push_back(MakeTargetPlan(vm));
  }
  return plan;
}

Findings CheckTransition(const RecordSet& from,
                         const RecordSet& to,
                         const std::string& source) {
  Findings findings;
  for (const ServiceRecord& before : from.services) {
    if (!before.exclusive)
      continue;
    const auto after =
        std::find_if(to.services.begin(), to.services.end(),
                     [&](const ServiceRecord& s) { return s.id == before.id; });
    if (after == to.services.end())
      continue;
    const std::string place = "service " + before.id.value();
    if (after->partitions != before.partitions)
      findings.push_back({source, place,
                          "the number of partitions of an exclusive service "
                          "cannot be changed"});
    if (HomeZonesByPartition(*after) != HomeZonesByPartition(before))
      findings.push_back({source, place,
                          "the home zones of an exclusive service cannot be "
                          "changed"});
    if (after->checks_grants != before.checks_grants || !after->exclusive)
      findings.push_back(
          {source, place,
           "the fence and ownership of a service cannot be changed"});
  }
  return findings;
}

bool LatestConfiguration::UpdateIfNewer(Pointer next) {
  const std::lock_guard lock(mutex_);
  if (!next)
    return false;
  if (current_ && next->revision() <= current_->revision())
    return false;
  current_ = std::move(next);
  return true;
}

std::uint64_t LatestConfiguration::revision() const {
  const Pointer current = Current();
  return current ? current->revision() : 0;
}

LatestConfiguration::Pointer LatestConfiguration::Current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

}  // namespace figstall
