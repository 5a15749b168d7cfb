// DecodeBase64 against the library's function, whose results it keeps.
#include "figstall/base64.h"

#include <orcania.h>

#include <catch2/catch.hpp>
#include <random>

namespace figstall {
namespace {

std::optional<std::string> DecodeByLibrary(const std::string& text) {
  if (text.empty())
    return "";
  std::string bytes(text.size(), '\0');
  std::size_t length = 0;
  if (!o_base64_decode(reinterpret_cast<const unsigned char*>(text.data()),
                       text.size(),
                       reinterpret_cast<unsigned char*>(bytes.data()), &length))
    return std::nullopt;
  bytes.resize(length);
  return bytes;
}

}  // namespace

// Guards against values of the store that are read differently than before,
// since they are decoded with a table.
TEST_CASE("base64 texts changed at random are decoded as by the library") {
  constexpr int kTexts = 100'000;
  const std::string odd = "=\n -_A/+\xff";
  std::mt19937 random(1);
  int decoded_count = 0;
  for (int i = 0; i < kTexts; ++i) {
    std::string bytes(random() % 40, '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(random() % 256);
    std::string text = EncodeBase64(bytes);
    REQUIRE(DecodeBase64(text) == bytes);
    const std::size_t changes = random() % 3;
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
      const std::size_t at = random() % text.size();
      if (random() % 4 == 0)
        text.erase(at, 1);
      else
        text[at] = odd[random() % odd.size()];
    }
    const auto expected = DecodeByLibrary(text);
    decoded_count += expected ? 1 : 0;
    if (DecodeBase64(text) != expected)
      FAIL(text);
  }
  CHECK(decoded_count > kTexts / 3);
}

}  // namespace figstall
