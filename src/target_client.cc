// A set of connections, of which idle ones are used again within a part of the
// target's idle timeout.
#include "figstall/target_client.h"

#include <algorithm>
#include <vector>

namespace figstall {

TargetClient::~TargetClient() {
  // Connections that serve a request stay open until it ends.
  const auto connections = std::move(connections_);
  connections_.clear();
  for (const auto& connection : connections) {
    if (connection->idle())
      connection->Cancel();
  }
}

std::shared_ptr<TargetConnection> TargetClient::FindIdle(Instant now) const {
  const auto found = std::find_if(
      connections_.begin(), connections_.end(), [now](const auto& connection) {
        return connection->idle() && connection->IsUsableAt(now);
      });
  return found == connections_.end() ? nullptr : *found;
}

std::shared_ptr<TargetConnection> TargetClient::Acquire(Instant now) {
  auto found = FindIdle(now);
  return found ? found : Open();
}

std::shared_ptr<TargetConnection> TargetClient::Open() {
  const auto weak_self = std::make_shared<std::weak_ptr<TargetConnection>>();
  auto connection = std::make_shared<TargetConnection>(
      io_, entry_.address,
      [this, weak_self, alive = std::weak_ptr<int>(alive_)] {
        if (alive.expired())
          return;
        if (const auto self = weak_self->lock())
          connections_.erase(self);
      });
  *weak_self = connection;
  connections_.insert(connection);
  return connection;
}

bool TargetClient::OpensSlowly(Instant now) const {
  return !Connected(now) &&
         std::any_of(connections_.begin(), connections_.end(),
                     [now](const auto& connection) {
                       const auto since = connection->opening_since();
                       return since && now - *since >= kSlowConnect;
                     });
}

void TargetClient::CloseStale(Instant now) {
  std::vector<std::shared_ptr<TargetConnection>> stale;
  for (const auto& connection : connections_) {
    if (connection->idle() && !connection->IsUsableAt(now))
      stale.push_back(connection);
  }
  for (const auto& connection : stale)
    connection->Cancel();
}

}  // namespace figstall
