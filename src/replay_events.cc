// Implements recorded events, the operators and the platform behind them, and
// what a run measured.
#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

#include "replay_deployment.h"

namespace figstall::replay {

namespace {

using nlohmann::json;

Duration MillisAt(const json& event, const char* field, std::int64_t fallback) {
  return std::chrono::milliseconds(event.value(field, fallback));
}

}  // namespace

// --- Operators and the platform
// ----------------------------------------------------

void SimulatedDeployment::WriteConfiguration() {
  ++revision_;
  const json document = {{"revision", revision_}, {"records", records_}};
  configuration_ = HandleError(
      [&] { return Configuration::Parse(document.dump(), "trace"); },
      [](const Error& error) -> LatestConfiguration::Pointer {
        std::string text = error.message;
        for (const Finding& finding : error.findings)
          text += "\n" + finding.ToString();
        throw std::runtime_error(text);
      });
  written_at_[revision_] = timeline_.now();
}

void SimulatedDeployment::ApplyRecords(
    const std::function<void(json&)>& change) {
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

void SimulatedDeployment::OnConfigurationApplied(const std::string& router,
                                                 std::uint64_t revision) {
  checker_.OnRevision(timeline_.now(), router, revision);
  const auto written = written_at_.find(revision);
  if (written == written_at_.end())
    return;
  // Routers that were down or cut off count from when they are back, which the
  // trace arranges by writing revisions while they can be reached.
  const Duration elapsed = timeline_.now() - written->second;
  const bool first = revision == 1;
  const Process& process = timeline_.Find(router);
  const bool restarted = process.incarnation > 0;
  if (!first && !restarted && revision == revision_)
    max_configuration_delay_ = std::max(max_configuration_delay_, elapsed);
}

void SimulatedDeployment::PublishVmList() {
  vm_list_ = vms_present_;
  ++vm_list_version_;
}

void SimulatedDeployment::Schedule(const json& event) {
  const Instant at{MillisAt(event, "at_ms", 0)};
  if (event.at("event") == "requests") {
    timeline_.RunAt(at, [this, event] { ScheduleCalls(event); });
    return;
  }
  timeline_.RunAt(at, [this, event] { RunEvent(event); });
}

void SimulatedDeployment::RunEvent(const json& event) {
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
    timeline_.RunAt(timeline_.now() + options_.vm_list_lag,
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
    store_fault_mode_ = event.value("mode", "ok");
    store_delay_ = MillisAt(event, "delay_ms", 0);
  } else if (what == "mark") {
    ApplyRecords([&](json& record) {
      if (record.value("name", "") == event.at("vm"))
        record["state"] = event.at("state");
    });
  } else if (what == "offer-old-revision") {
    const auto old = configuration_;
    ApplyRecords([](json&) {});
    timeline_.RunAt(timeline_.now() + std::chrono::seconds(5), [this, old] {
      for (auto& [id, router] : routers_) {
        const bool taken = router.configuration->UpdateIfNewer(old);
        if (!taken && options_.mutation != Mutation::kLowerRevision)
          continue;
        router.routes->SetConfiguration(*old);
        checker_.OnRevision(timeline_.now(), router.process->name,
                            old->revision());
      }
    });
  } else if (what == "unlist-wrongly") {
    // Breaks the platform's promise, so it happens only as a flaw.
    if (options_.mutation != Mutation::kForgedVmRemoval)
      return;
    vms_present_.erase(VmId(event.at("vm").get<std::string>()));
    PublishVmList();
  } else if (what == "target-mode") {
    targets_.at(VmId(event.at("vm").get<std::string>())).fault_mode =
        event.at("mode");
  } else if (what == "drain") {
    // A planned stop: the steward resigns, the router takes nothing new.
    const VmId vm(event.at("vm").get<std::string>());
    routers_.at(vm).stopping = true;
    Steward& steward = stewards_.at(vm);
    ExecuteActions(steward, steward.state_machine->Resign());
  } else {
    throw std::runtime_error("unknown event \"" + what + "\"");
  }
}

void SimulatedDeployment::Print(const std::string& line) const {
  if (!options_.print_decisions)
    return;
  const auto now = timeline_.now().time_since_epoch();
  fmt::print("{:.3f} {}\n", std::chrono::duration<double>(now).count(), line);
}

void SimulatedDeployment::RunUntil(Instant end) {
  timeline_.RunUntil(end);
}

// --- Metrics
// ------------------------------------------------------------------------

Duration SimulatedDeployment::LongestOutage(
    const std::vector<CompletedRequest>& requests) {
  std::vector<Instant> answers;
  Instant last{};
  for (const CompletedRequest& request : requests) {
    last = std::max(last, request.end);
    if (request.answered)
      answers.push_back(request.end);
  }
  std::sort(answers.begin(), answers.end());
  Duration longest{0};
  for (const CompletedRequest& request : requests) {
    if (!request.slow)
      continue;
    const auto next =
        std::upper_bound(answers.begin(), answers.end(), request.started_at);
    const Instant served = next == answers.end() ? last : *next;
    longest = std::max<Duration>(longest, served - request.started_at);
  }
  return longest;
}

RunMetrics SimulatedDeployment::CollectMetrics() const {
  RunMetrics measures;
  measures.outcomes = outcomes_;
  measures.owner_changes = owner_changes_;
  measures.max_configuration_delay = max_configuration_delay_;
  measures.max_work_delay_after_leaving = max_work_delay_after_leaving_;
  for (const auto& [key, requests] : completed_requests_)
    measures.longest_outage =
        std::max(measures.longest_outage, LongestOutage(requests));
  std::map<ServiceId, std::vector<int>> runs;
  for (const auto& [id, target] : targets_) {
    if (target.process->alive)
      runs[target.record.service].push_back(target.executions);
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

std::string SimulatedDeployment::DescribeLeaders() const {
  std::string text;
  for (const auto& [id, steward] : stewards_) {
    if (!steward.process->alive || !steward.state_machine->leading())
      continue;
    text +=
        fmt::format("{} leads {} at epoch {}{}{}\n", id.value(),
                    steward.zone.value(), steward.state_machine->epoch(),
                    steward.state_machine->authority() ? " with authority" : "",
                    steward.state_machine->settled() ? ", settled" : "");
  }
  return text;
}

}  // namespace figstall::replay
