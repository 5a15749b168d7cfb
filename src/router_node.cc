// Threads, forwarding, attempts and cancellation of a router's data path. The
// HTTP interface is in router_http.cc.
#include "figstall/router_node.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "figstall/caller_request.h"
#include "figstall/clock.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr std::size_t kForwardRing = 1'024;
constexpr std::size_t kCancelRing = 4'096;
constexpr int kIssuerThreads = 8;
constexpr int kTargetThreads = 16;
constexpr int kBulkThreads = 8;
constexpr double kRetryRatio = 0.1;
constexpr double kRetryReserve = 20;
constexpr Duration kLinkBurst = std::chrono::seconds(1);
constexpr Duration kPeerEjectionDuration = std::chrono::milliseconds(500);
constexpr Duration kCancelInterval = std::chrono::milliseconds(100);
constexpr Duration kCancelTimeout = std::chrono::milliseconds(200);
// Longest wait for a job. Closing a ring wakes its readers at once, so this
// limits only how often idle threads wake up.
constexpr std::chrono::milliseconds kIdleWait{1000};
constexpr std::uint64_t kRequestOverheadBytes = 256;

// Hash of a request's content; never zero, because zero marks an id that was
// not used yet.
std::uint64_t DigestOf(const Request& request) {
  const std::string content = request.method + "\n" + request.path + "\n" +
                              request.content_type + "\n" + request.body;
  return XXH3_64bits(content.data(), content.size()) | 1;
}

std::uint64_t DrawRandom() {
  thread_local std::mt19937_64 generator(std::random_device{}());
  return generator();
}

// Converts the result of an HTTP request to a target into an answer.
Answer AnswerFrom(const HttpResult& result) {
  switch (result.failure) {
    case HttpFailure::kNotSent:
      return NotRun(Reason::kTargetUnreachable);
    case HttpFailure::kTimeout:
      return Unknown(Reason::kTargetSilent);
    case HttpFailure::kInvalidResponse:
      return Unknown(Reason::kAnswerBroken);
    case HttpFailure::kNone:
      break;
  }
  const auto& headers = result.response.headers;
  if (headers.contains("figstall-not-run"))
    return NotRun(Reason::kTargetRefused);
  Answer answer;
  answer.outcome = Outcome::kAnswered;
  answer.status = result.response.status;
  answer.body = result.response.body;
  const auto type = headers.find("content-type");
  if (type != headers.end())
    answer.content_type = type->second;
  return answer;
}

}  // namespace

RouterNode::RouterNode(RouterSettings settings,
                       std::uint64_t incarnation,
                       Log& log,
                       Metrics& metrics)
    : settings_(std::move(settings)),
      incarnation_(incarnation),
      log_(log),
      metrics_(metrics),
      routes_(settings_.vm, incarnation, settings_.zone),
      targets_(settings_.zone),
      gate_(AdmissionLimits::ForSlots(settings_.slots, settings_.queue)),
      retry_budget_(kRetryRatio, kRetryReserve),
      link_budget_(settings_.link_bytes_per_second, kLinkBurst),
      at_most_once_(settings_.vm, incarnation, AtMostOnceRegistry::Limits{}),
      for_issuer_(kForwardRing),
      for_target_(kForwardRing),
      for_target_bulk_(kForwardRing),
      cancels_(kCancelRing) {
  const auto start = [this](int threads, Ring<ForwardJob>& ring,
                            Arrival arrival) {
    for (int i = 0; i < threads; ++i)
      workers_.emplace_back(
          [this, &ring, arrival] { RunForwards(ring, arrival); });
  };
  start(kIssuerThreads, for_issuer_, Arrival::kForIssuer);
  start(kTargetThreads, for_target_, Arrival::kForTarget);
  start(kBulkThreads, for_target_bulk_, Arrival::kForTarget);
  workers_.emplace_back([this] { RunCancels(); });
}

RouterNode::~RouterNode() {
  Stop();
}

void RouterNode::Stop() {
  for_issuer_.Close();
  for_target_.Close();
  for_target_bulk_.Close();
  cancels_.Close();
  for (std::thread& worker : workers_)
    worker.join();
  workers_.clear();
}

// --- Messages of other processes ---

RouterHandlers RouterNode::PeerHandlers() {
  RouterHandlers handlers;
  handlers.on_order = [this](const HolderOrder& order) {
    return routes_.Apply(BootNow(), order);
  };
  handlers.on_configuration = [this](std::uint64_t revision,
                                     const std::string& text) {
    if (!text.empty() && revision > configuration_.revision())
      OfferConfiguration(text);
    return configuration_.revision();
  };
  handlers.on_forward = [this](const Request& request, bool as_issuer,
                               const RouterHandlers::Reply& reply) {
    OnForward(request, as_issuer, reply);
  };
  return handlers;
}

void RouterNode::OfferConfiguration(const std::string& text) {
  HandleError(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(parsed, Configuration::Parse(text, kConfigurationKey));
        if (!configuration_.UpdateIfNewer(parsed))
          return 0;
        routes_.SetConfiguration(*parsed);
        targets_.SetConfiguration(*parsed);
        log_.Write(LogLevel::kInfo, "configuration-accepted",
                   {{"revision", std::to_string(parsed->revision())}});
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

void RouterNode::OnForward(const Request& request,
                           bool as_issuer,
                           const RouterHandlers::Reply& reply) {
  Ring<ForwardJob>& lane_ring =
      request.lane == Lane::kBulk ? for_target_bulk_ : for_target_;
  Ring<ForwardJob>& ring = as_issuer ? for_issuer_ : lane_ring;
  if (!ring.TryPush(ForwardJob{request, reply}))
    reply(Refuse(request, as_issuer ? Arrival::kForIssuer : Arrival::kForTarget,
                 Reason::kOverloaded));
}

void RouterNode::RunForwards(Ring<ForwardJob>& ring, Arrival arrival) {
  while (!ring.closed()) {
    const auto job = ring.Pop(kIdleWait);
    if (job)
      job->reply(Serve(job->request, arrival));
  }
}

void RouterNode::StartDraining(bool refuse) {
  draining_ = true;
  refusing_ = refusing_ || refuse;
}

bool RouterNode::ready() const {
  return !draining_ && configuration_.Current() != nullptr &&
         routes_.AllOwnersKnown();
}

// --- Handling of requests ---

Answer RouterNode::Serve(const Request& request, Arrival arrival) {
  const Instant begin = BootNow();
  ++in_flight_;
  // A stopping router still handles requests whose ids it has issued.
  const bool refused = refusing_ && arrival != Arrival::kForIssuer;
  Answer answer = refused ? Refuse(request, arrival, Reason::kStopping)
                          : ServeByArrival(request, arrival);
  --in_flight_;
  const Duration latency = BootNow() - begin;
  LogAnswer(request, arrival, answer, latency);
  return answer;
}

Answer RouterNode::ServeByArrival(const Request& request, Arrival arrival) {
  if (arrival == Arrival::kForTarget) {
    if (!routes_.AllOwnersKnown())
      return NotRun(Reason::kNotReady);
    return RunAttempts(request, arrival);
  }
  if (arrival == Arrival::kForIssuer)
    return ServeAtMostOnce(request);
  const AdmissionSlot slot(gate_, request.lane, request.deadline);
  if (!slot.entered())
    return Refuse(request, arrival, Reason::kOverloaded);
  if (request.idempotent)
    return RunAttempts(request, arrival);
  const bool issued_here = request.id && request.id->router == settings_.vm;
  return issued_here ? ServeAtMostOnce(request) : ForwardToIssuer(request);
}

Answer RouterNode::Refuse(const Request& request,
                          Arrival arrival,
                          Reason reason) {
  const bool skips_id_check =
      request.idempotent || !request.id || arrival == Arrival::kForTarget;
  if (skips_id_check)
    return NotRun(reason);
  const std::lock_guard lock(once_mutex_);
  return at_most_once_.KnownNotRun(*request.id) ? NotRun(reason)
                                                : Unknown(reason);
}

Answer RouterNode::ServeAtMostOnce(const Request& request) {
  if (!request.id)
    return NotRun(Reason::kBadRequest);
  AtMostOnceDecision decision;
  {
    const std::lock_guard lock(once_mutex_);
    decision = at_most_once_.Begin(BootNow(), *request.id, DigestOf(request));
  }
  switch (decision.verdict) {
    case AtMostOnceVerdict::kRun:
      break;
    case AtMostOnceVerdict::kRepeat:
      decision.answer.reason = Reason::kRepeat;
      return decision.answer;
    case AtMostOnceVerdict::kInProgress:
      return Unknown(Reason::kIdInProgress);
    case AtMostOnceVerdict::kExpired:
      return Unknown(Reason::kIdExpired);
    case AtMostOnceVerdict::kOtherIssuer:
      return Unknown(Reason::kIssuerLost);
    case AtMostOnceVerdict::kNeverIssued:
      return NotRun(Reason::kIdNeverIssued);
    case AtMostOnceVerdict::kReused:
      return NotRun(Reason::kIdReused);
  }
  Answer answer = RunAttempts(request, Arrival::kForIssuer);
  const std::lock_guard lock(once_mutex_);
  at_most_once_.Finish(BootNow(), *request.id, answer);
  return answer;
}

Answer RouterNode::ForwardToIssuer(const Request& request) {
  const auto configuration = configuration_.Current();
  const VmRecord* issuer = configuration->FindVm(request.id->router);
  // An earlier use of the id may have run, so the outcome is unknown if the
  // issuer is lost.
  if (!issuer || issuer->role != VmRole::kEntry)
    return Unknown(Reason::kIssuerLost);
  Answer answer =
      peers_->Forward(issuer->router, request, /*as_issuer=*/true, BootNow());
  if (MayTryOtherRouter(answer))
    return Unknown(Reason::kIssuerLost);
  return answer;
}

Answer RouterNode::RunAttempts(const Request& request, Arrival arrival) {
  {
    const std::lock_guard lock(budget_mutex_);
    retry_budget_.OnFirstAttempt();
  }
  RetryController retry_controller(request.idempotent, request.deadline,
                                   RetryPolicy{}, [this] {
                                     const std::lock_guard lock(budget_mutex_);
                                     return retry_budget_.TryRetry();
                                   });
  for (;;) {
    const Answer attempt = Attempt(request, arrival);
    const RetryDecision decision =
        retry_controller.OnAttempt(BootNow(), attempt);
    if (decision.verdict == RetryVerdict::kFinish)
      return decision.answer;
    std::this_thread::sleep_until(decision.not_before);
  }
}

Answer RouterNode::Attempt(const Request& request, Arrival arrival) {
  if (BootNow() >= request.deadline)
    return NotRun(Reason::kDeadline);
  const auto configuration = configuration_.Current();
  if (!configuration)
    return NotRun(Reason::kNoConfiguration);
  const ServiceRecord* service = configuration->FindService(request.service);
  if (!service)
    return NotRun(Reason::kNoSuchService);
  return service->exclusive
             ? AttemptOwned(request, *service, *configuration, arrival)
             : AttemptShared(request, *service, *configuration, arrival);
}

Answer RouterNode::AttemptOwned(const Request& request,
                                const ServiceRecord& service,
                                const Configuration& configuration,
                                Arrival arrival) {
  const std::uint32_t partition = PartitionOf(request.key, service.partitions);
  RoutedRequest routed = routes_.BeginRequest(BootNow(), service.id, partition);
  if (routed.decision.kind == RouteKind::kOtherZone) {
    if (arrival == Arrival::kForTarget)
      return NotRun(Reason::kNoOwner);
    return ForwardToZone(request, configuration,
                         configuration.HomeZoneOf(service, partition));
  }
  if (routed.decision.kind == RouteKind::kNoOwner)
    return NotRun(Reason::kNoOwner);
  const TargetPool::PooledTargetPtr target =
      targets_.Find(routes_.TargetVmId(routed.decision.target));
  if (!target)
    return NotRun(Reason::kNoTarget);
  if (target->Ejected(BootNow()))
    return NotRun(Reason::kNoOwner);
  return SendToTarget(request, target, partition, routed.decision.term,
                      std::move(routed.guard));
}

Answer RouterNode::AttemptShared(const Request& request,
                                 const ServiceRecord& service,
                                 const Configuration& configuration,
                                 Arrival arrival) {
  const TargetPool::PooledTargetPtr target =
      targets_.PickShared(BootNow(), service.id, DrawRandom());
  if (target) {
    return SendToTarget(request, target,
                        PartitionOf(request.key, service.partitions),
                        FencingToken{}, InFlightGuard{});
  }
  if (arrival == Arrival::kForTarget)
    return NotRun(Reason::kNoTarget);
  std::vector<std::pair<bool, ZoneId>> zones;
  for (const VmRecord* vm : configuration.Targets(service.id)) {
    const bool usable =
        vm->zone != settings_.zone && vm->state != VmState::kLeaving;
    if (usable)
      zones.emplace_back(vm->region != settings_.region, vm->zone);
  }
  // Zones of this router's region sort before those of other regions.
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  Answer answer = NotRun(Reason::kNoTarget);
  for (const auto& [other_region, zone] : zones) {
    answer = ForwardToZone(request, configuration, zone);
    const bool try_next_zone = answer.outcome == Outcome::kNotRun &&
                               (answer.reason == Reason::kZoneUnreachable ||
                                answer.reason == Reason::kNoTarget);
    if (!try_next_zone)
      return answer;
  }
  return answer;
}

Answer RouterNode::ForwardToZone(const Request& request,
                                 const Configuration& configuration,
                                 const ZoneId& zone) {
  const bool crosses_regions = configuration.RegionOf(zone) != settings_.region;
  if (crosses_regions) {
    const std::lock_guard lock(budget_mutex_);
    if (!link_budget_.MaySend(BootNow(), request.lane))
      return NotRun(Reason::kLinkBudget);
  }
  std::vector<const VmRecord*> routers = configuration.EntryVms(zone);
  if (routers.empty())
    return NotRun(Reason::kZoneUnreachable);
  std::rotate(routers.begin(),
              routers.begin() +
                  static_cast<std::ptrdiff_t>(DrawRandom() % routers.size()),
              routers.end());
  {
    const std::lock_guard lock(ejected_peers_mutex_);
    std::erase_if(routers, [&](const VmRecord* vm) {
      const auto ejected = ejected_peers_.find(vm->id);
      return ejected != ejected_peers_.end() && ejected->second > BootNow();
    });
  }
  for (const VmRecord* router : routers) {
    if (BootNow() >= request.deadline)
      return NotRun(Reason::kDeadline);
    Answer answer = peers_->Forward(router->router, request,
                                    /*as_issuer=*/false, BootNow());
    if (crosses_regions) {
      const std::lock_guard lock(budget_mutex_);
      link_budget_.Charge(
          BootNow(),
          kRequestOverheadBytes + request.body.size() + answer.body.size());
    }
    if (!MayTryOtherRouter(answer))
      return answer;
    const std::lock_guard lock(ejected_peers_mutex_);
    ejected_peers_[router->id] = BootNow() + kPeerEjectionDuration;
  }
  return NotRun(Reason::kZoneUnreachable);
}

Answer RouterNode::SendToTarget(const Request& request,
                                const TargetPool::PooledTargetPtr& target,
                                std::uint32_t partition,
                                FencingToken term,
                                InFlightGuard guard) {
  const AdmissionSlot slot(target->gate(), request.lane, request.deadline);
  if (!slot.entered())
    return NotRun(Reason::kOverloaded);
  const Instant begin = BootNow();
  const Duration remaining = request.deadline - begin;
  if (remaining <= Duration{0})
    return NotRun(Reason::kDeadline);
  const std::string attempt = fmt::format("{}.{:x}.a{}", settings_.vm.value(),
                                          incarnation_, next_attempt_++);
  HttpClientRequest sent;
  sent.method = request.method;
  sent.url = "http://" + target->endpoint().ToString() + request.path;
  sent.body = request.body;
  sent.timeout = AttemptTimeout(request, begin);
  sent.fresh_connection = !request.idempotent;
  sent.expected_header = {"figstall-attempt", attempt};
  sent.headers = {fmt::format("Figstall-Attempt: {}", attempt),
                  fmt::format("Figstall-Service: {}", request.service.value()),
                  fmt::format("Figstall-Partition: {}", partition),
                  fmt::format("Figstall-Term: {}", term.ToString()),
                  fmt::format("Figstall-Deadline-Ms: {}", ToMillis(remaining))};
  if (request.id)
    sent.headers.push_back(
        fmt::format("Figstall-Request-Id: {}", request.id->ToString()));
  if (!request.content_type.empty())
    sent.headers.push_back("Content-Type: " + request.content_type);
  ++target->in_flight();
  const HttpResult result = target->client().Perform(sent);
  --target->in_flight();
  Answer answer = AnswerFrom(result);
  answer.target = target->id();
  answer.term = term;
  if (answer.reason == Reason::kTargetUnreachable)
    target->OnUnreachable(BootNow());
  if (answer.outcome == Outcome::kAnswered)
    target->OnAnswer(BootNow() - begin);
  if (answer.outcome == Outcome::kUnknown) {
    CancelJob job{target, attempt,
                  std::make_shared<InFlightGuard>(std::move(guard)), BootNow()};
    if (!cancels_.TryPush(job))
      job.guard->KeepCounted();
  }
  return answer;
}

// --- Cancellation of attempts with an unknown outcome ---

bool RouterNode::TryCancel(const CancelJob& job) {
  HttpClientRequest cancel;
  cancel.method = "POST";
  cancel.url =
      "http://" + job.target->endpoint().ToString() + "/figstall/cancel";
  cancel.body = json{{"attempt", job.attempt}}.dump();
  cancel.timeout = kCancelTimeout;
  cancel.fresh_connection = true;
  const HttpResult result = job.target->client().Perform(cancel);
  const bool ended =
      result.failure == HttpFailure::kNone && result.response.status == 200;
  // A refused connection means that the target process has ended, and the
  // attempt with it.
  return result.connection_refused || ended;
}

void RouterNode::RunCancels() {
  while (!cancels_.closed()) {
    auto job = cancels_.Pop(kIdleWait);
    if (!job)
      continue;
    std::this_thread::sleep_until(job->not_before);
    if (TryCancel(*job))
      continue;
    const auto configuration = configuration_.Current();
    const bool removed_or_lost =
        !configuration || !configuration->FindVm(job->target->id()) ||
        configuration->FindVm(job->target->id())->state == VmState::kLost;
    if (removed_or_lost)
      continue;
    job->not_before = BootNow() + kCancelInterval;
    if (!cancels_.TryPush(*job))
      job->guard->KeepCounted();
  }
}

}  // namespace figstall
