// Whether an asynchronous operation is in progress.
#ifndef FIGSTALL_PENDING_OPERATION_H_
#define FIGSTALL_PENDING_OPERATION_H_

#include <memory>
#include <utility>

namespace figstall {

// A flag that cannot stay set for good. The operation's handler holds a Handle
// and ends the operation. If an exception keeps the operation from starting, or
// its handler is destroyed without a call or throws, the operation ends with
// the last copy of the Handle.
class PendingOperation {
 public:
  class Handle {
   public:
    void End() const { *running_ = false; }

   private:
    friend class PendingOperation;
    explicit Handle(std::shared_ptr<bool> running)
        : running_(std::move(running)) {}

    std::shared_ptr<bool> running_;
  };

  // Begins the operation. An earlier one does not count any more.
  [[nodiscard]] Handle Begin() {
    auto running = std::make_shared<bool>(true);
    running_ = running;
    return Handle(std::move(running));
  }
  bool in_progress() const {
    const auto running = running_.lock();
    return running && *running;
  }

 private:
  std::weak_ptr<bool> running_;
};

}  // namespace figstall

#endif  // FIGSTALL_PENDING_OPERATION_H_
