// Settings of figstall-entry, read from one JSON file.
#ifndef FIGSTALL_ENTRY_SETTINGS_H_
#define FIGSTALL_ENTRY_SETTINGS_H_

#include <map>
#include <optional>
#include <string>

#include "figstall/error.h"
#include "figstall/range_granter.h"
#include "figstall/records.h"
#include "figstall/settings.h"
#include "figstall/shared_retry_budget.h"

namespace figstall {

// Bounds on the requests to a target that is warming up: in any second, its
// warm-up rate x `overshoot` + `slack`, summed over all entries.
struct WarmUpBounds {
  double overshoot = 1;
  double slack = 0;

  friend bool operator==(const WarmUpBounds&, const WarmUpBounds&) = default;
};

struct EntrySettings {
  VmId vm;
  ZoneId zone;
  RegionId region;
  Endpoint callers;
  // Serves readiness, for the load balancer, and status.
  Endpoint ready;
  // Serves metrics to operators.
  Endpoint metrics;
  // Receives messages of other members: reports and limits by UDP, store
  // updates by TCP.
  Endpoint peers;
  Endpoint store;
  std::map<ZoneId, RegionId> regions;
  LogSettings log;
  // Whether the whole system starts for the first time.
  bool first_start = true;
  GrantTiming grant_timing;
  RetryBudgetOptions retries;
  // Cores that the process may use, or fewer if its network link is too slow to
  // keep them busy.
  double capacity_cores = 1;
  // Bytes that are kept of all callers' requests together.
  std::size_t max_request_bytes = 0;
  // A leaving target may get requests for this long after the store accepted
  // its leaving state.
  Duration drain_duration = std::chrono::seconds(2);
  // Longest time from the confirmation of a desired state until all entries in
  // touch apply it, beside a disturbance of the store.
  Duration max_version_delay = std::chrono::seconds(7);
  // None if the deployment does not limit requests to targets that warm up.
  std::optional<WarmUpBounds> warm_up;
  // Time from the store's acknowledgement of an evacuation after which nothing
  // may reach a target of the zone. None if the deployment evacuates no zones.
  std::optional<Duration> evacuation_limit;
  // Time from SIGTERM until the process is killed.
  Duration stop_grace = std::chrono::seconds(6);
};

Result<EntrySettings> ReadEntrySettings(const std::string& path);

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_SETTINGS_H_
