// The control path of a simulated deployment: processes, the platform, stewards
// and the orders that they send to holders of leases.
#include "replay_deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace figstall::replay {
namespace {

using nlohmann::json;

constexpr Duration kStewardTickInterval = std::chrono::milliseconds(20);
constexpr Duration kPlatformPollInterval = std::chrono::milliseconds(500);
constexpr Duration kSpread = std::chrono::seconds(2);
constexpr Duration kLeaderLeaseDuration = std::chrono::milliseconds(2000);
constexpr const char* kPlatform = "platform";
constexpr const char* kCallers = "callers";
constexpr double kRetryRatio = 0.1;
constexpr double kRetryReserve = 20;

StewardTiming TimingFor(Mutation mutation) {
  StewardTiming timing;
  if (mutation == Mutation::kSkipLeaseExpiryWait)
    timing.clock_drift_margin = -2 * timing.lease_duration;
  return timing;
}

}  // namespace

std::optional<Mutation> ParseMutation(const std::string& name) {
  static const std::map<std::string, Mutation> mutations = {
      {"none", Mutation::kNone},
      {"no-wait-out", Mutation::kSkipLeaseExpiryWait},
      {"forged-seal-replies", Mutation::kForgedSealReplies},
      {"forged-step-down", Mutation::kForgedStepDown},
      {"forged-gone", Mutation::kForgedVmRemoval},
      {"retry-unknown", Mutation::kRetryUnknown},
      {"reused-connection", Mutation::kReusedConnection},
      {"lower-revision", Mutation::kLowerRevision},
      {"forget-in-flight", Mutation::kForgetInFlight}};
  const auto found = mutations.find(name);
  if (found == mutations.end())
    return std::nullopt;
  return found->second;
}

SimulatedDeployment::SimulatedDeployment(const json& records,
                                         DeploymentOptions options)
    : options_(options),
      simulator_(options.seed, options.network),
      records_(records) {
  simulator_.Add(kPlatform, kPlatform, kPlatform).alive = true;
  simulator_.Add(kCallers, kCallers, kPlatform).alive = true;
  WriteConfiguration();
  for (const VmRecord& vm : configuration_->records().vms)
    AddVm(vm);
  PublishVmList();
  for (auto& [name, process] : simulator_.processes()) {
    if (!process.alive)
      StartProcess(name);
  }
}

void SimulatedDeployment::AddVm(const VmRecord& vm) {
  const std::string& zone = vm.zone.value();
  const std::string& region = vm.region.value();
  const std::string& name = vm.id.value();
  std::uniform_real_distribution<double> random_drift(-options_.clock_drift,
                                                      options_.clock_drift);
  std::uniform_int_distribution<std::int64_t> random_offset(1, 1'000'000'000);
  auto& random = simulator_.random();
  vms_present_.insert(vm.id);
  vm_list_.insert(vm.id);
  if (vm.role == VmRole::kTarget) {
    Target& target = targets_[vm.id];
    target.process = &simulator_.Add("target/" + name, zone, region);
    target.record = vm;
    target.checks_grants =
        configuration_->FindService(vm.service)->checks_grants;
    target.clock.offset = Duration(random_offset(random));
    target.clock.rate = 1.0 + random_drift(random);
    return;
  }
  Steward& steward = stewards_[vm.id];
  steward.process = &simulator_.Add("steward/" + name, zone, region);
  steward.vm = vm.id;
  steward.zone = vm.zone;
  Router& router = routers_[vm.id];
  router.process = &simulator_.Add("router/" + name, zone, region);
  router.vm = vm.id;
  router.zone = vm.zone;
  router.clock.offset = Duration(random_offset(random));
  router.clock.rate = 1.0 + random_drift(random);
}

void SimulatedDeployment::StartProcess(const std::string& name) {
  Process& process = simulator_.Find(name);
  if (process.alive)
    return;
  process.alive = true;
  const std::size_t slash = name.find('/');
  const std::string role = name.substr(0, slash);
  const VmId vm(name.substr(slash + 1));
  if (role == "steward")
    StartSteward(stewards_.at(vm));
  if (role == "router")
    StartRouter(routers_.at(vm));
  if (role == "target")
    StartTarget(targets_.at(vm));
}

void SimulatedDeployment::KillProcess(const std::string& name) {
  simulator_.Kill(simulator_.Find(name));
  if (!name.starts_with("router/"))
    return;
  Router& router = routers_.at(VmId(name.substr(7)));
  for (const auto& on_disconnect :
       std::exchange(router.disconnect_callbacks, {}))
    on_disconnect();
}

void SimulatedDeployment::StartSteward(Steward& steward) {
  steward.state_machine = std::make_unique<ZoneSteward>(
      StewardId{steward.vm, NextIncarnation()}, TimingFor(options_.mutation),
      StewardLimits{});
  if (steward.configuration.Current()) {
    Step(steward,
         PlanChanged{steward.configuration.Current()->PlanFor(steward.zone)});
  }
  std::uniform_int_distribution<std::int64_t> phase(
      0, kStewardTickInterval.count());
  simulator_.RunAfter(*steward.process, Duration(phase(simulator_.random())),
                      [this, &steward] { TickSteward(steward); });
  simulator_.RunAfter(*steward.process, Duration(phase(simulator_.random())),
                      [this, &steward] { PollPlatform(steward); });
}

void SimulatedDeployment::StartTarget(Target& target) {
  target.in_flight.clear();
  target.cancelled.clear();
  target.fault_mode = "ok";
  target.holder_lease = std::make_unique<HolderLease>(
      target.record.id, NextIncarnation(),
      [&target](const PartitionKey& key) { return target.in_flight[key] > 0; });
}

void SimulatedDeployment::StartRouter(Router& router) {
  const std::uint64_t incarnation = NextIncarnation();
  router.routes =
      std::make_unique<RouteTable>(router.vm, incarnation, router.zone);
  router.request_registry = std::make_unique<AtMostOnceRegistry>(
      router.vm, incarnation, AtMostOnceRegistry::Limits{});
  router.retry_budget =
      std::make_unique<RetryBudget>(kRetryRatio, kRetryReserve);
  router.configuration = std::make_unique<LatestConfiguration>();
  router.pending_attempts.clear();
  router.ejected_until.clear();
  router.connected.clear();
  router.disconnect_callbacks.clear();
  router.stopping = false;
}

// Stewards.

void SimulatedDeployment::TickSteward(Steward& steward) {
  Step(steward, Tick{});
  simulator_.RunAfter(*steward.process, kStewardTickInterval,
                      [this, &steward] { TickSteward(steward); });
}

void SimulatedDeployment::PollPlatform(Steward& steward) {
  simulator_.RunAfter(*steward.process, kPlatformPollInterval,
                      [this, &steward] { PollPlatform(steward); });
  const bool should_poll =
      steward.state_machine->leading() ||
      steward.state_machine->LeaderTimedOut(simulator_.now()) ||
      !steward.configuration.Current();
  if (!should_poll)
    return;
  Process& platform = simulator_.Find(kPlatform);
  simulator_.Send(*steward.process, platform, [this, &steward, &platform] {
    const VmListChanged vm_list{vm_list_version_, vm_list_};
    const auto stored_configuration =
        store_fault_mode_ == "down" ? nullptr : configuration_;
    simulator_.Send(platform, *steward.process,
                    [this, &steward, vm_list, stored_configuration] {
                      if (stored_configuration)
                        ApplyConfiguration(steward, stored_configuration);
                      Step(steward, vm_list);
                    });
  });
  if (steward.state_machine->leading())
    DistributeConfiguration(steward);
}

void SimulatedDeployment::ApplyConfiguration(
    Steward& steward,
    const LatestConfiguration::Pointer& next) {
  if (!steward.configuration.UpdateIfNewer(next))
    return;
  checker_.OnRevision(simulator_.now(), steward.process->name,
                      next->revision());
  Step(steward, PlanChanged{next->PlanFor(steward.zone)});
  DistributeConfiguration(steward);
}

void SimulatedDeployment::DistributeConfiguration(Steward& steward) {
  const auto current = steward.configuration.Current();
  if (!current)
    return;
  for (const VmRecord* vm : current->EntryVms(steward.zone)) {
    Router& router = routers_.at(vm->id);
    const bool is_local = vm->id == steward.vm;
    if (!is_local && !steward.state_machine->leading())
      continue;
    simulator_.Send(
        *steward.process, *router.process, [this, &router, current] {
          const bool accept_lower =
              options_.mutation == Mutation::kLowerRevision;
          const bool updated = router.configuration->UpdateIfNewer(current);
          if (!updated && !accept_lower)
            return;
          router.routes->SetConfiguration(*current);
          OnConfigurationApplied(router.process->name, current->revision());
        });
    if (is_local)
      continue;
    Steward& other = stewards_.at(vm->id);
    simulator_.Send(*steward.process, *other.process, [this, &other, current] {
      ApplyConfiguration(other, current);
    });
  }
}

void SimulatedDeployment::Step(Steward& steward, const StewardEvent& event) {
  if (!steward.process->alive || steward.process->frozen)
    return;
  ExecuteActions(steward, steward.state_machine->Step(simulator_.now(), event));
}

void SimulatedDeployment::ExecuteActions(Steward& steward,
                                         const StewardActions& actions) {
  for (const StewardAction& action : actions) {
    if (const auto* order = std::get_if<SendOrder>(&action)) {
      DeliverOrder(steward, order->order);
    } else if (const auto* peer = std::get_if<SendPeerMessage>(&action)) {
      DeliverPeerMessage(steward, *peer);
    } else if (const auto* read = std::get_if<ReadZone>(&action)) {
      const std::uint64_t call = read->call;
      CallStore(
          steward, /*is_write=*/false,
          [this, &steward, call]() -> StewardEvent {
            const VersionedDocument& stored = zone_documents_[steward.zone];
            ZoneReadResult reply{call, true, std::nullopt, stored.version};
            if (stored.value) {
              reply.document =
                  HandleError([&] { return ParseZoneDocument(*stored.value); },
                              [](const Error&) { return ZoneDocument{}; });
            }
            return reply;
          },
          [call]() -> StewardEvent {
            return ZoneReadResult{call, false, std::nullopt, 0};
          });
    } else if (const auto* write = std::get_if<WriteZone>(&action)) {
      const std::uint64_t call = write->call;
      CallStore(
          steward, /*is_write=*/true,
          [this, &steward, write = *write]() -> StewardEvent {
            VersionedDocument& stored = zone_documents_[steward.zone];
            if (stored.version != write.expected_version)
              return ZoneWriteResult{write.call, StoreOutcome::kConflict, 0};
            stored.value = SerializeZoneDocument(write.document);
            ++stored.version;
            checker_.OnStored(simulator_.now(), steward.zone, write.document);
            for (const PartitionRow& row : write.document.rows) {
              VmId& owner = owners_[row.key];
              if (!owner.empty() && owner != row.owner)
                ++owner_changes_;
              owner = row.owner;
            }
            return ZoneWriteResult{write.call, StoreOutcome::kDone,
                                   stored.version};
          },
          [call]() -> StewardEvent { return ZoneWriteResult{call}; });
    } else if (std::holds_alternative<AcquireLeaderLease>(action)) {
      CallStore(
          steward, /*is_write=*/true,
          [this, &steward]() -> StewardEvent {
            auto& [holder, until] = leader_leases_[steward.zone];
            const std::string self = steward.state_machine->self().ToString();
            const bool free = holder.empty() || simulator_.now() >= until;
            if (free || holder == self) {
              holder = self;
              until = simulator_.now() + kLeaderLeaseDuration;
            }
            return LeaderLeaseReply{true, holder == self};
          },
          []() -> StewardEvent { return LeaderLeaseReply{}; });
    } else if (const auto* decision = std::get_if<Decision>(&action)) {
      Print(fmt::format("{} {} {} {} {}: {}", steward.vm.value(),
                        decision->what, decision->subject, decision->target,
                        decision->term.ToString(), decision->reason));
    } else if (std::holds_alternative<ReleaseLeaderLease>(action)) {
      leader_leases_.erase(steward.zone);
    }
  }
}

void SimulatedDeployment::CallStore(
    Steward& steward,
    bool is_write,
    std::function<StewardEvent()> execute,
    const std::function<StewardEvent()>& make_failure) {
  Process& platform = simulator_.Find(kPlatform);
  simulator_.Send(
      *steward.process, platform,
      [this, &steward, &platform, is_write, execute = std::move(execute),
       make_failure] {
        simulator_.RunAfter(
            platform, store_delay_,
            [this, &steward, &platform, is_write, execute, make_failure] {
              const bool store_down = store_fault_mode_ == "down";
              const bool hide_reply =
                  store_fault_mode_ == "lost-answers" && is_write;
              StewardEvent reply = store_down ? make_failure() : execute();
              if (hide_reply)
                reply = make_failure();
              simulator_.Send(
                  platform, *steward.process,
                  [this, &steward, reply] { Step(steward, reply); });
            });
      });
}

void SimulatedDeployment::DeliverOrder(Steward& steward,
                                       const HolderOrder& order) {
  const auto reply = [this, &steward](Process& from,
                                      const HolderStatus& status) {
    simulator_.Send(from, *steward.process, [this, &steward, status] {
      Step(steward, HolderReplied{status});
    });
  };
  const auto target = targets_.find(order.holder);
  if (target != targets_.end()) {
    Target& holder = target->second;
    simulator_.Send(*steward.process, *holder.process,
                    [this, &holder, order, reply] {
                      reply(*holder.process, OrderAtTarget(holder, order));
                    });
    return;
  }
  const auto router = routers_.find(order.holder);
  if (router == routers_.end())
    return;
  Router& holder = router->second;
  simulator_.Send(
      *steward.process, *holder.process, [this, &holder, order, reply] {
        HolderStatus status = holder.routes->Apply(LocalTime(holder), order);
        if (options_.mutation == Mutation::kForgetInFlight)
          status.draining.clear();
        reply(*holder.process, status);
      });
}

HolderStatus SimulatedDeployment::OrderAtTarget(Target& target,
                                                const HolderOrder& order) {
  if (!target.checks_grants) {
    HolderStatus alive;
    alive.holder = target.record.id;
    alive.stamp.micros = simulator_.now().time_since_epoch().count();
    return alive;
  }
  HolderStatus status = target.holder_lease->Apply(LocalTime(target), order);
  // The leases of all targets are collected, since those of the other targets
  // expire by time alone.
  std::map<VmId, std::set<PartitionKey>> valid_grants;
  for (auto& [id, other] : targets_) {
    const bool lease_valid = other.checks_grants && other.process->alive &&
                             other.holder_lease->IsLeaseValid(LocalTime(other));
    if (!lease_valid)
      continue;
    for (const auto& [key, row] : other.holder_lease->rows())
      valid_grants[id].insert(key);
  }
  checker_.OnValidGrants(simulator_.now(), valid_grants);
  return status;
}

void SimulatedDeployment::DeliverPeerMessage(Steward& steward,
                                             const SendPeerMessage& send) {
  const auto found = stewards_.find(send.to);
  if (found == stewards_.end())
    return;
  Steward& to = found->second;
  const StewardId from = steward.state_machine->self();
  const auto forge = [&](const PeerMessage& message) {
    const StewardId forged = to.state_machine->self();
    simulator_.RunAfter(*steward.process, kStewardTickInterval,
                        [this, &steward, forged, message] {
                          Step(steward, PeerMessageReceived{forged, message});
                        });
  };
  const auto* seal = std::get_if<SealRequest>(&send.message);
  const auto* step_down = std::get_if<StepDown>(&send.message);
  if (seal && options_.mutation == Mutation::kForgedSealReplies) {
    forge(SealReply{seal->epoch, seal->holder, seal->lease, true,
                    StewardTiming{}.lease_duration});
    return;
  }
  if (step_down && options_.mutation == Mutation::kForgedStepDown) {
    forge(StepDownAck{step_down->epoch});
    return;
  }
  simulator_.Send(*steward.process, *to.process,
                  [this, &to, from, message = send.message] {
                    Step(to, PeerMessageReceived{from, message});
                  });
}

}  // namespace figstall::replay
