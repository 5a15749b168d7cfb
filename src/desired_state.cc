// Implements the look-up of routes and the spread over weighted services.
#include "figstall/desired_state.h"

#include <algorithm>
#include <cctype>

namespace figstall {
namespace {

std::string LowerHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

RouteIndex::RouteIndex(DesiredState state) : state_(std::move(state)) {
  for (const IngressRoute& route : state_.routes)
    by_prefix_[LowerHost(route.host) + " " + route.prefix] = &route;
}

const IngressRoute* RouteIndex::Find(std::string_view host,
                                     std::string_view path) const {
  path = path.substr(0, path.find('?'));
  std::string key = LowerHost(host) + " ";
  const std::size_t begin = key.size();
  key += path;
  for (std::size_t end = key.rfind('/');
       end != std::string::npos && end >= begin; end = key.rfind('/')) {
    key.resize(end + 1);
    const auto found = by_prefix_.find(key);
    if (found != by_prefix_.end())
      return found->second;
    key.resize(end);
  }
  return nullptr;
}

const TargetService* RouteIndex::FindService(const ServiceId& id) const {
  const auto found = state_.services.find(id);
  return found == state_.services.end() ? nullptr : &found->second;
}

const ServiceId& WeightedRoundRobin::Next(
    const std::vector<WeightedService>& services) {
  if (services.size() == 1)
    return services.front().service;
  double total = 0;
  const WeightedService* best = nullptr;
  double best_credit = 0;
  for (const WeightedService& each : services) {
    double& credit = credit_[each.service];
    credit += each.weight;
    total += each.weight;
    if (!best || credit > best_credit) {
      best = &each;
      best_credit = credit;
    }
  }
  credit_[best->service] -= total;
  return best->service;
}

}  // namespace figstall
