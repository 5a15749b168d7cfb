// JSON encoding of fencing tokens (`term`), steward ids and partition rows,
// shared by several codecs.
#ifndef FIGSTALL_SRC_JSON_TERMS_H_
#define FIGSTALL_SRC_JSON_TERMS_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "figstall/messages.h"

namespace figstall::detail {

inline nlohmann::json TermToJson(const FencingToken& term) {
  return nlohmann::json::array({term.epoch, term.count});
}

inline FencingToken TermFromJson(const nlohmann::json& value) {
  return {value.at(0).get<Epoch>(), value.at(1).get<std::uint64_t>()};
}

inline nlohmann::json StewardToJson(const StewardId& id) {
  return {{"vm", id.vm.value()}, {"incarnation", id.incarnation}};
}

inline StewardId StewardFromJson(const nlohmann::json& value) {
  return {VmId(value.at("vm")), value.at("incarnation")};
}

// Groups rows by service and owner: {service: {owner: [[partition, epoch,
// count], ...]}}. Repeating both names in each row would make them most of the
// text.
inline nlohmann::json RowsToJson(const std::vector<PartitionRow>& rows) {
  nlohmann::json grouped = nlohmann::json::object();
  for (const PartitionRow& row : rows) {
    grouped[row.key.service.value()][row.owner.value()].push_back(
        {row.key.partition, row.term.epoch, row.term.count});
  }
  return grouped;
}

inline std::vector<PartitionRow> RowsFromJson(const nlohmann::json& grouped) {
  std::vector<PartitionRow> rows;
  for (const auto& [service, owners] : grouped.items()) {
    for (const auto& [owner, entries] : owners.items()) {
      for (const nlohmann::json& entry : entries) {
        rows.push_back({{ServiceId(service), entry.at(0)},
                        {entry.at(1), entry.at(2)},
                        VmId(owner)});
      }
    }
  }
  return rows;
}

}  // namespace figstall::detail

#endif  // FIGSTALL_SRC_JSON_TERMS_H_
