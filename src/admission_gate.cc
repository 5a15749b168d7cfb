// All waiting threads share one condition variable. A release that admits any
// ticket wakes all of them, and each checks whether its own was admitted.
#include "figstall/admission_gate.h"

namespace figstall {

bool AdmissionGate::Acquire(Lane lane, Instant deadline) {
  std::unique_lock lock(mutex_);
  const Ticket ticket = next_ticket_++;
  const AdmissionVerdict verdict = admission_.TryAdmit(ticket, lane);
  if (verdict != AdmissionVerdict::kQueued)
    return verdict == AdmissionVerdict::kAdmitted;
  const bool admitted = admitted_signal_.wait_until(
      lock, deadline, [&] { return admitted_.contains(ticket); });
  if (admitted) {
    admitted_.erase(ticket);
    return true;
  }
  admission_.CancelWaiting(ticket, lane);
  return false;
}

void AdmissionGate::Release(Lane lane) {
  const std::lock_guard lock(mutex_);
  WakeAdmitted(admission_.Release(lane));
}

std::uint32_t AdmissionGate::in_use() const {
  const std::lock_guard lock(mutex_);
  return admission_.in_use();
}

void AdmissionGate::WakeAdmitted(const std::vector<Ticket>& tickets) {
  if (tickets.empty())
    return;
  admitted_.insert(tickets.begin(), tickets.end());
  admitted_signal_.notify_all();
}

}  // namespace figstall
