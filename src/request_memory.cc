// Implements the sum over all connections and the part that is left to small
// requests.
#include "figstall/request_memory.h"

namespace figstall {
namespace {

// An account of at most this size may use the whole bound.
constexpr std::size_t kSmallAccountBytes = 131'072;
// Of the bound, what accounts may fill that are larger.
constexpr std::size_t kLargeAccountsNumerator = 3;
constexpr std::size_t kLargeAccountsDenominator = 4;

}  // namespace

bool RequestMemoryAccount::Set(std::size_t bytes) {
  if (!memory_)
    return true;
  const bool grown = bytes > bytes_;
  memory_->kept_bytes_ += bytes;
  memory_->kept_bytes_ -= bytes_;
  bytes_ = bytes;
  const std::size_t bound = bytes <= kSmallAccountBytes
                                ? memory_->max_bytes_
                                : memory_->max_bytes_ /
                                      kLargeAccountsDenominator *
                                      kLargeAccountsNumerator;
  return !grown || memory_->kept_bytes_ <= bound;
}

bool RequestMemoryAccount::IsFull() const {
  return memory_ && memory_->kept_bytes_ >= memory_->max_bytes_;
}

}  // namespace figstall
