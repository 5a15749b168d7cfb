// Cap'n Proto RPC between figstall's own processes: one event loop on a thread
// of its own that both serves and calls.
#ifndef FIGSTALL_RPC_NODE_H_
#define FIGSTALL_RPC_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "figstall/messages.h"
#include "figstall/records.h"
#include "figstall/request.h"

namespace figstall {

// Takes the text of a configuration, or nothing if it is empty; returns the
// revision held.
using ConfigurationHandler =
    std::function<std::uint64_t(std::uint64_t revision, std::string text)>;

// What a steward process serves; called on the event loop, so must not block.
struct StewardHandlers {
  std::function<void(const StewardId& from, const PeerMessage& message)>
      on_message;
  ConfigurationHandler on_configuration;
};

// What a router process serves. `on_forward` may answer later, on any thread.
struct RouterHandlers {
  using Reply = std::function<void(const Answer&)>;

  std::function<HolderStatus(const HolderOrder& order)> on_order;
  ConfigurationHandler on_configuration;
  std::function<void(const Request& request, bool as_issuer, Reply reply)>
      on_forward;
};

// Calls never throw; a call that fails says so to its callback or result.
class RpcNode {
 public:
  RpcNode(const Endpoint& listen, const StewardHandlers& handlers);
  RpcNode(const Endpoint& listen, const RouterHandlers& handlers);
  ~RpcNode();
  RpcNode(const RpcNode&) = delete;
  RpcNode& operator=(const RpcNode&) = delete;

  // Sends a message to a steward; it may be lost.
  void Deliver(const Endpoint& to,
               const StewardId& from,
               const PeerMessage& message);
  // Sends the text only to a process that holds an older revision.
  void OfferConfigurationToSteward(const Endpoint& to,
                                   std::uint64_t revision,
                                   const std::string& text);
  void OfferConfigurationToRouter(const Endpoint& to,
                                  std::uint64_t revision,
                                  const std::string& text);

  // Sends an order to a router; `done` runs on the event loop.
  void SendOrder(const Endpoint& to,
                 const HolderOrder& order,
                 const std::function<void(std::optional<HolderStatus>)>& done);

  // Runs a request at another router and waits for the answer. Not run if the
  // other router was never reached, unknown if its answer was lost.
  Answer Forward(const Endpoint& to,
                 const Request& request,
                 bool as_issuer,
                 Instant now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace figstall

#endif  // FIGSTALL_RPC_NODE_H_
