// Runs duties of a process so that an unexpected exception in one of them keeps
// no other one from its turn.
#ifndef FIGSTALL_DUTIES_H_
#define FIGSTALL_DUTIES_H_

#include <concepts>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "figstall/types.h"

namespace figstall {

class Duties {
 public:
  // May throw, which ends Run with that exception.
  using ErrorHandler =
      std::function<void(const std::string& duty, const std::exception& error)>;

  // `retry_delay`: how long a duty is left out after an exception.
  Duties(Duration retry_delay, ErrorHandler on_error)
      : retry_delay_(retry_delay), on_error_(std::move(on_error)) {}

  // Runs `duty`, unless one of this name has thrown within the retry delay.
  // Names of duties for one service or target end with its name.
  template <std::invocable Duty>
  void Run(Instant now, const std::string& name, Duty&& duty) {
    if (!failed_at_.empty() && IsLeftOut(now, name))
      return;
    if (!Attempt(name, std::forward<Duty>(duty)))
      failed_at_[name] = now;
  }
  // Runs work that must not be left out. Returns false after an exception.
  template <std::invocable Work>
  bool Attempt(const std::string& name, Work&& work) try {
    std::forward<Work>(work)();
    return true;
  } catch (const std::exception& error) {
    on_error_(name, error);
    return false;
  }

 private:
  bool IsLeftOut(Instant now, const std::string& name) {
    std::erase_if(failed_at_, [&](const auto& each) {
      return now - each.second > retry_delay_;
    });
    return failed_at_.contains(name);
  }

  const Duration retry_delay_;
  const ErrorHandler on_error_;
  // When a duty last threw, within the retry delay.
  std::map<std::string, Instant> failed_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_DUTIES_H_
