// The figstall-replay program: replays a recorded trace or randomly generated
// ones and checks the results.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>

#include "figstall/schema_check.h"
#include "process.h"
#include "replay_deployment.h"
#include "replay_faults.h"

namespace figstall::replay {
namespace {

using nlohmann::json;

constexpr const char* kUsage =
    R"(figstall-replay: replays recorded events against stated outcomes.

Usage:
  figstall-replay [--flaw NAME] [--json] [--decisions] TRACE
  figstall-replay --random N [--first SEED] [--shape NAME] [--flaw NAME]
  figstall-replay --help

TRACE holds JSON lines: first {"world": ...}, then events in virtual time, last
{"expect": ...}; docs/OPERATING.md names them all.

Options:
  --random N    Draws faults from N seeds instead of reading a trace. A seed
                that breaks something is shortened and printed as a trace.
  --first SEED  The first seed [default: 1].
  --shape NAME  caroni, umurage or small [default: small].
  --flaw NAME   Breaks a rule on purpose, to see that it is noticed; such a run
                succeeds only if something was broken.
  --json        Prints the measures as JSON.
  --decisions   Prints each decision of a steward and each slow request.

Exit status: 0 all expectations met, 1 something was broken, 2 a bad trace.
)";

json ResultsToJson(const RunMetrics& metrics, const InvariantChecker& checker) {
  const auto millis = [](Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  };
  json imbalance = json::object();
  for (const auto& [service, value] : metrics.imbalance)
    imbalance[service.value()] = value;
  return {{"violations", checker.violations()},
          {"outcomes", metrics.outcomes},
          {"churn", metrics.owner_changes},
          {"unavailable_ms", millis(metrics.longest_outage)},
          {"configuration_ms", millis(metrics.max_configuration_delay)},
          {"leaving_ms", millis(metrics.max_work_delay_after_leaving)},
          {"imbalance", imbalance}};
}

void PrintText(const json& results) {
  fmt::print("outcomes {}\n", results.at("outcomes").dump());
  fmt::print("imbalance {}\n", results.at("imbalance").dump());
  fmt::print("churn {} changes of owner\n", results.at("churn").dump());
  fmt::print("unavailable {} ms at most for a partition\n",
             results.at("unavailable_ms").dump());
  fmt::print("configuration in force after {} ms at most\n",
             results.at("configuration_ms").dump());
  fmt::print("violations {}\n", results.at("violations").size());
  for (const json& violation : results.at("violations"))
    fmt::print("  {}\n", violation.get<std::string>());
}

// Returns a line for each expectation that the results do not meet. The name of
// an expectation is that of a result or an outcome, followed by "_at_most" or
// "_at_least".
std::vector<std::string> UnmetExpectations(const json& expect,
                                           const json& results) {
  std::vector<std::string> unmet;
  for (const auto& [name, bound] : expect.items()) {
    const bool at_most = name.ends_with("_at_most");
    const bool at_least = name.ends_with("_at_least");
    if (!at_most && !at_least) {
      unmet.push_back("unknown expectation " + name);
      continue;
    }
    const std::string metric = name.substr(0, name.rfind("_at_"));
    const json* value = nullptr;
    if (results.contains(metric))
      value = &results.at(metric);
    const json& outcomes = results.at("outcomes");
    const json zero = 0;
    if (!value)
      value = outcomes.contains(metric) ? &outcomes.at(metric) : &zero;
    const bool met = at_most ? *value <= bound : *value >= bound;
    if (!met)
      unmet.push_back(
          fmt::format("{} is {}, but should be {} {}", metric, value->dump(),
                      at_most ? "at most" : "at least", bound.dump()));
  }
  return unmet;
}

int Replay(const std::string& path,
           Mutation mutation,
           bool as_json,
           bool print_decisions) {
  const Trace trace = ReadTrace(path);
  DeploymentOptions options = OptionsForTrace(trace.world, mutation);
  options.print_decisions = print_decisions;
  SimulatedDeployment deployment(RecordsForTrace(trace.world), options);
  for (const json& event : trace.events)
    deployment.Schedule(event);
  deployment.RunUntil(trace.end);
  const json results =
      ResultsToJson(deployment.CollectMetrics(), deployment.checker());
  if (as_json) {
    fmt::print("{}\n", results.dump(2));
  } else {
    PrintText(results);
  }
  if (mutation != Mutation::kNone) {
    const bool detected = !deployment.checker().violations().empty();
    fmt::print("the flaw was {}\n", detected ? "noticed" : "not noticed");
    return detected ? 0 : 1;
  }
  const std::vector<std::string> unmet =
      UnmetExpectations(trace.expect, results);
  for (const std::string& line : unmet)
    fmt::print("not met: {}\n", line);
  if (!unmet.empty())
    fmt::print("{}", deployment.DescribeLeaders());
  return unmet.empty() && deployment.checker().violations().empty() ? 0 : 1;
}

int RunRandomTraces(std::uint64_t first,
                    std::uint64_t count,
                    const std::string& shape,
                    Mutation mutation) {
  std::uint64_t violating_seeds = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const Trace trace = GenerateTrace(seed, shape);
    const std::string violation = FirstViolation(trace, mutation);
    if (violation.empty())
      continue;
    ++violating_seeds;
    fmt::print("seed {}: {}\n", seed, violation);
    if (mutation != Mutation::kNone)
      break;
    for (const std::string& line : SerializeTrace(ShrinkTrace(trace, mutation)))
      fmt::print("{}\n", line);
  }
  fmt::print("{} of {} seeds from {} on violated an invariant\n",
             violating_seeds, count, first);
  const bool expected = mutation != Mutation::kNone;
  return (violating_seeds > 0) == expected ? 0 : 1;
}

}  // namespace
}  // namespace figstall::replay

int main(int argc, char** argv) {
  using namespace figstall;
  using namespace figstall::replay;
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  return detail::RunProgram([&]() -> Result<int> {
    Mutation mutation = Mutation::kNone;
    if (arguments.at("--flaw")) {
      const auto parsed = ParseMutation(arguments.at("--flaw").asString());
      if (!parsed)
        return Fail(ErrorCode::kInvalidInput,
                    "--flaw names an unknown rule to break");
      mutation = *parsed;
    }
    if (arguments.at("TRACE")) {
      return Replay(arguments.at("TRACE").asString(), mutation,
                    arguments.at("--json").asBool(),
                    arguments.at("--decisions").asBool());
    }
    return RunRandomTraces(
        static_cast<std::uint64_t>(arguments.at("--first").asLong()),
        static_cast<std::uint64_t>(arguments.at("--random").asLong()),
        arguments.at("--shape").asString(), mutation);
  });
}
