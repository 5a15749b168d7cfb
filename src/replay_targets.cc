// Targets of a simulated deployment, and the attempts and cancellations that
// routers send to them.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "replay_deployment.h"

namespace figstall::replay {

namespace {

constexpr Duration kCancelInterval = std::chrono::milliseconds(100);

}  // namespace

void SimulatedDeployment::SendToTarget(Router& router,
                                       const ActiveRequestPtr& active_request,
                                       Target& target,
                                       FencingToken fencing_token,
                                       std::uint32_t partition,
                                       InFlightGuard guard) {
  const std::string attempt_id = fmt::format("a{}", ++next_attempt_);
  const auto in_flight_guard =
      std::make_shared<InFlightGuard>(std::move(guard));
  router.pending_attempts[attempt_id] =
      [this, &router, active_request, in_flight_guard](const Answer& answer) {
        *in_flight_guard = InFlightGuard{};
        OnAttempt(router, active_request, answer);
      };
  const VmId target_id = target.record.id;
  simulator_.Send(
      *router.process, *target.process,
      [this, &target, active_request, attempt_id, fencing_token, partition,
       &router] {
        WorkAtTarget(target, active_request, attempt_id, fencing_token,
                     partition, router);
      },
      [this, &router, attempt_id, target_id] {
        const auto pending = router.pending_attempts.find(attempt_id);
        if (pending == router.pending_attempts.end())
          return;
        constexpr Duration kEjectionDuration = std::chrono::milliseconds(100);
        router.ejected_until[target_id] = simulator_.now() + kEjectionDuration;
        const auto finish = std::move(pending->second);
        router.pending_attempts.erase(pending);
        finish(NotRun(Reason::kTargetUnreachable));
      });
  const Duration timeout =
      AttemptTimeout(active_request->request, simulator_.now());
  simulator_.RunAfter(
      *router.process, timeout,
      [this, &router, attempt_id, active_request, in_flight_guard, target_id] {
        if (router.pending_attempts.erase(attempt_id) == 0)
          return;
        CancelAtTarget(router, target_id, attempt_id, in_flight_guard);
        OnAttempt(router, active_request, Unknown(Reason::kTargetSilent));
      });
}

void SimulatedDeployment::CancelAtTarget(
    Router& router,
    const VmId& target_id,
    const std::string& attempt_id,
    const std::shared_ptr<InFlightGuard>& guard) {
  Target& target = targets_.at(target_id);
  const auto released = std::make_shared<bool>(false);
  const auto release = [guard, released] {
    *guard = InFlightGuard{};
    *released = true;
  };
  simulator_.Send(
      *router.process, *target.process,
      [this, &router, &target, attempt_id, release] {
        target.cancelled.insert(attempt_id);
        simulator_.Send(*target.process, *router.process, release);
      },
      release);
  simulator_.RunAfter(*router.process, kCancelInterval,
                      [this, &router, target_id, attempt_id, guard, released] {
                        if (!*released)
                          CancelAtTarget(router, target_id, attempt_id, guard);
                      });
}

// Targets.

void SimulatedDeployment::WorkAtTarget(Target& target,
                                       const ActiveRequestPtr& active_request,
                                       const std::string& attempt_id,
                                       FencingToken fencing_token,
                                       std::uint32_t partition,
                                       Router& router) {
  const PartitionKey key{active_request->request.service, partition};
  const auto reply = [this, &target, &router,
                      attempt_id](const Answer& answer) {
    simulator_.Send(
        *target.process, *router.process, [this, &router, attempt_id, answer] {
          auto pending = router.pending_attempts.find(attempt_id);
          const bool by_connection =
              options_.mutation == Mutation::kReusedConnection;
          if (by_connection && pending == router.pending_attempts.end())
            pending = router.pending_attempts.begin();
          if (pending == router.pending_attempts.end())
            return;
          const auto finish = std::move(pending->second);
          router.pending_attempts.erase(pending);
          finish(answer);
        });
  };
  const auto may_serve = [this, &target, key, fencing_token] {
    if (!target.checks_grants || !fencing_token.valid())
      return true;
    const auto row = target.holder_lease->MayServe(LocalTime(target), key);
    return row && row->term == fencing_token;
  };
  if (target.cancelled.contains(attempt_id) || !may_serve()) {
    reply(NotRun(Reason::kTargetRefused));
    return;
  }
  const Instant now = simulator_.now();
  if (target.leaving_since)
    max_work_delay_after_leaving_ = std::max<Duration>(
        max_work_delay_after_leaving_, now - *target.leaving_since);
  const bool fenced_by_routers = fencing_token.valid() && !target.checks_grants;
  if (fenced_by_routers)
    checker_.OnWorkBegin(now, target.record.id, key);
  ++target.in_flight[key];
  const Duration work_duration = target.fault_mode == "slow"
                                     ? std::chrono::milliseconds(500)
                                     : std::chrono::milliseconds(1);
  simulator_.RunAfter(
      *target.process, work_duration,
      [this, &target, active_request, attempt_id, key, reply, may_serve,
       fenced_by_routers] {
        --target.in_flight[key];
        if (fenced_by_routers)
          checker_.OnWorkEnd(target.record.id, key);
        // The target checks its lease and fencing token again when the effect
        // takes place.
        const bool past_deadline =
            simulator_.now() >= active_request->request.deadline;
        if (past_deadline || target.cancelled.contains(attempt_id) ||
            !may_serve()) {
          reply(NotRun(Reason::kTargetRefused));
          return;
        }
        ++target.executions;
        checker_.OnRequestExecuted(simulator_.now(),
                                   active_request->request.body,
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
        answer.body = active_request->request.body;
        answer.target = target.record.id;
        reply(answer);
      });
}

}  // namespace figstall::replay
