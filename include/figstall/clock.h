// Reads the clock of a running process; decisions never read it themselves.
#ifndef FIGSTALL_CLOCK_H_
#define FIGSTALL_CLOCK_H_

#include <ctime>

#include "figstall/types.h"

namespace figstall {

inline Instant BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace figstall

#endif  // FIGSTALL_CLOCK_H_
