// Blocks threads until Admission grants them a slot. Thread-safe.
#ifndef FIGSTALL_ADMISSION_GATE_H_
#define FIGSTALL_ADMISSION_GATE_H_

#include <condition_variable>
#include <mutex>
#include <set>

#include "figstall/admission.h"

namespace figstall {

class AdmissionGate {
 public:
  explicit AdmissionGate(AdmissionLimits limits) : admission_(limits) {}

  // Waits for a slot until `deadline`. Returns false if the request was refused
  // or the deadline passed.
  bool Acquire(Lane lane, Instant deadline);
  void Release(Lane lane);
  std::uint32_t in_use() const;

 private:
  void WakeAdmitted(const std::vector<Ticket>& tickets);

  mutable std::mutex mutex_;
  std::condition_variable admitted_signal_;
  Admission admission_;
  Ticket next_ticket_ = 0;
  std::set<Ticket> admitted_;
};

// Acquires a slot on construction, unless that fails, and releases it on
// destruction.
class AdmissionSlot {
 public:
  AdmissionSlot(AdmissionGate& gate, Lane lane, Instant deadline)
      : gate_(gate), lane_(lane), entered_(gate.Acquire(lane, deadline)) {}
  ~AdmissionSlot() {
    if (entered_)
      gate_.Release(lane_);
  }
  AdmissionSlot(const AdmissionSlot&) = delete;
  AdmissionSlot& operator=(const AdmissionSlot&) = delete;

  bool entered() const { return entered_; }

 private:
  AdmissionGate& gate_;
  const Lane lane_;
  const bool entered_;
};

}  // namespace figstall

#endif  // FIGSTALL_ADMISSION_GATE_H_
