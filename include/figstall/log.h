// A structured log whose lines are written by a separate thread.
#ifndef FIGSTALL_LOG_H_
#define FIGSTALL_LOG_H_

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "figstall/ring.h"

namespace figstall {

enum class LogLevel { kDebug, kInfo, kWarning, kError };
enum class LogFormat { kText, kJson };

std::optional<LogLevel> ParseLogLevel(std::string_view text);
std::optional<LogFormat> ParseLogFormat(std::string_view text);

// A line has a time, a level, the process, an event name and fields. Example:
//
//   log.Write(LogLevel::kInfo, "route", {{"key", key}, {"target", target}});
class Log {
 public:
  using Field = std::pair<std::string_view, std::string_view>;

  // `process` names the process in each line; lines are written to `stream`.
  Log(std::string process,
      LogLevel level,
      LogFormat format,
      std::FILE* stream = stderr);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  bool Enabled(LogLevel level) const { return level >= level_; }
  // Never waits for the writer thread: if the ring is full, the line is dropped
  // and counted.
  void Write(LogLevel level,
             std::string_view event,
             std::initializer_list<Field> fields);
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Run();

  const std::string process_;
  const LogLevel level_;
  const LogFormat format_;
  std::FILE* const stream_;
  std::atomic<std::uint64_t> dropped_ = 0;
  Ring<std::string> lines_;
  std::thread writer_;
};

}  // namespace figstall

#endif  // FIGSTALL_LOG_H_
