// Placement policies, which choose the live target that owns each partition.
// The leader uses IncrementalRebalance; the others are baselines for
// comparison.
#ifndef FIGSTALL_PLACEMENT_H_
#define FIGSTALL_PLACEMENT_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace figstall {

// Index of a target within the candidate list given to a policy.
using TargetIndex = std::uint32_t;

struct PlacementTarget {
  // Stable identity that hash-based policies use.
  std::uint64_t id = 0;
  // Share of the load relative to the other targets; a target with capacity 0
  // receives no partitions.
  double capacity = 1.0;

  friend auto operator<=>(const PlacementTarget&,
                          const PlacementTarget&) = default;
};

using Assignment = std::vector<std::optional<TargetIndex>>;

// A policy turns the current assignment into the next one. A partition whose
// owner is gone has no value in `current`. `weights` holds the load of each
// partition; if it is empty, all loads are equal.
template <typename P>
concept PlacementPolicy = requires(const P policy,
                                   std::span<const PlacementTarget> targets,
                                   const Assignment& current,
                                   std::span<const double> weights) {
  { policy.Place(targets, current, weights) } -> std::same_as<Assignment>;
};

// Assigns partition p to the live target with index p modulo their number;
// ignores capacity.
struct ModuloHash {
  Assignment Place(std::span<const PlacementTarget> targets,
                   const Assignment& current,
                   std::span<const double> weights) const;
};

// Weighted rendezvous hashing (Thaler and Ravishankar 1998, weights by the
// logarithmic method of Schindelhauer and Schomaker 2005).
struct WeightedRendezvous {
  Assignment Place(std::span<const PlacementTarget> targets,
                   const Assignment& current,
                   std::span<const double> weights) const;
};

// Rendezvous order with a cap of `max_load_ratio` times each target's fair
// share, after consistent hashing with bounded loads (Mirrokni, Thorup,
// Zadimoghaddam 2018).
struct BoundedRendezvous {
  double max_load_ratio = 1.1;
  Assignment Place(std::span<const PlacementTarget> targets,
                   const Assignment& current,
                   std::span<const double> weights) const;
};

// Keeps each partition at its owner unless the owner is gone or carries more
// than `max_load_ratio` times its fair share, or another target carries less
// than its fair share divided by `max_load_ratio`. Moves only as many
// partitions as restore these bounds.
struct IncrementalRebalance {
  double max_load_ratio = 1.1;
  Assignment Place(std::span<const PlacementTarget> targets,
                   const Assignment& current,
                   std::span<const double> weights) const;
};

}  // namespace figstall

#endif  // FIGSTALL_PLACEMENT_H_
