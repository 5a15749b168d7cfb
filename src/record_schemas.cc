// The JSON schemas as text, and the table in which they are looked up.
#include "figstall/record_schemas.h"

#include <map>
#include <utility>

namespace figstall {
namespace {

constexpr const char* kServiceV1 = R"json({
  "type": "object",
  "required": ["kind", "schema", "name", "partitions", "zones"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "schema": {"type": "integer"},
    "name": {"type": "string", "pattern": "^[a-z][a-z0-9-]{0,62}$"},
    "partitions": {"type": "integer", "minimum": 1, "maximum": 65536},
    "exclusive": {"type": "boolean"},
    "checks_grants": {"type": "boolean"},
    "lane": {"type": "string", "enum": ["enquiry", "order", "bulk"]},
    "repeatable": {"type": "boolean"},
    "zones": {"type": "array", "minItems": 1, "uniqueItems": true,
              "items": {"type": "string"}}
  }
})json";

constexpr const char* kServiceV2 = R"json({
  "type": "object",
  "required": ["kind", "schema", "name", "partitions", "home_weights"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "schema": {"type": "integer"},
    "name": {"type": "string", "pattern": "^[a-z][a-z0-9-]{0,62}$"},
    "partitions": {"type": "integer", "minimum": 1, "maximum": 65536},
    "ownership": {"type": "string", "enum": ["exclusive", "shared"]},
    "fence": {"type": "string", "enum": ["target", "router"]},
    "lane": {"type": "string", "enum": ["enquiry", "order", "bulk"]},
    "repeatable_methods": {"type": "array", "uniqueItems": true,
      "items": {"type": "string",
                "enum": ["GET", "HEAD", "PUT", "POST", "DELETE"]}},
    "home_weights": {"type": "object", "minProperties": 1,
      "additionalProperties": {"type": "number", "minimum": 0}},
    "frozen": {"type": "boolean"},
    "default_deadline_ms": {"type": "integer", "minimum": 1, "maximum": 600000},
    "max_deadline_ms": {"type": "integer", "minimum": 1, "maximum": 600000}
  }
})json";

constexpr const char* kVmV1 = R"json({
  "type": "object",
  "required": ["kind", "schema", "name", "zone", "region", "role", "address"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "schema": {"type": "integer"},
    "name": {"type": "string", "pattern": "^[a-z][a-z0-9-]{0,62}$"},
    "zone": {"type": "string", "minLength": 1},
    "region": {"type": "string", "minLength": 1},
    "role": {"type": "string", "enum": ["entry", "target"]},
    "state": {"type": "string", "enum": ["joining", "leaving", "lost"]},
    "address": {"type": "string", "minLength": 1},
    "callers_port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "router_port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "steward_port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "service": {"type": "string"},
    "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
    "connections": {"type": "integer", "minimum": 1, "maximum": 100000}
  }
})json";

constexpr const char* kVmV2 = R"json({
  "type": "object",
  "required": ["kind", "schema", "name", "zone", "region", "role", "endpoints"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "schema": {"type": "integer"},
    "name": {"type": "string", "pattern": "^[a-z][a-z0-9-]{0,62}$"},
    "zone": {"type": "string", "minLength": 1},
    "region": {"type": "string", "minLength": 1},
    "role": {"type": "string", "enum": ["entry", "target"]},
    "state": {"type": "string", "enum": ["joining", "leaving", "lost"]},
    "endpoints": {"type": "object", "additionalProperties": false,
      "properties": {
        "callers": {"type": "string"}, "router": {"type": "string"},
        "steward": {"type": "string"}, "http": {"type": "string"}}},
    "service": {"type": "string"},
    "capacity": {"type": "object", "additionalProperties": false,
      "properties": {
        "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
        "connections": {"type": "integer", "minimum": 1, "maximum": 100000}}}
  }
})json";

constexpr const char* kKeyV1 = R"json({
  "type": "object",
  "required": ["kind", "schema", "service", "key"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "schema": {"type": "integer"},
    "service": {"type": "string"},
    "key": {"type": "string", "minLength": 1, "maxLength": 512},
    "weight": {"type": "number", "minimum": 0, "maximum": 1000000}
  }
})json";

constexpr const char* kKeyV2 = R"json({
  "type": "object",
  "required": ["kind", "schema", "service", "key"],
  "additionalProperties": false,
  "properties": {
    "kind": {"type": "string"},
    "schema": {"type": "integer"},
    "service": {"type": "string"},
    "key": {"type": "string", "minLength": 1, "maxLength": 512},
    "placement": {"type": "object", "additionalProperties": false,
      "properties": {
        "weight": {"type": "number", "minimum": 0, "maximum": 1000000},
        "frozen": {"type": "boolean"}}}
  }
})json";

using SchemaTable = std::map<std::pair<std::string, int>, JsonSchema>;

SchemaTable MakeSchemaTable() {
  SchemaTable table;
  table.emplace(std::pair(std::string("service"), 1), JsonSchema(kServiceV1));
  table.emplace(std::pair(std::string("service"), 2), JsonSchema(kServiceV2));
  table.emplace(std::pair(std::string("vm"), 1), JsonSchema(kVmV1));
  table.emplace(std::pair(std::string("vm"), 2), JsonSchema(kVmV2));
  table.emplace(std::pair(std::string("key"), 1), JsonSchema(kKeyV1));
  table.emplace(std::pair(std::string("key"), 2), JsonSchema(kKeyV2));
  return table;
}

}  // namespace

const JsonSchema* FindRecordSchema(const std::string& kind, int version) {
  static const SchemaTable table = MakeSchemaTable();
  const auto found = table.find({kind, version});
  return found == table.end() ? nullptr : &found->second;
}

}  // namespace figstall
