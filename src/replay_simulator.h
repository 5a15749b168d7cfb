// Virtual time: processes that can be killed and frozen, a network that delays,
// loses and is cut, and everything in one reproducible order.
#ifndef FIGSTALL_SRC_REPLAY_SIMULATOR_H_
#define FIGSTALL_SRC_REPLAY_SIMULATOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "figstall/types.h"

namespace figstall::replay {

// One process, with the zone that cuts name it by.
struct Process {
  std::string name;
  std::string zone;
  bool alive = false;
  bool frozen = false;
  // Rises with every start; work of an earlier run is dropped.
  std::uint64_t incarnation = 0;
  // What arrived while frozen; handled in order on return.
  std::deque<std::function<void()>> deferred_tasks;
};

// A VM's monotonic clock: starts anywhere and runs slightly fast or slow.
struct LocalClock {
  Duration offset{0};
  double rate = 1.0;

  Instant At(Instant now) const {
    const auto passed = static_cast<double>(now.time_since_epoch().count());
    return Instant(offset + Duration(static_cast<std::int64_t>(passed * rate)));
  }
};

struct NetworkOptions {
  Duration delay = std::chrono::microseconds(500);
  Duration region_delay = std::chrono::milliseconds(12);
  Duration jitter = std::chrono::microseconds(300);
  // Share of messages that are lost.
  double loss = 0;
};

class Simulator {
 public:
  using Task = std::function<void()>;

  Simulator(std::uint64_t seed, NetworkOptions network);

  Instant now() const { return now_; }
  std::mt19937_64& random() { return random_; }

  Process& Add(const std::string& name,
               const std::string& zone,
               const std::string& region);
  Process& Find(const std::string& name);
  bool Has(const std::string& name) const { return processes_.contains(name); }
  std::map<std::string, Process>& processes() { return processes_; }

  // Runs `work` in a process after `delay`, unless it was killed meanwhile.
  void RunAfter(Process& process, Duration delay, Task work);
  // Runs `work` outside any process, such as a recorded event.
  void RunAt(Instant time, Task work);
  // Sends a message; `lost` runs at the sender if nobody listens there.
  void Send(Process& from, Process& to, Task work, Task refused = nullptr);

  void Kill(Process& process);
  void Freeze(Process& process) { process.frozen = true; }
  void Thaw(Process& process);
  // Cuts two sides from each other, each given by zone or process names.
  void Cut(std::vector<std::string> one, std::vector<std::string> other);
  void Heal() { cuts_.clear(); }

  void RunUntil(Instant end);

 private:
  struct ScheduledTask {
    Instant time;
    std::uint64_t sequence;
    Task work;
    bool operator>(const ScheduledTask& other) const {
      return std::tie(time, sequence) > std::tie(other.time, other.sequence);
    }
  };

  bool IsCut(const Process& a, const Process& b) const;
  Duration DelayBetween(const Process& a, const Process& b);
  void RunIn(Process& process, std::uint64_t incarnation, const Task& work);

  const NetworkOptions network_;
  std::mt19937_64 random_;
  Instant now_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>>
      queue_;
  std::map<std::string, Process> processes_;
  std::map<std::string, std::string> regions_;
  std::vector<std::pair<std::vector<std::string>, std::vector<std::string>>>
      cuts_;
};

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_SIMULATOR_H_
