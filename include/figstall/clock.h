// Reads the clock of a running process. Decision code doesn't call this: it
// gets the time as an argument.
#ifndef FIGSTALL_CLOCK_H_
#define FIGSTALL_CLOCK_H_

#include <ctime>

#include "figstall/types.h"

namespace figstall {

inline Instant BootNow() {
  return BootClock::now();
}

// Processor time that the calling thread has used.
inline Duration ThreadProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace figstall

#endif  // FIGSTALL_CLOCK_H_
