// Settings of figstall-entry, one JSON file.
#ifndef FIGSTALL_ENTRY_SETTINGS_H_
#define FIGSTALL_ENTRY_SETTINGS_H_

#include <map>
#include <string>

#include "figstall/error.h"
#include "figstall/range_granter.h"
#include "figstall/records.h"
#include "figstall/settings.h"
#include "figstall/shared_retry_budget.h"

namespace figstall {

struct EntrySettings {
  VmId vm;
  ZoneId zone;
  RegionId region;
  Endpoint callers;
  // Readiness for the balancer, and status.
  Endpoint ready;
  // Metrics for operators.
  Endpoint metrics;
  // Messages of other members, by UDP.
  Endpoint peers;
  Endpoint store;
  std::map<ZoneId, RegionId> regions;
  LogSettings log;
  GrantTiming grants;
  RetryBudgetOptions retries;
  // Cores that the process may use, or fewer if its link could not feed them.
  double capacity = 1;
  // A leaving target gets no request this long after its word was accepted.
  Duration drain_duration = std::chrono::seconds(2);
  // From SIGTERM until the process is killed.
  Duration stop_grace = std::chrono::seconds(6);
};

Result<EntrySettings> ReadEntrySettings(const std::string& path);

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_SETTINGS_H_
