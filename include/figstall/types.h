// The small value types that every other module shares: names, fencing tokens
// and points in time. This header includes nothing of figstall's own.
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

// The monotonic clock that also counts while a VM is suspended, so that a lease
// lapses for a holder that slept through it. Wall time never enters a decision.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  // The standard library asks for this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  // For adapters; decisions are told the time.
  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
  }
};
using Instant = BootClock::time_point;

// A name that cannot be confused with a name of another kind.
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

// The number of an elected leader within its availability zone; only rises.
using Epoch = std::uint64_t;

// A fencing token. The epoch is the leader's that issued it, so two leaders
// never issue the same term and a later leader's terms are always greater.
struct FencingToken {
  Epoch epoch = 0;
  std::uint64_t count = 0;

  bool valid() const { return epoch != 0; }
  std::string ToString() const {
    return std::to_string(epoch) + "." + std::to_string(count);
  }
  friend auto operator<=>(const FencingToken&, const FencingToken&) = default;
};

// One run of the steward process; a restarted process is another steward.
struct StewardId {
  VmId vm;
  std::uint64_t incarnation = 0;

  std::string ToString() const {
    return vm.value() + "#" + std::to_string(incarnation);
  }
  friend auto operator<=>(const StewardId&, const StewardId&) = default;
};

// A partition of one service.
struct PartitionKey {
  ServiceId service;
  std::uint32_t partition = 0;

  friend auto operator<=>(const PartitionKey&, const PartitionKey&) = default;
};

inline std::string ToString(const PartitionKey& key) {
  return key.service.value() + "/" + std::to_string(key.partition);
}

// Who owns a partition, under which fencing token.
struct PartitionRow {
  PartitionKey key;
  FencingToken term;
  VmId owner;

  friend auto operator<=>(const PartitionRow&, const PartitionRow&) = default;
};

}  // namespace figstall

#endif  // FIGSTALL_TYPES_H_
