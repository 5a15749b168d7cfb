// Implements the mapping of keys and partitions.
#include "figstall/partition.h"

#include <xxhash.h>

namespace figstall {

std::uint32_t PartitionOf(std::string_view key, std::uint32_t partitions) {
  const std::uint64_t hash = XXH3_64bits(key.data(), key.size());
  return static_cast<std::uint32_t>(hash & (partitions - 1));
}

std::vector<std::uint16_t> HomeZones(std::uint32_t partitions,
                                     std::span<const HomeWeight> zones) {
  double total = 0;
  for (const HomeWeight& zone : zones)
    total += zone.weight;
  std::vector<std::uint16_t> homes(partitions, 0);
  std::vector<double> credit(zones.size(), 0.0);
  // Smooth weighted round robin: the zone that lags furthest takes the next.
  for (std::uint16_t& home : homes) {
    for (std::size_t z = 0; z < zones.size(); ++z)
      credit[z] += zones[z].weight;
    std::size_t best = 0;
    for (std::size_t z = 1; z < zones.size(); ++z) {
      if (credit[z] > credit[best])
        best = z;
    }
    credit[best] -= total;
    home = static_cast<std::uint16_t>(best);
  }
  return homes;
}

}  // namespace figstall
