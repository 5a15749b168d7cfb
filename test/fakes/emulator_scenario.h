// A scenario of the emulator: the targets, the traffic of each route, and
// faults that start at given times.
#ifndef FIGSTALL_TEST_FAKES_EMULATOR_SCENARIO_H_
#define FIGSTALL_TEST_FAKES_EMULATOR_SCENARIO_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "emulated_target.h"
#include "figstall/error.h"

namespace figstall::detail {

struct ScenarioTraffic {
  std::string name;
  std::string host;
  std::string prefix;
  bool idempotent = true;
  bool keyed = false;
  // Callers send requests on connections that they keep open.
  bool keeps_connections = false;
  // Share of the callers that read slowly, and how fast these read.
  double slow_reader_share = 0;
  double slow_bytes_per_second = 0;
  double requests_per_second = 1;
  // Of each request that is not idempotent; 0 for a short one.
  std::size_t request_body_bytes = 0;
  // Body size of each response with status 200.
  std::size_t response_bytes = 0;
  Duration deadline{0};
};

struct ScenarioFault {
  // Since the start of the traffic.
  Duration start_offset{0};
  Duration duration{0};
  std::string kind;
  // Indices into Scenario::targets; empty for faults of the store.
  std::vector<std::size_t> targets;
  // Share of requests that a target-garble fault breaks off.
  double abort_ratio = 0;
  // Of target-limit: requests per second. Of target-retry-after: seconds.
  double value = 0;
  // Of target-stopped: whether the target's entry stays in the store.
  bool keeps_entry = false;
  // Of zone-evacuated.
  std::string zone;
  // Index into Scenario::entries, for faults of an entry.
  std::size_t entry = 0;
  // Of desired-state: the limits that change, the timeout of all routes, the
  // number of routes without traffic, and the number of versions written, the
  // last of which stays.
  nlohmann::json limits;
  std::optional<double> timeout_s;
  int more_routes = 0;
  int versions = 1;
};

struct Scenario {
  // Boot clock; empty: when the emulator has started.
  std::optional<Instant> begins_at;
  // From the start of the store and the targets to the start of the traffic.
  Duration startup_delay{0};
  // Of the traffic.
  Duration duration{0};
  // The store's address for each entry, so that it can tell them apart.
  std::vector<Endpoint> stores;
  std::vector<Endpoint> entries;
  std::vector<EmulatedTargetOptions> targets;
  std::vector<ScenarioTraffic> traffic;
  // Sorted by start_offset.
  std::vector<ScenarioFault> faults;
  // The JSON that operators would write to the store.
  nlohmann::json desired_state;
};

// Reads and checks a scenario. The error lists every finding with its place in
// the file.
Result<Scenario> ReadScenario(const std::string& path);

// The parameters of a URL query by name, with percent-encoding of the values
// decoded.
std::map<std::string, std::string> ParseQuery(const std::string& query);

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATOR_SCENARIO_H_
