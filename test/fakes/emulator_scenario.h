// What the emulator runs: targets, routes, callers and faults at set times.
#ifndef FIGSTALL_TEST_FAKES_EMULATOR_SCENARIO_H_
#define FIGSTALL_TEST_FAKES_EMULATOR_SCENARIO_H_

#include <map>
#include <nlohmann/json.hpp>
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
  double per_second = 1;
  Duration deadline{0};
};

struct ScenarioFault {
  Duration start_offset{0};
  Duration duration{0};
  std::string kind;
  // Indices of targets; empty for faults of the store.
  std::vector<std::size_t> targets;
  double strength = 0;
};

struct Scenario {
  Duration startup_delay{0};
  Duration duration{0};
  Endpoint store;
  std::vector<Endpoint> entries;
  std::vector<EmulatedTargetOptions> targets;
  std::vector<ScenarioTraffic> traffic;
  // In order of time.
  std::vector<ScenarioFault> faults;
  // As operators write it.
  nlohmann::json desired_state;
};

// Every finding is reported with its place.
Result<Scenario> ReadScenario(const std::string& path);

// The parts of a query, decoded.
std::map<std::string, std::string> ParseQuery(const std::string& query);

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATOR_SCENARIO_H_
