// Tests which texts of targets are kept as handovers.
#include "figstall/handover.h"

#include <catch2/catch.hpp>
#include <random>

#include "figstall/range_table.h"

namespace figstall {
namespace {

std::optional<HandoverFault> FaultOf(const std::string& text) {
  const auto parsed = Handover::Parse(text);
  const auto* fault = std::get_if<HandoverFault>(&parsed);
  return fault ? std::optional(*fault) : std::nullopt;
}

// A table whose entries in turn have this handover and none.
RangeTable TableWith(const Handover& handover, const std::string& zone) {
  constexpr std::uint32_t kEntries = 4;
  constexpr std::uint32_t kKeys = kKeySpaceSize / kEntries;
  RangeTable table;
  table.last_fence = 7;
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    RangeEntry entry;
    entry.range = {static_cast<ShardKey>(i * kKeys),
                   static_cast<ShardKey>((i + 1) * kKeys - 1)};
    entry.owner = {TargetId(zone), 1};
    entry.address = {"127.0.0.1", 80};
    entry.zone = ZoneId(zone);
    entry.fence = i;
    if (i % 2 == 0)
      entry.handover = handover;
    table.entries.push_back(std::move(entry));
  }
  return table;
}

void CheckReadBack(const RangeTable& table) {
  const std::string text = EncodeRangeTable(table);
  RangeTableReader reader;
  for (int i = 0; i < 2; ++i) {
    const RangeTable read =
        HandleError([&] { return reader.Read(text, "test"); },
                    [](const Error& error) -> RangeTable {
                      FAIL(error.message);
                      return {};
                    });
    CHECK(read == table);
  }
}

}  // namespace

TEST_CASE("handovers that JSON cannot hold are faults") {
  CHECK(FaultOf("5c0e7a21d94b36f8") == std::nullopt);
  CHECK(FaultOf("") == std::nullopt);
  CHECK(FaultOf("na\xc3\xafve") == std::nullopt);
  CHECK(FaultOf(std::string(Handover::kMaxBytes, 'x')) == std::nullopt);
  CHECK(FaultOf(std::string(Handover::kMaxBytes + 1, 'x')) ==
        HandoverFault::kTooLong);
  for (const char* text : {"5c0e7a21d94b36f\xe9", "\xff", "\xc3", "\xc0\xaf",
                           "\xed\xa0\x80", "\xf5\x80\x80\x80"})
    CHECK(FaultOf(text) == HandoverFault::kNotUtf8);
}

// Guards against a text of a target that makes the table of a whole service
// unreadable (review/8).
TEST_CASE("a table reads back whatever its handovers and zones contain") {
  const auto text =
      GENERATE(as<std::string>(), "],[", "a\"],[\"b", "\\", "\\\"", "]}",
               "\"ranges\":[", "[[", "\t", "na\xc3\xafve");
  INFO(text);
  const auto handover = Handover::Parse(text);
  CheckReadBack(TableWith(std::get<Handover>(handover), "north-a"));
  CheckReadBack(TableWith(Handover(), text));
}

// The same for bytes at random.
TEST_CASE("every text is kept as a handover that reads back, or is a fault") {
  std::mt19937 random(8);
  int kept = 0;
  for (int i = 0; i < 2'000; ++i) {
    std::string text(random() % 20, '\0');
    const unsigned last_byte = random() % 2 == 0 ? 0x7f : 0xff;
    for (char& each : text)
      each = static_cast<char>(random() % (last_byte + 1));
    const auto parsed = Handover::Parse(text);
    const auto* handover = std::get_if<Handover>(&parsed);
    if (!handover)
      continue;
    ++kept;
    CHECK(handover->text() == text);
    CheckReadBack(TableWith(*handover, "north-a"));
  }
  CHECK(kept > 900);
}

}  // namespace figstall
