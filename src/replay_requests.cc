// Implements the data side of a replayed deployment: callers, routers and
// targets.
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "replay_world.h"

namespace figstall::replay {
namespace {

using nlohmann::json;

constexpr Duration kSlow = std::chrono::milliseconds(200);
constexpr Duration kPeerSuspectFor = std::chrono::milliseconds(500);
constexpr Duration kConnectionLoss = std::chrono::milliseconds(1);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
constexpr Duration kRepeatPause = std::chrono::milliseconds(50);
constexpr const char* kCallers = "callers";

std::uint64_t DigestOf(const Request& request) {
  return XXH3_64bits(request.body.data(), request.body.size()) | 1;
}

}  // namespace

// --- Callers
// ---------------------------------------------------------------------

void World::ScheduleCalls(const json& event) {
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
    call->token = fmt::format("t{}", ++next_token_);
    Request& request = call->request;
    request.service = service;
    do {
      request.key = fixed_key.empty()
                        ? fmt::format("key-{}", pick(timeline_.random()))
                        : fixed_key;
    } while (
        !home.empty() &&
        configuration_
                ->HomeOf(*record, PartitionOf(request.key, record->partitions))
                .value() != home);
    request.method = method;
    request.lane = record->lane;
    request.body = call->token;
    const auto& methods = record->repeatable_methods;
    request.idempotent =
        std::find(methods.begin(), methods.end(), method) != methods.end();
    call->patience =
        std::chrono::milliseconds(event.value("deadline_ms", 2000));
    call->uses_left = request.idempotent ? 1 : event.value("uses", 3);
    if (event.contains("router"))
      call->only_router = VmId(event.at("router").get<std::string>());
    const Instant at = timeline_.now() + i * length / count;
    timeline_.At(at, [this, call] { StartCall(call); });
  }
}

void World::StartCall(const CallPtr& call) {
  if (call->begin == Instant{})
    call->begin = timeline_.now();
  std::vector<Router*> usable;
  for (auto& [id, router] : routers_) {
    const bool named = call->only_router.empty() || call->only_router == id;
    // The balancer leaves out what is down or not ready.
    const bool ready =
        router.process->alive && !router.stopping && router.routes->Complete();
    if (named && ready)
      usable.push_back(&router);
  }
  if (usable.empty()) {
    EndUse(call, CallersOwnWord(call));
    return;
  }
  std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
  Router& router = *usable[pick(timeline_.random())];
  const bool needs_id = !call->request.idempotent && !call->request.id;
  Process& callers = timeline_.Find(kCallers);
  if (!needs_id) {
    UseRouter(call, router);
    return;
  }
  // Taking an id and using it are two calls, often at two routers.
  timeline_.Send(callers, *router.process, [this, call, &router, &callers] {
    const RequestId id = router.once->Issue(timeline_.now());
    timeline_.Send(*router.process, callers, [this, call, id] {
      call->request.id = id;
      StartCall(call);
    });
  });
}

Answer World::CallersOwnWord(const CallPtr& call) {
  return call->may_have_run ? Unknown(Reason::kZoneUnreachable)
                            : NotRun(Reason::kZoneUnreachable);
}

void World::UseRouter(const CallPtr& call, Router& router) {
  Process& callers = timeline_.Find(kCallers);
  const auto ended = std::make_shared<bool>(false);
  const auto end = [this, call, ended](const Answer& answer) {
    if (std::exchange(*ended, true))
      return;
    EndUse(call, answer);
  };
  Request request = call->request;
  request.deadline = timeline_.now() + call->patience;
  timeline_.Send(
      callers, *router.process,
      [this, &router, request, end, &callers] {
        ServeAtRouter(router, request,
                      [this, &router, end, &callers](const Answer& answer) {
                        timeline_.Send(*router.process, callers,
                                       [end, answer] { end(answer); });
                      });
      },
      [this, call, end] { end(CallersOwnWord(call)); });
  router.callers.push_back([this, end, &callers] {
    timeline_.After(callers, kConnectionLoss,
                    [end] { end(Unknown(Reason::kTargetSilent)); });
  });
  // A router that froze leaves the caller without an answer.
  timeline_.After(callers, 2 * call->patience,
                  [end] { end(Unknown(Reason::kTargetSilent)); });
}

void World::EndUse(const CallPtr& call, const Answer& answer) {
  --call->uses_left;
  call->may_have_run =
      call->may_have_run || answer.outcome == Outcome::kUnknown;
  if (answer.outcome != Outcome::kAnswered && call->uses_left > 0) {
    timeline_.After(timeline_.Find(kCallers), kRepeatPause,
                    [this, call] { StartCall(call); });
    return;
  }
  checker_.OnOutcome(timeline_.now(), call->token, call->request.idempotent,
                     answer);
  const std::string outcome =
      call->request.service.value() + " " + ToString(answer.outcome);
  ++outcomes_[outcome];
  const bool answered = answer.outcome == Outcome::kAnswered;
  const bool slow = timeline_.now() - call->begin > kSlow || !answered;
  const ServiceRecord* service =
      configuration_->FindService(call->request.service);
  const PartitionKey key{service->id,
                         PartitionOf(call->request.key, service->partitions)};
  served_[key].push_back({call->begin, timeline_.now(), answered, slow});
  if (!slow)
    return;
  Print(fmt::format("request {} for {} from {}: {} {}", call->token,
                    ToString(key), call->begin.time_since_epoch().count(),
                    ToString(answer.outcome), ToString(answer.reason)));
}

// --- Routers
// ---------------------------------------------------------------------

void World::ServeAtRouter(Router& router, const Request& request, Done done) {
  if (router.stopping) {
    const bool not_run = request.idempotent || !request.id ||
                         router.once->SurelyNotRun(*request.id);
    done(not_run ? NotRun(Reason::kStopping) : Unknown(Reason::kStopping));
    return;
  }
  if (request.idempotent) {
    StartCourse(router, request, /*for_target=*/false, std::move(done));
    return;
  }
  if (!request.id) {
    done(NotRun(Reason::kBadRequest));
    return;
  }
  if (request.id->router == router.vm) {
    DecideOnce(router, request, done);
    return;
  }
  const auto found = routers_.find(request.id->router);
  if (found == routers_.end()) {
    done(Unknown(Reason::kIssuerLost));
    return;
  }
  Router& issuer = found->second;
  const auto ended = std::make_shared<bool>(false);
  const Done once = ForThisRun(router, [ended, done](const Answer& answer) {
    if (!std::exchange(*ended, true))
      done(answer);
  });
  timeline_.Send(
      *router.process, *issuer.process,
      [this, &router, &issuer, request, once] {
        DecideOnce(issuer, request,
                   [this, &router, &issuer, once](const Answer& answer) {
                     timeline_.Send(*issuer.process, *router.process,
                                    [once, answer] { once(answer); });
                   });
      },
      [once] { once(Unknown(Reason::kIssuerLost)); });
  timeline_.After(*router.process, request.deadline - timeline_.now(),
                  [once] { once(Unknown(Reason::kIssuerLost)); });
}

World::Done World::ForThisRun(Router& router, Done done) {
  return [&router, run = router.process->run,
          done = std::move(done)](const Answer& answer) {
    if (router.process->run == run)
      done(answer);
  };
}

void World::DecideOnce(Router& router,
                       const Request& request,
                       const Done& done) {
  const Instant now = timeline_.now();
  const OnceDecision decision =
      router.once->Begin(now, *request.id, DigestOf(request));
  switch (decision.verdict) {
    case OnceVerdict::kRun:
      StartCourse(router, request, /*for_target=*/false,
                  [this, &router, request, done](const Answer& answer) {
                    router.once->Finish(timeline_.now(), *request.id, answer);
                    done(answer);
                  });
      return;
    case OnceVerdict::kRepeat:
      done(decision.answer);
      return;
    case OnceVerdict::kNeverIssued:
      done(NotRun(Reason::kIdNeverIssued));
      return;
    case OnceVerdict::kReused:
      done(NotRun(Reason::kIdReused));
      return;
    case OnceVerdict::kInProgress:
    case OnceVerdict::kExpired:
    case OnceVerdict::kForeign:
      done(Unknown(Reason::kIssuerLost));
      return;
  }
}

void World::StartCourse(Router& router,
                        const Request& request,
                        bool for_target,
                        Done done) {
  auto course = std::make_shared<Course>();
  course->request = request;
  course->for_target = for_target;
  course->done = std::move(done);
  const bool repeatable =
      request.idempotent || options_.flaw == Flaw::kRetryUnknown;
  router.retries->OnFirstAttempt();
  course->flow = std::make_unique<RequestFlow>(
      repeatable, request.deadline, RetryPolicy{},
      [&router] { return router.retries->TryRetry(); });
  Attempt(router, course);
}

void World::Attempt(Router& router, const CoursePtr& course) {
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
        return SendToTarget(router, course, target, Term{}, partition, {});
    }
    return refuse(Reason::kNoTarget);
  }
  RoutedWork work =
      router.routes->BeginWork(LocalTime(router), service->id, partition);
  if (work.decision.kind == RouteKind::kOtherZone) {
    if (course->for_target)
      return refuse(Reason::kNoOwner);
    return ForwardToZone(router, course,
                         configuration->HomeOf(*service, partition), 0);
  }
  if (work.decision.kind == RouteKind::kNoOwner)
    return refuse(Reason::kNoOwner);
  const VmId name = router.routes->TargetName(work.decision.target);
  const auto target = targets_.find(name);
  if (target == targets_.end())
    return refuse(Reason::kNoTarget);
  if (router.suspects[name] > now)
    return refuse(Reason::kNoOwner);
  SendToTarget(router, course, target->second, work.decision.term, partition,
               std::move(work.guard));
}

void World::OnAttempt(Router& router,
                      const CoursePtr& course,
                      const Answer& answer) {
  const Instant now = timeline_.now();
  const FlowDecision decision = course->flow->OnAttempt(now, answer);
  if (decision.verdict == FlowVerdict::kFinish) {
    course->done(decision.answer);
    return;
  }
  timeline_.After(*router.process, decision.not_before - now,
                  [this, &router, course] { Attempt(router, course); });
}

void World::ForwardToZone(Router& router,
                          const CoursePtr& course,
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
  if (router.suspects[other.vm] > now) {
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
    router.suspects[other.vm] = timeline_.now() + kPeerSuspectFor;
    next();
  };
  const Done once = ForThisRun(router, end);
  timeline_.Send(
      *router.process, *other.process,
      [this, &router, &other, course, once] {
        const Done reply = [this, &router, &other, once](const Answer& answer) {
          timeline_.Send(*other.process, *router.process,
                         [once, answer] { once(answer); });
        };
        if (other.stopping) {
          reply(NotRun(Reason::kStopping));
        } else if (!other.routes->Complete()) {
          reply(NotRun(Reason::kNotReady));
        } else {
          Request request = course->request;
          request.deadline =
              ForwardedDeadline(request.deadline, timeline_.now());
          StartCourse(other, request, /*for_target=*/true, reply);
        }
      },
      [&router, &other, ended, next] {
        if (std::exchange(*ended, true))
          return;
        router.connected.erase(other.vm);
        next();
      });
  timeline_.After(*router.process, course->request.deadline - now,
                  [&router, &other, ended, once] {
                    if (!*ended)
                      router.connected.erase(other.vm);
                    once(Unknown(Reason::kZoneUnreachable));
                  });
}

void World::Connect(Router& router,
                    Router& other,
                    const Work& connected,
                    const Work& failed) {
  const std::uint64_t run = router.process->run;
  const auto ended = std::make_shared<bool>(false);
  const auto fail = [this, &router, &other, ended, failed] {
    if (std::exchange(*ended, true))
      return;
    router.suspects[other.vm] = timeline_.now() + kPeerSuspectFor;
    failed();
  };
  timeline_.Send(
      *router.process, *other.process,
      [this, &router, &other, ended, connected, run] {
        timeline_.Send(*other.process, *router.process,
                       [&router, &other, ended, connected, run] {
                         if (std::exchange(*ended, true))
                           return;
                         if (router.process->run != run)
                           return;
                         router.connected.insert(other.vm);
                         connected();
                       });
      },
      fail);
  timeline_.After(*router.process, kConnectTimeout, fail);
}

}  // namespace figstall::replay
