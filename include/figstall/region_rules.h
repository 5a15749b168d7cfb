// Which regions a desired state allows for a request, and what an operator
// should know about the regions that a desired state names.
//
// Answers the load of requests that must not leave their region: a target that
// may not serve them is no candidate, however idle it is.
#ifndef FIGSTALL_REGION_RULES_H_
#define FIGSTALL_REGION_RULES_H_

#include <set>
#include <string>
#include <vector>

#include "figstall/allowed_regions.h"
#include "figstall/desired_state.h"

namespace figstall {

// What the route and all named accounts allow. `route` may be null; an account
// that the desired state doesn't list has no restriction.
AllowedRegions RegionsForRequest(const DesiredState& state,
                                 const IngressRoute* route,
                                 const std::vector<AccountId>& accounts);

// A region that a route or an account allows but that has no zone. Requests
// confined to it are refused; nothing else is affected.
struct UnknownRegion {
  // One of them is set.
  const IngressRoute* route = nullptr;
  const ClientAccount* account = nullptr;
  RegionId region;
};

// `known`: the regions of the deployment. The pointers point into `state`.
std::vector<UnknownRegion> FindUnknownRegions(const DesiredState& state,
                                              const std::set<RegionId>& known);

// The accounts whose requests on a route no target may serve, since the route
// and the account have no region in common.
struct DisjointRegions {
  const IngressRoute* route = nullptr;
  std::vector<const ClientAccount*> accounts;
};

std::vector<DisjointRegions> FindDisjointRegions(const DesiredState& state);

// "north,south", or "any" if unrestricted and "none" if empty.
std::string ToString(const AllowedRegions& regions);

}  // namespace figstall

#endif  // FIGSTALL_REGION_RULES_H_
