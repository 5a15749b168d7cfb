// Bounds what the process keeps of all callers' requests together. Each
// connection has an account of the bytes that it keeps.
#ifndef FIGSTALL_REQUEST_MEMORY_H_
#define FIGSTALL_REQUEST_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace figstall {

class RequestMemory {
 public:
  explicit RequestMemory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  std::size_t max_bytes() const { return max_bytes_; }
  // Bytes that all accounts keep or have reserved. Any thread may call this.
  std::size_t kept_bytes() const { return kept_bytes_; }

 private:
  friend class RequestMemoryAccount;

  const std::size_t max_bytes_;
  // At most `max_bytes_`, except for one large account that is alone and for
  // what connections had read before their request was refused.
  std::atomic<std::size_t> kept_bytes_ = 0;
  // Of these, the bytes of large accounts.
  std::size_t large_bytes_ = 0;
};

// What one connection keeps. Returns it to the sum when it is destroyed.
class RequestMemoryAccount {
 public:
  // Without `memory`, there is no bound.
  explicit RequestMemoryAccount(std::shared_ptr<RequestMemory> memory)
      : memory_(std::move(memory)) {}
  ~RequestMemoryAccount() { Set(0); }
  RequestMemoryAccount(const RequestMemoryAccount&) = delete;
  RequestMemoryAccount& operator=(const RequestMemoryAccount&) = delete;

  // Records what the connection keeps from now on, even if it does not fit.
  // Returns false if it has grown and does not fit. Large accounts leave a
  // part of the bound to small ones. A single large one may take up to one
  // and a half times the bound, so that few valid bodies are refused always.
  bool Set(std::size_t bytes);
  // Whether the bound is reached, so that nothing should be read ahead.
  bool IsFull() const;

 private:
  bool Fits() const;

  const std::shared_ptr<RequestMemory> memory_;
  std::size_t bytes_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_REQUEST_MEMORY_H_
