// The desired state that operators set for entry VMs: routes by host and path
// prefix, the services behind them and limits for callers. A published version
// is never modified.
#ifndef FIGSTALL_DESIRED_STATE_H_
#define FIGSTALL_DESIRED_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figstall/allowed_regions.h"
#include "figstall/types.h"

namespace figstall {

struct WeightedService {
  ServiceId service;
  // Share of the route's requests, relative to the weights of its other
  // services.
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
  // Whether a request may be executed more than once.
  bool idempotent = false;
  // Responses are large, so requests stay within the region of the entry VM.
  bool bulk = false;
  // Time limit of a request from its arrival. A caller may set a shorter one.
  Duration request_timeout{0};
  // Latency that the route aims at: a response within it has the highest value.
  Duration latency_objective{0};
  // Maximum number of targets that one request may be sent to.
  std::uint32_t attempts = 1;
  // Requests of a lower number are served first; 0 is the highest priority.
  std::uint32_t priority = 0;
  AllowedRegions allowed_regions;

  friend bool operator==(const IngressRoute&, const IngressRoute&) = default;
};

struct TargetService {
  ServiceId id;
  // Maximum number of connections that one target accepts from all its clients.
  std::uint32_t max_connections = 0;
  // Each key belongs to one target at a time.
  bool keyed = false;
  // A target warms up for this long after its start, and tolerates this many
  // requests per second meanwhile. Zero if the service states no such rate.
  Duration warm_up_time{0};
  double warm_up_rate = 0;

  friend bool operator==(const TargetService&, const TargetService&) = default;
};

using AccountId = StrongId<struct AccountTag>;

// A client account. Requests name theirs.
struct ClientAccount {
  AccountId id;
  AllowedRegions allowed_regions;

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

struct CallerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 67'108'864;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct DesiredState {
  // Never decreases within one run of a process: only a higher version replaces
  // the current one.
  std::uint64_t version = 0;
  std::vector<IngressRoute> routes;
  std::map<ServiceId, TargetService> services;
  std::map<AccountId, ClientAccount> accounts;
  CallerLimits limits;

  friend bool operator==(const DesiredState&, const DesiredState&) = default;
};

// Finds the route of a request: among the routes of its host, the one with the
// longest prefix of its path. Costs one hash lookup per slash in the path.
class RouteIndex {
 public:
  explicit RouteIndex(DesiredState state);

  // Null if no route matches. `host` may carry a port.
  const IngressRoute* Find(std::string_view host, std::string_view path) const;
  const TargetService* FindService(const ServiceId& id) const;
  const DesiredState& state() const { return state_; }

 private:
  const DesiredState state_;
  // The key is the lowercase host, a space and the path prefix.
  std::unordered_map<std::string, const IngressRoute*>
      routes_by_host_and_prefix_;
};

// Distributes a route's requests over its services in proportion to their
// weights, by smooth weighted round robin: any sequence of consecutive requests
// is distributed nearly in proportion, without bursts to one service.
class WeightedRoundRobin {
 public:
  // Returns the service for the next request. `services` must not be empty.
  const ServiceId& Next(const std::vector<WeightedService>& services);

 private:
  std::map<ServiceId, double> current_weights_;
};

}  // namespace figstall

#endif  // FIGSTALL_DESIRED_STATE_H_
