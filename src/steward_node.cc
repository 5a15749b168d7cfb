// The threads around a ZoneSteward: steps, store calls, configuration and VM
// list.
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

constexpr std::size_t kEventRingCapacity = 65'536;
constexpr std::size_t kStoreJobRingCapacity = 64;
constexpr std::size_t kConfigurationRingCapacity = 16;
constexpr std::chrono::milliseconds kStepInterval{10};
// Affects only how often an idle thread wakes up: closing a ring wakes its
// waiting threads at once.
constexpr std::chrono::milliseconds kMaxIdleWait{1000};
constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(140);
constexpr Duration kLeaderLeaseTimeToLive = std::chrono::milliseconds(2000);
constexpr Duration kWatchTimeout = std::chrono::seconds(2);
constexpr std::chrono::milliseconds kVmListPollInterval{500};
constexpr Duration kVmListTimeout = std::chrono::seconds(1);
constexpr std::chrono::seconds kDistributionInterval{2};

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
      events_(kEventRingCapacity),
      store_jobs_(kStoreJobRingCapacity),
      received_configurations_(kConfigurationRingCapacity) {}

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

// --- Threads -----------------------------------------------------------------

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
    StatusSnapshot snapshot;
    snapshot.leading = steward_.leading();
    snapshot.authority = steward_.authority();
    snapshot.settled = steward_.settled();
    snapshot.admitted = steward_.admitted();
    snapshot.leader_timed_out = steward_.LeaderTimedOut(now);
    snapshot.epoch = steward_.epoch();
    const std::lock_guard lock(snapshot_mutex_);
    snapshot_ = snapshot;
  }
}

void StewardNode::RunStore() {
  while (!stopping_) {
    const auto job = store_jobs_.Pop(kMaxIdleWait);
    if (job)
      RunStoreJob(*job);
  }
}

void StewardNode::RunConfiguration() {
  HttpStore store(settings_.store);
  std::uint64_t known_version = 0;
  auto last_distributed_at =
      std::chrono::steady_clock::now() - kDistributionInterval;
  while (!stopping_) {
    const StatusSnapshot snapshot = CurrentSnapshot();
    // The zone's leader watches the store and sends the configuration to the
    // other stewards. They read it themselves only while no leader is active,
    // or until they have a first configuration.
    const bool reads_store = snapshot.leading || snapshot.leader_timed_out;
    const bool first = configuration_.Current() == nullptr;
    if (reads_store || first) {
      const Duration wait = first ? Duration{0} : kWatchTimeout;
      HandleError(
          [&]() -> Result<int> {
            BOOST_LEAF_AUTO(
                value, store.Watch(kConfigurationKey, known_version, wait));
            if (!value || value->version == known_version)
              return 0;
            known_version = value->version;
            ApplyConfiguration(value->value);
            return 0;
          },
          [](const Error&) { return 0; });
    }
    const auto now = std::chrono::steady_clock::now();
    const auto current = configuration_.Current();
    if (current && now - last_distributed_at >= kDistributionInterval) {
      last_distributed_at = now;
      DistributeConfiguration(*current);
    }
    const bool waits_for_offer = !reads_store || first;
    const auto offered = received_configurations_.Pop(
        waits_for_offer ? kMaxIdleWait : std::chrono::milliseconds(0));
    if (offered)
      ApplyConfiguration(*offered);
  }
}

void StewardNode::RunVmList() {
  HttpClient client(1);
  while (!stopping_) {
    std::this_thread::sleep_for(kVmListPollInterval);
    // Only the leader, or a steward that may become leader, needs the list.
    const StatusSnapshot snapshot = CurrentSnapshot();
    if (!snapshot.leading && !snapshot.leader_timed_out)
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

// --- Actions -----------------------------------------------------------------

void StewardNode::Push(StewardEvent event) {
  // A dropped event has the effect of a lost message: the steward repeats each
  // request until a reply arrives.
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
    SendOrderToTarget(*vm, order);
    return;
  }
  peers_->SendOrder(vm->router, order,
                    [this](std::optional<HolderStatus> status) {
                      if (status)
                        Push(HolderReplied{std::move(*status)});
                    });
}

void StewardNode::SendOrderToTarget(const VmRecord& target,
                                    const HolderOrder& order) {
  const ServiceRecord* service =
      configuration_.Current()->FindService(target.service);
  const bool sends_order = service && service->checks_grants;
  HttpClientRequest request;
  request.timeout = settings_.timing.holder_timeout;
  request.connect_timeout = settings_.timing.holder_timeout;
  request.url = "http://" + target.http.ToString() +
                (sends_order ? kOrderPath : "/figstall/live");
  if (sends_order) {
    request.method = "POST";
    request.body = SerializeOrder(order);
  }
  target_client_.Submit(std::move(request), [this, sends_order,
                                             holder = target.id](
                                                const HttpResult& result) {
    const bool answered =
        result.failure == HttpFailure::kNone && result.response.status == 200;
    if (!answered)
      return;
    if (!sends_order) {
      HolderStatus live_status;
      live_status.holder = holder;
      live_status.stamp.micros = BootNow().time_since_epoch().count();
      Push(HolderReplied{std::move(live_status)});
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
          const bool conflict = error.code == ErrorCode::kConflict;
          reply.outcome =
              conflict ? StoreOutcome::kConflict : StoreOutcome::kUnknown;
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
                              kLeaderLeaseTimeToLive, kStoreCallTimeout));
          reply.answered = true;
          return 0;
        },
        [](const Error&) { return 0; });
    Push(reply);
  }
}

// --- Configuration -----------------------------------------------------------

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
        const std::string location =
            error.findings.empty() ? "" : error.findings.front().ToString();
        log_.Write(LogLevel::kError, "configuration-refused",
                   {{"error", error.message}, {"place", location}});
        return 0;
      });
}

void StewardNode::DistributeConfiguration(const Configuration& configuration) {
  if (!peers_)
    return;
  const bool leading = CurrentSnapshot().leading;
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

StewardNode::StatusSnapshot StewardNode::CurrentSnapshot() const {
  const std::lock_guard lock(snapshot_mutex_);
  return snapshot_;
}

ServerResponse StewardNode::OnHttp(const ServerRequest& call) const {
  const StatusSnapshot snapshot = CurrentSnapshot();
  if (call.path == "/figstall/live")
    return {200, "text/plain", {}, "live\n"};
  if (call.path == "/figstall/ready") {
    if (snapshot.admitted)
      return {200, "text/plain", {}, "ready\n"};
    return {503, "text/plain", {}, "not admitted to the zone yet\n"};
  }
  if (call.path == "/figstall/metrics")
    return {200, "text/plain; version=0.0.4", {}, metrics_.Expose()};
  if (call.path == "/figstall/status") {
    const json body = {{"steward", self_.ToString()},
                       {"zone", settings_.zone.value()},
                       {"revision", configuration_.revision()},
                       {"leading", snapshot.leading},
                       {"authority", snapshot.authority},
                       {"settled", snapshot.settled},
                       {"admitted", snapshot.admitted},
                       {"epoch", snapshot.epoch}};
    return {200, "application/json", {}, body.dump() + "\n"};
  }
  return {404, "text/plain", {}, "no such page\n"};
}

}  // namespace figstall
