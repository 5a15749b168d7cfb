// Implements virtual time.
#include "replay_timeline.h"

#include <algorithm>
#include <utility>

namespace figstall::replay {

Timeline::Timeline(std::uint64_t seed, NetworkOptions network)
    : network_(network), random_(seed) {}

Process& Timeline::Add(const std::string& name,
                       const std::string& zone,
                       const std::string& region) {
  Process& process = processes_[name];
  process.name = name;
  process.zone = zone;
  regions_[zone] = region;
  return process;
}

Process& Timeline::Find(const std::string& name) {
  return processes_.at(name);
}

void Timeline::After(Process& process, Duration delay, Work work) {
  At(now_ + delay, [this, &process, run = process.run, work = std::move(work)] {
    RunIn(process, run, work);
  });
}

void Timeline::At(Instant time, Work work) {
  queue_.push({time, next_order_++, std::move(work)});
}

void Timeline::Send(Process& from, Process& to, Work work, Work refused) {
  std::uniform_real_distribution<double> share(0, 1);
  const bool lost = share(random_) < network_.loss;
  if (lost || IsCut(from, to))
    return;
  const Duration delay = DelayBetween(from, to);
  if (to.alive) {
    After(to, delay, std::move(work));
  } else if (refused) {
    After(from, 2 * delay, std::move(refused));
  }
}

void Timeline::RunIn(Process& process, std::uint64_t run, const Work& work) {
  if (!process.alive || process.run != run)
    return;
  if (process.frozen) {
    process.held.push_back(
        [this, &process, run, work] { RunIn(process, run, work); });
    return;
  }
  work();
}

void Timeline::Kill(Process& process) {
  process.alive = false;
  process.frozen = false;
  process.held.clear();
  ++process.run;
}

void Timeline::Thaw(Process& process) {
  process.frozen = false;
  for (Work& work : std::exchange(process.held, {}))
    work();
}

void Timeline::Cut(std::vector<std::string> one,
                   std::vector<std::string> other) {
  cuts_.emplace_back(std::move(one), std::move(other));
}

bool Timeline::IsCut(const Process& a, const Process& b) const {
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

Duration Timeline::DelayBetween(const Process& a, const Process& b) {
  std::uniform_int_distribution<std::int64_t> jitter(0,
                                                     network_.jitter.count());
  const bool far = regions_[a.zone] != regions_[b.zone];
  return (far ? network_.region_delay : network_.delay) +
         Duration(jitter(random_));
}

void Timeline::RunUntil(Instant end) {
  while (!queue_.empty() && queue_.top().time <= end) {
    const Entry entry = queue_.top();
    queue_.pop();
    now_ = entry.time;
    entry.work();
  }
  now_ = end;
}

}  // namespace figstall::replay
