// Basic value types that all other modules share: ids, fencing tokens and
// points in time. This header includes no other header of figstall.
#ifndef FIGSTALL_TYPES_H_
#define FIGSTALL_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>
#include <string>
#include <utility>

namespace figstall {

using Duration = std::chrono::microseconds;

inline Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// Whole milliseconds, rounded towards zero.
inline std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// A monotonic clock (CLOCK_BOOTTIME) that also advances while a VM is
// suspended, so that a lease expires for a holder that was suspended past its
// end. No decision depends on wall time.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  // The standard library's clock requirements fix this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  // Called by adapters only; decision code gets the time as an argument.
  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
  }
};
using Instant = BootClock::time_point;

// A string id of one kind. Ids of different kinds are different types, so that
// they cannot be mixed up.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  std::string value_;
};

using VmId = StrongId<struct VmTag>;
using ZoneId = StrongId<struct ZoneTag>;
using RegionId = StrongId<struct RegionTag>;
using ServiceId = StrongId<struct ServiceTag>;

// The number of an elected leader within its availability zone. Each later
// leader has a higher number.
using Epoch = std::uint64_t;

// A fencing token. It starts with the epoch of the leader that issued it, so
// two leaders never issue the same token and the tokens of a later leader are
// always greater.
struct FencingToken {
  Epoch epoch = 0;
  std::uint64_t count = 0;

  bool valid() const { return epoch != 0; }
  std::string ToString() const {
    return std::to_string(epoch) + "." + std::to_string(count);
  }
  friend auto operator<=>(const FencingToken&, const FencingToken&) = default;
};

// Identifies one run of the steward process. A restarted process counts as
// another steward.
struct StewardId {
  VmId vm;
  std::uint64_t incarnation = 0;

  std::string ToString() const {
    return vm.value() + "#" + std::to_string(incarnation);
  }
  friend auto operator<=>(const StewardId&, const StewardId&) = default;
};

// Identifies a partition of one service.
struct PartitionKey {
  ServiceId service;
  std::uint32_t partition = 0;

  friend auto operator<=>(const PartitionKey&, const PartitionKey&) = default;
};

inline std::string ToString(const PartitionKey& key) {
  return key.service.value() + "/" + std::to_string(key.partition);
}

// The owner of a partition, and the fencing token of that ownership.
struct PartitionRow {
  PartitionKey key;
  FencingToken term;
  VmId owner;

  friend auto operator<=>(const PartitionRow&, const PartitionRow&) = default;
};

}  // namespace figstall

#endif  // FIGSTALL_TYPES_H_
