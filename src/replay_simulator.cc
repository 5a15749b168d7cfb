// The event queue, process states and network of the simulator.
#include "replay_simulator.h"

#include <algorithm>
#include <utility>

namespace figstall::replay {

Simulator::Simulator(std::uint64_t seed, NetworkOptions network)
    : network_(network), random_(seed) {}

Process& Simulator::Add(const std::string& name,
                        const std::string& zone,
                        const std::string& region) {
  Process& process = processes_[name];
  process.name = name;
  process.zone = zone;
  regions_[zone] = region;
  return process;
}

Process& Simulator::Find(const std::string& name) {
  return processes_.at(name);
}

void Simulator::RunAfter(Process& process, Duration delay, Task task) {
  RunAt(now_ + delay,
        [this, &process, incarnation = process.incarnation,
         task = std::move(task)] { RunIn(process, incarnation, task); });
}

void Simulator::RunAt(Instant time, Task task) {
  queue_.push({time, next_sequence_++, std::move(task)});
}

void Simulator::Send(Process& from, Process& to, Task task, Task on_refused) {
  std::uniform_real_distribution<double> fraction(0, 1);
  const bool lost = fraction(random_) < network_.loss;
  if (lost || IsCut(from, to))
    return;
  const Duration delay = DelayBetween(from, to);
  if (to.alive) {
    RunAfter(to, delay, std::move(task));
  } else if (on_refused) {
    RunAfter(from, 2 * delay, std::move(on_refused));
  }
}

void Simulator::RunIn(Process& process,
                      std::uint64_t incarnation,
                      const Task& task) {
  if (!process.alive || process.incarnation != incarnation)
    return;
  if (process.frozen) {
    process.deferred_tasks.push_back([this, &process, incarnation, task] {
      RunIn(process, incarnation, task);
    });
    return;
  }
  task();
}

void Simulator::Kill(Process& process) {
  process.alive = false;
  process.frozen = false;
  process.deferred_tasks.clear();
  ++process.incarnation;
}

void Simulator::Thaw(Process& process) {
  process.frozen = false;
  for (Task& task : std::exchange(process.deferred_tasks, {}))
    task();
}

void Simulator::Cut(std::vector<std::string> side_a,
                    std::vector<std::string> side_b) {
  cuts_.emplace_back(std::move(side_a), std::move(side_b));
}

bool Simulator::IsCut(const Process& a, const Process& b) const {
  const auto contains = [](const std::vector<std::string>& side,
                           const Process& process) {
    return std::any_of(side.begin(), side.end(), [&](const std::string& name) {
      return name == "*" || name == process.zone || name == process.name;
    });
  };
  return std::any_of(cuts_.begin(), cuts_.end(), [&](const auto& cut) {
    if (a.zone == b.zone && a.zone == cut.first.front())
      return false;
    return (contains(cut.first, a) && contains(cut.second, b)) ||
           (contains(cut.first, b) && contains(cut.second, a));
  });
}

Duration Simulator::DelayBetween(const Process& a, const Process& b) {
  std::uniform_int_distribution<std::int64_t> jitter(0,
                                                     network_.jitter.count());
  const bool different_regions = regions_[a.zone] != regions_[b.zone];
  return (different_regions ? network_.region_delay : network_.delay) +
         Duration(jitter(random_));
}

void Simulator::RunUntil(Instant end) {
  while (!queue_.empty() && queue_.top().time <= end) {
    const ScheduledTask scheduled = queue_.top();
    queue_.pop();
    now_ = scheduled.time;
    scheduled.task();
  }
  now_ = end;
}

}  // namespace figstall::replay
