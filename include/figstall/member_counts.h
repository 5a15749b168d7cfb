// Number of members among which a bound on a sum over all members is divided.
// Performs no I/O.
#ifndef FIGSTALL_MEMBER_COUNTS_H_
#define FIGSTALL_MEMBER_COUNTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "figstall/types.h"

namespace figstall {

// The largest recent value of a count.
class RecentMaximum {
 public:
  // Records that the count is `value`. Larger values from before count until
  // `retention` after they were last recorded.
  void Record(Instant now, std::uint32_t value, Duration retention);
  // Zero if nothing was recorded.
  std::uint32_t value() const {
    return values_.empty() ? 0 : values_.front().value;
  }

 private:
  struct Recorded {
    std::uint32_t value = 0;
    Instant last_at;
  };
  // Sorted by strictly descending value and ascending time.
  std::deque<Recorded> values_;
};

// A member that disappears still counts for a while, since memberships also
// lapse while the members go on: when the store is away, or all at once when it
// was restored from an older copy.
class MemberCounts {
 public:
  static constexpr Duration kDefaultRetention = std::chrono::seconds(30);

  explicit MemberCounts(Duration retention = kDefaultRetention)
      : retention_(retention) {}

  // Records the members by zone that this process sees, and until when its own
  // membership is valid. Call it at least once a second.
  void Record(Instant now,
              const std::map<ZoneId, std::uint32_t>& members,
              Instant membership_valid_until);

  // At least one.
  std::uint32_t total() const { return AtLeastOne(total_.value()); }
  std::uint32_t InZone(const ZoneId& zone) const;
  // This process's fraction of a sum that is allowed to all members in any
  // `window`. Zero until it has been a member for a window without
  // interruption: by then it has seen all others that use a fraction, and what
  // an earlier process on its VM has used is in no window with what this one
  // uses.
  double FractionOfFixedSum(Instant now, Duration window) const;

 private:
  static std::uint32_t AtLeastOne(std::uint32_t count) {
    return count == 0 ? 1 : count;
  }

  const Duration retention_;
  RecentMaximum total_;
  std::map<ZoneId, RecentMaximum> by_zone_;
  // Since when this process has been a member without interruption.
  std::optional<Instant> member_since_;
  Instant membership_valid_until_{};
};

}  // namespace figstall

#endif  // FIGSTALL_MEMBER_COUNTS_H_
