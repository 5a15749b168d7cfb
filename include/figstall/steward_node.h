// Connects a ZoneSteward to the network: one thread runs its steps and sends
// its messages; others call the store, watch the configuration and poll the VM
// list.
#ifndef FIGSTALL_STEWARD_NODE_H_
#define FIGSTALL_STEWARD_NODE_H_

#include <atomic>
#include <mutex>
#include <thread>

#include "figstall/configuration.h"
#include "figstall/http_client.h"
#include "figstall/http_server.h"
#include "figstall/log.h"
#include "figstall/metrics.h"
#include "figstall/ring.h"
#include "figstall/rpc_node.h"
#include "figstall/settings.h"
#include "figstall/store.h"
#include "figstall/zone_steward.h"

namespace figstall {

// Store keys of one zone.
std::string ZoneDocumentKey(const ZoneId& zone);
std::string LeaderLeaseKey(const ZoneId& zone);

class StewardNode {
 public:
  StewardNode(StewardSettings settings,
              std::uint64_t incarnation,
              Log& log,
              Metrics& metrics);
  ~StewardNode();
  StewardNode(const StewardNode&) = delete;
  StewardNode& operator=(const StewardNode&) = delete;

  StewardHandlers PeerHandlers();
  // Starts all threads; `peers` must outlive them.
  void Start(RpcNode* peers);
  // Stops all threads, then resigns, sends the peer messages of the resignation
  // and releases the leader lease.
  void Stop();

  ServerResponse OnHttp(const ServerRequest& call) const;

 private:
  using StoreJob =
      std::variant<ReadZone, WriteZone, AcquireLeaderLease, ReleaseLeaderLease>;

  // The steward's state for other threads, copied at every tick.
  struct StatusSnapshot {
    bool leading = false;
    bool authority = false;
    bool settled = false;
    bool admitted = false;
    bool leader_timed_out = true;
    Epoch epoch = 0;
  };

  void RunSteps();
  void RunStore();
  void RunConfiguration();
  void RunVmList();

  void Push(StewardEvent event);
  void ExecuteActions(const StewardActions& actions);
  void DeliverOrder(const HolderOrder& order);
  // Sends `order` to a target that checks grants; only probes any other target.
  void SendOrderToTarget(const VmRecord& target, const HolderOrder& order);
  void DeliverPeerMessage(const SendPeerMessage& send);
  void LogDecision(const Decision& decision);
  void RunStoreJob(const StoreJob& job);
  void ApplyConfiguration(const std::string& text);
  void DistributeConfiguration(const Configuration& configuration);
  StatusSnapshot CurrentSnapshot() const;

  const StewardSettings settings_;
  const StewardId self_;
  Log& log_;
  Metrics& metrics_;
  RpcNode* peers_ = nullptr;

  // Used only by the thread of RunSteps, and by Stop after that thread has
  // ended.
  ZoneSteward steward_;
  LatestConfiguration configuration_;
  AsyncHttpClient target_client_;
  HttpStore store_;
  mutable std::mutex snapshot_mutex_;
  StatusSnapshot snapshot_;

  std::atomic<bool> stopping_ = false;
  Ring<StewardEvent> events_;
  Ring<StoreJob> store_jobs_;
  // Configuration texts that the zone's leader offered.
  Ring<std::string> received_configurations_;
  std::vector<std::thread> threads_;
};

}  // namespace figstall

#endif  // FIGSTALL_STEWARD_NODE_H_
