// The regions in which the requests of a route or of a client account may be
// served.
#ifndef FIGSTALL_ALLOWED_REGIONS_H_
#define FIGSTALL_ALLOWED_REGIONS_H_

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "figstall/records.h"

namespace figstall {

// Either unrestricted or a set of regions, which may be empty: then no target
// may serve the request.
class AllowedRegions {
 public:
  // Unrestricted.
  AllowedRegions() = default;
  // An empty list of an operator means no restriction.
  static AllowedRegions FromList(std::set<RegionId> regions) {
    AllowedRegions allowed;
    if (!regions.empty())
      allowed.regions_ = std::move(regions);
    return allowed;
  }

  bool restricted() const { return regions_.has_value(); }
  bool none() const { return regions_ && regions_->empty(); }
  bool Allows(const RegionId& region) const {
    return !regions_ || regions_->contains(region);
  }
  // Null if unrestricted.
  const std::set<RegionId>* regions() const {
    return regions_ ? &*regions_ : nullptr;
  }

  // What both allow.
  friend AllowedRegions Intersect(const AllowedRegions& a,
                                  const AllowedRegions& b) {
    if (!a.regions_ || !b.regions_)
      return a.regions_ ? a : b;
    AllowedRegions both;
    both.regions_.emplace();
    std::set_intersection(a.regions_->begin(), a.regions_->end(),
                          b.regions_->begin(), b.regions_->end(),
                          std::inserter(*both.regions_, both.regions_->end()));
    return both;
  }

  friend bool operator==(const AllowedRegions&,
                         const AllowedRegions&) = default;

 private:
  // None if unrestricted.
  std::optional<std::set<RegionId>> regions_;
};

}  // namespace figstall

#endif  // FIGSTALL_ALLOWED_REGIONS_H_
