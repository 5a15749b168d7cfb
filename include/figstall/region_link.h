// Budget of one router for large responses from another region. Answers the
// load in which large responses of low priority fill the link between two
// regions, so that connections for small requests open late or not at all. No
// setting states the capacity of that link, and all routers of a region share
// it without talking about it: each one measures how long its connections to
// the other region take to open, lowers its own rate while that shows a queue,
// and raises it again slowly. Performs no I/O.
#ifndef FIGSTALL_REGION_LINK_H_
#define FIGSTALL_REGION_LINK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "figstall/records.h"
#include "figstall/types.h"

namespace figstall {

struct RegionLinkOptions {
  // The link queues if a connection takes this much longer to open than the
  // fastest one of the last `baseline_window`. A tenth of the latency objective
  // of one second that callers of small requests commonly have.
  Duration max_queueing = std::chrono::milliseconds(100);
  Duration baseline_window = std::chrono::seconds(30);
  // The rate is lowered once in this time, since a full queue takes about as
  // long to drain, and until then shows the earlier rate.
  Duration decrease_interval = std::chrono::milliseconds(700);
  double decrease_factor = 0.6;
  // Growth of the rate per second, as a fraction of it, while the link does not
  // queue.
  double growth_per_second = 0.1;
  // The rate is no longer limited once it has not been binding and the link has
  // not queued for this long.
  Duration clear_time = std::chrono::seconds(3);
  // Time constant of the measured rate of large responses.
  Duration rate_decay_time = std::chrono::seconds(1);
  // Size assumed until a large response was received, in bytes.
  double initial_response_bytes = 65'536;
  // The rate is at least one response of mean size in this time, so that the
  // kind of request is not starved and its end is noticed.
  Duration min_rate_interval = std::chrono::seconds(5);

  friend bool operator==(const RegionLinkOptions&,
                         const RegionLinkOptions&) = default;
};

// What changed the limit, for the log.
enum class LinkLimitChange { kNone, kStarted, kEnded };

class RegionLink {
 public:
  explicit RegionLink(RegionLinkOptions options = {}) : options_(options) {}

  // A connection to the other region opened, or was given up, after this time.
  LinkLimitChange OnConnect(Instant now, Duration setup_time);
  // A large response is requested from the other region.
  void OnRequest(Instant now);
  // Its body ended after this many bytes.
  void OnResponse(std::size_t bytes);
  // Ends the limit if it is not needed any more. Call it now and then.
  LinkLimitChange Tick(Instant now);

  // When a large response may be requested; none if it may be at once.
  std::optional<Instant> BlockedUntil(Instant now) const;
  // A request was held back since BlockedUntil() returned a time.
  void OnHeldBack(Instant now) { binding_at_ = now; }
  // Bytes per second; none if the rate is not limited.
  std::optional<double> rate() const { return rate_; }
  Duration queueing() const { return queueing_; }

 private:
  double TokensAt(Instant now) const;
  double MinRate() const;
  void Refill(Instant now);
  double MeasuredRate(Instant now) const;

  const RegionLinkOptions options_;
  // Ascending setup times, each with the time of its measurement, also
  // ascending: a setup time is dropped once a later one is not longer.
  std::deque<std::pair<Instant, Duration>> baselines_;
  // Of the last connection, beyond the baseline.
  Duration queueing_{0};
  std::optional<Instant> queued_at_;
  std::optional<Instant> decreased_at_;
  // When a request was last held back by the rate.
  std::optional<Instant> binding_at_;
  std::optional<double> rate_;
  // Bytes; negative while the responses requested exceed the rate.
  double tokens_ = 0;
  Instant refilled_at_{};
  double response_bytes_ = options_.initial_response_bytes;
  // Requested bytes, decaying by `rate_decay_time`.
  double recent_bytes_ = 0;
  Instant recent_at_{};
};

// The links to all other regions.
using RegionLinks = std::map<RegionId, RegionLink>;

}  // namespace figstall

#endif  // FIGSTALL_REGION_LINK_H_
