// What a target states about its load in its responses.
#ifndef FIGSTALL_STATED_LOAD_H_
#define FIGSTALL_STATED_LOAD_H_

#include <cstdint>

namespace figstall {

struct StatedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  // How long work takes at the moment, relative to the usual time.
  double slowness = 1;

  friend bool operator==(const StatedLoad&, const StatedLoad&) = default;
};

}  // namespace figstall

#endif  // FIGSTALL_STATED_LOAD_H_
