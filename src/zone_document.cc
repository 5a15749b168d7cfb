#include "figstall/zone_document.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "figstall/schema_check.h"
#include "json_terms.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr int kDocumentSchema = 1;

ZoneDocument FromJson(const json& value) {
  ZoneDocument document;
  document.epoch = value.at("epoch");
  document.leader = detail::StewardFromJson(value.at("leader"));
  for (const json& id : value.at("roster"))
    document.roster.push_back(detail::StewardFromJson(id));
  for (const json& previous : value.at("unsealed")) {
    document.unsealed.push_back(
        {detail::StewardFromJson(previous.at("id")), previous.at("epoch")});
  }
  document.rows = detail::RowsFromJson(value.at("rows"));
  std::sort(document.rows.begin(), document.rows.end());
  document.list_version = value.at("list_version");
  return document;
}

}  // namespace

std::string SerializeZoneDocument(const ZoneDocument& document) {
  json value = {{"schema", kDocumentSchema},
                {"epoch", document.epoch},
                {"leader", detail::StewardToJson(document.leader)},
                {"roster", json::array()},
                {"unsealed", json::array()},
                {"rows", detail::RowsToJson(document.rows)},
                {"list_version", document.list_version}};
  for (const StewardId& id : document.roster)
    value["roster"].push_back(detail::StewardToJson(id));
  for (const UnsealedLeader& previous : document.unsealed) {
    value["unsealed"].push_back({{"id", detail::StewardToJson(previous.id)},
                                 {"epoch", previous.epoch}});
  }
  return value.dump();
}

Result<ZoneDocument> ParseZoneDocument(const std::string& text) {
  BOOST_LEAF_AUTO(value, ParseJson(text, "zone document"));
  try {
    if (value.at("schema") != kDocumentSchema)
      return Fail(ErrorCode::kProtocol,
                  "zone document: unknown schema version");
    return FromJson(value);
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kProtocol,
                std::string("zone document: ") + error.what());
  }
}

}  // namespace figstall
