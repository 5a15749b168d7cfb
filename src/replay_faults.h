// Reads traces from files, generates them from seeds, and removes events from a
// trace that violates an invariant.
#ifndef FIGSTALL_SRC_REPLAY_FAULTS_H_
#define FIGSTALL_SRC_REPLAY_FAULTS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "replay_deployment.h"

namespace figstall::replay {

// The JSON lines of a trace: the deployment and network to simulate (`world`),
// the events in virtual time, and bounds of the results (`expect`).
struct Trace {
  nlohmann::json world;
  std::vector<nlohmann::json> events;
  nlohmann::json expect;
  Instant end{};
};

// Throws std::runtime_error, which names the line if its JSON is invalid.
Trace ReadTrace(const std::string& path);
// Returns the lines of a file that ReadTrace() reads back.
std::vector<std::string> SerializeTrace(const Trace& trace);

nlohmann::json RecordsForTrace(const nlohmann::json& world);
DeploymentOptions OptionsForTrace(const nlohmann::json& world,
                                  Mutation mutation);

// Generates a trace from a seed: request load on each service and random
// faults, which occur alone, in pairs or overlapping.
Trace GenerateTrace(std::uint64_t seed, const std::string& shape);

// Runs a trace until the first violation and returns it, or an empty string if
// there is none.
std::string FirstViolation(const Trace& trace, Mutation mutation);

// Removes each event without which the trace still violates an invariant.
Trace ShrinkTrace(const Trace& trace, Mutation mutation);

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_FAULTS_H_
