// Records with the shapes of both deployments, "caroni" and "umurage", and of a
// small one.
#include <fmt/format.h>

#include <stdexcept>

#include "replay_deployment.h"

namespace figstall::replay {
namespace {

using nlohmann::json;

struct ZoneShape {
  const char* zone;
  const char* region;
  int entry_vms;
};

struct ServiceShape {
  const char* name;
  int targets;
  const char* lane;
  bool exclusive;
  bool checks_grants;
};

struct Shape {
  std::vector<ZoneShape> zones;
  std::vector<ServiceShape> services;
  int slots;
  int connections;
  int partitions;
};

Shape FindShape(const std::string& name) {
  if (name == "caroni") {
    return {{{"arima", "northcaroni", 3},
             {"chaguanas", "northcaroni", 3},
             {"couva", "southcaroni", 2},
             {"sando", "southcaroni", 3}},
            {{"account-enquiry", 18, "enquiry", true, true},
             {"work-orders", 10, "order", true, false},
             {"plan-archive", 8, "bulk", false, true}},
            4,
            120,
            64};
  }
  if (name == "umurage") {
    return {{{"gakenke", "north", 3},
             {"musanze", "north", 3},
             {"karongi", "west", 2},
             {"rutsiro", "west", 2}},
            {{"lot-listings", 20, "enquiry", true, true},
             {"bidding", 11, "order", true, true},
             {"permit-archive", 8, "bulk", false, true}},
            2,
            130,
            64};
  }
  if (name == "small") {
    return {{{"arima", "northcaroni", 3}},
            {{"account-enquiry", 3, "enquiry", true, true},
             {"work-orders", 2, "order", true, false}},
            4,
            120,
            16};
  }
  throw std::runtime_error("unknown shape \"" + name + "\"");
}

json ServiceRecordOf(const Shape& shape,
                     const ServiceShape& service,
                     int schema) {
  json record = {{"kind", "service"},
                 {"schema", schema},
                 {"name", service.name},
                 {"partitions", shape.partitions},
                 {"lane", service.lane}};
  if (schema == 1) {
    record["exclusive"] = service.exclusive;
    record["checks_grants"] = service.checks_grants;
    for (const ZoneShape& zone : shape.zones)
      record["zones"].push_back(zone.zone);
    return record;
  }
  // Where routers enforce the fence, moving a partition may have to wait this
  // long for work in flight, so the limit is short.
  if (!service.checks_grants)
    record["max_deadline_ms"] = 2000;
  record["ownership"] = service.exclusive ? "exclusive" : "shared";
  record["fence"] = service.checks_grants ? "target" : "router";
  for (const ZoneShape& zone : shape.zones)
    record["home_weights"][zone.zone] = 1;
  return record;
}

}  // namespace

json RecordsForShape(const std::string& name, int schema) {
  const Shape shape = FindShape(name);
  json records = json::array();
  int port = 1024;
  const auto vm = [&](const std::string& vm_name, const ZoneShape& zone,
                      const char* role) {
    json record = {{"kind", "vm"},          {"schema", schema},
                   {"name", vm_name},       {"zone", zone.zone},
                   {"region", zone.region}, {"role", role},
                   {"state", "joining"}};
    if (schema == 1)
      record["address"] = "127.0.0.1";
    return record;
  };
  const auto endpoint = [&] { return fmt::format("127.0.0.1:{}", ++port); };
  for (const ServiceShape& service : shape.services)
    records.push_back(ServiceRecordOf(shape, service, schema));
  for (const ZoneShape& zone : shape.zones) {
    for (int i = 1; i <= zone.entry_vms; ++i) {
      json record = vm(fmt::format("{}-e{}", zone.zone, i), zone, "entry");
      for (const char* field : {"callers", "router", "steward"}) {
        if (schema == 1) {
          record[std::string(field) + "_port"] = ++port;
        } else {
          record["endpoints"][field] = endpoint();
        }
      }
      records.push_back(record);
    }
  }
  for (const ServiceShape& service : shape.services) {
    for (int i = 0; i < service.targets; ++i) {
      const ZoneShape& zone = shape.zones[i % shape.zones.size()];
      json record = vm(fmt::format("{}-{}-{}", zone.zone, service.name, i + 1),
                       zone, "target");
      record["service"] = service.name;
      const json capacity = {{"slots", shape.slots},
                             {"connections", shape.connections}};
      if (schema == 1) {
        record["port"] = ++port;
        record.update(capacity);
      } else {
        record["endpoints"]["http"] = endpoint();
        record["capacity"] = capacity;
      }
      records.push_back(record);
    }
  }
  return records;
}

}  // namespace figstall::replay
