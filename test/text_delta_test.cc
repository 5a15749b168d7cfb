// Differences of texts.
#include "figstall/text_delta.h"

#include <catch2/catch.hpp>
#include <random>

namespace figstall {
namespace {

std::string Table(const std::vector<int>& rows) {
  std::string text = "{\"last_fence\":12,\"ranges\":[";
  for (const int row : rows)
    text += "[" + std::to_string(row) + ",\"i-0123456789\",\"10.1.0.2:80\"],";
  return text + "]}";
}

std::size_t Size(const std::vector<DeltaPart>& delta) {
  std::size_t size = 0;
  for (const DeltaPart& part : delta)
    size += 8 + part.text.size();
  return size;
}

}  // namespace

// Load: grown caroni scale-2. A table of 300 ranges changed three times a
// second and went to 18 members of a zone over a link of 10 Mbit/s.
TEST_CASE("a few changed rows of many make a small difference") {
  std::vector<int> rows(300);
  for (int i = 0; i < 300; ++i)
    rows[static_cast<std::size_t>(i)] = i;
  const std::string base = Table(rows);
  rows[10] = 1000;
  rows[200] = 1001;
  rows.insert(rows.begin() + 100, 1002);
  rows.erase(rows.begin() + 50);
  const std::string next = Table(rows);
  const auto delta = MakeDelta(base, next);
  CHECK(ApplyDelta(base, delta) == next);
  CHECK(Size(delta) < base.size() / 20);
}

TEST_CASE("any text follows from any other") {
  std::mt19937 random(7);
  const std::string letters = "]}[{ab,";
  const auto draw = [&] {
    std::string text(random() % 60, ' ');
    for (char& each : text)
      each = letters[random() % letters.size()];
    return text;
  };
  for (int i = 0; i < 5000; ++i) {
    const std::string base = draw();
    const std::string next = draw();
    REQUIRE(ApplyDelta(base, MakeDelta(base, next)) == next);
  }
}

TEST_CASE("a difference that fits another text is refused or harmless") {
  CHECK_FALSE(ApplyDelta("ab", {{1, 2, "c"}}));
  CHECK_FALSE(ApplyDelta("", {{0, 1, ""}}));
  CHECK(ApplyDelta("ab", {}) == "");
}

}  // namespace figstall
