// Implements a router's data path.
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
// Closing a ring wakes whoever waits, so this bounds nothing but idle wake-ups.
constexpr std::chrono::milliseconds kIdleWait{1000};
constexpr std::uint64_t kRequestOverheadBytes = 256;

// Identifies a request's content; never zero.
std::uint64_t DigestOf(const Request& request) {
  const std::string content = request.method + "\n" + request.path + "\n" +
                              request.content_type + "\n" + request.body;
  return XXH3_64bits(content.data(), content.size()) | 1;
}

std::uint64_t DrawRandom() {
  thread_local std::mt19937_64 generator(std::random_device{}());
  return generator();
}

// What a target's reply means for the request.
Answer Judge(const HttpResult& result) {
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
      retries_(kRetryRatio, kRetryReserve),
      link_(settings_.link_bytes_per_second, kLinkBurst),
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

// --- What other processes ask
// --------------------------------------------------

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
  Ring<ForwardJob>& own =
      request.lane == Lane::kBulk ? for_target_bulk_ : for_target_;
  Ring<ForwardJob>& ring = as_issuer ? for_issuer_ : own;
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

// --- The course of a request
// -----------------------------------------------------

Answer RouterNode::Serve(const Request& request, Arrival arrival) {
  const Instant begin = BootNow();
  ++in_flight_;
  // A stopping router still decides about the ids that it has issued.
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
    return RunFlow(request, arrival);
  }
  if (arrival == Arrival::kForIssuer)
    return ServeAtMostOnce(request);
  const AdmissionSlot slot(gate_, request.lane, request.deadline);
  if (!slot.entered())
    return Refuse(request, arrival, Reason::kOverloaded);
  if (request.idempotent)
    return RunFlow(request, arrival);
  const bool own = request.id && request.id->router == settings_.vm;
  return own ? ServeAtMostOnce(request) : ForwardToIssuer(request);
}

Answer RouterNode::Refuse(const Request& request,
                          Arrival arrival,
                          Reason reason) {
  const bool repeatable =
      request.idempotent || !request.id || arrival == Arrival::kForTarget;
  if (repeatable)
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
  Answer answer = RunFlow(request, Arrival::kForIssuer);
  const std::lock_guard lock(once_mutex_);
  at_most_once_.Finish(BootNow(), *request.id, answer);
  return answer;
}

Answer RouterNode::ForwardToIssuer(const Request& request) {
  const auto configuration = configuration_.Current();
  const VmRecord* issuer = configuration->FindVm(request.id->router);
  // An earlier use may have run, so a lost issuer never means "not run".
  if (!issuer || issuer->role != VmRole::kEntry)
    return Unknown(Reason::kIssuerLost);
  Answer answer =
      peers_->Forward(issuer->router, request, /*as_issuer=*/true, BootNow());
  if (MayTryOtherRouter(answer))
    return Unknown(Reason::kIssuerLost);
  return answer;
}

Answer RouterNode::RunFlow(const Request& request, Arrival arrival) {
  {
    const std::lock_guard lock(budget_mutex_);
    retries_.OnFirstAttempt();
  }
  RetryController flow(request.idempotent, request.deadline, RetryPolicy{},
                       [this] {
                         const std::lock_guard lock(budget_mutex_);
                         return retries_.TryRetry();
                       });
  for (;;) {
    const Answer attempt = Attempt(request, arrival);
    const RetryDecision decision = flow.OnAttempt(BootNow(), attempt);
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
  RoutedRequest work = routes_.BeginRequest(BootNow(), service.id, partition);
  if (work.decision.kind == RouteKind::kOtherZone) {
    if (arrival == Arrival::kForTarget)
      return NotRun(Reason::kNoOwner);
    return ForwardToZone(request, configuration,
                         configuration.HomeZoneOf(service, partition));
  }
  if (work.decision.kind == RouteKind::kNoOwner)
    return NotRun(Reason::kNoOwner);
  const TargetPool::PooledTargetPtr link =
      targets_.Find(routes_.TargetVmId(work.decision.target));
  if (!link)
    return NotRun(Reason::kNoTarget);
  if (link->Ejected(BootNow()))
    return NotRun(Reason::kNoOwner);
  return SendToTarget(request, link, partition, work.decision.term,
                      std::move(work.guard));
}

Answer RouterNode::AttemptShared(const Request& request,
                                 const ServiceRecord& service,
                                 const Configuration& configuration,
                                 Arrival arrival) {
  const TargetPool::PooledTargetPtr link =
      targets_.PickShared(BootNow(), service.id, DrawRandom());
  if (link) {
    return SendToTarget(request, link,
                        PartitionOf(request.key, service.partitions),
                        FencingToken{}, InFlightGuard{});
  }
  if (arrival == Arrival::kForTarget)
    return NotRun(Reason::kNoTarget);
  std::vector<std::pair<bool, ZoneId>> zones;
  for (const VmRecord* target : configuration.Targets(service.id)) {
    const bool usable =
        target->zone != settings_.zone && target->state != VmState::kLeaving;
    if (usable)
      zones.emplace_back(target->region != settings_.region, target->zone);
  }
  // The own region's zones sort before the others.
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  Answer answer = NotRun(Reason::kNoTarget);
  for (const auto& [far, zone] : zones) {
    answer = ForwardToZone(request, configuration, zone);
    const bool next = answer.outcome == Outcome::kNotRun &&
                      (answer.reason == Reason::kZoneUnreachable ||
                       answer.reason == Reason::kNoTarget);
    if (!next)
      return answer;
  }
  return answer;
}

Answer RouterNode::ForwardToZone(const Request& request,
                                 const Configuration& configuration,
                                 const ZoneId& zone) {
  const bool crosses = configuration.RegionOf(zone) != settings_.region;
  if (crosses) {
    const std::lock_guard lock(budget_mutex_);
    if (!link_.MaySend(BootNow(), request.lane))
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
    const std::lock_guard lock(suspect_mutex_);
    std::erase_if(routers, [&](const VmRecord* vm) {
      const auto suspect = ejected_peers_.find(vm->id);
      return suspect != ejected_peers_.end() && suspect->second > BootNow();
    });
  }
  for (const VmRecord* router : routers) {
    if (BootNow() >= request.deadline)
      return NotRun(Reason::kDeadline);
    Answer answer = peers_->Forward(router->router, request,
                                    /*as_issuer=*/false, BootNow());
    if (crosses) {
      const std::lock_guard lock(budget_mutex_);
      link_.Charge(BootNow(), kRequestOverheadBytes + request.body.size() +
                                  answer.body.size());
    }
    if (!MayTryOtherRouter(answer))
      return answer;
    const std::lock_guard lock(suspect_mutex_);
    ejected_peers_[router->id] = BootNow() + kPeerEjectionDuration;
  }
  return NotRun(Reason::kZoneUnreachable);
}

Answer RouterNode::SendToTarget(const Request& request,
                                const TargetPool::PooledTargetPtr& link,
                                std::uint32_t partition,
                                FencingToken term,
                                InFlightGuard guard) {
  const AdmissionSlot slot(link->gate(), request.lane, request.deadline);
  if (!slot.entered())
    return NotRun(Reason::kOverloaded);
  const Instant begin = BootNow();
  const Duration left = request.deadline - begin;
  if (left <= Duration{0})
    return NotRun(Reason::kDeadline);
  const std::string attempt = fmt::format("{}.{:x}.a{}", settings_.vm.value(),
                                          incarnation_, next_attempt_++);
  HttpClientRequest sent;
  sent.method = request.method;
  sent.url = "http://" + link->endpoint().ToString() + request.path;
  sent.body = request.body;
  sent.timeout = AttemptTimeout(request, begin);
  sent.fresh_connection = !request.idempotent;
  sent.expected_header = {"figstall-attempt", attempt};
  sent.headers = {
      fmt::format("Figstall-Attempt: {}", attempt),
      fmt::format("Figstall-Service: {}", request.service.value()),
      fmt::format("Figstall-Partition: {}", partition),
      fmt::format("Figstall-Term: {}", term.ToString()),
      fmt::format(
          "Figstall-Deadline-Ms: {}",
          std::chrono::duration_cast<std::chrono::milliseconds>(left).count())};
  if (request.id)
    sent.headers.push_back(
        fmt::format("Figstall-Request-Id: {}", request.id->ToString()));
  if (!request.content_type.empty())
    sent.headers.push_back("Content-Type: " + request.content_type);
  ++link->in_flight();
  const HttpResult result = link->client().Perform(sent);
  --link->in_flight();
  Answer answer = Judge(result);
  answer.target = link->id();
  answer.term = term;
  if (answer.reason == Reason::kTargetUnreachable)
    link->OnUnreachable(BootNow());
  if (answer.outcome == Outcome::kAnswered)
    link->OnAnswer(BootNow() - begin);
  if (answer.outcome == Outcome::kUnknown) {
    CancelJob job{link, attempt,
                  std::make_shared<InFlightGuard>(std::move(guard)), BootNow()};
    if (!cancels_.TryPush(job))
      job.guard->KeepCounted();
  }
  return answer;
}

// --- Cancelling what was abandoned
// -------------------------------------------------

bool RouterNode::TryCancel(const CancelJob& job) {
  HttpClientRequest cancel;
  cancel.method = "POST";
  cancel.url = "http://" + job.link->endpoint().ToString() + "/figstall/cancel";
  cancel.body = json{{"attempt", job.attempt}}.dump();
  cancel.timeout = kCancelTimeout;
  cancel.fresh_connection = true;
  const HttpResult result = job.link->client().Perform(cancel);
  const bool ended =
      result.failure == HttpFailure::kNone && result.response.status == 200;
  // A refused connection means that the process is gone, and its work with it.
  return result.connection_refused || ended;
}

void RouterNode::RunCancels() {
  while (!cancels_.closed()) {
    auto job = cancels_.Pop(kIdleWait);
    if (!job)
      continue;
    std::this_thread::sleep_until(job->next);
    if (TryCancel(*job))
      continue;
    const auto configuration = configuration_.Current();
    const bool declared_gone =
        !configuration || !configuration->FindVm(job->link->id()) ||
        configuration->FindVm(job->link->id())->state == VmState::kLost;
    if (declared_gone)
      continue;
    job->next = BootNow() + kCancelInterval;
    if (!cancels_.TryPush(*job))
      job->guard->KeepCounted();
  }
}

}  // namespace figstall
