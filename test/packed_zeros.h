// A packed Cap'n Proto message of zeros, which is much longer than its bytes.
#ifndef FIGSTALL_TEST_PACKED_ZEROS_H_
#define FIGSTALL_TEST_PACKED_ZEROS_H_

#include <algorithm>
#include <cstdint>
#include <string>

namespace figstall {

// Returns a message of one segment with this many words.
inline std::string PackedZeros(std::uint32_t words) {
  constexpr std::uint32_t kMaxRunWords = 256;
  // The segment table: the number of segments - 1, and the size of the first.
  // The packed form of a word is a bit for each byte that is not zero, followed
  // by these bytes.
  unsigned tag = 0;
  std::string size;
  for (unsigned byte = 0; byte < 4; ++byte) {
    const auto value = static_cast<char>(words >> 8 * byte & 0xFFU);
    if (value == 0)
      continue;
    tag |= 1U << (4 + byte);
    size += value;
  }
  std::string message = static_cast<char>(tag) + size;
  for (std::uint32_t left = words; left > 0;) {
    const std::uint32_t run = std::min(left, kMaxRunWords);
    message += '\0';
    message += static_cast<char>(run - 1);
    left -= run;
  }
  return message;
}

}  // namespace figstall

#endif  // FIGSTALL_TEST_PACKED_ZEROS_H_
