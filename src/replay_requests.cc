// The request path of a simulated deployment up to the choice of a target:
// callers, routers, and forwarding between zones.
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "replay_deployment.h"

namespace figstall::replay {
namespace {

using nlohmann::json;

constexpr Duration kSlowRequestThreshold = std::chrono::milliseconds(200);
constexpr Duration kPeerEjectionDuration = std::chrono::milliseconds(500);
constexpr Duration kDisconnectDelay = std::chrono::milliseconds(1);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
constexpr Duration kCallerRetryInterval = std::chrono::milliseconds(50);
constexpr const char* kCallers = "callers";

std::uint64_t DigestOf(const Request& request) {
  return XXH3_64bits(request.body.data(), request.body.size()) | 1;
}

}  // namespace

// Callers.

void SimulatedDeployment::ScheduleCalls(const json& event) {
  const Duration duration = std::chrono::milliseconds(event.at("for_ms"));
  const double requests_per_second = event.at("per_second");
  const auto count = static_cast<std::int64_t>(
      requests_per_second * std::chrono::duration<double>(duration).count());
  const int key_count = event.value("keys", 200);
  const std::string fixed_key = event.value("key", "");
  const ServiceId service(event.at("service").get<std::string>());
  const ServiceRecord* record = configuration_->FindService(service);
  const std::string method = event.value("method", "GET");
  const std::string home_zone = event.value("home", "");
  std::uniform_int_distribution<int> random_key(0, key_count - 1);
  for (std::int64_t i = 0; i < count; ++i) {
    auto call = std::make_shared<Call>();
    call->call_id = fmt::format("t{}", ++next_call_id_);
    Request& request = call->request;
    request.service = service;
    do {
      request.key = fixed_key.empty()
                        ? fmt::format("key-{}", random_key(simulator_.random()))
                        : fixed_key;
    } while (!home_zone.empty() &&
             configuration_
                     ->HomeZoneOf(*record,
                                  PartitionOf(request.key, record->partitions))
                     .value() != home_zone);
    request.method = method;
    request.lane = record->lane;
    request.body = call->call_id;
    const auto& methods = record->repeatable_methods;
    request.idempotent =
        std::find(methods.begin(), methods.end(), method) != methods.end();
    call->timeout = std::chrono::milliseconds(event.value("deadline_ms", 2000));
    call->tries_left = request.idempotent ? 1 : event.value("uses", 3);
    if (event.contains("router"))
      call->only_router = VmId(event.at("router").get<std::string>());
    const Instant at = simulator_.now() + i * duration / count;
    simulator_.RunAt(at, [this, call] { StartCall(call); });
  }
}

void SimulatedDeployment::StartCall(const CallPtr& call) {
  if (call->started_at == Instant{})
    call->started_at = simulator_.now();
  std::vector<Router*> ready_routers;
  for (auto& [id, router] : routers_) {
    const bool named = call->only_router.empty() || call->only_router == id;
    // The load balancer skips routers that are down, stopping or not ready.
    const bool ready = router.process->alive && !router.stopping &&
                       router.routes->AllOwnersKnown();
    if (named && ready)
      ready_routers.push_back(&router);
  }
  if (ready_routers.empty()) {
    OnTryEnded(call, UnreachableAnswer(call));
    return;
  }
  std::uniform_int_distribution<std::size_t> random_index(
      0, ready_routers.size() - 1);
  Router& router = *ready_routers[random_index(simulator_.random())];
  const bool needs_id = !call->request.idempotent && !call->request.id;
  Process& callers = simulator_.Find(kCallers);
  if (!needs_id) {
    SendToRouter(call, router);
    return;
  }
  // The caller obtains a request id by one call and uses it in another, which
  // often goes to another router.
  simulator_.Send(callers, *router.process, [this, call, &router, &callers] {
    const RequestId id = router.request_registry->Issue(simulator_.now());
    simulator_.Send(*router.process, callers, [this, call, id] {
      call->request.id = id;
      StartCall(call);
    });
  });
}

Answer SimulatedDeployment::UnreachableAnswer(const CallPtr& call) {
  return call->may_have_run ? Unknown(Reason::kZoneUnreachable)
                            : NotRun(Reason::kZoneUnreachable);
}

void SimulatedDeployment::SendToRouter(const CallPtr& call, Router& router) {
  Process& callers = simulator_.Find(kCallers);
  const auto finished = std::make_shared<bool>(false);
  const auto finish = [this, call, finished](const Answer& answer) {
    if (std::exchange(*finished, true))
      return;
    OnTryEnded(call, answer);
  };
  Request request = call->request;
  request.deadline = simulator_.now() + call->timeout;
  simulator_.Send(
      callers, *router.process,
      [this, &router, request, finish, &callers] {
        ServeAtRouter(router, request,
                      [this, &router, finish, &callers](const Answer& answer) {
                        simulator_.Send(*router.process, callers,
                                        [finish, answer] { finish(answer); });
                      });
      },
      [this, call, finish] { finish(UnreachableAnswer(call)); });
  router.disconnect_callbacks.push_back([this, finish, &callers] {
    simulator_.RunAfter(callers, kDisconnectDelay,
                        [finish] { finish(Unknown(Reason::kTargetSilent)); });
  });
  // A frozen router never answers, so the caller's wait ends after twice its
  // timeout.
  simulator_.RunAfter(callers, 2 * call->timeout,
                      [finish] { finish(Unknown(Reason::kTargetSilent)); });
}

void SimulatedDeployment::OnTryEnded(const CallPtr& call,
                                     const Answer& answer) {
  --call->tries_left;
  call->may_have_run =
      call->may_have_run || answer.outcome == Outcome::kUnknown;
  if (answer.outcome != Outcome::kAnswered && call->tries_left > 0) {
    simulator_.RunAfter(simulator_.Find(kCallers), kCallerRetryInterval,
                        [this, call] { StartCall(call); });
    return;
  }
  checker_.OnOutcome(simulator_.now(), call->call_id, call->request.idempotent,
                     answer);
  const std::string outcome =
      call->request.service.value() + " " + ToString(answer.outcome);
  ++outcomes_[outcome];
  const bool answered = answer.outcome == Outcome::kAnswered;
  const bool slow =
      simulator_.now() - call->started_at > kSlowRequestThreshold || !answered;
  const ServiceRecord* service =
      configuration_->FindService(call->request.service);
  const PartitionKey key{service->id,
                         PartitionOf(call->request.key, service->partitions)};
  completed_requests_[key].push_back(
      {call->started_at, simulator_.now(), answered, slow});
  if (!slow)
    return;
  Print(fmt::format("request {} for {} from {}: {} {}", call->call_id,
                    ToString(key), call->started_at.time_since_epoch().count(),
                    ToString(answer.outcome), ToString(answer.reason)));
}

// Routers.

void SimulatedDeployment::ServeAtRouter(Router& router,
                                        const Request& request,
                                        AnswerCallback done) {
  if (router.stopping) {
    const bool not_run = request.idempotent || !request.id ||
                         router.request_registry->KnownNotRun(*request.id);
    done(not_run ? NotRun(Reason::kStopping) : Unknown(Reason::kStopping));
    return;
  }
  if (request.idempotent) {
    StartRequest(router, request, /*forwarded=*/false, std::move(done));
    return;
  }
  if (!request.id) {
    done(NotRun(Reason::kBadRequest));
    return;
  }
  if (request.id->router == router.vm) {
    ServeAtMostOnce(router, request, done);
    return;
  }
  const auto found = routers_.find(request.id->router);
  if (found == routers_.end()) {
    done(Unknown(Reason::kIssuerLost));
    return;
  }
  Router& issuer = found->second;
  const auto finished = std::make_shared<bool>(false);
  const AnswerCallback finish_once =
      DropAfterRestart(router, [finished, done](const Answer& answer) {
        if (!std::exchange(*finished, true))
          done(answer);
      });
  simulator_.Send(
      *router.process, *issuer.process,
      [this, &router, &issuer, request, finish_once] {
        ServeAtMostOnce(
            issuer, request,
            [this, &router, &issuer, finish_once](const Answer& answer) {
              simulator_.Send(*issuer.process, *router.process,
                              [finish_once, answer] { finish_once(answer); });
            });
      },
      [finish_once] { finish_once(Unknown(Reason::kIssuerLost)); });
  simulator_.RunAfter(
      *router.process, request.deadline - simulator_.now(),
      [finish_once] { finish_once(Unknown(Reason::kIssuerLost)); });
}

SimulatedDeployment::AnswerCallback SimulatedDeployment::DropAfterRestart(
    Router& router,
    AnswerCallback done) {
  return [&router, incarnation = router.process->incarnation,
          done = std::move(done)](const Answer& answer) {
    if (router.process->incarnation == incarnation)
      done(answer);
  };
}

void SimulatedDeployment::ServeAtMostOnce(Router& router,
                                          const Request& request,
                                          const AnswerCallback& done) {
  const Instant now = simulator_.now();
  const AtMostOnceDecision decision =
      router.request_registry->Begin(now, *request.id, DigestOf(request));
  switch (decision.verdict) {
    case AtMostOnceVerdict::kRun:
      StartRequest(router, request, /*forwarded=*/false,
                   [this, &router, request, done](const Answer& answer) {
                     router.request_registry->Finish(simulator_.now(),
                                                     *request.id, answer);
                     done(answer);
                   });
      return;
    case AtMostOnceVerdict::kRepeat:
      done(decision.answer);
      return;
    case AtMostOnceVerdict::kNeverIssued:
      done(NotRun(Reason::kIdNeverIssued));
      return;
    case AtMostOnceVerdict::kReused:
      done(NotRun(Reason::kIdReused));
      return;
    case AtMostOnceVerdict::kInProgress:
    case AtMostOnceVerdict::kExpired:
    case AtMostOnceVerdict::kOtherIssuer:
      done(Unknown(Reason::kIssuerLost));
      return;
  }
}

void SimulatedDeployment::StartRequest(Router& router,
                                       const Request& request,
                                       bool forwarded,
                                       AnswerCallback done) {
  auto active_request = std::make_shared<ActiveRequest>();
  active_request->request = request;
  active_request->forwarded = forwarded;
  active_request->done = std::move(done);
  const bool repeatable =
      request.idempotent || options_.mutation == Mutation::kRetryUnknown;
  router.retry_budget->OnFirstAttempt();
  active_request->retry_controller = std::make_unique<RetryController>(
      repeatable, request.deadline, RetryPolicy{},
      [&router] { return router.retry_budget->TryRetry(); });
  Attempt(router, active_request);
}

void SimulatedDeployment::Attempt(Router& router,
                                  const ActiveRequestPtr& active_request) {
  const Instant now = simulator_.now();
  const auto configuration = router.configuration->Current();
  const auto refuse = [&](Reason reason) {
    OnAttempt(router, active_request, NotRun(reason));
  };
  if (now >= active_request->request.deadline)
    return refuse(Reason::kDeadline);
  if (!configuration)
    return refuse(Reason::kNoConfiguration);
  const ServiceRecord* service =
      configuration->FindService(active_request->request.service);
  if (!service)
    return refuse(Reason::kNoSuchService);
  const std::uint32_t partition =
      PartitionOf(active_request->request.key, service->partitions);
  if (!service->exclusive) {
    // Partitions of shared services have no owner; any live target in the
    // router's zone can execute the request.
    for (auto& [id, target] : targets_) {
      const bool matches = target.record.service == service->id &&
                           target.record.zone == router.zone &&
                           target.process->alive;
      if (matches)
        return SendToTarget(router, active_request, target, FencingToken{},
                            partition, {});
    }
    return refuse(Reason::kNoTarget);
  }
  RoutedRequest routed =
      router.routes->BeginRequest(LocalTime(router), service->id, partition);
  if (routed.decision.kind == RouteKind::kOtherZone) {
    if (active_request->forwarded)
      return refuse(Reason::kNoOwner);
    return ForwardToZone(router, active_request,
                         configuration->HomeZoneOf(*service, partition), 0);
  }
  if (routed.decision.kind == RouteKind::kNoOwner)
    return refuse(Reason::kNoOwner);
  const VmId target_id = router.routes->TargetVmId(routed.decision.target);
  const auto target = targets_.find(target_id);
  if (target == targets_.end())
    return refuse(Reason::kNoTarget);
  if (router.ejected_until[target_id] > now)
    return refuse(Reason::kNoOwner);
  SendToTarget(router, active_request, target->second, routed.decision.term,
               partition, std::move(routed.guard));
}

void SimulatedDeployment::OnAttempt(Router& router,
                                    const ActiveRequestPtr& active_request,
                                    const Answer& answer) {
  const Instant now = simulator_.now();
  const RetryDecision decision =
      active_request->retry_controller->OnAttempt(now, answer);
  if (decision.verdict == RetryVerdict::kFinish) {
    active_request->done(decision.answer);
    return;
  }
  simulator_.RunAfter(
      *router.process, decision.not_before - now,
      [this, &router, active_request] { Attempt(router, active_request); });
}

void SimulatedDeployment::ForwardToZone(Router& router,
                                        const ActiveRequestPtr& active_request,
                                        const ZoneId& zone,
                                        std::size_t index) {
  const auto routers = router.configuration->Current()->EntryVms(zone);
  if (index >= routers.size()) {
    OnAttempt(router, active_request, NotRun(Reason::kZoneUnreachable));
    return;
  }
  Router& peer = routers_.at(routers[index]->id);
  const Instant now = simulator_.now();
  const auto try_next = [this, &router, active_request, zone, index] {
    ForwardToZone(router, active_request, zone, index + 1);
  };
  if (router.ejected_until[peer.vm] > now) {
    try_next();
    return;
  }
  if (!router.connected.contains(peer.vm)) {
    Connect(
        router, peer,
        [this, &router, active_request, zone, index] {
          ForwardToZone(router, active_request, zone, index);
        },
        try_next);
    return;
  }
  const auto finished = std::make_shared<bool>(false);
  const auto finish = [this, &router, &peer, active_request, finished,
                       try_next](const Answer& answer) {
    if (std::exchange(*finished, true))
      return;
    if (!MayTryOtherRouter(answer)) {
      OnAttempt(router, active_request, answer);
      return;
    }
    router.ejected_until[peer.vm] = simulator_.now() + kPeerEjectionDuration;
    try_next();
  };
  const AnswerCallback finish_once = DropAfterRestart(router, finish);
  simulator_.Send(
      *router.process, *peer.process,
      [this, &router, &peer, active_request, finish_once] {
        const AnswerCallback reply = [this, &router, &peer,
                                      finish_once](const Answer& answer) {
          simulator_.Send(*peer.process, *router.process,
                          [finish_once, answer] { finish_once(answer); });
        };
        if (peer.stopping) {
          reply(NotRun(Reason::kStopping));
        } else if (!peer.routes->AllOwnersKnown()) {
          reply(NotRun(Reason::kNotReady));
        } else {
          Request request = active_request->request;
          request.deadline =
              ForwardedDeadline(request.deadline, simulator_.now());
          StartRequest(peer, request, /*forwarded=*/true, reply);
        }
      },
      [&router, &peer, finished, try_next] {
        if (std::exchange(*finished, true))
          return;
        router.connected.erase(peer.vm);
        try_next();
      });
  simulator_.RunAfter(*router.process, active_request->request.deadline - now,
                      [&router, &peer, finished, finish_once] {
                        if (!*finished)
                          router.connected.erase(peer.vm);
                        finish_once(Unknown(Reason::kZoneUnreachable));
                      });
}

void SimulatedDeployment::Connect(Router& router,
                                  Router& peer,
                                  const Task& connected,
                                  const Task& failed) {
  const std::uint64_t incarnation = router.process->incarnation;
  const auto finished = std::make_shared<bool>(false);
  const auto fail = [this, &router, &peer, finished, failed] {
    if (std::exchange(*finished, true))
      return;
    router.ejected_until[peer.vm] = simulator_.now() + kPeerEjectionDuration;
    failed();
  };
  simulator_.Send(
      *router.process, *peer.process,
      [this, &router, &peer, finished, connected, incarnation] {
        simulator_.Send(*peer.process, *router.process,
                        [&router, &peer, finished, connected, incarnation] {
                          if (std::exchange(*finished, true))
                            return;
                          if (router.process->incarnation != incarnation)
                            return;
                          router.connected.insert(peer.vm);
                          connected();
                        });
      },
      fail);
  simulator_.RunAfter(*router.process, kConnectTimeout, fail);
}

}  // namespace figstall::replay
