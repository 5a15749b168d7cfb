// Decodes plain texts with a table, and other ones, such as those with white
// space, with orcania's C functions, which look each character up in a string.
#include "figstall/base64.h"

#include <orcania.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace figstall {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
// Of a character that is not in the alphabet. No two values together set its
// highest bit.
constexpr std::uint32_t kInvalid = 1U << 31;
constexpr std::size_t kGroupSize = 4;

constexpr std::array<std::uint32_t, 256> MakeValues() {
  std::array<std::uint32_t, 256> values{};
  for (std::uint32_t& value : values)
    value = kInvalid;
  for (std::size_t i = 0; i < kAlphabet.size(); ++i)
    values[static_cast<unsigned char>(kAlphabet[i])] =
        static_cast<std::uint32_t>(i);
  return values;
}

constexpr auto kValues = MakeValues();

std::uint32_t ValueOf(char c) {
  return kValues[static_cast<unsigned char>(c)];
}

// Returns nothing if the text is not made of whole groups of the alphabet, the
// last one padded.
std::optional<std::string> DecodePlain(std::string_view text) {
  if (text.size() % kGroupSize != 0)
    return std::nullopt;
  std::string bytes;
  bytes.reserve(text.size() / kGroupSize * 3);
  const std::size_t padding = text.ends_with("==")  ? 2
                              : text.ends_with('=') ? 1
                                                    : 0;
  for (std::size_t i = 0; i < text.size(); i += kGroupSize) {
    const bool is_last = i + kGroupSize == text.size();
    const std::size_t padded = is_last ? padding : 0;
    const std::uint32_t third = padded > 1 ? 0 : ValueOf(text[i + 2]);
    const std::uint32_t fourth = padded > 0 ? 0 : ValueOf(text[i + 3]);
    const std::uint32_t first = ValueOf(text[i]);
    const std::uint32_t second = ValueOf(text[i + 1]);
    if (((first | second | third | fourth) & kInvalid) != 0)
      return std::nullopt;
    const std::uint32_t group =
        first << 18U | second << 12U | third << 6U | fourth;
    bytes += static_cast<char>(group >> 16U & 0xFFU);
    if (padded < 2)
      bytes += static_cast<char>(group >> 8U & 0xFFU);
    if (padded < 1)
      bytes += static_cast<char>(group & 0xFFU);
    // Bits that no byte holds.
    if ((padded == 1 && (group & 0xFFU) != 0) ||
        (padded == 2 && (group & 0xFFFFU) != 0))
      return std::nullopt;
  }
  return bytes;
}

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  if (bytes.empty())
    return "";
  std::string text(4 * (bytes.size() / 3 + 1) + 1, '\0');
  std::size_t length = 0;
  o_base64_encode(Bytes(bytes), bytes.size(), Bytes(text), &length);
  text.resize(length);
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  if (std::optional<std::string> plain = DecodePlain(text))
    return plain;
  std::string bytes(text.size(), '\0');
  std::size_t length = 0;
  if (!o_base64_decode(Bytes(text), text.size(), Bytes(bytes), &length))
    return std::nullopt;
  bytes.resize(length);
  return bytes;
}

}  // namespace figstall
