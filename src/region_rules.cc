// Pure functions of a desired state; the request and the log are elsewhere.
#include "figstall/region_rules.h"

namespace figstall {
namespace {

template <typename Add>
void ForEachUnknown(const AllowedRegions& allowed,
                    const std::set<RegionId>& known,
                    Add add) {
  if (!allowed.restricted())
    return;
  for (const RegionId& region : *allowed.regions()) {
    if (!known.contains(region))
      add(region);
  }
}

}  // namespace

AllowedRegions RegionsForRequest(const DesiredState& state,
                                 const IngressRoute* route,
                                 const std::vector<AccountId>& accounts) {
  AllowedRegions allowed = route ? route->allowed_regions : AllowedRegions();
  for (const AccountId& id : accounts) {
    const auto account = state.accounts.find(id);
    if (account != state.accounts.end())
      allowed = Intersect(allowed, account->second.allowed_regions);
  }
  return allowed;
}

std::vector<UnknownRegion> FindUnknownRegions(const DesiredState& state,
                                              const std::set<RegionId>& known) {
  std::vector<UnknownRegion> unknown;
  for (const IngressRoute& route : state.routes) {
    ForEachUnknown(route.allowed_regions, known, [&](const RegionId& region) {
      unknown.push_back({&route, nullptr, region});
    });
  }
  for (const auto& item : state.accounts) {
    const ClientAccount& account = item.second;
    ForEachUnknown(account.allowed_regions, known, [&](const RegionId& region) {
      unknown.push_back({nullptr, &account, region});
    });
  }
  return unknown;
}

std::vector<DisjointRegions> FindDisjointRegions(const DesiredState& state) {
  std::vector<DisjointRegions> all;
  for (const IngressRoute& route : state.routes) {
    DisjointRegions found{&route, {}};
    for (const auto& [id, account] : state.accounts) {
      if (Intersect(route.allowed_regions, account.allowed_regions).none())
        found.accounts.push_back(&account);
    }
    if (!found.accounts.empty())
      all.push_back(std::move(found));
  }
  return all;
}

std::string ToString(const AllowedRegions& regions) {
  if (!regions.restricted())
    return "any";
  std::string text;
  for (const RegionId& region : *regions.regions())
    text.append(text.empty() ? "" : ",").append(region.value());
  return text.empty() ? "none" : text;
}

}  // namespace figstall
