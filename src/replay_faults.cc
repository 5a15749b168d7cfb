// Trace files, random faults, and the reduction of failing traces.
#include "replay_faults.h"

#include <fmt/format.h>

#include <fstream>
#include <random>
#include <stdexcept>

namespace figstall::replay {
namespace {

using nlohmann::json;

constexpr std::int64_t kWarmUpMs = 5'000;
constexpr std::int64_t kFaultPeriodMs = 20'000;
constexpr std::int64_t kTraceEndMs = 40'000;

const std::vector<std::string>& TargetFaultModes() {
  static const std::vector<std::string> modes = {"slow", "silent", "garbage"};
  return modes;
}

// Adds faults of random kinds at random times to a trace.
class FaultGenerator {
 public:
  FaultGenerator(std::uint64_t seed, const json& records) : random_(seed) {
    for (const json& record : records) {
      if (record.at("kind") != "vm")
        continue;
      const std::string name = record.at("name");
      if (record.at("role") == "entry") {
        entry_vms_.push_back(name);
      } else {
        targets_.push_back(name);
      }
    }
  }

  void AddFaults(std::vector<json>& events) {
    const int faults = RandomInt(2, 7);
    for (int i = 0; i < faults; ++i)
      AddFault(events);
  }

 private:
  int RandomInt(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  std::int64_t RandomTimeMs() {
    return kWarmUpMs + RandomInt(0, kFaultPeriodMs);
  }
  const std::string& RandomElement(const std::vector<std::string>& names) {
    return names[static_cast<std::size_t>(
        RandomInt(0, static_cast<int>(names.size()) - 1))];
  }

  void AddEvent(std::vector<json>& events, std::int64_t at_ms, json event) {
    event["at_ms"] = at_ms;
    events.push_back(std::move(event));
  }

  std::string RandomProcess() {
    switch (RandomInt(0, 2)) {
      case 0:
        return "steward/" + RandomElement(entry_vms_);
      case 1:
        return "router/" + RandomElement(entry_vms_);
      default:
        return "target/" + RandomElement(targets_);
    }
  }

  void AddFault(std::vector<json>& events) {
    const std::int64_t start_ms = RandomTimeMs();
    const std::int64_t end_ms = start_ms + RandomInt(50, 6'000);
    switch (RandomInt(0, 10)) {
      case 0: {
        const std::string process = RandomProcess();
        AddEvent(events, start_ms, {{"event", "kill"}, {"process", process}});
        AddEvent(events, end_ms, {{"event", "start"}, {"process", process}});
        return;
      }
      case 1:
      case 2: {
        const std::string process = RandomProcess();
        AddEvent(events, start_ms, {{"event", "freeze"}, {"process", process}});
        AddEvent(events, end_ms, {{"event", "thaw"}, {"process", process}});
        return;
      }
      case 3:
        AddEvent(events, start_ms,
                 {{"event", "lose-vm"}, {"vm", RandomElement(entry_vms_)}});
        return;
      case 4:
        AddEvent(events, start_ms,
                 {{"event", "restart-vm"}, {"vm", RandomElement(entry_vms_)}});
        return;
      case 5:
        AddEvent(events, start_ms, {{"event", "store"}, {"mode", "down"}});
        AddEvent(events, end_ms, {{"event", "store"}, {"mode", "ok"}});
        return;
      case 6:
        AddEvent(events, start_ms,
                 {{"event", "store"}, {"mode", "lost-answers"}});
        AddEvent(events, end_ms, {{"event", "store"}, {"mode", "ok"}});
        return;
      case 7:
        AddEvent(events, start_ms,
                 {{"event", "store"},
                  {"mode", "ok"},
                  {"delay_ms", RandomInt(50, 400)}});
        AddEvent(events, end_ms, {{"event", "store"}, {"mode", "ok"}});
        return;
      case 8: {
        const std::string steward = "steward/" + RandomElement(entry_vms_);
        AddEvent(events, start_ms,
                 {{"event", "cut"},
                  {"one", {steward}},
                  {"other", {RandomProcess()}}});
        AddEvent(events, end_ms, {{"event", "heal"}});
        return;
      }
      case 9: {
        const std::string vm = RandomElement(targets_);
        AddEvent(events, start_ms,
                 {{"event", "target-mode"},
                  {"vm", vm},
                  {"mode", RandomElement(TargetFaultModes())}});
        AddEvent(events, end_ms,
                 {{"event", "target-mode"}, {"vm", vm}, {"mode", "ok"}});
        return;
      }
      default: {
        const std::string vm = RandomElement(targets_);
        AddEvent(events, start_ms,
                 {{"event", "mark"}, {"vm", vm}, {"state", "leaving"}});
        AddEvent(events, end_ms,
                 {{"event", "mark"}, {"vm", vm}, {"state", "joining"}});
        return;
      }
    }
  }

  std::mt19937_64 random_;
  std::vector<std::string> entry_vms_;
  std::vector<std::string> targets_;
};

}  // namespace

Trace ReadTrace(const std::string& path) {
  std::ifstream stream(path);
  if (!stream)
    throw std::runtime_error(path + ": cannot be opened");
  Trace trace;
  std::string text;
  for (int line_number = 1; std::getline(stream, text); ++line_number) {
    if (text.empty())
      continue;
    try {
      const json line = json::parse(text);
      if (line.contains("world")) {
        trace.world = line.at("world");
      } else if (line.contains("expect")) {
        trace.expect = line.at("expect");
        trace.end = Instant(std::chrono::milliseconds(line.at("until_ms")));
      } else {
        static_cast<void>(line.at("event").get<std::string>());
        static_cast<void>(line.at("at_ms").get<std::int64_t>());
        trace.events.push_back(line);
      }
    } catch (const json::exception& error) {
      throw std::runtime_error(
          fmt::format("{}: line {}: {}", path, line_number, error.what()));
    }
  }
  if (trace.world.is_null())
    throw std::runtime_error(path + ": there is no line with \"world\"");
  if (trace.expect.is_null())
    throw std::runtime_error(path + ": there is no line with \"expect\"");
  return trace;
}

std::vector<std::string> SerializeTrace(const Trace& trace) {
  std::vector<std::string> lines = {json{{"world", trace.world}}.dump()};
  for (const json& event : trace.events)
    lines.push_back(event.dump());
  const auto end = std::chrono::duration_cast<std::chrono::milliseconds>(
      trace.end.time_since_epoch());
  lines.push_back(
      json{{"expect", trace.expect}, {"until_ms", end.count()}}.dump());
  return lines;
}

json RecordsForTrace(const json& world) {
  return RecordsForShape(world.at("shape"), world.value("schema", 2));
}

DeploymentOptions OptionsForTrace(const json& world, Mutation mutation) {
  DeploymentOptions options;
  options.seed = world.value("seed", std::uint64_t{1});
  options.network.loss = world.value("loss", 0.0);
  options.vm_list_lag =
      std::chrono::milliseconds(world.value("vm_list_lag_ms", 5000));
  options.mutation = mutation;
  return options;
}

Trace GenerateTrace(std::uint64_t seed, const std::string& shape) {
  Trace trace;
  trace.world = {{"shape", shape}, {"seed", seed}};
  if (seed % 3 == 0)
    trace.world["loss"] = 0.02;
  if (seed % 2 == 0)
    trace.world["schema"] = 1;
  const json records = RecordsForTrace(trace.world);
  for (const json& record : records) {
    if (record.at("kind") != "service")
      continue;
    const bool order = record.at("lane") == "order";
    trace.events.push_back({{"at_ms", kWarmUpMs},
                            {"event", "requests"},
                            {"service", record.at("name")},
                            {"per_second", order ? 40 : 60},
                            {"for_ms", kFaultPeriodMs + 8'000},
                            {"method", order ? "POST" : "GET"},
                            {"deadline_ms", 1'000}});
  }
  FaultGenerator(seed, records).AddFaults(trace.events);
  trace.expect = json::object();
  trace.end = Instant(std::chrono::milliseconds(kTraceEndMs));
  return trace;
}

std::string FirstViolation(const Trace& trace, Mutation mutation) {
  SimulatedDeployment deployment(RecordsForTrace(trace.world),
                                 OptionsForTrace(trace.world, mutation));
  for (const json& event : trace.events)
    deployment.Schedule(event);
  constexpr Duration kStep = std::chrono::seconds(1);
  for (Instant end{}; end < trace.end; end += kStep) {
    deployment.RunUntil(end + kStep);
    if (!deployment.checker().violations().empty())
      return deployment.checker().violations().front();
  }
  return "";
}

Trace ShrinkTrace(const Trace& trace, Mutation mutation) {
  Trace shortest = trace;
  for (std::size_t i = shortest.events.size(); i-- > 0;) {
    Trace candidate = shortest;
    candidate.events.erase(candidate.events.begin() +
                           static_cast<std::ptrdiff_t>(i));
    if (!FirstViolation(candidate, mutation).empty())
      shortest = candidate;
  }
  return shortest;
}

}  // namespace figstall::replay
