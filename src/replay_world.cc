// Implements the control side of a replayed deployment: processes, platform,
// stewards and operators.
#include "replay_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace figstall::replay {
namespace {

using nlohmann::json;

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kPoll = std::chrono::milliseconds(500);
constexpr Duration kSpread = std::chrono::seconds(2);
constexpr Duration kLeaseTimeToLive = std::chrono::milliseconds(2000);
constexpr const char* kPlatform = "platform";
constexpr const char* kCallers = "callers";
constexpr double kRetryRatio = 0.1;
constexpr double kRetryReserve = 20;

StewardTiming TimingFor(Flaw flaw) {
  StewardTiming timing;
  if (flaw == Flaw::kNoWaitOut)
    timing.drift_margin = -2 * timing.validity;
  return timing;
}

}  // namespace

std::optional<Flaw> ParseFlaw(const std::string& name) {
  static const std::map<std::string, Flaw> flaws = {
      {"none", Flaw::kNone},
      {"no-wait-out", Flaw::kNoWaitOut},
      {"forged-seal-replies", Flaw::kForgedSealReplies},
      {"forged-step-down", Flaw::kForgedStepDown},
      {"forged-gone", Flaw::kForgedGone},
      {"retry-unknown", Flaw::kRetryUnknown},
      {"reused-connection", Flaw::kReusedConnection},
      {"lower-revision", Flaw::kLowerRevision},
      {"forget-in-flight", Flaw::kForgetInFlight}};
  const auto found = flaws.find(name);
  if (found == flaws.end())
    return std::nullopt;
  return found->second;
}

World::World(const json& records, WorldOptions options)
    : options_(options),
      timeline_(options.seed, options.network),
      records_(records) {
  timeline_.Add(kPlatform, kPlatform, kPlatform).alive = true;
  timeline_.Add(kCallers, kCallers, kPlatform).alive = true;
  WriteConfiguration();
  for (const VmRecord& vm : configuration_->records().vms)
    AddVm(vm);
  PublishVmList();
  for (auto& [name, process] : timeline_.processes()) {
    if (!process.alive)
      StartProcess(name);
  }
}

void World::AddVm(const VmRecord& vm) {
  const std::string& zone = vm.zone.value();
  const std::string& region = vm.region.value();
  const std::string& name = vm.id.value();
  std::uniform_real_distribution<double> drift(-options_.clock_drift,
                                               options_.clock_drift);
  std::uniform_int_distribution<std::int64_t> offset(1, 1'000'000'000);
  auto& random = timeline_.random();
  vms_present_.insert(vm.id);
  vm_list_.insert(vm.id);
  if (vm.role == VmRole::kTarget) {
    Target& target = targets_[vm.id];
    target.process = &timeline_.Add("target/" + name, zone, region);
    target.record = vm;
    target.checks = configuration_->FindService(vm.service)->checks_grants;
    target.clock.offset = Duration(offset(random));
    target.clock.rate = 1.0 + drift(random);
    return;
  }
  Steward& steward = stewards_[vm.id];
  steward.process = &timeline_.Add("steward/" + name, zone, region);
  steward.vm = vm.id;
  steward.zone = vm.zone;
  Router& router = routers_[vm.id];
  router.process = &timeline_.Add("router/" + name, zone, region);
  router.vm = vm.id;
  router.zone = vm.zone;
  router.clock.offset = Duration(offset(random));
  router.clock.rate = 1.0 + drift(random);
}

void World::StartProcess(const std::string& name) {
  Process& process = timeline_.Find(name);
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

void World::KillProcess(const std::string& name) {
  timeline_.Kill(timeline_.Find(name));
  if (!name.starts_with("router/"))
    return;
  Router& router = routers_.at(VmId(name.substr(7)));
  for (const auto& lost : std::exchange(router.callers, {}))
    lost();
}

void World::StartSteward(Steward& steward) {
  steward.machine =
      std::make_unique<ZoneSteward>(StewardId{steward.vm, NextIncarnation()},
                                    TimingFor(options_.flaw), StewardLimits{});
  if (steward.configuration.Current()) {
    Step(steward,
         PlanChanged{steward.configuration.Current()->PlanFor(steward.zone)});
  }
  std::uniform_int_distribution<std::int64_t> phase(0, kTick.count());
  timeline_.After(*steward.process, Duration(phase(timeline_.random())),
                  [this, &steward] { TickSteward(steward); });
  timeline_.After(*steward.process, Duration(phase(timeline_.random())),
                  [this, &steward] { PollPlatform(steward); });
}

void World::StartTarget(Target& target) {
  target.working.clear();
  target.cancelled.clear();
  target.mode = "ok";
  target.book = std::make_unique<GrantBook>(
      target.record.id, NextIncarnation(),
      [&target](const PartitionKey& key) { return target.working[key] > 0; });
}

void World::StartRouter(Router& router) {
  const std::uint64_t incarnation = NextIncarnation();
  router.routes =
      std::make_unique<RouteTable>(router.vm, incarnation, router.zone);
  router.once = std::make_unique<OnceRegistry>(router.vm, incarnation,
                                               OnceRegistry::Limits{});
  router.retries = std::make_unique<RetryBudget>(kRetryRatio, kRetryReserve);
  router.configuration = std::make_unique<ConfigurationHolder>();
  router.waiting.clear();
  router.suspects.clear();
  router.connected.clear();
  router.callers.clear();
  router.stopping = false;
}

// --- Stewards
// --------------------------------------------------------------------

void World::TickSteward(Steward& steward) {
  Step(steward, Tick{});
  timeline_.After(*steward.process, kTick,
                  [this, &steward] { TickSteward(steward); });
}

void World::PollPlatform(Steward& steward) {
  timeline_.After(*steward.process, kPoll,
                  [this, &steward] { PollPlatform(steward); });
  const bool reads = steward.machine->leading() ||
                     steward.machine->leader_silent(timeline_.now()) ||
                     !steward.configuration.Current();
  if (!reads)
    return;
  Process& platform = timeline_.Find(kPlatform);
  timeline_.Send(*steward.process, platform, [this, &steward, &platform] {
    const VmListChanged list{vm_list_version_, vm_list_};
    const auto held = store_mode_ == "down" ? nullptr : configuration_;
    timeline_.Send(platform, *steward.process, [this, &steward, list, held] {
      if (held)
        TakeConfiguration(steward, held);
      Step(steward, list);
    });
  });
  if (steward.machine->leading())
    Spread(steward);
}

void World::TakeConfiguration(Steward& steward,
                              const ConfigurationHolder::Pointer& next) {
  if (!steward.configuration.Offer(next))
    return;
  checker_.OnRevision(timeline_.now(), steward.process->name, next->revision());
  Step(steward, PlanChanged{next->PlanFor(steward.zone)});
  Spread(steward);
}

void World::Spread(Steward& steward) {
  const auto current = steward.configuration.Current();
  if (!current)
    return;
  for (const VmRecord* vm : current->EntryVms(steward.zone)) {
    Router& router = routers_.at(vm->id);
    const bool own = vm->id == steward.vm;
    if (!own && !steward.machine->leading())
      continue;
    timeline_.Send(*steward.process, *router.process, [this, &router, current] {
      const bool lower = options_.flaw == Flaw::kLowerRevision;
      const bool taken = router.configuration->Offer(current);
      if (!taken && !lower)
        return;
      router.routes->SetConfiguration(*current);
      NoteConfiguration(router.process->name, current->revision());
    });
    if (own)
      continue;
    Steward& other = stewards_.at(vm->id);
    timeline_.Send(*steward.process, *other.process, [this, &other, current] {
      TakeConfiguration(other, current);
    });
  }
}

void World::Step(Steward& steward, const StewardEvent& event) {
  if (!steward.process->alive || steward.process->frozen)
    return;
  Carry(steward, steward.machine->Step(timeline_.now(), event));
}

void World::Carry(Steward& steward, const StewardActions& actions) {
  for (const StewardAction& action : actions) {
    if (const auto* order = std::get_if<SendOrder>(&action)) {
      CarryOrder(steward, order->order);
    } else if (const auto* peer = std::get_if<SendPeer>(&action)) {
      CarryPeer(steward, *peer);
    } else if (const auto* read = std::get_if<ReadZone>(&action)) {
      const std::uint64_t call = read->call;
      CallStore(
          steward, /*is_write=*/false,
          [this, &steward, call]() -> StewardEvent {
            const Store& store = zone_documents_[steward.zone];
            ZoneRead reply{call, true, std::nullopt, store.version};
            if (store.value) {
              reply.document =
                  HandleError([&] { return ParseZoneDocument(*store.value); },
                              [](const Error&) { return ZoneDocument{}; });
            }
            return reply;
          },
          [call]() -> StewardEvent {
            return ZoneRead{call, false, std::nullopt, 0};
          });
    } else if (const auto* write = std::get_if<WriteZone>(&action)) {
      const std::uint64_t call = write->call;
      CallStore(
          steward, /*is_write=*/true,
          [this, &steward, write = *write]() -> StewardEvent {
            Store& store = zone_documents_[steward.zone];
            if (store.version != write.expected_version)
              return ZoneWritten{write.call, StoreOutcome::kConflict, 0};
            store.value = SerializeZoneDocument(write.document);
            ++store.version;
            checker_.OnStored(timeline_.now(), steward.zone, write.document);
            for (const PartitionRow& row : write.document.rows) {
              VmId& owner = owners_[row.key];
              if (!owner.empty() && owner != row.owner)
                ++moves_;
              owner = row.owner;
            }
            return ZoneWritten{write.call, StoreOutcome::kDone, store.version};
          },
          [call]() -> StewardEvent { return ZoneWritten{call}; });
    } else if (std::holds_alternative<AcquireLeaderLease>(action)) {
      CallStore(
          steward, /*is_write=*/true,
          [this, &steward]() -> StewardEvent {
            auto& [holder, until] = leader_leases_[steward.zone];
            const std::string own = steward.machine->self().ToString();
            const bool free = holder.empty() || timeline_.now() >= until;
            if (free || holder == own) {
              holder = own;
              until = timeline_.now() + kLeaseTimeToLive;
            }
            return LeaderLeaseReply{true, holder == own};
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

void World::CallStore(Steward& steward,
                      bool is_write,
                      std::function<StewardEvent()> run,
                      const std::function<StewardEvent()>& lost) {
  Process& platform = timeline_.Find(kPlatform);
  timeline_.Send(
      *steward.process, platform,
      [this, &steward, &platform, is_write, run = std::move(run), lost] {
        timeline_.After(
            platform, store_delay_,
            [this, &steward, &platform, is_write, run, lost] {
              const bool down = store_mode_ == "down";
              const bool hide = store_mode_ == "lost-answers" && is_write;
              StewardEvent reply = down ? lost() : run();
              if (hide)
                reply = lost();
              timeline_.Send(platform, *steward.process,
                             [this, &steward, reply] { Step(steward, reply); });
            });
      });
}

void World::CarryOrder(Steward& steward, const HolderOrder& order) {
  const auto reply = [this, &steward](Process& from,
                                      const HolderStatus& status) {
    timeline_.Send(from, *steward.process, [this, &steward, status] {
      Step(steward, HolderReplied{status});
    });
  };
  const auto target = targets_.find(order.holder);
  if (target != targets_.end()) {
    Target& holder = target->second;
    timeline_.Send(*steward.process, *holder.process,
                   [this, &holder, order, reply] {
                     reply(*holder.process, OrderAtTarget(holder, order));
                   });
    return;
  }
  const auto router = routers_.find(order.holder);
  if (router == routers_.end())
    return;
  Router& holder = router->second;
  timeline_.Send(
      *steward.process, *holder.process, [this, &holder, order, reply] {
        HolderStatus status = holder.routes->Apply(LocalTime(holder), order);
        if (options_.flaw == Flaw::kForgetInFlight)
          status.draining.clear();
        reply(*holder.process, status);
      });
}

HolderStatus World::OrderAtTarget(Target& target, const HolderOrder& order) {
  if (!target.checks) {
    HolderStatus alive;
    alive.holder = target.record.id;
    alive.stamp.micros = timeline_.now().time_since_epoch().count();
    return alive;
  }
  HolderStatus status = target.book->Apply(LocalTime(target), order);
  // Every fence is looked at, since others lapse by time alone.
  std::map<VmId, std::set<PartitionKey>> standing;
  for (auto& [id, other] : targets_) {
    const bool stands = other.checks && other.process->alive &&
                        other.book->Standing(LocalTime(other));
    if (!stands)
      continue;
    for (const auto& [key, row] : other.book->rows())
      standing[id].insert(key);
  }
  checker_.OnFences(timeline_.now(), standing);
  return status;
}

void World::CarryPeer(Steward& steward, const SendPeer& send) {
  const auto found = stewards_.find(send.to);
  if (found == stewards_.end())
    return;
  Steward& to = found->second;
  const StewardId from = steward.machine->self();
  const auto forge = [&](const PeerMessage& message) {
    const StewardId forged = to.machine->self();
    timeline_.After(*steward.process, kTick, [this, &steward, forged, message] {
      Step(steward, PeerReceived{forged, message});
    });
  };
  const auto* seal = std::get_if<SealRequest>(&send.message);
  const auto* step_down = std::get_if<StepDown>(&send.message);
  if (seal && options_.flaw == Flaw::kForgedSealReplies) {
    forge(SealReply{seal->epoch, seal->holder, seal->lease, true,
                    StewardTiming{}.validity});
    return;
  }
  if (step_down && options_.flaw == Flaw::kForgedStepDown) {
    forge(StepDownAck{step_down->epoch});
    return;
  }
  timeline_.Send(*steward.process, *to.process,
                 [this, &to, from, message = send.message] {
                   Step(to, PeerReceived{from, message});
                 });
}

}  // namespace figstall::replay
