// Shares a fixed number of slots among lanes: each lane has a floor that the
// others cannot take and a cap that it cannot pass, and a short queue.
#ifndef FIGSTALL_ADMISSION_H_
#define FIGSTALL_ADMISSION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

#include "figstall/records.h"
#include "figstall/types.h"

namespace figstall {

struct LaneLimits {
  // Slots kept free for the lane whatever the others want.
  std::uint32_t reserved_slots = 0;
  // Most slots the lane may hold.
  std::uint32_t max_slots = 0;
  // Most requests that may wait.
  std::uint32_t max_queued = 0;

  friend auto operator<=>(const LaneLimits&, const LaneLimits&) = default;
};

struct AdmissionLimits {
  std::uint32_t slots = 0;
  std::array<LaneLimits, kLaneCount> lanes{};

  // Splits `slots` in the proportions that keep enquiries fast and let bulk
  // finish: floors of 1/4, 1/8 and 1/8; bulk never holds more than half.
  static AdmissionLimits ForSlots(std::uint32_t slots, std::uint32_t queue);

  friend bool operator==(const AdmissionLimits&,
                         const AdmissionLimits&) = default;
};

enum class AdmissionVerdict { kAdmitted, kQueued, kRefused };

// Names one waiting request.
using Ticket = std::uint64_t;

class Admission {
 public:
  explicit Admission(AdmissionLimits limits) : limits_(limits) {}

  // A refused request did not run and left nothing behind.
  AdmissionVerdict TryAdmit(Ticket ticket, Lane lane);
  // Frees the slot of a finished request; returns the tickets admitted now.
  std::vector<Ticket> Release(Lane lane);
  // Takes a request out of its queue; false if it was not waiting.
  bool CancelWaiting(Ticket ticket, Lane lane);

  std::uint32_t in_use() const;
  std::uint32_t in_use(Lane lane) const;
  std::size_t waiting(Lane lane) const;

 private:
  struct LaneState {
    std::uint32_t in_use = 0;
    std::deque<Ticket> queue;
  };

  bool HasSlotFor(Lane lane) const;
  std::vector<Ticket> StartWaiting();
  LaneState& state(Lane lane) { return lanes_[static_cast<std::size_t>(lane)]; }
  const LaneState& state(Lane lane) const {
    return lanes_[static_cast<std::size_t>(lane)];
  }

  const AdmissionLimits limits_;
  std::array<LaneState, kLaneCount> lanes_{};
};

}  // namespace figstall

#endif  // FIGSTALL_ADMISSION_H_
