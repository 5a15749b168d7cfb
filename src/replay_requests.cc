// Implements the data side of a replayed deployment: callers, routers and
// targets.
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
constexpr Duration kConnectionLoss = std::chrono::milliseconds(1);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
constexpr const char* kCallers = "callers";

std::uint64_t DigestOf(const Request& request) {
  return XXH3_64bits(request.body.data(), request.body.size()) | 1;
}

}  // namespace

// --- Callers
// ---------------------------------------------------------------------

void SimulatedDeployment::ScheduleCalls(const json& event) {
  const Duration length = std::chrono::milliseconds(event.at("for_ms"));
  const double rate = event.at("per_second");
  const auto count = static_cast<std::int64_t>(
      rate * std::chrono::duration<double>(length).count());
  const int keys = event.value("keys", 200);
  const std::string fixed_key = event.value("key", "");
  const ServiceId service(event.at("service").get<std::string>());
  const ServiceRecord* record = configuration_->FindService(service);
  const std::string method = event.value("method", "GET");
  const std::string home = event.value("home", "");
  std::uniform_int_distribution<int> pick(0, keys - 1);
  for (std::int64_t i = 0; i < count; ++i) {
    auto call = std::make_shared<Call>();
    call->call_id = fmt::format("t{}", ++next_token_);
    Request& request = call->request;
    request.service = service;
    do {
      request.key = fixed_key.empty()
                        ? fmt::format("key-{}", pick(timeline_.random()))
                        : fixed_key;
    } while (!home.empty() &&
             configuration_
                     ->HomeZoneOf(*record,
                                  PartitionOf(request.key, record->partitions))
                     .value() != home);
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
    const Instant at = timeline_.now() + i * length / count;
    timeline_.RunAt(at, [this, call] { StartCall(call); });
  }
}

void SimulatedDeployment::StartCall(const CallPtr& call) {
  if (call->started_at == Instant{})
    call->started_at = timeline_.now();
  std::vector<Router*> usable;
  for (auto& [id, router] : routers_) {
    const bool named = call->only_router.empty() || call->only_router == id;
    // The balancer leaves out what is down or not ready.
    const bool ready = router.process->alive && !router.stopping &&
                       router.routes->AllOwnersKnown();
    if (named && ready)
      usable.push_back(&router);
  }
  if (usable.empty()) {
    OnTryEnded(call, UnreachableAnswer(call));
    return;
  }
  std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
  Router& router = *usable[pick(timeline_.random())];
  const bool needs_id = !call->request.idempotent && !call->request.id;
  Process& callers = timeline_.Find(kCallers);
  if (!needs_id) {
    SendToRouter(call, router);
    return;
  }
  // Taking an id and using it are two calls, often at two routers.
  timeline_.Send(callers, *router.process, [this, call, &router, &callers] {
    const RequestId id = router.request_registry->Issue(timeline_.now());
    timeline_.Send(*router.process, callers, [this, call, id] {
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
  Process& callers = timeline_.Find(kCallers);
  const auto ended = std::make_shared<bool>(false);
  const auto end = [this, call, ended](const Answer& answer) {
    if (std::exchange(*ended, true))
      return;
    OnTryEnded(call, answer);
  };
  Request request = call->request;
  request.deadline = timeline_.now() + call->timeout;
  timeline_.Send(
      callers, *router.process,
      [this, &router, request, end, &callers] {
        ServeAtRouter(router, request,
                      [this, &router, end, &callers](const Answer& answer) {
                        timeline_.Send(*router.process, callers,
                                       [end, answer] { end(answer); });
                      });
      },
      [this, call, end] { end(UnreachableAnswer(call)); });
  router.disconnect_callbacks.push_back([this, end, &callers] {
    timeline_.RunAfter(callers, kConnectionLoss,
                       [end] { end(Unknown(Reason::kTargetSilent)); });
  });
  // A router that froze leaves the caller without an answer.
  timeline_.RunAfter(callers, 2 * call->timeout,
                     [end] { end(Unknown(Reason::kTargetSilent)); });
}

void SimulatedDeployment::OnTryEnded(const CallPtr& call,
                                     const Answer& answer) {
  --call->tries_left;
  call->may_have_run =
      call->may_have_run || answer.outcome == Outcome::kUnknown;
  if (answer.outcome != Outcome::kAnswered && call->tries_left > 0) {
    timeline_.RunAfter(timeline_.Find(kCallers), kRetryInterval,
                       [this, call] { StartCall(call); });
    return;
  }
  checker_.OnOutcome(timeline_.now(), call->call_id, call->request.idempotent,
                     answer);
  const std::string outcome =
      call->request.service.value() + " " + ToString(answer.outcome);
  ++outcomes_[outcome];
  const bool answered = answer.outcome == Outcome::kAnswered;
  const bool slow =
      timeline_.now() - call->started_at > kSlowRequestThreshold || !answered;
  const ServiceRecord* service =
      configuration_->FindService(call->request.service);
  const PartitionKey key{service->id,
                         PartitionOf(call->request.key, service->partitions)};
  completed_requests_[key].push_back(
      {call->started_at, timeline_.now(), answered, slow});
  if (!slow)
    return;
  Print(fmt::format("request {} for {} from {}: {} {}", call->call_id,
                    ToString(key), call->started_at.time_since_epoch().count(),
                    ToString(answer.outcome), ToString(answer.reason)));
}

// --- Routers
// ---------------------------------------------------------------------

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
  const auto ended = std::make_shared<bool>(false);
  const AnswerCallback once =
      DropAfterRestart(router, [ended, done](const Answer& answer) {
        if (!std::exchange(*ended, true))
          done(answer);
      });
  timeline_.Send(
      *router.process, *issuer.process,
      [this, &router, &issuer, request, once] {
        ServeAtMostOnce(issuer, request,
                        [this, &router, &issuer, once](const Answer& answer) {
                          timeline_.Send(*issuer.process, *router.process,
                                         [once, answer] { once(answer); });
                        });
      },
      [once] { once(Unknown(Reason::kIssuerLost)); });
  timeline_.RunAfter(*router.process, request.deadline - timeline_.now(),
                     [once] { once(Unknown(Reason::kIssuerLost)); });
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
  const Instant now = timeline_.now();
  const AtMostOnceDecision decision =
      router.request_registry->Begin(now, *request.id, DigestOf(request));
  switch (decision.verdict) {
    case AtMostOnceVerdict::kRun:
      StartRequest(router, request, /*forwarded=*/false,
                   [this, &router, request, done](const Answer& answer) {
                     router.request_registry->Finish(timeline_.now(),
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
  auto course = std::make_shared<ActiveRequest>();
  course->request = request;
  course->forwarded = forwarded;
  course->done = std::move(done);
  const bool repeatable =
      request.idempotent || options_.mutation == Mutation::kRetryUnknown;
  router.retry_budget->OnFirstAttempt();
  course->flow = std::make_unique<RetryController>(
      repeatable, request.deadline, RetryPolicy{},
      [&router] { return router.retry_budget->TryRetry(); });
  Attempt(router, course);
}

void SimulatedDeployment::Attempt(Router& router,
                                  const ActiveRequestPtr& course) {
  const Instant now = timeline_.now();
  const auto configuration = router.configuration->Current();
  const auto refuse = [&](Reason reason) {
    OnAttempt(router, course, NotRun(reason));
  };
  if (now >= course->request.deadline)
    return refuse(Reason::kDeadline);
  if (!configuration)
    return refuse(Reason::kNoConfiguration);
  const ServiceRecord* service =
      configuration->FindService(course->request.service);
  if (!service)
    return refuse(Reason::kNoSuchService);
  const std::uint32_t partition =
      PartitionOf(course->request.key, service->partitions);
  if (!service->exclusive) {
    // Shared services are not owned; any live target of the zone will do.
    for (auto& [id, target] : targets_) {
      const bool fits = target.record.service == service->id &&
                        target.record.zone == router.zone &&
                        target.process->alive;
      if (fits)
        return SendToTarget(router, course, target, FencingToken{}, partition,
                            {});
    }
    return refuse(Reason::kNoTarget);
  }
  RoutedRequest work =
      router.routes->BeginRequest(LocalTime(router), service->id, partition);
  if (work.decision.kind == RouteKind::kOtherZone) {
    if (course->forwarded)
      return refuse(Reason::kNoOwner);
    return ForwardToZone(router, course,
                         configuration->HomeZoneOf(*service, partition), 0);
  }
  if (work.decision.kind == RouteKind::kNoOwner)
    return refuse(Reason::kNoOwner);
  const VmId name = router.routes->TargetVmId(work.decision.target);
  const auto target = targets_.find(name);
  if (target == targets_.end())
    return refuse(Reason::kNoTarget);
  if (router.ejected_until[name] > now)
    return refuse(Reason::kNoOwner);
  SendToTarget(router, course, target->second, work.decision.term, partition,
               std::move(work.guard));
}

void SimulatedDeployment::OnAttempt(Router& router,
                                    const ActiveRequestPtr& course,
                                    const Answer& answer) {
  const Instant now = timeline_.now();
  const RetryDecision decision = course->flow->OnAttempt(now, answer);
  if (decision.verdict == RetryVerdict::kFinish) {
    course->done(decision.answer);
    return;
  }
  timeline_.RunAfter(*router.process, decision.not_before - now,
                     [this, &router, course] { Attempt(router, course); });
}

void SimulatedDeployment::ForwardToZone(Router& router,
                                        const ActiveRequestPtr& course,
                                        const ZoneId& zone,
                                        std::size_t index) {
  const auto routers = router.configuration->Current()->EntryVms(zone);
  if (index >= routers.size()) {
    OnAttempt(router, course, NotRun(Reason::kZoneUnreachable));
    return;
  }
  Router& other = routers_.at(routers[index]->id);
  const Instant now = timeline_.now();
  const auto next = [this, &router, course, zone, index] {
    ForwardToZone(router, course, zone, index + 1);
  };
  if (router.ejected_until[other.vm] > now) {
    next();
    return;
  }
  if (!router.connected.contains(other.vm)) {
    Connect(
        router, other,
        [this, &router, course, zone, index] {
          ForwardToZone(router, course, zone, index);
        },
        next);
    return;
  }
  const auto ended = std::make_shared<bool>(false);
  const auto end = [this, &router, &other, course, ended,
                    next](const Answer& answer) {
    if (std::exchange(*ended, true))
      return;
    if (!MayTryOtherRouter(answer)) {
      OnAttempt(router, course, answer);
      return;
    }
    router.ejected_until[other.vm] = timeline_.now() + kPeerEjectionDuration;
    next();
  };
  const AnswerCallback once = DropAfterRestart(router, end);
  timeline_.Send(
      *router.process, *other.process,
      [this, &router, &other, course, once] {
        const AnswerCallback reply = [this, &router, &other,
                                      once](const Answer& answer) {
          timeline_.Send(*other.process, *router.process,
                         [once, answer] { once(answer); });
        };
        if (other.stopping) {
          reply(NotRun(Reason::kStopping));
        } else if (!other.routes->AllOwnersKnown()) {
          reply(NotRun(Reason::kNotReady));
        } else {
          Request request = course->request;
          request.deadline =
              ForwardedDeadline(request.deadline, timeline_.now());
          StartRequest(other, request, /*forwarded=*/true, reply);
        }
      },
      [&router, &other, ended, next] {
        if (std::exchange(*ended, true))
          return;
        router.connected.erase(other.vm);
        next();
      });
  timeline_.RunAfter(*router.process, course->request.deadline - now,
                     [&router, &other, ended, once] {
                       if (!*ended)
                         router.connected.erase(other.vm);
                       once(Unknown(Reason::kZoneUnreachable));
                     });
}

void SimulatedDeployment::Connect(Router& router,
                                  Router& other,
                                  const Task& connected,
                                  const Task& failed) {
  const std::uint64_t incarnation = router.process->incarnation;
  const auto ended = std::make_shared<bool>(false);
  const auto fail = [this, &router, &other, ended, failed] {
    if (std::exchange(*ended, true))
      return;
    router.ejected_until[other.vm] = timeline_.now() + kPeerEjectionDuration;
    failed();
  };
  timeline_.Send(
      *router.process, *other.process,
      [this, &router, &other, ended, connected, incarnation] {
        timeline_.Send(*other.process, *router.process,
                       [&router, &other, ended, connected, incarnation] {
                         if (std::exchange(*ended, true))
                           return;
                         if (router.process->incarnation != incarnation)
                           return;
                         router.connected.insert(other.vm);
                         connected();
                       });
      },
      fail);
  timeline_.RunAfter(*router.process, kConnectTimeout, fail);
}

}  // namespace figstall::replay
