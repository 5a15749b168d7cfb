// Implements range_table.h. The table is stored as JSON, with each entry as an
// array.
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

// Columns of a row of the stored table.
enum Column {
  kFirst,
  kLast,
  kOwner,
  kStartedAt,
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
  entry.owner.started_at_ms = row.at(kStartedAt).get<std::int64_t>();
  BOOST_LEAF_ASSIGN(entry.address,
                    ParseEndpoint(row.at(kAddress).get<std::string>()));
  entry.zone = ZoneId(row.at(kZone).get<std::string>());
  entry.fence = row.at(kFence).get<std::uint64_t>();
  entry.phase = static_cast<RangePhase>(row.at(kPhase).get<int>());
  // A range without its handover is better than no table.
  const auto handover = Handover::Parse(row.at(kHandover).get<std::string>());
  if (const auto* kept = std::get_if<Handover>(&handover))
    entry.handover = *kept;
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
  std::uint32_t expected_first = 0;
  for (const RangeEntry& entry : table.entries) {
    if (entry.range.first != expected_first ||
        entry.range.last < entry.range.first)
      return Fail(ErrorCode::kInvalidInput, "ranges leave gaps or overlap",
                  {{source, "/ranges", std::to_string(expected_first)}});
    expected_first = std::uint32_t{entry.range.last} + 1;
  }
  return {};
}

// Returns the position of the bracket that ends the row at `position`, or npos.
// Strings may contain brackets.
std::size_t FindRowEnd(std::string_view text, std::size_t position) {
  bool in_string = false;
  for (; position < text.size(); ++position) {
    const char c = text[position];
    if (in_string && c == '\\')
      ++position;
    else if (c == '"')
      in_string = !in_string;
    else if (c == ']' && !in_string)
      return position;
  }
  return std::string_view::npos;
}

// Returns the text before the rows and appends each row's text to `rows`.
// Returns nullopt if the text is not laid out as EncodeRangeTable writes it.
std::optional<std::string> SplitRows(const std::string& text,
                                     std::vector<std::string_view>& rows) {
  static constexpr std::string_view kRowsBegin = "\"ranges\":[";
  static constexpr std::string_view kRowsEnd = "]}";
  const std::string_view view = text;
  const std::size_t begin = view.find(kRowsBegin);
  if (begin == std::string_view::npos || !view.ends_with(kRowsEnd))
    return std::nullopt;
  std::size_t position = begin + kRowsBegin.size();
  const std::size_t last = view.size() - kRowsEnd.size();
  while (position < last) {
    const std::size_t end = FindRowEnd(view, position);
    if (view[position] != '[' || end >= last)
      return std::nullopt;
    rows.push_back(view.substr(position, end + 1 - position));
    position = end + 1;
    if (position < last && view[position++] != ',')
      return std::nullopt;
  }
  return std::string(view.substr(0, begin + kRowsBegin.size()));
}

}  // namespace

const RangeEntry* RangeTable::Find(ShardKey key) const {
  auto after = std::upper_bound(entries.begin(), entries.end(), key,
                                [](ShardKey searched, const RangeEntry& entry) {
                                  return searched < entry.range.first;
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
                    static_cast<int>(entry.phase), entry.handover.text()});
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
  const auto prefix = SplitRows(text, rows);
  if (!prefix)
    return DecodeRangeTable(text, source);
  // The rows that are not known yet are decoded as a table of their own.
  std::string new_rows_text;
  std::vector<std::string_view> new_rows;
  for (const std::string_view row : rows) {
    if (decoded_rows_.contains(std::string(row)))
      continue;
    new_rows_text += new_rows_text.empty() ? "" : ",";
    new_rows_text += row;
    new_rows.push_back(row);
  }
  BOOST_LEAF_AUTO(value, ParseTable(*prefix + new_rows_text + "]}", source));
  for (std::size_t i = 0; i < new_rows.size(); ++i) {
    BOOST_LEAF_AUTO(entry, DecodeRow(value.at("ranges").at(i), source));
    decoded_rows_[std::string(new_rows[i])] = std::move(entry);
  }
  RangeTable table;
  table.last_fence = value.at("last_fence").get<std::uint64_t>();
  std::unordered_map<std::string, RangeEntry> current_rows;
  for (const std::string_view row : rows) {
    auto known = decoded_rows_.extract(std::string(row));
    if (known.empty())
      return DecodeRangeTable(text, source);
    table.entries.push_back(known.mapped());
    current_rows.insert(std::move(known));
  }
  decoded_rows_ = std::move(current_rows);
  BOOST_LEAF_CHECK(CheckOrder(table, source));
  return table;
}

void SplitAt(RangeTable& table, std::uint32_t boundary) {
  for (auto entry = table.entries.begin(); entry != table.entries.end();
       ++entry) {
    if (entry->range.first >= boundary || boundary > entry->range.last)
      continue;
    RangeEntry upper = *entry;
    upper.range.first = static_cast<ShardKey>(boundary);
    entry->range.last = static_cast<ShardKey>(boundary - 1);
    table.entries.insert(entry + 1, std::move(upper));
    return;
  }
}

void MergeAdjacentRanges(RangeTable& table) {
  std::vector<RangeEntry> merged;
  for (RangeEntry& entry : table.entries) {
    if (!merged.empty()) {
      RangeEntry& left = merged.back();
      if (left.phase == RangePhase::kSettled &&
          entry.phase == RangePhase::kSettled && left.owner == entry.owner &&
          left.fence == entry.fence && left.handover == entry.handover) {
        left.range.last = entry.range.last;
        continue;
      }
    }
    merged.push_back(std::move(entry));
  }
  table.entries = std::move(merged);
}

}  // namespace figstall
