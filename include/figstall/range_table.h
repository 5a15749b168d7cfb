// The table of a service's key ranges: the owner of each range and its fencing
// token. The store holds one table per service, which is changed by
// compare-and-swap.
#ifndef FIGSTALL_RANGE_TABLE_H_
#define FIGSTALL_RANGE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstall/error.h"
#include "figstall/handover.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

using ShardKey = std::uint16_t;
inline constexpr std::uint32_t kKeySpaceSize = 65'536;

// Includes both ends.
struct KeyRange {
  ShardKey first = 0;
  ShardKey last = 0;

  std::uint32_t size() const { return std::uint32_t{last} - first + 1; }
  bool Contains(ShardKey key) const { return first <= key && key <= last; }
  friend auto operator<=>(const KeyRange&, const KeyRange&) = default;
};

enum class RangePhase {
  // The owner holds the range, or any member may grant it to the owner.
  kSettled,
  // No member grants the range; the mover asks the owner to release it.
  kMoving,
  // As kMoving; in addition, members whose reports the mover has not received
  // write them to the store.
  kAwaitingReports,
};

struct RangeEntry {
  KeyRange range;
  TargetIncarnation owner;
  // The owner's address and zone, kept here so that an owner that has left the
  // directory can still be asked to release the range.
  Endpoint address;
  ZoneId zone;
  // Fencing token under which the owner holds the range. While the range moves,
  // the token of the release request; the next owner is then granted the range
  // under the same token.
  std::uint64_t fence = 0;
  RangePhase phase = RangePhase::kSettled;
  // From the previous owner's release; passed on with grants to the next owner.
  Handover handover;

  friend bool operator==(const RangeEntry&, const RangeEntry&) = default;
};

struct RangeTable {
  // Highest fencing token issued so far; it never decreases.
  std::uint64_t last_fence = 0;
  // Sorted by key, without gaps or overlaps; empty until the first assignment.
  std::vector<RangeEntry> entries;

  // Returns the entry that contains `key`, or null if nothing is assigned.
  const RangeEntry* Find(ShardKey key) const;
  friend bool operator==(const RangeTable&, const RangeTable&) = default;
};

std::string EncodeRangeTable(const RangeTable& table);
Result<RangeTable> DecodeRangeTable(const std::string& text,
                                    const std::string& source);

// Decodes successive versions of one table; rows that did not change are not
// decoded again. Accepts exactly what DecodeRangeTable accepts.
class RangeTableReader {
 public:
  Result<RangeTable> Read(const std::string& text, const std::string& source);

 private:
  // Rows of the previous table, keyed by their text.
  std::unordered_map<std::string, RangeEntry> decoded_rows_;
};

// Splits the entry that contains the key `boundary` so that an entry begins
// there. Does nothing if one begins there already or `boundary` is past the
// end.
void SplitAt(RangeTable& table, std::uint32_t boundary);
// Merges adjacent settled entries with the same owner, fencing token and
// handover.
void MergeAdjacentRanges(RangeTable& table);

}  // namespace figstall

#endif  // FIGSTALL_RANGE_TABLE_H_
