// Load of a keyed service by key, as the members' requests show it. A value
// type that answers for any range of keys in constant time.
#ifndef FIGSTALL_RANGE_LOAD_H_
#define FIGSTALL_RANGE_LOAD_H_

#include <cstddef>
#include <vector>

#include "figstall/range_table.h"

namespace figstall {

class RangeLoad {
 public:
  // No samples: the load of a range is its share of the key space.
  RangeLoad() = default;
  // `parts`: busy seconds per second at a target of mean speed, for each of the
  // equal parts of the key space. Their number divides kKeySpaceSize.
  explicit RangeLoad(std::vector<double> parts);

  bool empty() const { return parts_.empty(); }
  const std::vector<double>& parts() const { return parts_; }
  // Keys in each part.
  std::uint32_t PartSize() const {
    return kKeySpaceSize / static_cast<std::uint32_t>(parts_.size());
  }
  KeyRange PartRange(std::size_t part) const;
  // Load of a range. Its share of the key space is added to the samples, for
  // requests that they missed.
  double Of(const KeyRange& range) const;

  friend bool operator==(const RangeLoad&, const RangeLoad&) = default;

 private:
  // Load of all keys below `key`.
  double LoadBelow(std::uint32_t key) const;

  std::vector<double> parts_;
  // Sum of all parts before each part, and of all parts at the end.
  std::vector<double> sums_;
};

}  // namespace figstall

#endif  // FIGSTALL_RANGE_LOAD_H_
