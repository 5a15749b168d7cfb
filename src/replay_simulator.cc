// Implements virtual time.
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

void Simulator::RunAfter(Process& process, Duration delay, Task work) {
  RunAt(now_ + delay,
        [this, &process, incarnation = process.incarnation,
         work = std::move(work)] { RunIn(process, incarnation, work); });
}

void Simulator::RunAt(Instant time, Task work) {
  queue_.push({time, next_order_++, std::move(work)});
}

void Simulator::Send(Process& from, Process& to, Task work, Task refused) {
  std::uniform_real_distribution<double> share(0, 1);
  const bool lost = share(random_) < network_.loss;
  if (lost || IsCut(from, to))
    return;
  const Duration delay = DelayBetween(from, to);
  if (to.alive) {
    RunAfter(to, delay, std::move(work));
  } else if (refused) {
    RunAfter(from, 2 * delay, std::move(refused));
  }
}

void Simulator::RunIn(Process& process,
                      std::uint64_t incarnation,
                      const Task& work) {
  if (!process.alive || process.incarnation != incarnation)
    return;
  if (process.frozen) {
    process.deferred_tasks.push_back([this, &process, incarnation, work] {
      RunIn(process, incarnation, work);
    });
    return;
  }
  work();
}

void Simulator::Kill(Process& process) {
  process.alive = false;
  process.frozen = false;
  process.deferred_tasks.clear();
  ++process.incarnation;
}

void Simulator::Thaw(Process& process) {
  process.frozen = false;
  for (Task& work : std::exchange(process.deferred_tasks, {}))
    work();
}

void Simulator::Cut(std::vector<std::string> one,
                    std::vector<std::string> other) {
  cuts_.emplace_back(std::move(one), std::move(other));
}

bool Simulator::IsCut(const Process& a, const Process& b) const {
  const auto named = [](const std::vector<std::string>& side,
                        const Process& process) {
    return std::any_of(side.begin(), side.end(), [&](const std::string& name) {
      return name == "*" || name == process.zone || name == process.name;
    });
  };
  return std::any_of(cuts_.begin(), cuts_.end(), [&](const auto& cut) {
    if (a.zone == b.zone && a.zone == cut.first.front())
      return false;
    return (named(cut.first, a) && named(cut.second, b)) ||
           (named(cut.first, b) && named(cut.second, a));
  });
}

Duration Simulator::DelayBetween(const Process& a, const Process& b) {
  std::uniform_int_distribution<std::int64_t> jitter(0,
                                                     network_.jitter.count());
  const bool far = regions_[a.zone] != regions_[b.zone];
  return (far ? network_.region_delay : network_.delay) +
         Duration(jitter(random_));
}

void Simulator::RunUntil(Instant end) {
  while (!queue_.empty() && queue_.top().time <= end) {
    const ScheduledTask entry = queue_.top();
    queue_.pop();
    now_ = entry.time;
    entry.work();
  }
  now_ = end;
}

}  // namespace figstall::replay
