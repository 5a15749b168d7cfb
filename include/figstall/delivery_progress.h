// Tells whether a peer still receives what was written to its connection.
#ifndef FIGSTALL_DELIVERY_PROGRESS_H_
#define FIGSTALL_DELIVERY_PROGRESS_H_

#include <cstddef>
#include <optional>

#include "figstall/types.h"

namespace figstall {

enum class DeliveryState {
  // The peer's kernel has acknowledged all bytes.
  kDelivered,
  kUnderWay,
  // Bytes are left and none was acknowledged for the maximum pause.
  kStalled,
};

// Bytes that the own kernel has accepted are lost if the connection is reset
// before the peer's kernel acknowledges them. Samples of their number show a
// peer that reads slowly apart from one that does not read.
class DeliveryProgress {
 public:
  explicit DeliveryProgress(Duration max_pause) : max_pause_(max_pause) {}

  // Records how many bytes are not acknowledged at `now`, which must not
  // decrease.
  DeliveryState Update(Instant now, std::size_t unacknowledged_bytes) {
    if (unacknowledged_bytes != unacknowledged_bytes_) {
      unacknowledged_bytes_ = unacknowledged_bytes;
      changed_at_ = now;
    }
    if (unacknowledged_bytes == 0)
      return DeliveryState::kDelivered;
    last_undelivered_at_ = now;
    return now - changed_at_ > max_pause_ ? DeliveryState::kStalled
                                          : DeliveryState::kUnderWay;
  }

  // The latest sample with bytes that were not acknowledged.
  const std::optional<Instant>& last_undelivered_at() const {
    return last_undelivered_at_;
  }

 private:
  const Duration max_pause_;
  std::size_t unacknowledged_bytes_ = 0;
  // Of the number of bytes.
  Instant changed_at_{};
  std::optional<Instant> last_undelivered_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_DELIVERY_PROGRESS_H_
