// What operators want of the entry VMs: routes by host and path prefix, the
// services behind them and what callers may send. Values are immutable.
#ifndef FIGSTALL_DESIRED_STATE_H_
#define FIGSTALL_DESIRED_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figstall/types.h"

namespace figstall {

struct WeightedService {
  ServiceId service;
  // Share of the route's requests, relative to the other weights.
  double weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

struct IngressRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // Never empty.
  std::vector<WeightedService> services;
  // Whether a request may run more than once.
  bool idempotent = false;
  // Large answers, which stay in their region.
  bool bulk = false;
  // Longest time a request is kept waiting.
  Duration request_timeout{0};
  // Within this an answer is worth most.
  Duration latency_objective{0};
  // Most targets that one request may be sent to.
  std::uint32_t attempts = 1;
  // Rank; 0 is served first.
  std::uint32_t priority = 0;

  friend bool operator==(const IngressRoute&, const IngressRoute&) = default;
};

struct TargetService {
  ServiceId id;
  // Connections that one target accepts from all callers.
  std::uint32_t max_connections = 0;
  // Each key belongs to one target at a time.
  bool keyed = false;

  friend bool operator==(const TargetService&, const TargetService&) = default;
};

struct CallerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 67'108'864;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct DesiredState {
  // Only rises within one run of a process.
  std::uint64_t version = 0;
  std::vector<IngressRoute> routes;
  std::map<ServiceId, TargetService> services;
  CallerLimits limits;

  friend bool operator==(const DesiredState&, const DesiredState&) = default;
};

// Finds the route of a request: the longest prefix of its host that begins its
// path. Costs one look-up for each slash of the path.
class RouteIndex {
 public:
  explicit RouteIndex(DesiredState state);

  // Null if no route matches. `host` may carry a port.
  const IngressRoute* Find(std::string_view host, std::string_view path) const;
  const TargetService* FindService(const ServiceId& id) const;
  const DesiredState& state() const { return state_; }

 private:
  const DesiredState state_;
  // Host, a space, prefix.
  std::unordered_map<std::string, const IngressRoute*> by_prefix_;
};

// Spreads a route's requests over its services in the proportions of the
// weights, by smooth weighted round robin: each run of requests is split
// evenly.
class WeightedRoundRobin {
 public:
  // Takes the next service. `services` must not be empty.
  const ServiceId& Next(const std::vector<WeightedService>& services);

 private:
  std::map<ServiceId, double> credit_;
};

}  // namespace figstall

#endif  // FIGSTALL_DESIRED_STATE_H_
