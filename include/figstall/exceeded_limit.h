// A bound on what a peer may send, which it exceeded.
#ifndef FIGSTALL_EXCEEDED_LIMIT_H_
#define FIGSTALL_EXCEEDED_LIMIT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace figstall {

struct ExceededLimit {
  // The place in the message.
  const char* place;
  std::size_t value = 0;
  const char* unit = "bytes";

  std::string bound() const { return std::to_string(value) + " " + unit; }
  std::string ToString() const { return place + (" over " + bound()); }
};

// The place of a chunk line or of trailers whose end was not yet received. They
// may begin with the end of the line before them.
inline const char* PlaceOfChunkLine(std::string_view unparsed) {
  constexpr std::size_t kLineEndBytes = 2;
  return unparsed.find('\n', kLineEndBytes) == std::string_view::npos
             ? "chunk line"
             : "trailers";
}

}  // namespace figstall

#endif  // FIGSTALL_EXCEEDED_LIMIT_H_
