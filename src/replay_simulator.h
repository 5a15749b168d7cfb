// A discrete-event simulator: virtual time, processes that can be killed and
// frozen, and a network that delays and loses messages and can be cut. The
// same seed and calls give the same order of events.
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

// A simulated process. Network cuts select it by its name or its zone.
struct Process {
  std::string name;
  std::string zone;
  bool alive = false;
  bool frozen = false;
  // Incremented when the process is killed. Tasks that were scheduled for an
  // earlier incarnation are dropped.
  std::uint64_t incarnation = 0;
  // Tasks that became due while the process was frozen; Thaw() runs them in
  // order.
  std::deque<std::function<void()>> deferred_tasks;
};

// A VM's monotonic clock: it has an arbitrary offset to virtual time and runs
// slightly fast or slow.
struct LocalClock {
  Duration offset{0};
  double rate = 1.0;

  Instant At(Instant now) const {
    const auto elapsed = static_cast<double>(now.time_since_epoch().count());
    return Instant(offset +
                   Duration(static_cast<std::int64_t>(elapsed * rate)));
  }
};

struct NetworkOptions {
  Duration delay = std::chrono::microseconds(500);
  Duration region_delay = std::chrono::milliseconds(12);
  Duration jitter = std::chrono::microseconds(300);
  // Fraction of messages that are lost.
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

  // Runs `task` in a process after `delay` unless the process is killed before.
  void RunAfter(Process& process, Duration delay, Task task);
  // Runs `task`, such as a recorded event, outside any process.
  void RunAt(Instant time, Task task);
  // Sends a message: runs `task` in `to` after the network delay. If `to` is
  // not alive, runs `on_refused` in `from` after twice that delay. Neither runs
  // if the message is lost or the two processes are cut off from each other.
  void Send(Process& from, Process& to, Task task, Task on_refused = nullptr);

  void Kill(Process& process);
  void Freeze(Process& process) { process.frozen = true; }
  void Thaw(Process& process);
  // Cuts two sides off from each other. Each side is a list of zone and process
  // names; "*" stands for all processes.
  void Cut(std::vector<std::string> side_a, std::vector<std::string> side_b);
  void Heal() { cuts_.clear(); }

  void RunUntil(Instant end);

 private:
  struct ScheduledTask {
    Instant time;
    std::uint64_t sequence;
    Task task;
    bool operator>(const ScheduledTask& other) const {
      return std::tie(time, sequence) > std::tie(other.time, other.sequence);
    }
  };

  bool IsCut(const Process& a, const Process& b) const;
  Duration DelayBetween(const Process& a, const Process& b);
  void RunIn(Process& process, std::uint64_t incarnation, const Task& task);

  const NetworkOptions network_;
  std::mt19937_64 random_;
  Instant now_{};
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>>
      queue_;
  std::map<std::string, Process> processes_;
  std::map<std::string, std::string> regions_;
  std::vector<std::pair<std::vector<std::string>, std::vector<std::string>>>
      cuts_;
};

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_SIMULATOR_H_
