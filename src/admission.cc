// Admission, queueing and release of slots by lane.
#include "figstall/admission.h"

#include <algorithm>

namespace figstall {
namespace {

constexpr std::array<Lane, kLaneCount> kLanesByPriority = {
    Lane::kEnquiry, Lane::kOrder, Lane::kBulk};

}  // namespace

AdmissionLimits AdmissionLimits::ForSlots(std::uint32_t slots,
                                          std::uint32_t queue) {
  AdmissionLimits limits;
  limits.slots = std::max<std::uint32_t>(slots, 1);
  const std::uint32_t eighth = limits.slots / 8;
  limits.lanes[0] = {2 * eighth, limits.slots, queue};
  limits.lanes[1] = {eighth, limits.slots, queue};
  limits.lanes[2] = {eighth, std::max<std::uint32_t>(limits.slots / 2, 1),
                     queue};
  return limits;
}

AdmissionVerdict Admission::TryAdmit(Ticket ticket, Lane lane) {
  LaneState& lane_state = state(lane);
  if (lane_state.queue.empty() && HasSlotFor(lane)) {
    ++lane_state.in_use;
    return AdmissionVerdict::kAdmitted;
  }
  if (lane_state.queue.size() >=
      limits_.lanes[static_cast<std::size_t>(lane)].max_queued)
    return AdmissionVerdict::kRefused;
  lane_state.queue.push_back(ticket);
  return AdmissionVerdict::kQueued;
}

std::vector<Ticket> Admission::Release(Lane lane) {
  --state(lane).in_use;
  return AdmitWaiting();
}

bool Admission::CancelWaiting(Ticket ticket, Lane lane) {
  return std::erase(state(lane).queue, ticket) > 0;
}

std::uint32_t Admission::in_use() const {
  std::uint32_t total = 0;
  for (const LaneState& lane : lanes_)
    total += lane.in_use;
  return total;
}

std::uint32_t Admission::in_use(Lane lane) const {
  return state(lane).in_use;
}

std::size_t Admission::waiting(Lane lane) const {
  return state(lane).queue.size();
}

bool Admission::HasSlotFor(Lane lane) const {
  const auto index = static_cast<std::size_t>(lane);
  if (lanes_[index].in_use >= limits_.lanes[index].max_slots)
    return false;
  std::uint32_t reserved = 0;
  for (std::size_t other = 0; other < lanes_.size(); ++other) {
    const std::uint32_t lane_reserve = limits_.lanes[other].reserved_slots;
    if (other == index || lanes_[other].in_use >= lane_reserve)
      continue;
    reserved += lane_reserve - lanes_[other].in_use;
  }
  return in_use() + reserved < limits_.slots;
}

std::vector<Ticket> Admission::AdmitWaiting() {
  std::vector<Ticket> admitted;
  for (Lane lane : kLanesByPriority) {
    LaneState& lane_state = state(lane);
    while (!lane_state.queue.empty() && HasSlotFor(lane)) {
      admitted.push_back(lane_state.queue.front());
      lane_state.queue.pop_front();
      ++lane_state.in_use;
    }
  }
  return admitted;
}

}  // namespace figstall
