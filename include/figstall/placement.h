// Placement policies: which live target owns which partition. The one in use
// is IncrementalRebalance; the others are the baselines it is measured against.
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
  // Share of load relative to the others; a target with 0 takes nothing.
  double capacity = 1.0;

  friend auto operator<=>(const PlacementTarget&,
                          const PlacementTarget&) = default;
};

using Assignment = std::vector<std::optional<TargetIndex>>;

// A policy turns the current assignment (empty where the owner is gone) into
// the next one. Weights are the load of each partition, or empty for equal.
template <typename P>
concept PlacementPolicy = requires(const P policy,
                                   std::span<const PlacementTarget> targets,
                                   const Assignment& current,
                                   std::span<const double> weights) {
  { policy.Place(targets, current, weights) } -> std::same_as<Assignment>;
};

// partition mod number of live targets; ignores capacity.
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

// Keeps every partition where it is unless its owner is gone or holds more
// than `max_load_ratio` times its fair share; moves the fewest that restore the
// bound.
struct IncrementalRebalance {
  double max_load_ratio = 1.1;
  Assignment Place(std::span<const PlacementTarget> targets,
                   const Assignment& current,
                   std::span<const double> weights) const;
};

}  // namespace figstall

#endif  // FIGSTALL_PLACEMENT_H_
