// Functions shared by the programs' main functions: signal handling,
// incarnation numbers and error reporting.
#ifndef FIGSTALL_SRC_PROCESS_H_
#define FIGSTALL_SRC_PROCESS_H_

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <exception>

#include "figstall/error.h"

namespace figstall::detail {

inline constexpr int kExitFailure = 1;
inline constexpr int kExitInvalidInput = 2;

// Returns a number that is higher in each later run on the same VM:
// microseconds of the steady clock.
inline std::uint64_t NewIncarnation() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts
// later, for WaitForStopSignal. Also ignores SIGPIPE.
inline sigset_t BlockStopSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

inline void WaitForStopSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

// Prints the error and its findings to stderr, and returns the exit status.
inline int ReportError(const Error& error) {
  fmt::print(stderr, "error: {}\n", error.message);
  for (const Finding& finding : error.findings)
    fmt::print(stderr, "  {}\n", finding.ToString());
  return error.code == ErrorCode::kInvalidInput ? kExitInvalidInput
                                                : kExitFailure;
}

// Runs `program` and returns its exit status. Reports every error, including
// exceptions thrown by libraries.
template <typename Program>
int RunProgram(Program program) {
  try {
    return HandleError(program, ReportError);
  } catch (const std::exception& error) {
    fmt::print(stderr, "error: {}\n", error.what());
    return kExitFailure;
  }
}

}  // namespace figstall::detail

#endif  // FIGSTALL_SRC_PROCESS_H_
