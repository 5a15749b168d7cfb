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
  const auto large = [](std::size_t size) {
    return size > kSmallAccountBytes ? size : std::size_t{0};
  };
  memory_->kept_bytes_ += bytes;
  memory_->kept_bytes_ -= bytes_;
  memory_->large_bytes_ += large(bytes);
  memory_->large_bytes_ -= large(bytes_);
  bytes_ = bytes;
  return !grown || Fits();
}

bool RequestMemoryAccount::Fits() const {
  const std::size_t max_bytes = memory_->max_bytes_;
  const std::size_t max_large_bytes =
      max_bytes / kLargeAccountsDenominator * kLargeAccountsNumerator;
  if (bytes_ <= kSmallAccountBytes) {
    return memory_->kept_bytes_ <= max_bytes ||
           memory_->kept_bytes_ - memory_->large_bytes_ <=
               max_bytes - max_large_bytes;
  }
  const bool alone = memory_->large_bytes_ == bytes_;
  return memory_->large_bytes_ <=
         (alone ? max_bytes + max_bytes / 2 : max_large_bytes);
}

bool RequestMemoryAccount::IsFull() const {
  return memory_ && memory_->kept_bytes_ >= memory_->max_bytes_;
}

}  // namespace figstall
