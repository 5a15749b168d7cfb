// Computes and applies deltas between two versions of a JSON text. A delta is
// small if few of many rows or members changed. Pure functions.
#ifndef FIGSTALL_TEXT_DELTA_H_
#define FIGSTALL_TEXT_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figstall {

// A range of bytes to copy from the earlier version, followed by new text.
struct DeltaPart {
  std::uint32_t offset = 0;
  std::uint32_t length = 0;
  std::string text;

  friend bool operator==(const DeltaPart&, const DeltaPart&) = default;
};

// Compares row by row; a row ends at a closing bracket or brace.
std::vector<DeltaPart> MakeDelta(std::string_view base, std::string_view next);

// Returns nullopt if a part lies outside of `base`.
std::optional<std::string> ApplyDelta(std::string_view base,
                                      const std::vector<DeltaPart>& delta);

}  // namespace figstall

#endif  // FIGSTALL_TEXT_DELTA_H_
