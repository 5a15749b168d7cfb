// Implements differences of texts.
#include "figstall/text_delta.h"

#include <algorithm>
#include <unordered_map>

namespace figstall {
namespace {

std::string_view NextRow(std::string_view text, std::size_t from) {
  const std::size_t end = text.find_first_of("]}", from);
  return text.substr(from,
                     end == std::string_view::npos ? end : end + 1 - from);
}

}  // namespace

std::vector<DeltaPart> MakeDelta(std::string_view base, std::string_view next) {
  std::unordered_map<std::string_view, std::size_t> rows;
  for (std::size_t at = 0; at < base.size();) {
    const std::string_view row = NextRow(base, at);
    rows.try_emplace(row, at);
    at += row.size();
  }
  std::vector<DeltaPart> delta(1);
  for (std::size_t at = 0; at < next.size();) {
    const std::string_view row = NextRow(next, at);
    at += row.size();
    DeltaPart& part = delta.back();
    const std::size_t copied = std::size_t{part.from} + part.length;
    // Equal rows follow each other; the first of them is not always the one
    // that goes on with the stretch.
    if (part.text.empty() && part.length > 0 &&
        base.substr(copied, row.size()) == row) {
      part.length += static_cast<std::uint32_t>(row.size());
      continue;
    }
    const auto known = rows.find(row);
    if (known == rows.end())
      part.text += row;
    else
      delta.push_back({static_cast<std::uint32_t>(known->second),
                       static_cast<std::uint32_t>(row.size()),
                       {}});
  }
  return delta;
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      const std::vector<DeltaPart>& delta) {
  std::string next;
  for (const DeltaPart& part : delta) {
    if (std::size_t{part.from} + part.length > base.size())
      return std::nullopt;
    next += base.substr(part.from, part.length);
    next += part.text;
  }
  return next;
}

}  // namespace figstall
