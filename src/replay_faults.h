// Traces: read from files, drawn from seeds, and shortened when they break
// something.
#ifndef FIGSTALL_SRC_REPLAY_FAULTS_H_
#define FIGSTALL_SRC_REPLAY_FAULTS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "replay_deployment.h"

namespace figstall::replay {

struct Trace {
  nlohmann::json world;
  std::vector<nlohmann::json> events;
  nlohmann::json expect;
  Instant end{};
};

// Throws std::runtime_error naming the line at fault.
Trace ReadTrace(const std::string& path);
std::vector<std::string> Lines(const Trace& trace);

nlohmann::json RecordsForTrace(const nlohmann::json& world);
DeploymentOptions OptionsFor(const nlohmann::json& world, Mutation mutation);

// Faults drawn from a seed, alone, in pairs and overlapping, under load.
Trace GenerateTrace(std::uint64_t seed, const std::string& shape);

// Runs a trace; empty if nothing that must hold was broken.
std::string FirstViolation(const Trace& trace, Mutation mutation);

// Leaves out events as long as what remains still breaks something.
Trace ShrinkTrace(const Trace& trace, Mutation mutation);

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_FAULTS_H_
