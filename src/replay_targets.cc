// Implements targets of a replayed deployment, and how routers send to them.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "replay_deployment.h"

namespace figstall::replay {

namespace {

constexpr Duration kCancelInterval = std::chrono::milliseconds(100);

}  // namespace

void SimulatedDeployment::SendToTarget(Router& router,
                                       const ActiveRequestPtr& course,
                                       Target& target,
                                       FencingToken term,
                                       std::uint32_t partition,
                                       InFlightGuard guard) {
  const std::string attempt = fmt::format("a{}", ++next_attempt_);
  const auto held = std::make_shared<InFlightGuard>(std::move(guard));
  router.pending_attempts[attempt] = [this, &router, course,
                                      held](const Answer& answer) {
    *held = InFlightGuard{};
    OnAttempt(router, course, answer);
  };
  const VmId name = target.record.id;
  timeline_.Send(
      *router.process, *target.process,
      [this, &target, course, attempt, term, partition, &router] {
        WorkAtTarget(target, course, attempt, term, partition, router);
      },
      [this, &router, attempt, name] {
        const auto waiting = router.pending_attempts.find(attempt);
        if (waiting == router.pending_attempts.end())
          return;
        constexpr Duration kEjectionDuration = std::chrono::milliseconds(100);
        router.ejected_until[name] = timeline_.now() + kEjectionDuration;
        const auto end = std::move(waiting->second);
        router.pending_attempts.erase(waiting);
        end(NotRun(Reason::kTargetUnreachable));
      });
  const Duration timeout = AttemptTimeout(course->request, timeline_.now());
  timeline_.RunAfter(
      *router.process, timeout, [this, &router, attempt, course, held, name] {
        if (router.pending_attempts.erase(attempt) == 0)
          return;
        CancelAtTarget(router, name, attempt, held);
        OnAttempt(router, course, Unknown(Reason::kTargetSilent));
      });
}

void SimulatedDeployment::CancelAtTarget(
    Router& router,
    const VmId& name,
    const std::string& attempt,
    const std::shared_ptr<InFlightGuard>& guard) {
  Target& target = targets_.at(name);
  const auto released = std::make_shared<bool>(false);
  const auto release = [guard, released] {
    *guard = InFlightGuard{};
    *released = true;
  };
  timeline_.Send(
      *router.process, *target.process,
      [this, &router, &target, attempt, release] {
        target.cancelled.insert(attempt);
        timeline_.Send(*target.process, *router.process, release);
      },
      release);
  timeline_.RunAfter(*router.process, kCancelInterval,
                     [this, &router, name, attempt, guard, released] {
                       if (!*released)
                         CancelAtTarget(router, name, attempt, guard);
                     });
}

// --- Targets
// ---------------------------------------------------------------------

void SimulatedDeployment::WorkAtTarget(Target& target,
                                       const ActiveRequestPtr& course,
                                       const std::string& attempt,
                                       FencingToken term,
                                       std::uint32_t partition,
                                       Router& router) {
  const PartitionKey key{course->request.service, partition};
  const auto reply = [this, &target, &router, attempt](const Answer& answer) {
    timeline_.Send(
        *target.process, *router.process, [this, &router, attempt, answer] {
          auto waiting = router.pending_attempts.find(attempt);
          const bool by_connection =
              options_.mutation == Mutation::kReusedConnection;
          if (by_connection && waiting == router.pending_attempts.end())
            waiting = router.pending_attempts.begin();
          if (waiting == router.pending_attempts.end())
            return;
          const auto end = std::move(waiting->second);
          router.pending_attempts.erase(waiting);
          end(answer);
        });
  };
  const auto may_serve = [this, &target, key, term] {
    if (!target.checks_grants || !term.valid())
      return true;
    const auto row = target.grants->MayServe(LocalTime(target), key);
    return row && row->term == term;
  };
  if (target.cancelled.contains(attempt) || !may_serve()) {
    reply(NotRun(Reason::kTargetRefused));
    return;
  }
  const Instant now = timeline_.now();
  if (target.leaving_since)
    max_work_delay_after_leaving_ = std::max<Duration>(
        max_work_delay_after_leaving_, now - *target.leaving_since);
  const bool fenced_by_routers = term.valid() && !target.checks_grants;
  if (fenced_by_routers)
    checker_.OnWorkBegin(now, target.record.id, key);
  ++target.in_flight[key];
  const Duration work = target.fault_mode == "slow"
                            ? std::chrono::milliseconds(500)
                            : std::chrono::milliseconds(1);
  timeline_.RunAfter(
      *target.process, work,
      [this, &target, course, attempt, key, reply, may_serve,
       fenced_by_routers] {
        --target.in_flight[key];
        if (fenced_by_routers)
          checker_.OnWorkEnd(target.record.id, key);
        // The fence is checked once more where the effect takes
        // place.
        const bool late = timeline_.now() >= course->request.deadline;
        if (late || target.cancelled.contains(attempt) || !may_serve()) {
          reply(NotRun(Reason::kTargetRefused));
          return;
        }
        ++target.executions;
        checker_.OnRequestExecuted(timeline_.now(), course->request.body,
                                   target.record.id, key);
        if (target.fault_mode == "silent")
          return;
        if (target.fault_mode == "garbage") {
          reply(Unknown(Reason::kAnswerBroken));
          return;
        }
        Answer answer;
        answer.outcome = Outcome::kAnswered;
        answer.status = 200;
        answer.body = course->request.body;
        answer.target = target.record.id;
        reply(answer);
      });
}

}  // namespace figstall::replay
