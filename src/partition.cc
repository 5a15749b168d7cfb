// The hash of keys and the distribution of partitions over home zones.
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
  // Smooth weighted round robin: each partition goes to the zone that is
  // furthest below its share.
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
