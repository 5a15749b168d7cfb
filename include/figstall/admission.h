// Shares a fixed number of slots among lanes. Each lane has reserved slots that
// other lanes cannot take, a maximum, and a bounded queue.
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
  // Slots that other lanes cannot take.
  std::uint32_t reserved_slots = 0;
  // Maximum number of slots that the lane may hold.
  std::uint32_t max_slots = 0;
  // Maximum number of requests that may wait in the lane's queue.
  std::uint32_t max_queued = 0;

  friend auto operator<=>(const LaneLimits&, const LaneLimits&) = default;
};

struct AdmissionLimits {
  std::uint32_t slots = 0;
  std::array<LaneLimits, kLaneCount> lanes{};

  // Reserves 1/4 of `slots` for enquiries and 1/8 each for orders and bulk, and
  // limits bulk to half of them. Enquiries thus stay fast, and bulk still
  // finishes.
  static AdmissionLimits ForSlots(std::uint32_t slots, std::uint32_t queue);

  friend bool operator==(const AdmissionLimits&,
                         const AdmissionLimits&) = default;
};

enum class AdmissionVerdict { kAdmitted, kQueued, kRefused };

// Identifies one waiting request.
using Ticket = std::uint64_t;

class Admission {
 public:
  explicit Admission(AdmissionLimits limits) : limits_(limits) {}

  // A refused request takes no slot and no place in the queue.
  AdmissionVerdict TryAdmit(Ticket ticket, Lane lane);
  // Frees the slot of a finished request and returns the tickets that are
  // admitted in turn.
  std::vector<Ticket> Release(Lane lane);
  // Removes a request from its queue; false if it was not waiting.
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
  std::vector<Ticket> AdmitWaiting();
  LaneState& state(Lane lane) { return lanes_[static_cast<std::size_t>(lane)]; }
  const LaneState& state(Lane lane) const {
    return lanes_[static_cast<std::size_t>(lane)];
  }

  const AdmissionLimits limits_;
  std::array<LaneState, kLaneCount> lanes_{};
};

}  // namespace figstall

#endif  // FIGSTALL_ADMISSION_H_
