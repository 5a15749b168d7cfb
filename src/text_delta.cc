// Rows end at a closing bracket or brace. The rows that both texts begin and
// end with are ranges of the base. Each row between them is looked up in a hash
// table of the base's rows between them and encoded as a range of the base or,
// if it is not found, as literal text.
#include "figstall/text_delta.h"

#include <algorithm>
#include <unordered_map>

namespace figstall {
namespace {

constexpr std::string_view kRowEnds = "]}";

std::string_view NextRow(std::string_view text, std::size_t start) {
  const std::size_t end = text.find_first_of(kRowEnds, start);
  return text.substr(start,
                     end == std::string_view::npos ? end : end + 1 - start);
}

// Length of the whole rows with which both texts begin.
std::size_t CommonStart(std::string_view a, std::string_view b) {
  const auto [end, ignored] =
      std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  const auto equal = static_cast<std::size_t>(end - a.begin());
  const std::size_t last = a.substr(0, equal).find_last_of(kRowEnds);
  return last == std::string_view::npos ? 0 : last + 1;
}

// Length of the whole rows with which both texts end.
std::size_t CommonEnd(std::string_view a, std::string_view b) {
  const auto [end, ignored] =
      std::mismatch(a.rbegin(), a.rend(), b.rbegin(), b.rend());
  const auto equal = static_cast<std::size_t>(end - a.rbegin());
  const std::size_t first = a.find_first_of(kRowEnds, a.size() - equal);
  return first == std::string_view::npos ? 0 : a.size() - first - 1;
}

// Appends a range of the base, which continues the last part if it can.
void AppendRange(std::vector<DeltaPart>& delta,
                 std::size_t offset,
                 std::size_t length) {
  if (length == 0)
    return;
  DeltaPart& last = delta.back();
  const std::size_t end = std::size_t{last.offset} + last.length;
  if (last.text.empty() && (last.length == 0 || end == offset)) {
    if (last.length == 0)
      last.offset = static_cast<std::uint32_t>(offset);
    last.length += static_cast<std::uint32_t>(length);
  } else {
    delta.push_back({static_cast<std::uint32_t>(offset),
                     static_cast<std::uint32_t>(length),
                     {}});
  }
}

}  // namespace

std::vector<DeltaPart> MakeDelta(std::string_view base, std::string_view next) {
  const std::size_t start = CommonStart(base, next);
  const std::size_t end = CommonEnd(base.substr(start), next.substr(start));
  const std::string_view base_rows = base.substr(0, base.size() - end);
  const std::string_view next_rows = next.substr(0, next.size() - end);
  std::unordered_map<std::string_view, std::size_t> row_offsets;
  for (std::size_t offset = start; offset < base_rows.size();) {
    const std::string_view row = NextRow(base_rows, offset);
    row_offsets.try_emplace(row, offset);
    offset += row.size();
  }
  std::vector<DeltaPart> delta(1);
  AppendRange(delta, 0, start);
  for (std::size_t offset = start; offset < next_rows.size();) {
    const std::string_view row = NextRow(next_rows, offset);
    offset += row.size();
    DeltaPart& part = delta.back();
    const std::size_t copied_end = std::size_t{part.offset} + part.length;
    // The current range is extended first. Looking up the row would find the
    // first of several equal rows, which may not be the one after the range.
    if (part.text.empty() && part.length > 0 &&
        base.substr(copied_end, row.size()) == row) {
      part.length += static_cast<std::uint32_t>(row.size());
      continue;
    }
    const auto base_row = row_offsets.find(row);
    if (base_row == row_offsets.end())
      part.text += row;
    else
      AppendRange(delta, base_row->second, row.size());
  }
  AppendRange(delta, base.size() - end, end);
  return delta;
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      const std::vector<DeltaPart>& delta) {
  std::string next;
  for (const DeltaPart& part : delta) {
    if (std::size_t{part.offset} + part.length > base.size())
      return std::nullopt;
    next += base.substr(part.offset, part.length);
    next += part.text;
  }
  return next;
}

}  // namespace figstall
