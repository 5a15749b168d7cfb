// Bounds the memory that JSON text takes once it is parsed, before it is.
#ifndef FIGSTALL_JSON_BOUNDS_H_
#define FIGSTALL_JSON_BOUNDS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace figstall {

struct JsonBounds {
  // Levels of arrays and objects.
  std::size_t max_nesting = 64;
  // Memory of the parsed value.
  std::size_t max_parsed_bytes = 24'000'000;
};

// The first bound that a text exceeds.
struct ExceededJsonBound {
  const char* what;
  std::size_t bound = 0;
  // Where it is exceeded, counted from 1.
  std::size_t byte = 0;

  std::string ToString() const;
};

// Scans text once and builds nothing. Of text that is not JSON, some bound may
// be reported although the parser would stop earlier. The memory is estimated
// from above, by the containers, members and strings of nlohmann::json.
std::optional<ExceededJsonBound> FindExceededBound(std::string_view text,
                                                   const JsonBounds& bounds);

}  // namespace figstall

#endif  // FIGSTALL_JSON_BOUNDS_H_
