// Estimates the memory of parsed JSON from the characters that begin a value.
#include "figstall/json_bounds.h"

#include <fmt/format.h>

namespace figstall {
namespace {

// Each estimate includes what the allocator adds. An array whose buffer grows
// holds the old and the new one, of at most twice the size.
constexpr std::size_t kElementBytes = 48;
constexpr std::size_t kContainerBytes = 64;
// The node of an object's member: links, name and value.
constexpr std::size_t kMemberBytes = 96;
// Of a string beside its characters.
constexpr std::size_t kStringBytes = 48;

// Returns the position behind the string that begins before `at`.
std::size_t EndOfString(std::string_view text, std::size_t at) {
  while (at < text.size() && text[at] != '"')
    at += text[at] == '\\' ? 2 : 1;
  return at + 1;
}

}  // namespace

std::string ExceededJsonBound::ToString() const {
  return fmt::format("{} over {} at byte {}", what, bound, byte);
}

std::optional<ExceededJsonBound> FindExceededBound(std::string_view text,
                                                   const JsonBounds& bounds) {
  std::size_t parsed_bytes = kElementBytes;
  std::size_t depth = 0;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const std::size_t begin = at;
    switch (text[at]) {
      case '"':
        at = EndOfString(text, at + 1) - 1;
        parsed_bytes += kStringBytes + at - begin;
        break;
      case '[':
      case '{':
        parsed_bytes += kContainerBytes + kElementBytes;
        if (++depth > bounds.max_nesting)
          return ExceededJsonBound{"levels of nesting", bounds.max_nesting,
                                   begin + 1};
        break;
      case ']':
      case '}':
        depth -= depth > 0 ? 1 : 0;
        break;
      case ',':
        parsed_bytes += kElementBytes;
        break;
      case ':':
        parsed_bytes += kMemberBytes;
        break;
      default:
        break;
    }
    if (parsed_bytes > bounds.max_parsed_bytes)
      return ExceededJsonBound{"bytes when parsed", bounds.max_parsed_bytes,
                               begin + 1};
  }
  return std::nullopt;
}

}  // namespace figstall
