// This router's connections to one target, and the target's load.
#ifndef FIGSTALL_TARGET_CLIENT_H_
#define FIGSTALL_TARGET_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <utility>

#include "figstall/target_connection.h"
#include "figstall/target_entry.h"
#include "figstall/target_load.h"

namespace figstall {

// Twice the round-trip time between regions. A connection that takes longer to
// open probably waits for the kernel to send its SYN again.
constexpr Duration kSlowConnect = std::chrono::milliseconds(50);

class TargetClient {
 public:
  TargetClient(boost::asio::io_context& io, TargetEntry entry)
      : io_(io), entry_(std::move(entry)) {}
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  // Returns an idle connection well within the target's idle timeout, or a new
  // one.
  std::shared_ptr<TargetConnection> Acquire(Instant now);
  // Returns a new connection.
  std::shared_ptr<TargetConnection> Open();
  bool Connected(Instant now) const { return FindIdle(now) != nullptr; }
  // Whether a request would wait for a connection longer than usual: none is
  // idle, and one has been opening for a while.
  bool OpensSlowly(Instant now) const;
  // Closes idle connections that will not be used again, since a target accepts
  // a limited number of connections from all routers.
  void CloseStale(Instant now);
  void SetEntry(TargetEntry entry) { entry_ = std::move(entry); }

  const TargetEntry& entry() const { return entry_; }
  TargetLoad& load() { return load_; }
  const TargetLoad& load() const { return load_; }

 private:
  std::shared_ptr<TargetConnection> FindIdle(Instant now) const;

  boost::asio::io_context& io_;
  TargetEntry entry_;
  TargetLoad load_;
  std::set<std::shared_ptr<TargetConnection>> connections_;
  // Lets handlers of connections check whether this object still exists.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_CLIENT_H_
