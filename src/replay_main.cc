// The figstall-replay program: replays a recorded trace, or drawn faults,
// against stated outcomes.
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

json ResultsToJson(const RunMetrics& measures,
                   const InvariantChecker& checker) {
  const auto millis = [](Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  };
  json imbalance = json::object();
  for (const auto& [service, value] : measures.imbalance)
    imbalance[service.value()] = value;
  return {{"violations", checker.violations()},
          {"outcomes", measures.outcomes},
          {"churn", measures.owner_changes},
          {"unavailable_ms", millis(measures.longest_outage)},
          {"configuration_ms", millis(measures.max_configuration_delay)},
          {"leaving_ms", millis(measures.max_work_delay_after_leaving)},
          {"imbalance", imbalance}};
}

void PrintText(const json& shown) {
  fmt::print("outcomes {}\n", shown.at("outcomes").dump());
  fmt::print("imbalance {}\n", shown.at("imbalance").dump());
  fmt::print("churn {} changes of owner\n", shown.at("churn").dump());
  fmt::print("unavailable {} ms at most for a partition\n",
             shown.at("unavailable_ms").dump());
  fmt::print("configuration in force after {} ms at most\n",
             shown.at("configuration_ms").dump());
  fmt::print("violations {}\n", shown.at("violations").size());
  for (const json& violation : shown.at("violations"))
    fmt::print("  {}\n", violation.get<std::string>());
}

// Compares "..._at_most" and "..._at_least" with what was measured.
std::vector<std::string> Unmet(const json& expect, const json& shown) {
  std::vector<std::string> unmet;
  for (const auto& [name, bound] : expect.items()) {
    const bool at_most = name.ends_with("_at_most");
    const bool at_least = name.ends_with("_at_least");
    if (!at_most && !at_least) {
      unmet.push_back("unknown expectation " + name);
      continue;
    }
    const std::string what = name.substr(0, name.rfind("_at_"));
    const json* value = nullptr;
    if (shown.contains(what))
      value = &shown.at(what);
    const json& outcomes = shown.at("outcomes");
    const json zero = 0;
    if (!value)
      value = outcomes.contains(what) ? &outcomes.at(what) : &zero;
    const bool met = at_most ? *value <= bound : *value >= bound;
    if (!met)
      unmet.push_back(
          fmt::format("{} is {}, but should be {} {}", what, value->dump(),
                      at_most ? "at most" : "at least", bound.dump()));
  }
  return unmet;
}

int Replay(const std::string& path,
           Mutation mutation,
           bool as_json,
           bool decisions) {
  const Trace trace = ReadTrace(path);
  DeploymentOptions options = OptionsFor(trace.world, mutation);
  options.print_decisions = decisions;
  SimulatedDeployment world(RecordsForTrace(trace.world), options);
  for (const json& event : trace.events)
    world.Schedule(event);
  world.RunUntil(trace.end);
  const json shown = ResultsToJson(world.CollectMetrics(), world.checker());
  if (as_json) {
    fmt::print("{}\n", shown.dump(2));
  } else {
    PrintText(shown);
  }
  if (mutation != Mutation::kNone) {
    const bool noticed = !world.checker().violations().empty();
    fmt::print("the flaw was {}\n", noticed ? "noticed" : "not noticed");
    return noticed ? 0 : 1;
  }
  const std::vector<std::string> unmet = Unmet(trace.expect, shown);
  for (const std::string& line : unmet)
    fmt::print("not met: {}\n", line);
  if (!unmet.empty())
    fmt::print("{}", world.DescribeLeaders());
  return unmet.empty() && world.checker().violations().empty() ? 0 : 1;
}

int RunRandomTraces(std::uint64_t first,
                    std::uint64_t count,
                    const std::string& shape,
                    Mutation mutation) {
  std::uint64_t broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const Trace trace = GenerateTrace(seed, shape);
    const std::string what = FirstViolation(trace, mutation);
    if (what.empty())
      continue;
    ++broken;
    fmt::print("seed {}: {}\n", seed, what);
    if (mutation != Mutation::kNone)
      break;
    for (const std::string& line : Lines(ShrinkTrace(trace, mutation)))
      fmt::print("{}\n", line);
  }
  fmt::print("{} of {} seeds from {} on broke something\n", broken, count,
             first);
  const bool expected = mutation != Mutation::kNone;
  return (broken > 0) == expected ? 0 : 1;
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
      const auto named = ParseMutation(arguments.at("--flaw").asString());
      if (!named)
        return Fail(ErrorCode::kInvalidInput, "unknown flaw");
      mutation = *named;
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
