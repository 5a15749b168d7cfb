// Implements targets of a replayed deployment, and how routers send to them.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "replay_world.h"

namespace figstall::replay {

namespace {

constexpr Duration kCancelInterval = std::chrono::milliseconds(100);

}  // namespace

void World::SendToTarget(Router& router,
                         const CoursePtr& course,
                         Target& target,
                         Term term,
                         std::uint32_t partition,
                         WorkGuard guard) {
  const std::string attempt = fmt::format("a{}", ++next_attempt_);
  const auto held = std::make_shared<WorkGuard>(std::move(guard));
  router.waiting[attempt] = [this, &router, course,
                             held](const Answer& answer) {
    *held = WorkGuard{};
    OnAttempt(router, course, answer);
  };
  const VmId name = target.record.id;
  timeline_.Send(
      *router.process, *target.process,
      [this, &target, course, attempt, term, partition, &router] {
        WorkAtTarget(target, course, attempt, term, partition, router);
      },
      [this, &router, attempt, name] {
        const auto waiting = router.waiting.find(attempt);
        if (waiting == router.waiting.end())
          return;
        constexpr Duration kSuspectFor = std::chrono::milliseconds(100);
        router.suspects[name] = timeline_.now() + kSuspectFor;
        const auto end = std::move(waiting->second);
        router.waiting.erase(waiting);
        end(NotRun(Reason::kTargetUnreachable));
      });
  const Duration patience = AttemptPatience(course->request, timeline_.now());
  timeline_.After(*router.process, patience,
                  [this, &router, attempt, course, held, name] {
                    if (router.waiting.erase(attempt) == 0)
                      return;
                    CancelAtTarget(router, name, attempt, held);
                    OnAttempt(router, course, Unknown(Reason::kTargetSilent));
                  });
}

void World::CancelAtTarget(Router& router,
                           const VmId& name,
                           const std::string& attempt,
                           const std::shared_ptr<WorkGuard>& guard) {
  Target& target = targets_.at(name);
  const auto released = std::make_shared<bool>(false);
  const auto release = [guard, released] {
    *guard = WorkGuard{};
    *released = true;
  };
  timeline_.Send(
      *router.process, *target.process,
      [this, &router, &target, attempt, release] {
        target.cancelled.insert(attempt);
        timeline_.Send(*target.process, *router.process, release);
      },
      release);
  timeline_.After(*router.process, kCancelInterval,
                  [this, &router, name, attempt, guard, released] {
                    if (!*released)
                      CancelAtTarget(router, name, attempt, guard);
                  });
}

// --- Targets
// ---------------------------------------------------------------------

void World::WorkAtTarget(Target& target,
                         const CoursePtr& course,
                         const std::string& attempt,
                         Term term,
                         std::uint32_t partition,
                         Router& router) {
  const PartitionKey key{course->request.service, partition};
  const auto reply = [this, &target, &router, attempt](const Answer& answer) {
    timeline_.Send(
        *target.process, *router.process, [this, &router, attempt, answer] {
          auto waiting = router.waiting.find(attempt);
          const bool by_connection = options_.flaw == Flaw::kReusedConnection;
          if (by_connection && waiting == router.waiting.end())
            waiting = router.waiting.begin();
          if (waiting == router.waiting.end())
            return;
          const auto end = std::move(waiting->second);
          router.waiting.erase(waiting);
          end(answer);
        });
  };
  const auto may_serve = [this, &target, key, term] {
    if (!target.checks || !term.valid())
      return true;
    const auto row = target.book->MayServe(LocalTime(target), key);
    return row && row->term == term;
  };
  if (target.cancelled.contains(attempt) || !may_serve()) {
    reply(NotRun(Reason::kTargetRefused));
    return;
  }
  const Instant now = timeline_.now();
  if (target.leaving_since)
    leaving_worked_ =
        std::max<Duration>(leaving_worked_, now - *target.leaving_since);
  const bool fenced_by_routers = term.valid() && !target.checks;
  if (fenced_by_routers)
    checker_.OnWorkBegin(now, target.record.id, key);
  ++target.working[key];
  const Duration work = target.mode == "slow" ? std::chrono::milliseconds(500)
                                              : std::chrono::milliseconds(1);
  timeline_.After(
      *target.process, work,
      [this, &target, course, attempt, key, reply, may_serve,
       fenced_by_routers] {
        --target.working[key];
        if (fenced_by_routers)
          checker_.OnWorkEnd(target.record.id, key);
        // The fence is checked once more where the effect takes
        // place.
        const bool late = timeline_.now() >= course->request.deadline;
        if (late || target.cancelled.contains(attempt) || !may_serve()) {
          reply(NotRun(Reason::kTargetRefused));
          return;
        }
        ++target.runs;
        checker_.OnRun(timeline_.now(), course->request.body, target.record.id,
                       key);
        if (target.mode == "silent")
          return;
        if (target.mode == "garbage") {
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
