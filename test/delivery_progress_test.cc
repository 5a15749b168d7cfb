// Tests which peers count as receiving.
#include "figstall/delivery_progress.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

constexpr Duration kMaxPause = std::chrono::seconds(15);

Instant At(int seconds) {
  return Instant(std::chrono::seconds(seconds));
}

}  // namespace

// Guards against taking bytes for delivered once the own kernel has them.
TEST_CASE("bytes are under way until the peer acknowledges them") {
  DeliveryProgress progress(kMaxPause);
  CHECK(progress.Update(At(100), 0) == DeliveryState::kDelivered);
  CHECK_FALSE(progress.last_undelivered_at());
  CHECK(progress.Update(At(101), 400) == DeliveryState::kUnderWay);
  CHECK(progress.Update(At(102), 0) == DeliveryState::kDelivered);
  CHECK(progress.last_undelivered_at() == At(101));
}

TEST_CASE("a slow reader is not stalled, however long it takes") {
  DeliveryProgress progress(kMaxPause);
  for (int i = 0; i < 10; ++i)
    CHECK(progress.Update(At(100 + 15 * i), 1'000 - i) ==
          DeliveryState::kUnderWay);
}

TEST_CASE("a peer that receives nothing for the maximum pause is stalled") {
  DeliveryProgress progress(kMaxPause);
  CHECK(progress.Update(At(100), 400) == DeliveryState::kUnderWay);
  CHECK(progress.Update(At(115), 400) == DeliveryState::kUnderWay);
  CHECK(progress.Update(At(116), 400) == DeliveryState::kStalled);
  SECTION("until it receives again") {
    CHECK(progress.Update(At(117), 399) == DeliveryState::kUnderWay);
  }
  SECTION("or more was written") {
    CHECK(progress.Update(At(117), 500) == DeliveryState::kUnderWay);
  }
}

}  // namespace figstall
