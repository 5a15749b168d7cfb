// Implements recorded events, the operators and the platform behind them, and
// what a run measured.
#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

#include "replay_world.h"

namespace figstall::replay {

namespace {

using nlohmann::json;

Duration MillisAt(const json& event, const char* field, std::int64_t fallback) {
  return std::chrono::milliseconds(event.value(field, fallback));
}

}  // namespace

// --- Operators and the platform
// ----------------------------------------------------

void World::WriteConfiguration() {
  ++revision_;
  const json document = {{"revision", revision_}, {"records", records_}};
  configuration_ = HandleError(
      [&] { return Configuration::Parse(document.dump(), "trace"); },
      [](const Error& error) -> ConfigurationHolder::Pointer {
        std::string text = error.message;
        for (const Finding& finding : error.findings)
          text += "\n" + finding.ToString();
        throw std::runtime_error(text);
      });
  written_at_[revision_] = timeline_.now();
}

void World::ApplyRecords(const std::function<void(json&)>& change) {
  for (json& record : records_)
    change(record);
  WriteConfiguration();
  for (auto& [id, target] : targets_) {
    const VmRecord* record = configuration_->FindVm(id);
    const bool leaving = record && record->state == VmState::kLeaving;
    if (leaving && !target.leaving_since)
      target.leaving_since = timeline_.now();
    if (!leaving)
      target.leaving_since.reset();
  }
}

void World::NoteConfiguration(const std::string& router,
                              std::uint64_t revision) {
  checker_.OnRevision(timeline_.now(), router, revision);
  const auto written = written_at_.find(revision);
  if (written == written_at_.end())
    return;
  // Routers that were down or cut off count from when they are back, which the
  // trace arranges by writing revisions while they can be reached.
  const Duration took = timeline_.now() - written->second;
  const bool first = revision == 1;
  const Process& process = timeline_.Find(router);
  const bool restarted = process.run > 0;
  if (!first && !restarted && revision == revision_)
    configuration_took_ = std::max(configuration_took_, took);
}

void World::PublishVmList() {
  vm_list_ = vms_present_;
  ++vm_list_version_;
}

void World::Schedule(const json& event) {
  const Instant at{MillisAt(event, "at_ms", 0)};
  if (event.at("event") == "requests") {
    timeline_.At(at, [this, event] { ScheduleCalls(event); });
    return;
  }
  timeline_.At(at, [this, event] { RunEvent(event); });
}

void World::RunEvent(const json& event) {
  const std::string what = event.at("event");
  const std::string name = event.value("process", "");
  const auto names = [&](const char* field) {
    return event.at(field).get<std::vector<std::string>>();
  };
  if (what == "kill") {
    KillProcess(name);
  } else if (what == "start") {
    StartProcess(name);
  } else if (what == "freeze") {
    timeline_.Freeze(timeline_.Find(name));
  } else if (what == "thaw") {
    timeline_.Thaw(timeline_.Find(name));
  } else if (what == "lose-vm") {
    // The whole VM, for good; the platform's list notices later.
    const VmId vm(event.at("vm").get<std::string>());
    for (const char* role : {"steward/", "router/", "target/"}) {
      if (timeline_.Has(role + vm.value()))
        KillProcess(role + vm.value());
    }
    vms_present_.erase(vm);
    timeline_.At(timeline_.now() + options_.vm_list_lag,
                 [this] { PublishVmList(); });
  } else if (what == "restart-vm") {
    const std::string vm = event.at("vm");
    for (const char* role : {"steward/", "router/", "target/"}) {
      if (!timeline_.Has(role + vm))
        continue;
      KillProcess(role + vm);
      StartProcess(role + vm);
    }
  } else if (what == "cut") {
    timeline_.Cut(names("one"), names("other"));
  } else if (what == "heal") {
    timeline_.Heal();
  } else if (what == "store") {
    store_mode_ = event.value("mode", "ok");
    store_delay_ = MillisAt(event, "delay_ms", 0);
  } else if (what == "mark") {
    ApplyRecords([&](json& record) {
      if (record.value("name", "") == event.at("vm"))
        record["state"] = event.at("state");
    });
  } else if (what == "offer-old-revision") {
    const auto old = configuration_;
    ApplyRecords([](json&) {});
    timeline_.At(timeline_.now() + std::chrono::seconds(5), [this, old] {
      for (auto& [id, router] : routers_) {
        const bool taken = router.configuration->Offer(old);
        if (!taken && options_.flaw != Flaw::kLowerRevision)
          continue;
        router.routes->SetConfiguration(*old);
        checker_.OnRevision(timeline_.now(), router.process->name,
                            old->revision());
      }
    });
  } else if (what == "unlist-wrongly") {
    // Breaks the platform's promise, so it happens only as a flaw.
    if (options_.flaw != Flaw::kForgedGone)
      return;
    vms_present_.erase(VmId(event.at("vm").get<std::string>()));
    PublishVmList();
  } else if (what == "target-mode") {
    targets_.at(VmId(event.at("vm").get<std::string>())).mode =
        event.at("mode");
  } else if (what == "drain") {
    // A planned stop: the steward resigns, the router takes nothing new.
    const VmId vm(event.at("vm").get<std::string>());
    routers_.at(vm).stopping = true;
    Steward& steward = stewards_.at(vm);
    Carry(steward, steward.machine->Resign());
  } else {
    throw std::runtime_error("unknown event \"" + what + "\"");
  }
}

void World::Print(const std::string& line) const {
  if (!options_.print_decisions)
    return;
  const auto now = timeline_.now().time_since_epoch();
  fmt::print("{:.3f} {}\n", std::chrono::duration<double>(now).count(), line);
}

void World::RunUntil(Instant end) {
  timeline_.RunUntil(end);
}

// --- Measures
// ------------------------------------------------------------------------

Duration World::LongestOutage(const std::vector<Served>& requests) {
  std::vector<Instant> answers;
  Instant last{};
  for (const Served& request : requests) {
    last = std::max(last, request.end);
    if (request.answered)
      answers.push_back(request.end);
  }
  std::sort(answers.begin(), answers.end());
  Duration longest{0};
  for (const Served& request : requests) {
    if (!request.slow)
      continue;
    const auto next =
        std::upper_bound(answers.begin(), answers.end(), request.begin);
    const Instant served = next == answers.end() ? last : *next;
    longest = std::max<Duration>(longest, served - request.begin);
  }
  return longest;
}

Measures World::Measure() const {
  Measures measures;
  measures.outcomes = outcomes_;
  measures.moves = moves_;
  measures.configuration = configuration_took_;
  measures.leaving = leaving_worked_;
  for (const auto& [key, requests] : served_)
    measures.unavailable =
        std::max(measures.unavailable, LongestOutage(requests));
  std::map<ServiceId, std::vector<int>> runs;
  for (const auto& [id, target] : targets_) {
    if (target.process->alive)
      runs[target.record.service].push_back(target.runs);
  }
  for (const auto& [service, counts] : runs) {
    double sum = 0;
    for (int count : counts)
      sum += count;
    const int most = *std::max_element(counts.begin(), counts.end());
    if (sum > 0)
      measures.imbalance[service] =
          most / (sum / static_cast<double>(counts.size()));
  }
  return measures;
}

std::string World::Describe() const {
  std::string text;
  for (const auto& [id, steward] : stewards_) {
    if (!steward.process->alive || !steward.machine->leading())
      continue;
    text += fmt::format("{} leads {} at epoch {}{}{}\n", id.value(),
                        steward.zone.value(), steward.machine->epoch(),
                        steward.machine->authority() ? " with authority" : "",
                        steward.machine->settled() ? ", settled" : "");
  }
  return text;
}

}  // namespace figstall::replay
