// A bounded queue between threads, as a ring buffer. If it is full, a push
// fails at once and does not wait for space.
#ifndef FIGSTALL_RING_H_
#define FIGSTALL_RING_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace figstall {

// Safe for any number of writers and readers. Example:
//
//   Ring<int> ring(64);
//   if (!ring.TryPush(1)) CountDroppedItem();
//   std::optional<int> item = ring.Pop(std::chrono::milliseconds(20));
template <typename T>
class Ring {
 public:
  explicit Ring(std::size_t capacity) : slots_(capacity) {}

  // Returns false if the ring is full or closed.
  bool TryPush(T item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || size_ == slots_.size())
        return false;
      slots_[(first_ + size_) % slots_.size()] = std::move(item);
      ++size_;
    }
    ready_.notify_one();
    return true;
  }

  // Waits at most `timeout` for an item. Returns nothing on timeout, or if the
  // ring is closed and empty.
  template <typename Rep, typename Period>
  std::optional<T> Pop(std::chrono::duration<Rep, Period> timeout) {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, timeout, [&] { return size_ > 0 || closed_; });
    if (size_ == 0)
      return std::nullopt;
    std::optional<T> item(std::move(*slots_[first_]));
    slots_[first_].reset();
    first_ = (first_ + 1) % slots_.size();
    --size_;
    return item;
  }

  // Makes further pushes fail and wakes all readers; items can still be popped.
  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    ready_.notify_all();
  }

  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<std::optional<T>> slots_;
  std::size_t first_ = 0;
  std::size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace figstall

#endif  // FIGSTALL_RING_H_
