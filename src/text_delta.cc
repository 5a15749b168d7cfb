// Rows end at a closing bracket or brace. Each row of the new text is looked up
// in a hash table of the base's rows and encoded as a range of the base or, if
// it is not found, as literal text.
#include "figstall/text_delta.h"

#include <algorithm>
#include <unordered_map>

namespace figstall {
namespace {

std::string_view NextRow(std::string_view text, std::size_t start) {
  const std::size_t end = text.find_first_of("]}", start);
  return text.substr(start,
                     end == std::string_view::npos ? end : end + 1 - start);
}

}  // namespace

std::vector<DeltaPart> MakeDelta(std::string_view base, std::string_view next) {
  std::unordered_map<std::string_view, std::size_t> row_offsets;
  for (std::size_t offset = 0; offset < base.size();) {
    const std::string_view row = NextRow(base, offset);
    row_offsets.try_emplace(row, offset);
    offset += row.size();
  }
  std::vector<DeltaPart> delta(1);
  for (std::size_t offset = 0; offset < next.size();) {
    const std::string_view row = NextRow(next, offset);
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
      delta.push_back({static_cast<std::uint32_t>(base_row->second),
                       static_cast<std::uint32_t>(row.size()),
                       {}});
  }
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
