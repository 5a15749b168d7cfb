// Events in virtual time, for tests that simulate entries and targets.
#ifndef FIGSTALL_TEST_VIRTUAL_TIME_H_
#define FIGSTALL_TEST_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

#include "figstall/types.h"

namespace figstall {

class VirtualTime {
 public:
  explicit VirtualTime(Instant start) : now_(start) {}

  Instant now() const { return now_; }
  // Events of the same time run in the order of these calls.
  void After(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++events_pushed_, std::move(run)});
  }
  void RunUntil(Instant end) {
    while (!events_.empty() && events_.top().at < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  Instant now_;
  std::priority_queue<Event> events_;
  std::uint64_t events_pushed_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_TEST_VIRTUAL_TIME_H_
