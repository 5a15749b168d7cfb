// Cap'n Proto RPC between figstall's own processes. A node runs one event loop,
// on a thread of its own, that serves incoming calls and makes outgoing ones.
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

// Accepts the text of a configuration and returns the revision held. An empty
// text changes nothing and only queries the revision.
using ConfigurationHandler =
    std::function<std::uint64_t(std::uint64_t revision, std::string text)>;

// The calls that a steward process serves. The handlers run on the event loop,
// so they must not block.
struct StewardHandlers {
  std::function<void(const StewardId& from, const PeerMessage& message)>
      on_message;
  ConfigurationHandler on_configuration;
};

// The calls that a router process serves. `on_forward` may call `reply` after
// it has returned, from any thread.
struct RouterHandlers {
  using Reply = std::function<void(const Answer&)>;

  std::function<HolderStatus(const HolderOrder& order)> on_order;
  ConfigurationHandler on_configuration;
  std::function<void(const Request& request, bool as_issuer, Reply reply)>
      on_forward;
};

// Calls never throw. A failed call is reported through its callback or result,
// if it has one.
class RpcNode {
 public:
  RpcNode(const Endpoint& listen, const StewardHandlers& handlers);
  RpcNode(const Endpoint& listen, const RouterHandlers& handlers);
  ~RpcNode();
  RpcNode(const RpcNode&) = delete;
  RpcNode& operator=(const RpcNode&) = delete;

  // Sends a message to a steward. The message may be lost without notice.
  void Deliver(const Endpoint& to,
               const StewardId& from,
               const PeerMessage& message);
  // Each of these sends the text only if the other process holds an older
  // revision.
  void OfferConfigurationToSteward(const Endpoint& to,
                                   std::uint64_t revision,
                                   const std::string& text);
  void OfferConfigurationToRouter(const Endpoint& to,
                                  std::uint64_t revision,
                                  const std::string& text);

  // Sends an order to a router. `done` runs on the event loop, with nothing if
  // the call failed after the connection was opened.
  void SendOrder(const Endpoint& to,
                 const HolderOrder& order,
                 const std::function<void(std::optional<HolderStatus>)>& done);

  // Runs a request at another router and waits for its answer. The outcome is
  // "not run" if no connection to that router could be opened, and "unknown" if
  // its answer was lost or did not arrive before the deadline.
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
