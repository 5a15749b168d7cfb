// Implements route lookup and smooth weighted round robin.
#include "figstall/desired_state.h"

#include <algorithm>
#include <cctype>

namespace figstall {
namespace {

std::string NormalizeHost(std::string_view host) {
  std::string lowercase(host.substr(0, host.find(':')));
  std::transform(lowercase.begin(), lowercase.end(), lowercase.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lowercase;
}

}  // namespace

RouteIndex::RouteIndex(DesiredState state) : state_(std::move(state)) {
  routes_by_host_and_prefix_.reserve(state_.routes.size());
  for (const IngressRoute& route : state_.routes)
    routes_by_host_and_prefix_[NormalizeHost(route.host) + " " + route.prefix] =
        &route;
}

const IngressRoute* RouteIndex::Find(std::string_view host,
                                     std::string_view path) const {
  path = path.substr(0, path.find('?'));
  std::string key = NormalizeHost(host) + " ";
  const std::size_t begin = key.size();
  key += path;
  for (std::size_t end = key.rfind('/');
       end != std::string::npos && end >= begin; end = key.rfind('/')) {
    key.resize(end + 1);
    const auto found = routes_by_host_and_prefix_.find(key);
    if (found != routes_by_host_and_prefix_.end())
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
  double total_weight = 0;
  const WeightedService* best = nullptr;
  double best_weight = 0;
  for (const WeightedService& candidate : services) {
    double& current_weight = current_weights_[candidate.service];
    current_weight += candidate.weight;
    total_weight += candidate.weight;
    if (!best || current_weight > best_weight) {
      best = &candidate;
      best_weight = current_weight;
    }
  }
  current_weights_[best->service] -= total_weight;
  return best->service;
}

}  // namespace figstall
