// MakeDelta and ApplyDelta.
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

std::size_t EncodedSize(const std::vector<DeltaPart>& delta) {
  std::size_t size = 0;
  for (const DeltaPart& part : delta)
    size += 8 + part.text.size();
  return size;
}

}  // namespace

// Guards against updates that fill a link. In the recorded day caroni scale-2,
// enlarged, a table of 300 ranges changed three times a second and was sent to
// 18 members of a zone over a link of 10 Mbit/s.
TEST_CASE("a few changed rows of many make a small delta") {
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
  CHECK(EncodedSize(delta) < base.size() / 20);
}

TEST_CASE("a delta between any two texts yields the second") {
  std::mt19937 random(7);
  const std::string alphabet = "]}[{ab,";
  const auto random_text = [&] {
    std::string text(random() % 60, ' ');
    for (char& letter : text)
      letter = alphabet[random() % alphabet.size()];
    return text;
  };
  for (int i = 0; i < 5000; ++i) {
    const std::string base = random_text();
    const std::string next = random_text();
    REQUIRE(ApplyDelta(base, MakeDelta(base, next)) == next);
  }
}

// Most of a version is as in the one before.
TEST_CASE("a delta between texts that differ in a few places") {
  std::mt19937 random(8);
  const std::string alphabet = "]}ab";
  for (int i = 0; i < 20'000; ++i) {
    std::string base(1 + random() % 80, ' ');
    for (char& letter : base)
      letter = alphabet[random() % alphabet.size()];
    std::string next = base;
    const std::size_t changes = random() % 3;
    for (std::size_t change = 0; change < changes; ++change) {
      const std::size_t at = random() % (next.size() + 1);
      next.replace(at, random() % 4, base.substr(random() % base.size(), 2));
    }
    CAPTURE(base, next);
    REQUIRE(ApplyDelta(base, MakeDelta(base, next)) == next);
  }
  const std::string table = Table({1, 2, 3, 4});
  CHECK(EncodedSize(MakeDelta(table, table)) == 8);
}

TEST_CASE("a delta for another base is rejected or applied within bounds") {
  CHECK_FALSE(ApplyDelta("ab", {{1, 2, "c"}}));
  CHECK_FALSE(ApplyDelta("", {{0, 1, ""}}));
  CHECK(ApplyDelta("ab", {}) == "");
}

}  // namespace figstall
