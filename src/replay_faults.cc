// Implements traces.
#include "replay_faults.h"

#include <fmt/format.h>

#include <fstream>
#include <random>
#include <stdexcept>

namespace figstall::replay {
namespace {

using nlohmann::json;

constexpr std::int64_t kWarmUpMs = 5'000;
constexpr std::int64_t kFaultsMs = 20'000;
constexpr std::int64_t kEndMs = 40'000;

const std::vector<std::string>& TargetModes() {
  static const std::vector<std::string> modes = {"slow", "silent", "garbage"};
  return modes;
}

// Draws one kind of fault after another at random times.
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

  void Draw(std::vector<json>& events) {
    const int faults = Number(2, 7);
    for (int i = 0; i < faults; ++i)
      DrawOne(events);
  }

 private:
  int Number(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  std::int64_t Time() { return kWarmUpMs + Number(0, kFaultsMs); }
  const std::string& Pick(const std::vector<std::string>& names) {
    return names[static_cast<std::size_t>(
        Number(0, static_cast<int>(names.size()) - 1))];
  }

  void Add(std::vector<json>& events, std::int64_t at, json event) {
    event["at_ms"] = at;
    events.push_back(std::move(event));
  }

  std::string AnyProcess() {
    switch (Number(0, 2)) {
      case 0:
        return "steward/" + Pick(entry_vms_);
      case 1:
        return "router/" + Pick(entry_vms_);
      default:
        return "target/" + Pick(targets_);
    }
  }

  void DrawOne(std::vector<json>& events) {
    const std::int64_t at = Time();
    const std::int64_t until = at + Number(50, 6'000);
    switch (Number(0, 10)) {
      case 0: {
        const std::string process = AnyProcess();
        Add(events, at, {{"event", "kill"}, {"process", process}});
        Add(events, until, {{"event", "start"}, {"process", process}});
        return;
      }
      case 1:
      case 2: {
        const std::string process = AnyProcess();
        Add(events, at, {{"event", "freeze"}, {"process", process}});
        Add(events, until, {{"event", "thaw"}, {"process", process}});
        return;
      }
      case 3:
        Add(events, at, {{"event", "lose-vm"}, {"vm", Pick(entry_vms_)}});
        return;
      case 4:
        Add(events, at, {{"event", "restart-vm"}, {"vm", Pick(entry_vms_)}});
        return;
      case 5:
        Add(events, at, {{"event", "store"}, {"mode", "down"}});
        Add(events, until, {{"event", "store"}, {"mode", "ok"}});
        return;
      case 6:
        Add(events, at, {{"event", "store"}, {"mode", "lost-answers"}});
        Add(events, until, {{"event", "store"}, {"mode", "ok"}});
        return;
      case 7:
        Add(events, at,
            {{"event", "store"},
             {"mode", "ok"},
             {"delay_ms", Number(50, 400)}});
        Add(events, until, {{"event", "store"}, {"mode", "ok"}});
        return;
      case 8: {
        const std::string one = "steward/" + Pick(entry_vms_);
        Add(events, at,
            {{"event", "cut"}, {"one", {one}}, {"other", {AnyProcess()}}});
        Add(events, until, {{"event", "heal"}});
        return;
      }
      case 9: {
        const std::string vm = Pick(targets_);
        Add(events, at,
            {{"event", "target-mode"},
             {"vm", vm},
             {"mode", Pick(TargetModes())}});
        Add(events, until,
            {{"event", "target-mode"}, {"vm", vm}, {"mode", "ok"}});
        return;
      }
      default: {
        const std::string vm = Pick(targets_);
        Add(events, at, {{"event", "mark"}, {"vm", vm}, {"state", "leaving"}});
        Add(events, until,
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
  for (int number = 1; std::getline(stream, text); ++number) {
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
          fmt::format("{}: line {}: {}", path, number, error.what()));
    }
  }
  if (trace.world.is_null())
    throw std::runtime_error(path + ": has no line with \"world\"");
  if (trace.expect.is_null())
    throw std::runtime_error(path + ": has no line with \"expect\"");
  return trace;
}

std::vector<std::string> Lines(const Trace& trace) {
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
  return ShapeRecords(world.at("shape"), world.value("schema", 2));
}

DeploymentOptions OptionsFor(const json& world, Mutation mutation) {
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
                            {"for_ms", kFaultsMs + 8'000},
                            {"method", order ? "POST" : "GET"},
                            {"deadline_ms", 1'000}});
  }
  FaultGenerator(seed, records).Draw(trace.events);
  trace.expect = json::object();
  trace.end = Instant(std::chrono::milliseconds(kEndMs));
  return trace;
}

std::string FirstViolation(const Trace& trace, Mutation mutation) {
  SimulatedDeployment world(RecordsForTrace(trace.world),
                            OptionsFor(trace.world, mutation));
  for (const json& event : trace.events)
    world.Schedule(event);
  constexpr Duration kStep = std::chrono::seconds(1);
  for (Instant end{}; end < trace.end; end += kStep) {
    world.RunUntil(end + kStep);
    if (!world.checker().violations().empty())
      return world.checker().violations().front();
  }
  return "";
}

Trace ShrinkTrace(const Trace& trace, Mutation mutation) {
  Trace shorter = trace;
  for (std::size_t i = shorter.events.size(); i-- > 0;) {
    Trace candidate = shorter;
    candidate.events.erase(candidate.events.begin() +
                           static_cast<std::ptrdiff_t>(i));
    if (!FirstViolation(candidate, mutation).empty())
      shorter = candidate;
  }
  return shorter;
}

}  // namespace figstall::replay
