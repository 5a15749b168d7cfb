// Reads the clock of a running process. Decision code doesn't call this: it
// gets the time as an argument.
#ifndef FIGSTALL_CLOCK_H_
#define FIGSTALL_CLOCK_H_

#include "figstall/types.h"

namespace figstall {

inline Instant BootNow() {
  return BootClock::now();
}

}  // namespace figstall

#endif  // FIGSTALL_CLOCK_H_
