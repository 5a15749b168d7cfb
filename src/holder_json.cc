// Conversion of orders and statuses to and from JSON; optional fields are left
// out where they are empty or unset.
#include "figstall/holder_json.h"

#include <nlohmann/json.hpp>

#include "figstall/schema_check.h"
#include "json_terms.h"

namespace figstall {
namespace {

using nlohmann::json;

json StampToJson(const Stamp& stamp) {
  return json::array({stamp.incarnation, stamp.micros});
}

Stamp StampFromJson(const json& value) {
  return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::int64_t>()};
}

HolderOrder OrderFromJson(const json& value) {
  HolderOrder order;
  order.holder = VmId(value.at("holder"));
  order.epoch = value.at("epoch");
  order.lease = detail::TermFromJson(value.at("lease"));
  order.open = value.value("open", false);
  order.want_report = value.value("want_report", false);
  if (value.contains("stamp"))
    order.stamp = StampFromJson(value.at("stamp"));
  order.validity = Duration(value.at("validity_us").get<std::int64_t>());
  order.grants = detail::RowsFromJson(value.value("grants", json::object()));
  order.revokes = detail::RowsFromJson(value.value("revokes", json::object()));
  order.change = value.value("change", std::uint64_t{0});
  return order;
}

HolderStatus StatusFromJson(const json& value) {
  HolderStatus status;
  status.holder = VmId(value.at("holder"));
  status.incarnation = value.at("incarnation");
  status.stamp = StampFromJson(value.at("stamp"));
  status.lease = detail::TermFromJson(value.at("lease"));
  status.standing = value.at("standing");
  status.epoch = value.at("epoch");
  status.refused = value.value("refused", false);
  status.change = value.value("change", std::uint64_t{0});
  for (const json& key : value.value("draining", json::array()))
    status.draining.push_back({ServiceId(key.at(0)), key.at(1)});
  status.has_report = value.contains("held");
  if (status.has_report)
    status.held = detail::RowsFromJson(value.at("held"));
  return status;
}

// Parses `text` and converts it; a missing field or one of a wrong type is
// returned as an error that names `source`.
template <typename Convert>
auto ParseWith(const std::string& text,
               const std::string& source,
               Convert convert) -> Result<decltype(convert(json()))> {
  BOOST_LEAF_AUTO(value, ParseJson(text, source));
  try {
    return convert(value);
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kProtocol, source + ": " + error.what());
  }
}

}  // namespace

std::string SerializeOrder(const HolderOrder& order) {
  json value = {{"holder", order.holder.value()},
                {"epoch", order.epoch},
                {"lease", detail::TermToJson(order.lease)},
                {"validity_us", order.validity.count()}};
  if (order.open)
    value["open"] = true;
  if (order.want_report)
    value["want_report"] = true;
  if (order.stamp)
    value["stamp"] = StampToJson(*order.stamp);
  if (!order.grants.empty())
    value["grants"] = detail::RowsToJson(order.grants);
  if (!order.revokes.empty())
    value["revokes"] = detail::RowsToJson(order.revokes);
  if (order.change != 0)
    value["change"] = order.change;
  return value.dump();
}

Result<HolderOrder> ParseOrder(const std::string& text) {
  return ParseWith(text, "order", OrderFromJson);
}

std::string SerializeStatus(const HolderStatus& status) {
  json value = {{"holder", status.holder.value()},
                {"incarnation", status.incarnation},
                {"stamp", StampToJson(status.stamp)},
                {"lease", detail::TermToJson(status.lease)},
                {"standing", status.standing},
                {"epoch", status.epoch},
                {"change", status.change}};
  if (status.refused)
    value["refused"] = true;
  for (const PartitionKey& key : status.draining)
    value["draining"].push_back({key.service.value(), key.partition});
  if (status.has_report)
    value["held"] = detail::RowsToJson(status.held);
  return value.dump();
}

Result<HolderStatus> ParseStatus(const std::string& text) {
  return ParseWith(text, "status", StatusFromJson);
}

}  // namespace figstall
