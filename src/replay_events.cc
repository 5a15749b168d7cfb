// Recorded events of a simulated deployment, the actions of operators and the
// platform that they cause, and the metrics of a run.
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

// Operators and the platform.

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
  written_at_[revision_] = simulator_.now();
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
      target.leaving_since = simulator_.now();
    if (!leaving)
      target.leaving_since.reset();
  }
}

void SimulatedDeployment::OnConfigurationApplied(const std::string& router,
                                                 std::uint64_t revision) {
  checker_.OnRevision(simulator_.now(), router, revision);
  const auto written = written_at_.find(revision);
  if (written == written_at_.end())
    return;
  // The delay counts from the write of the revision. For a router that was down
  // or cut off it must count from the router's return, so traces write
  // revisions only while all routers can be reached.
  const Duration elapsed = simulator_.now() - written->second;
  const bool initial_revision = revision == 1;
  const Process& process = simulator_.Find(router);
  const bool restarted = process.incarnation > 0;
  if (!initial_revision && !restarted && revision == revision_)
    max_configuration_delay_ = std::max(max_configuration_delay_, elapsed);
}

void SimulatedDeployment::PublishVmList() {
  vm_list_ = vms_present_;
  ++vm_list_version_;
}

void SimulatedDeployment::Schedule(const json& event) {
  const Instant at{MillisAt(event, "at_ms", 0)};
  if (event.at("event") == "requests") {
    simulator_.RunAt(at, [this, event] { ScheduleCalls(event); });
    return;
  }
  simulator_.RunAt(at, [this, event] { RunEvent(event); });
}

void SimulatedDeployment::RunEvent(const json& event) {
  const std::string kind = event.at("event");
  const std::string name = event.value("process", "");
  const auto names = [&](const char* field) {
    return event.at(field).get<std::vector<std::string>>();
  };
  if (kind == "kill") {
    KillProcess(name);
  } else if (kind == "start") {
    StartProcess(name);
  } else if (kind == "freeze") {
    simulator_.Freeze(simulator_.Find(name));
  } else if (kind == "thaw") {
    simulator_.Thaw(simulator_.Find(name));
  } else if (kind == "lose-vm") {
    // All processes of the VM are killed and never return. The platform's VM
    // list omits the VM only after vm_list_lag.
    const VmId vm(event.at("vm").get<std::string>());
    for (const char* role : {"steward/", "router/", "target/"}) {
      if (simulator_.Has(role + vm.value()))
        KillProcess(role + vm.value());
    }
    vms_present_.erase(vm);
    simulator_.RunAt(simulator_.now() + options_.vm_list_lag,
                     [this] { PublishVmList(); });
  } else if (kind == "restart-vm") {
    const std::string vm = event.at("vm");
    for (const char* role : {"steward/", "router/", "target/"}) {
      if (!simulator_.Has(role + vm))
        continue;
      KillProcess(role + vm);
      StartProcess(role + vm);
    }
  } else if (kind == "cut") {
    simulator_.Cut(names("one"), names("other"));
  } else if (kind == "heal") {
    simulator_.Heal();
  } else if (kind == "store") {
    store_fault_mode_ = event.value("mode", "ok");
    store_delay_ = MillisAt(event, "delay_ms", 0);
  } else if (kind == "mark") {
    ApplyRecords([&](json& record) {
      if (record.value("name", "") == event.at("vm"))
        record["state"] = event.at("state");
    });
  } else if (kind == "offer-old-revision") {
    const auto old_configuration = configuration_;
    ApplyRecords([](json&) {});
    simulator_.RunAt(
        simulator_.now() + std::chrono::seconds(5), [this, old_configuration] {
          for (auto& [id, router] : routers_) {
            const bool updated =
                router.configuration->UpdateIfNewer(old_configuration);
            if (!updated && options_.mutation != Mutation::kLowerRevision)
              continue;
            router.routes->SetConfiguration(*old_configuration);
            checker_.OnRevision(simulator_.now(), router.process->name,
                                old_configuration->revision());
          }
        });
  } else if (kind == "unlist-wrongly") {
    // The platform guarantees that a running VM stays in its list, so only the
    // mutation kForgedVmRemoval removes one.
    if (options_.mutation != Mutation::kForgedVmRemoval)
      return;
    vms_present_.erase(VmId(event.at("vm").get<std::string>()));
    PublishVmList();
  } else if (kind == "target-mode") {
    targets_.at(VmId(event.at("vm").get<std::string>())).fault_mode =
        event.at("mode");
  } else if (kind == "drain") {
    // A planned stop: the steward resigns and the router accepts no new
    // requests.
    const VmId vm(event.at("vm").get<std::string>());
    routers_.at(vm).stopping = true;
    Steward& steward = stewards_.at(vm);
    ExecuteActions(steward, steward.state_machine->Resign());
  } else {
    throw std::runtime_error("unknown event \"" + kind + "\"");
  }
}

void SimulatedDeployment::Print(const std::string& line) const {
  if (!options_.print_decisions)
    return;
  const auto now = simulator_.now().time_since_epoch();
  fmt::print("{:.3f} {}\n", std::chrono::duration<double>(now).count(), line);
}

void SimulatedDeployment::RunUntil(Instant end) {
  simulator_.RunUntil(end);
}

// Metrics.

Duration SimulatedDeployment::LongestOutage(
    const std::vector<CompletedRequest>& requests) {
  std::vector<Instant> answer_times;
  Instant last_end{};
  for (const CompletedRequest& request : requests) {
    last_end = std::max(last_end, request.ended_at);
    if (request.answered)
      answer_times.push_back(request.ended_at);
  }
  std::sort(answer_times.begin(), answer_times.end());
  Duration longest{0};
  for (const CompletedRequest& request : requests) {
    if (!request.slow)
      continue;
    const auto next = std::upper_bound(answer_times.begin(), answer_times.end(),
                                       request.started_at);
    const Instant next_answer = next == answer_times.end() ? last_end : *next;
    longest = std::max<Duration>(longest, next_answer - request.started_at);
  }
  return longest;
}

RunMetrics SimulatedDeployment::CollectMetrics() const {
  RunMetrics metrics;
  metrics.outcomes = outcomes_;
  metrics.owner_changes = owner_changes_;
  metrics.max_configuration_delay = max_configuration_delay_;
  metrics.max_work_delay_after_leaving = max_work_delay_after_leaving_;
  for (const auto& [key, requests] : completed_requests_)
    metrics.longest_outage =
        std::max(metrics.longest_outage, LongestOutage(requests));
  std::map<ServiceId, std::vector<int>> execution_counts;
  for (const auto& [id, target] : targets_) {
    if (target.process->alive)
      execution_counts[target.record.service].push_back(target.executions);
  }
  for (const auto& [service, counts] : execution_counts) {
    double sum = 0;
    for (int count : counts)
      sum += count;
    const int max_count = *std::max_element(counts.begin(), counts.end());
    if (sum > 0)
      metrics.imbalance[service] =
          max_count / (sum / static_cast<double>(counts.size()));
  }
  return metrics;
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
