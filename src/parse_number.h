// Parses whole numbers of header fields and parameters.
#ifndef FIGSTALL_SRC_PARSE_NUMBER_H_
#define FIGSTALL_SRC_PARSE_NUMBER_H_

#include <charconv>
#include <optional>
#include <string_view>

namespace figstall::detail {

// None unless the whole text is a number in the type's range.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

}  // namespace figstall::detail

#endif  // FIGSTALL_SRC_PARSE_NUMBER_H_
