// Which target owns which range of keys of one service, under which fencing
// token. One value in the store for each service, changed by compare-and-swap.
#ifndef FIGSTALL_RANGE_TABLE_H_
#define FIGSTALL_RANGE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstall/error.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

using ShardKey = std::uint16_t;
inline constexpr std::uint32_t kKeySpaceSize = 65'536;

// Both ends belong to the range.
struct KeyRange {
  ShardKey first = 0;
  ShardKey last = 0;

  std::uint32_t size() const { return std::uint32_t{last} - first + 1; }
  bool Contains(ShardKey key) const { return first <= key && key <= last; }
  friend auto operator<=>(const KeyRange&, const KeyRange&) = default;
};

enum class RangePhase {
  // The owner holds the range or may be granted it by anyone.
  kSettled,
  // Nobody grants it; the owner is asked to release it.
  kMoving,
  // As kMoving; members that the mover has not heard report through the store.
  kAwaitingReports,
};

struct RangeEntry {
  KeyRange range;
  TargetIncarnation owner;
  // Where the owner listens, and in which zone; kept so that an owner that has
  // left the directory can still be asked to release.
  Endpoint address;
  ZoneId zone;
  // Fencing token under which the owner holds the range; while moving, the
  // token of the release, which the next owner is granted as well.
  std::uint64_t fence = 0;
  RangePhase phase = RangePhase::kSettled;
  // What the last owner handed over, for the grant to the next; may be empty.
  std::string handover;

  friend bool operator==(const RangeEntry&, const RangeEntry&) = default;
};

struct RangeTable {
  // Highest fencing token ever given out; only rises.
  std::uint64_t last_fence = 0;
  // In order of keys, without gaps or overlaps; empty until first assigned.
  std::vector<RangeEntry> entries;

  // Null if nothing is assigned.
  const RangeEntry* Find(ShardKey key) const;
  friend bool operator==(const RangeTable&, const RangeTable&) = default;
};

std::string EncodeRangeTable(const RangeTable& table);
Result<RangeTable> DecodeRangeTable(const std::string& text,
                                    const std::string& source);

// Decodes one table again and again as it changes; rows that did not change are
// not decoded anew. Accepts just what DecodeRangeTable accepts.
class RangeTableReader {
 public:
  Result<RangeTable> Read(const std::string& text, const std::string& source);

 private:
  // Rows of the last table by their text.
  std::unordered_map<std::string, RangeEntry> rows_;
};

// Splits the entry that contains `cut` so that a range begins there.
void SplitAt(RangeTable& table, std::uint32_t cut);
// Joins neighbours that are settled at one owner under one fencing token.
void MergeAdjacentRanges(RangeTable& table);

}  // namespace figstall

#endif  // FIGSTALL_RANGE_TABLE_H_
