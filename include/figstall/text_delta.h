// The difference of two versions of a JSON text, small where few of many rows
// or members changed. Pure functions.
#ifndef FIGSTALL_TEXT_DELTA_H_
#define FIGSTALL_TEXT_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figstall {

// A stretch of the earlier version, followed by new text.
struct DeltaPart {
  std::uint32_t from = 0;
  std::uint32_t length = 0;
  std::string text;

  friend bool operator==(const DeltaPart&, const DeltaPart&) = default;
};

// Compares by rows, which end at a closing bracket or brace.
std::vector<DeltaPart> MakeDelta(std::string_view base, std::string_view next);

// Nothing if a part lies outside of `base`.
std::optional<std::string> ApplyDelta(std::string_view base,
                                      const std::vector<DeltaPart>& delta);

}  // namespace figstall

#endif  // FIGSTALL_TEXT_DELTA_H_
