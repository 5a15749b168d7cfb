// Maps keys to partitions and partitions to their home availability zones.
#ifndef FIGSTALL_PARTITION_H_
#define FIGSTALL_PARTITION_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "figstall/types.h"

namespace figstall {

// The partition of `key` among `partitions`, which must be a power of two.
std::uint32_t PartitionOf(std::string_view key, std::uint32_t partitions);

struct HomeWeight {
  ZoneId zone;
  double weight = 1.0;

  friend auto operator<=>(const HomeWeight&, const HomeWeight&) = default;
};

// Home zone of each partition as an index into `zones`. The result depends only
// on the service's record, so that every process computes the same one. The
// number of partitions of each zone is within one of its weighted share.
std::vector<std::uint16_t> HomeZones(std::uint32_t partitions,
                                     std::span<const HomeWeight> zones);

}  // namespace figstall

#endif  // FIGSTALL_PARTITION_H_
