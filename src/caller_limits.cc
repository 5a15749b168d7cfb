// Keeps superseded limits as long as a connection may have been idle, or a
// request unfinished, since they were in force.
#include "figstall/caller_limits.h"

#include <algorithm>

namespace figstall {
namespace {

CallerLimits Greatest(const CallerLimits& one, const CallerLimits& other) {
  return {std::max(one.max_header_bytes, other.max_header_bytes),
          std::max(one.max_body_bytes, other.max_body_bytes),
          std::max(one.header_timeout, other.header_timeout),
          std::max(one.idle_timeout, other.idle_timeout)};
}

}  // namespace

CallerLimitsHistory::CallerLimitsHistory(const CallerLimits& initial,
                                         Duration propagation_time)
    : propagation_time_(propagation_time), current_(initial) {}

void CallerLimitsHistory::Set(Instant now, const CallerLimits& limits) {
  if (limits == current_)
    return;
  superseded_.push_back({current_, now});
  current_ = limits;
  CallerLimits later = current_;
  for (auto each = superseded_.rbegin(); each != superseded_.rend(); ++each) {
    const CallerLimits all = Greatest(each->limits, later);
    const Duration longest = std::max(all.header_timeout, all.idle_timeout);
    // Nothing that began under these limits is still within them, or later
    // ones are no lower.
    if (all == later || now - each->until > longest + 2 * propagation_time_)
      each->until = Instant::min();
    else
      later = all;
  }
  std::erase_if(superseded_, [](const Superseded& each) {
    return each.until == Instant::min();
  });
}

CallerLimits CallerLimitsHistory::Since(Instant begin) const {
  CallerLimits limits = current_;
  for (const Superseded& each : superseded_) {
    if (each.until + propagation_time_ >= begin)
      limits = Greatest(limits, each.limits);
  }
  limits.header_timeout += propagation_time_;
  limits.idle_timeout += propagation_time_;
  return limits;
}

}  // namespace figstall
