// Keeps the running sums of the parts, so that the load of a range is the
// difference of two of them.
#include "figstall/range_load.h"

namespace figstall {
namespace {

// Load that is spread evenly over the key space in addition to the samples, as
// a share of the total load.
constexpr double kUnsampledShare = 0.02;

}  // namespace

RangeLoad::RangeLoad(std::vector<double> parts) : parts_(std::move(parts)) {
  sums_.reserve(parts_.size() + 1);
  sums_.push_back(0);
  for (const double part : parts_)
    sums_.push_back(sums_.back() + part);
}

KeyRange RangeLoad::PartRange(std::size_t part) const {
  const auto first = static_cast<std::uint32_t>(part) * PartSize();
  return {static_cast<ShardKey>(first),
          static_cast<ShardKey>(first + PartSize() - 1)};
}

double RangeLoad::LoadBelow(std::uint32_t key) const {
  const std::uint32_t size = PartSize();
  const std::uint32_t part = key / size;
  const std::uint32_t rest = key % size;
  return rest == 0 ? sums_[part] : sums_[part] + parts_[part] * rest / size;
}

double RangeLoad::Of(const KeyRange& range) const {
  const double key_share = static_cast<double>(range.size()) / kKeySpaceSize;
  if (parts_.empty())
    return key_share;
  return LoadBelow(std::uint32_t{range.last} + 1) - LoadBelow(range.first) +
         key_share * kUnsampledShare * sums_.back();
}

}  // namespace figstall
