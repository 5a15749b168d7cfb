// Routers that share a link between regions, in virtual time: large responses
// that would fill it are held back, and nothing else.
#include "figstall/region_link.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace figstall {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kRoundTrip = std::chrono::milliseconds(24);
constexpr double kLinkBytesPerSecond = 60e6 / 8;
constexpr double kResponseBytes = 90'000;
constexpr std::size_t kRouters = 36;

struct LinkRun {
  // Of the second half of the run.
  Duration max_queueing{0};
  double used = 0;
  // Requests held back by the router that was held back least and most.
  int least_blocked = 0;
  int most_blocked = 0;
};

// Each router requests one large response every `interval` and opens a
// connection every 200 ms.
LinkRun RunLink(std::vector<RegionLink>& links,
                Instant& now,
                Duration interval,
                Duration length) {
  const Instant start = now;
  double queued_bytes = 0;
  double sent_bytes = 0;
  std::vector<int> blocked(links.size());
  LinkRun run;
  for (; now - start < length; now += kStep) {
    const double step_bytes =
        kLinkBytesPerSecond * std::chrono::duration<double>(kStep).count();
    const bool measured = now - start >= length / 2;
    sent_bytes += measured ? std::min(queued_bytes, step_bytes) : 0;
    queued_bytes = std::max(0.0, queued_bytes - step_bytes);
    const Duration queueing(
        static_cast<Duration::rep>(queued_bytes / kLinkBytesPerSecond * 1e6));
    if (measured)
      run.max_queueing = std::max(run.max_queueing, queueing);
    for (std::size_t i = 0; i < links.size(); ++i) {
      RegionLink& link = links[i];
      const Duration offset = kStep * static_cast<int>(i);
      link.Tick(now);
      if ((now - start + offset) % std::chrono::milliseconds(200) < kStep)
        link.OnConnect(now, kRoundTrip + queueing);
      if ((now - start + offset) % interval >= kStep)
        continue;
      if (link.BlockedUntil(now)) {
        link.OnHeldBack(now);
        ++blocked[i];
        continue;
      }
      link.OnRequest(now);
      link.OnResponse(static_cast<std::size_t>(kResponseBytes));
      queued_bytes += kResponseBytes;
    }
  }
  run.used = sent_bytes / (kLinkBytesPerSecond *
                           std::chrono::duration<double>(length / 2).count());
  run.least_blocked = *std::min_element(blocked.begin(), blocked.end());
  run.most_blocked = *std::max_element(blocked.begin(), blocked.end());
  return run;
}

// Guards against large responses that keep the link's queue full: 36 routers
// ask for 130 MBit/s over 60.
TEST_CASE("large responses leave room on the link between regions") {
  std::vector<RegionLink> links(kRouters);
  Instant now{std::chrono::hours(1)};
  RunLink(links, now, std::chrono::milliseconds(2000), std::chrono::seconds(4));
  const LinkRun busy = RunLink(links, now, std::chrono::milliseconds(200),
                               std::chrono::seconds(20));
  CAPTURE(busy.used, busy.least_blocked, busy.most_blocked,
          busy.max_queueing.count());
  // A connection opens within the 900 ms after which it is given up.
  CHECK(busy.max_queueing < std::chrono::milliseconds(600));
  CHECK(busy.used > 0.5);
  CHECK(busy.least_blocked > 0);
  CHECK(busy.most_blocked < 100);
}

// Guards against a limit that stays once the load has gone.
TEST_CASE("the limit of a link ends with the load") {
  std::vector<RegionLink> links(kRouters);
  Instant now{std::chrono::hours(1)};
  RunLink(links, now, std::chrono::milliseconds(200), std::chrono::seconds(10));
  REQUIRE(std::any_of(links.begin(), links.end(),
                      [](const RegionLink& link) { return link.rate(); }));
  RunLink(links, now, std::chrono::milliseconds(4000),
          std::chrono::seconds(20));
  CHECK(std::none_of(links.begin(), links.end(),
                     [](const RegionLink& link) { return link.rate(); }));
}

// Guards against limits on links that are not the bottleneck.
TEST_CASE("a link without a queue limits nothing") {
  std::vector<RegionLink> links(kRouters);
  Instant now{std::chrono::hours(1)};
  const LinkRun calm = RunLink(links, now, std::chrono::milliseconds(1000),
                               std::chrono::seconds(10));
  CHECK(calm.most_blocked == 0);
}

// Guards against a router without large responses that reacts to a queue.
TEST_CASE("a router that requests nothing large has no limit") {
  RegionLink link;
  Instant now{std::chrono::hours(1)};
  link.OnConnect(now, kRoundTrip);
  for (int i = 0; i < 10; ++i)
    CHECK(link.OnConnect(now += std::chrono::seconds(1),
                         kRoundTrip + std::chrono::milliseconds(800)) ==
          LinkLimitChange::kNone);
  CHECK(!link.rate());
}

}  // namespace
}  // namespace figstall
