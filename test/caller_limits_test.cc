// Tests which limits apply to callers beside changes of the desired state.
#include "figstall/caller_limits.h"

#include <catch2/catch.hpp>
#include <random>

namespace figstall {
namespace {

Instant At(int seconds) {
  return Instant(std::chrono::seconds(seconds));
}

CallerLimits WithIdleTimeout(int seconds) {
  return {.idle_timeout = std::chrono::seconds(seconds)};
}

}  // namespace

// Guards against limits that callers, or this process, have not heard of yet.
TEST_CASE("a change of limits takes effect within the propagation time") {
  CallerLimitsHistory history(WithIdleTimeout(10), std::chrono::seconds(3));
  const auto idle_timeout = [&](int since) {
    return history.Since(At(since)).idle_timeout;
  };
  history.Set(At(100), WithIdleTimeout(5));
  CHECK(idle_timeout(99) == std::chrono::seconds(13));
  CHECK(idle_timeout(103) == std::chrono::seconds(13));
  CHECK(idle_timeout(104) == std::chrono::seconds(8));
  history.Set(At(104), WithIdleTimeout(20));
  CHECK(idle_timeout(99) == std::chrono::seconds(23));
  CHECK(idle_timeout(110) == std::chrono::seconds(23));
}

TEST_CASE("limits are the greatest of all since the beginning") {
  std::mt19937 random(7);
  const Duration propagation = std::chrono::seconds(3);
  CallerLimitsHistory history(WithIdleTimeout(15), propagation);
  std::vector<std::pair<int, int>> versions = {{0, 15}};
  for (int now = 1; now < 2000; ++now) {
    if (random() % 5 == 0) {
      versions.emplace_back(now, 1 + static_cast<int>(random() % 20));
      history.Set(At(now), WithIdleTimeout(versions.back().second));
    }
    // The longest limit is 20 s and is extended by the propagation time.
    const int begin = now - static_cast<int>(random() % 23);
    int greatest = 0;
    for (std::size_t i = 0; i < versions.size(); ++i) {
      if (i + 1 == versions.size() || versions[i + 1].first + 3 >= begin)
        greatest = std::max(greatest, versions[i].second);
    }
    const Duration expected = std::chrono::seconds(greatest) + propagation;
    INFO("at " << now << ", since " << begin);
    // Whether the limit is exceeded is what matters.
    const bool over = At(now) - At(begin) > expected;
    CHECK((At(now) - At(begin) > history.Since(At(begin)).idle_timeout) ==
          over);
  }
}

}  // namespace figstall
