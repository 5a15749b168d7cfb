// Implements the threads around a ZoneSteward.
#include "figstall/steward_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "figstall/clock.h"
#include "figstall/holder_json.h"
#include "figstall/schema_check.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr std::size_t kEventRing = 65'536;
constexpr std::size_t kStoreRing = 64;
constexpr std::size_t kOfferRing = 16;
constexpr std::chrono::milliseconds kStepInterval{10};
// Closing a ring wakes whoever waits, so this bounds nothing but idle wake-ups.
constexpr std::chrono::milliseconds kIdleWait{1000};
constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(140);
constexpr Duration kLeaseTimeToLive = std::chrono::milliseconds(2000);
constexpr Duration kWatchWait = std::chrono::seconds(2);
constexpr std::chrono::milliseconds kPollInterval{500};
constexpr Duration kVmListTimeout = std::chrono::seconds(1);
constexpr std::chrono::seconds kSpreadInterval{2};

}  // namespace

std::string ZoneDocumentKey(const ZoneId& zone) {
  return "figstall/zones/" + zone.value() + "/document";
}

std::string LeaderLeaseKey(const ZoneId& zone) {
  return "figstall/zones/" + zone.value() + "/leader";
}

StewardNode::StewardNode(StewardSettings settings,
                         std::uint64_t incarnation,
                         Log& log,
                         Metrics& metrics)
    : settings_(std::move(settings)),
      self_{settings_.vm, incarnation},
      log_(log),
      metrics_(metrics),
      steward_(self_, settings_.timing, settings_.limits),
      store_(settings_.store),
      events_(kEventRing),
      store_jobs_(kStoreRing),
      received_configurations_(kOfferRing) {}

StewardNode::~StewardNode() {
  Stop();
}

StewardHandlers StewardNode::PeerHandlers() {
  StewardHandlers handlers;
  handlers.on_message = [this](const StewardId& from,
                               const PeerMessage& message) {
    Push(PeerMessageReceived{from, message});
  };
  handlers.on_configuration = [this](std::uint64_t revision, std::string text) {
    if (!text.empty() && revision > configuration_.revision())
      received_configurations_.TryPush(std::move(text));
    return configuration_.revision();
  };
  return handlers;
}

void StewardNode::Start(RpcNode* peers) {
  peers_ = peers;
  threads_.emplace_back([this] { RunSteps(); });
  threads_.emplace_back([this] { RunStore(); });
  threads_.emplace_back([this] { RunConfiguration(); });
  threads_.emplace_back([this] { RunVmList(); });
}

void StewardNode::Stop() {
  if (stopping_.exchange(true))
    return;
  events_.Close();
  store_jobs_.Close();
  received_configurations_.Close();
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
  if (!peers_)
    return;
  for (const StewardAction& action : steward_.Resign()) {
    if (const auto* send = std::get_if<SendPeerMessage>(&action))
      DeliverPeerMessage(*send);
    if (const auto* decision = std::get_if<Decision>(&action))
      LogDecision(*decision);
  }
  store_.ReleaseLease(LeaderLeaseKey(settings_.zone), kStoreCallTimeout);
}

// --- Threads
// -------------------------------------------------------------------

void StewardNode::RunSteps() {
  Instant last_tick{};
  while (!stopping_) {
    const auto event = events_.Pop(kStepInterval);
    const Instant now = BootNow();
    if (event)
      ExecuteActions(steward_.Step(now, *event));
    if (now - last_tick < kStepInterval)
      continue;
    last_tick = now;
    ExecuteActions(steward_.Step(now, Tick{}));
    StatusSnapshot view;
    view.leading = steward_.leading();
    view.authority = steward_.authority();
    view.settled = steward_.settled();
    view.admitted = steward_.admitted();
    view.leader_timed_out = steward_.LeaderTimedOut(now);
    view.epoch = steward_.epoch();
    const std::lock_guard lock(view_mutex_);
    view_ = view;
  }
}

void StewardNode::RunStore() {
  while (!stopping_) {
    const auto job = store_jobs_.Pop(kIdleWait);
    if (job)
      RunStoreJob(*job);
  }
}

void StewardNode::RunConfiguration() {
  HttpStore store(settings_.store);
  std::uint64_t known = 0;
  auto last_spread = std::chrono::steady_clock::now() - kSpreadInterval;
  while (!stopping_) {
    const StatusSnapshot view = CurrentView();
    // One reader for each zone; the others are told by it, and read for
    // themselves only while nobody leads.
    const bool reads = view.leading || view.leader_timed_out;
    const bool first = configuration_.Current() == nullptr;
    if (reads || first) {
      const Duration wait = first ? Duration{0} : kWatchWait;
      HandleError(
          [&]() -> Result<int> {
            BOOST_LEAF_AUTO(value, store.Watch(kConfigurationKey, known, wait));
            if (!value || value->version == known)
              return 0;
            known = value->version;
            ApplyConfiguration(value->value);
            return 0;
          },
          [](const Error&) { return 0; });
    }
    const auto now = std::chrono::steady_clock::now();
    const auto current = configuration_.Current();
    if (current && now - last_spread >= kSpreadInterval) {
      last_spread = now;
      DistributeConfiguration(*current);
    }
    const bool pause = !reads || first;
    const auto offered = received_configurations_.Pop(
        pause ? kIdleWait : std::chrono::milliseconds(0));
    if (offered)
      ApplyConfiguration(*offered);
  }
}

void StewardNode::RunVmList() {
  HttpClient client(1);
  while (!stopping_) {
    std::this_thread::sleep_for(kPollInterval);
    // Only a leader, or one who may become it, needs the list.
    const StatusSnapshot view = CurrentView();
    if (!view.leading && !view.leader_timed_out)
      continue;
    HttpClientRequest request;
    request.url = settings_.vm_list;
    request.timeout = kVmListTimeout;
    const HttpResult result = client.Perform(request);
    const json list =
        json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
    const bool usable = result.failure == HttpFailure::kNone &&
                        list.is_object() && list.contains("version") &&
                        list.contains("vms");
    if (usable) {
      VmListChanged changed;
      changed.version = list.value("version", std::uint64_t{0});
      for (const json& vm : list.at("vms"))
        changed.listed.insert(VmId(vm.value("name", "")));
      Push(std::move(changed));
    }
  }
}

// --- Carrying actions out
// --------------------------------------------------------

void StewardNode::Push(StewardEvent event) {
  // A lost event is like a lost message: every step is repeated until answered.
  if (!events_.TryPush(std::move(event)))
    metrics_.Counter("figstall_events_dropped_total", "").fetch_add(1);
}

void StewardNode::ExecuteActions(const StewardActions& actions) {
  for (const StewardAction& action : actions) {
    if (const auto* order = std::get_if<SendOrder>(&action)) {
      DeliverOrder(order->order);
    } else if (const auto* peer = std::get_if<SendPeerMessage>(&action)) {
      DeliverPeerMessage(*peer);
    } else if (const auto* decision = std::get_if<Decision>(&action)) {
      LogDecision(*decision);
    } else if (const auto* read = std::get_if<ReadZone>(&action)) {
      store_jobs_.TryPush(*read);
    } else if (const auto* write = std::get_if<WriteZone>(&action)) {
      store_jobs_.TryPush(*write);
    } else if (const auto* acquire = std::get_if<AcquireLeaderLease>(&action)) {
      store_jobs_.TryPush(*acquire);
    }
  }
}

void StewardNode::DeliverOrder(const HolderOrder& order) {
  const auto configuration = configuration_.Current();
  const VmRecord* vm =
      configuration ? configuration->FindVm(order.holder) : nullptr;
  if (!vm)
    return;
  metrics_.Counter("figstall_orders_sent_total", "").fetch_add(1);
  if (vm->role == VmRole::kTarget) {
    ProbeTarget(*vm, order);
    return;
  }
  peers_->SendOrder(vm->router, order,
                    [this](std::optional<HolderStatus> status) {
                      if (status)
                        Push(HolderReplied{std::move(*status)});
                    });
}

void StewardNode::ProbeTarget(const VmRecord& target,
                              const HolderOrder& order) {
  const ServiceRecord* service =
      configuration_.Current()->FindService(target.service);
  const bool checks = service && service->checks_grants;
  HttpClientRequest request;
  request.timeout = settings_.timing.holder_timeout;
  request.connect_timeout = settings_.timing.holder_timeout;
  request.url = "http://" + target.http.ToString() +
                (checks ? kOrderPath : "/figstall/live");
  if (checks) {
    request.method = "POST";
    request.body = SerializeOrder(order);
  }
  fanout_.Submit(std::move(request), [this, checks, holder = target.id](
                                         const HttpResult& result) {
    const bool answered =
        result.failure == HttpFailure::kNone && result.response.status == 200;
    if (!answered)
      return;
    if (!checks) {
      HolderStatus alive;
      alive.holder = holder;
      alive.stamp.micros = BootNow().time_since_epoch().count();
      Push(HolderReplied{std::move(alive)});
      return;
    }
    HandleError(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(status, ParseStatus(result.response.body));
          if (status.holder == holder)
            Push(HolderReplied{std::move(status)});
          return 0;
        },
        [&](const Error& error) {
          log_.Write(LogLevel::kWarning, "status-refused",
                     {{"target", holder.value()}, {"error", error.message}});
          return 0;
        });
  });
}

void StewardNode::DeliverPeerMessage(const SendPeerMessage& send) {
  const auto configuration = configuration_.Current();
  const VmRecord* vm = configuration ? configuration->FindVm(send.to) : nullptr;
  if (!vm || vm->role != VmRole::kEntry)
    return;
  metrics_.Counter("figstall_peer_messages_sent_total", "").fetch_add(1);
  peers_->Deliver(vm->steward, self_, send.message);
}

void StewardNode::LogDecision(const Decision& decision) {
  metrics_
      .Counter("figstall_decisions_total",
               fmt::format("what=\"{}\"", decision.what))
      .fetch_add(1);
  log_.Write(LogLevel::kInfo, decision.what,
             {{"subject", decision.subject},
              {"target", decision.target},
              {"term", decision.term.ToString()},
              {"reason", decision.reason}});
}

void StewardNode::RunStoreJob(const StoreJob& job) {
  const std::string key = ZoneDocumentKey(settings_.zone);
  metrics_.Counter("figstall_store_calls_total", "").fetch_add(1);
  if (const auto* read = std::get_if<ReadZone>(&job)) {
    ZoneReadResult reply;
    reply.call = read->call;
    HandleError(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(value, store_.Read(key, kStoreCallTimeout));
          if (value) {
            BOOST_LEAF_ASSIGN(reply.document, ParseZoneDocument(value->value));
            reply.version = value->version;
          }
          reply.answered = true;
          return 0;
        },
        [&](const Error& error) {
          log_.Write(LogLevel::kWarning, "store-read-failed",
                     {{"error", error.message}});
          return 0;
        });
    Push(std::move(reply));
  } else if (const auto* write = std::get_if<WriteZone>(&job)) {
    ZoneWriteResult reply;
    reply.call = write->call;
    HandleError(
        [&]() -> Result<int> {
          BOOST_LEAF_ASSIGN(
              reply.version,
              store_.Write({{key, SerializeZoneDocument(write->document),
                             write->expected_version}},
                           kStoreCallTimeout));
          reply.outcome = StoreOutcome::kDone;
          return 0;
        },
        [&](const Error& error) {
          const bool lost_race = error.code == ErrorCode::kConflict;
          reply.outcome =
              lost_race ? StoreOutcome::kConflict : StoreOutcome::kUnknown;
          log_.Write(LogLevel::kWarning, "store-write-failed",
                     {{"error", error.message}});
          return 0;
        });
    Push(reply);
  } else if (std::holds_alternative<AcquireLeaderLease>(job)) {
    LeaderLeaseReply reply;
    HandleError(
        [&]() -> Result<int> {
          BOOST_LEAF_ASSIGN(
              reply.held, store_.AcquireLease(
                              LeaderLeaseKey(settings_.zone), self_.ToString(),
                              kLeaseTimeToLive, kStoreCallTimeout));
          reply.answered = true;
          return 0;
        },
        [](const Error&) { return 0; });
    Push(reply);
  }
}

// --- Configuration
// ---------------------------------------------------------------

void StewardNode::ApplyConfiguration(const std::string& text) {
  HandleError(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(parsed, Configuration::Parse(text, kConfigurationKey));
        if (!configuration_.UpdateIfNewer(parsed))
          return 0;
        log_.Write(LogLevel::kInfo, "configuration-accepted",
                   {{"revision", std::to_string(parsed->revision())}});
        Push(PlanChanged{parsed->PlanFor(settings_.zone)});
        DistributeConfiguration(*parsed);
        return 0;
      },
      [&](const Error& error) {
        const std::string place =
            error.findings.empty() ? "" : error.findings.front().ToString();
        log_.Write(LogLevel::kError, "configuration-refused",
                   {{"error", error.message}, {"place", place}});
        return 0;
      });
}

void StewardNode::DistributeConfiguration(const Configuration& configuration) {
  if (!peers_)
    return;
  const bool leading = CurrentView().leading;
  for (const VmRecord* vm : configuration.EntryVms(settings_.zone)) {
    const bool own = vm->id == settings_.vm;
    if (own || leading)
      peers_->OfferConfigurationToRouter(vm->router, configuration.revision(),
                                         configuration.text());
    if (!own && leading)
      peers_->OfferConfigurationToSteward(vm->steward, configuration.revision(),
                                          configuration.text());
  }
}

StewardNode::StatusSnapshot StewardNode::CurrentView() const {
  const std::lock_guard lock(view_mutex_);
  return view_;
}

ServerResponse StewardNode::OnHttp(const ServerRequest& call) const {
  const StatusSnapshot view = CurrentView();
  if (call.path == "/figstall/live")
    return {200, "text/plain", {}, "live\n"};
  if (call.path == "/figstall/ready") {
    if (view.admitted)
      return {200, "text/plain", {}, "ready\n"};
    return {503, "text/plain", {}, "not admitted to the zone yet\n"};
  }
  if (call.path == "/figstall/metrics")
    return {200, "text/plain; version=0.0.4", {}, metrics_.Expose()};
  if (call.path == "/figstall/status") {
    const json body = {{"steward", self_.ToString()},
                       {"zone", settings_.zone.value()},
                       {"revision", configuration_.revision()},
                       {"leading", view.leading},
                       {"authority", view.authority},
                       {"settled", view.settled},
                       {"admitted", view.admitted},
                       {"epoch", view.epoch}};
    return {200, "application/json", {}, body.dump() + "\n"};
  }
  return {404, "text/plain", {}, "no such page\n"};
}

}  // namespace figstall
