// Implements the table of key ranges and its form in the store.
#include "figstall/range_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "figstall/schema_check.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr const char* kSchema = R"json({
  "type": "object", "required": ["last_fence", "ranges"],
  "properties": {
    "last_fence": {"type": "integer", "minimum": 0},
    "ranges": {"type": "array", "items": {
      "type": "array", "minItems": 9, "maxItems": 9}}}
})json";

// Columns of one row.
enum Column {
  kFirst,
  kLast,
  kOwner,
  kBorn,
  kAddress,
  kZone,
  kFence,
  kPhase,
  kHandover
};

Result<RangeEntry> DecodeRow(const json& row, const std::string& source) try {
  RangeEntry entry;
  entry.range.first = row.at(kFirst).get<ShardKey>();
  entry.range.last = row.at(kLast).get<ShardKey>();
  entry.owner.id = TargetId(row.at(kOwner).get<std::string>());
  entry.owner.started_at_ms = row.at(kBorn).get<std::int64_t>();
  BOOST_LEAF_ASSIGN(entry.address,
                    ParseEndpoint(row.at(kAddress).get<std::string>()));
  entry.zone = ZoneId(row.at(kZone).get<std::string>());
  entry.fence = row.at(kFence).get<std::uint64_t>();
  entry.phase = static_cast<RangePhase>(row.at(kPhase).get<int>());
  entry.handover = row.at(kHandover).get<std::string>();
  return entry;
} catch (const json::exception& error) {
  return Fail(ErrorCode::kInvalidInput, "invalid table of key ranges",
              {{source, "/ranges", error.what()}});
}

Result<json> ParseTable(const std::string& text, const std::string& source) {
  BOOST_LEAF_AUTO(value, ParseJson(text, source));
  Findings findings;
  static const JsonSchema schema(kSchema);
  if (!schema.Check(value, source, "", findings))
    return Fail(ErrorCode::kInvalidInput, "invalid table of key ranges",
                std::move(findings));
  return value;
}

Result<void> CheckOrder(const RangeTable& table, const std::string& source) {
  std::uint32_t next = 0;
  for (const RangeEntry& entry : table.entries) {
    if (entry.range.first != next || entry.range.last < entry.range.first)
      return Fail(ErrorCode::kInvalidInput, "ranges leave gaps or overlap",
                  {{source, "/ranges", std::to_string(next)}});
    next = std::uint32_t{entry.range.last} + 1;
  }
  return {};
}

// The text before the rows, and the rows, as EncodeRangeTable writes them;
// nothing if the text looks different.
std::optional<std::string> SplitRows(const std::string& text,
                                     std::vector<std::string_view>& rows) {
  static constexpr std::string_view kBegin = "\"ranges\":[";
  static constexpr std::string_view kEnd = "]}";
  const std::string_view all = text;
  const std::size_t begin = all.find(kBegin);
  if (begin == std::string_view::npos || !all.ends_with(kEnd))
    return std::nullopt;
  std::size_t at = begin + kBegin.size();
  const std::size_t last = all.size() - kEnd.size();
  while (at < last) {
    const std::size_t end = all.find(']', at);
    if (all[at] != '[' || end >= last)
      return std::nullopt;
    rows.push_back(all.substr(at, end + 1 - at));
    at = end + 1;
    if (at < last && all[at++] != ',')
      return std::nullopt;
  }
  return std::string(all.substr(0, begin + kBegin.size()));
}

}  // namespace

const RangeEntry* RangeTable::Find(ShardKey key) const {
  auto after = std::upper_bound(entries.begin(), entries.end(), key,
                                [](ShardKey wanted, const RangeEntry& entry) {
                                  return wanted < entry.range.first;
                                });
  if (after == entries.begin())
    return nullptr;
  --after;
  return after->range.Contains(key) ? &*after : nullptr;
}

std::string EncodeRangeTable(const RangeTable& table) {
  json rows = json::array();
  for (const RangeEntry& entry : table.entries) {
    rows.push_back({entry.range.first, entry.range.last, entry.owner.id.value(),
                    entry.owner.started_at_ms, entry.address.ToString(),
                    entry.zone.value(), entry.fence,
                    static_cast<int>(entry.phase), entry.handover});
  }
  return json{{"last_fence", table.last_fence}, {"ranges", rows}}.dump();
}

Result<RangeTable> DecodeRangeTable(const std::string& text,
                                    const std::string& source) {
  BOOST_LEAF_AUTO(value, ParseTable(text, source));
  RangeTable table;
  table.last_fence = value.at("last_fence").get<std::uint64_t>();
  for (const json& row : value.at("ranges")) {
    BOOST_LEAF_AUTO(entry, DecodeRow(row, source));
    table.entries.push_back(std::move(entry));
  }
  BOOST_LEAF_CHECK(CheckOrder(table, source));
  return table;
}

Result<RangeTable> RangeTableReader::Read(const std::string& text,
                                          const std::string& source) {
  std::vector<std::string_view> rows;
  const auto frame = SplitRows(text, rows);
  if (!frame)
    return DecodeRangeTable(text, source);
  // What is new is decoded as a table of its own.
  std::string changed;
  std::vector<std::string_view> fresh;
  for (const std::string_view row : rows) {
    if (rows_.contains(std::string(row)))
      continue;
    changed += changed.empty() ? "" : ",";
    changed += row;
    fresh.push_back(row);
  }
  BOOST_LEAF_AUTO(value, ParseTable(*frame + changed + "]}", source));
  for (std::size_t i = 0; i < fresh.size(); ++i) {
    BOOST_LEAF_AUTO(entry, DecodeRow(value.at("ranges").at(i), source));
    rows_[std::string(fresh[i])] = std::move(entry);
  }
  RangeTable table;
  table.last_fence = value.at("last_fence").get<std::uint64_t>();
  std::unordered_map<std::string, RangeEntry> kept;
  for (const std::string_view row : rows) {
    auto known = rows_.extract(std::string(row));
    if (known.empty())
      return DecodeRangeTable(text, source);
    table.entries.push_back(known.mapped());
    kept.insert(std::move(known));
  }
  rows_ = std::move(kept);
  BOOST_LEAF_CHECK(CheckOrder(table, source));
  return table;
}

void SplitAt(RangeTable& table, std::uint32_t cut) {
  for (auto entry = table.entries.begin(); entry != table.entries.end();
       ++entry) {
    if (entry->range.first >= cut || cut > entry->range.last)
      continue;
    RangeEntry upper = *entry;
    upper.range.first = static_cast<ShardKey>(cut);
    entry->range.last = static_cast<ShardKey>(cut - 1);
    table.entries.insert(entry + 1, std::move(upper));
    return;
  }
}

void MergeAdjacentRanges(RangeTable& table) {
  std::vector<RangeEntry> joined;
  for (RangeEntry& entry : table.entries) {
    if (!joined.empty()) {
      RangeEntry& left = joined.back();
      if (left.phase == RangePhase::kSettled &&
          entry.phase == RangePhase::kSettled && left.owner == entry.owner &&
          left.fence == entry.fence && left.handover == entry.handover) {
        left.range.last = entry.range.last;
        continue;
      }
    }
    joined.push_back(std::move(entry));
  }
  table.entries = std::move(joined);
}

}  // namespace figstall
