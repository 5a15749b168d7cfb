// Tests when requests may be sent after the event loop stood still.
#include "figstall/standstill_gate.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Duration kMaxGap = milliseconds(1000);
constexpr Duration kMaxWait = milliseconds(500);
constexpr Duration kInterval = milliseconds(25);
constexpr StandstillLimits kLimits{kMaxGap, kMaxWait};

}  // namespace

TEST_CASE("requests are sent while the loop ticks, whatever the copy's age") {
  StandstillGate gate(kLimits);
  CHECK(gate.MaySend(kStart));
  for (Instant now = kStart; now < kStart + kMaxGap * 3; now += kInterval) {
    gate.OnTick(now, std::nullopt);
    CHECK(gate.MaySend(now));
    CHECK(gate.MaySend(now + kInterval - milliseconds(1)));
  }
}

// Guards against a request that is sent to a target which left during a
// standstill, before the news of it is read or asked for.
TEST_CASE("after a standstill nothing is sent before the copy is confirmed") {
  StandstillGate gate(kLimits);
  gate.OnTick(kStart, kStart);
  const Instant resumed = kStart + kMaxGap + kInterval;
  // The request may be read before the tick that is due.
  CHECK_FALSE(gate.MaySend(resumed));
  gate.OnTick(resumed, kStart);
  CHECK_FALSE(gate.MaySend(resumed));
  // A watch that ended during the standstill confirms the copy as of then.
  gate.OnTick(resumed + kInterval, resumed - milliseconds(1));
  CHECK_FALSE(gate.MaySend(resumed + kInterval));
  SECTION("until it is confirmed") {
    gate.OnTick(resumed + kInterval * 2, resumed + kInterval);
    CHECK(gate.MaySend(resumed + kInterval * 2));
  }
  SECTION("or until the longest wait has passed") {
    Instant now = resumed + kInterval * 2;
    for (; now < resumed + kMaxWait; now += kInterval) {
      gate.OnTick(now, std::nullopt);
      CHECK_FALSE(gate.MaySend(now));
    }
    gate.OnTick(now, std::nullopt);
    CHECK(gate.MaySend(now));
  }
}

// Guards against an entry on a slow VM that sends nothing any more.
TEST_CASE("a loop whose ticks are always late sends at each second one") {
  StandstillGate gate(kLimits);
  Instant now = kStart;
  gate.OnTick(now, std::nullopt);
  for (int i = 0; i < 4; ++i) {
    now += kMaxGap * 2;
    gate.OnTick(now, std::nullopt);
    CHECK(gate.MaySend(now) == (i % 2 == 1));
  }
}

}  // namespace figstall
