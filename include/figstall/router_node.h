// A router's data path: handles a validated request locally or forwards it to
// the router that issued its id or to a router of the home zone, and sends it
// to a target.
#ifndef FIGSTALL_ROUTER_NODE_H_
#define FIGSTALL_ROUTER_NODE_H_

#include <atomic>
#include <memory>
#include <random>
#include <thread>

#include "figstall/admission_gate.h"
#include "figstall/at_most_once_registry.h"
#include "figstall/budgets.h"
#include "figstall/configuration.h"
#include "figstall/http_server.h"
#include "figstall/log.h"
#include "figstall/metrics.h"
#include "figstall/retry_controller.h"
#include "figstall/ring.h"
#include "figstall/route_table.h"
#include "figstall/rpc_node.h"
#include "figstall/settings.h"
#include "figstall/target_pool.h"

namespace figstall {

// Where a request comes from: a caller, a router that forwards it to this one
// as the issuer of its id, or a router that forwards it only to be sent to a
// target.
enum class Arrival { kCaller, kForIssuer, kForTarget };

class RouterNode {
 public:
  RouterNode(RouterSettings settings,
             std::uint64_t incarnation,
             Log& log,
             Metrics& metrics);
  ~RouterNode();
  RouterNode(const RouterNode&) = delete;
  RouterNode& operator=(const RouterNode&) = delete;

  // Sets the node that sends messages to other routers; call once before
  // serving.
  void SetPeers(RpcNode* peers) { peers_ = peers; }

  // Handlers for messages of other processes.
  RouterHandlers PeerHandlers();
  // Handles one HTTP request of a caller, the load balancer or an operator.
  ServerResponse OnHttp(const ServerRequest& call);

  void OfferConfiguration(const std::string& text);
  // Reports the router as not ready. With `refuse`, it also refuses new
  // requests; see Refuse.
  void StartDraining(bool refuse);
  // Ends the worker threads, which call other processes; call before the node
  // given to SetPeers is destroyed.
  void Stop();
  std::uint32_t in_flight() const { return in_flight_; }
  bool ready() const;

 private:
  struct CancelJob {
    TargetPool::PooledTargetPtr target;
    std::string attempt;
    // Keeps the partition, if this router fences it, until the attempt has
    // certainly ended.
    std::shared_ptr<InFlightGuard> guard;
    Instant not_before{};
  };

  struct ForwardJob {
    Request request;
    RouterHandlers::Reply reply;
  };

  ServerResponse OnCallerRequest(const ServerRequest& call);
  ServerResponse IssueRequestId();
  ServerResponse ReadyReply() const;
  ServerResponse Explain(const ServerRequest& call) const;
  ServerResponse Status() const;

  Answer Serve(const Request& request, Arrival arrival);
  Answer ServeByArrival(const Request& request, Arrival arrival);
  // Refuses a request without an attempt. The outcome is unknown if an earlier
  // use of the request's id may have run.
  Answer Refuse(const Request& request, Arrival arrival, Reason reason);
  Answer ServeAtMostOnce(const Request& request);
  Answer RunAttempts(const Request& request, Arrival arrival);
  Answer Attempt(const Request& request, Arrival arrival);
  Answer AttemptOwned(const Request& request,
                      const ServiceRecord& service,
                      const Configuration& configuration,
                      Arrival arrival);
  Answer AttemptShared(const Request& request,
                       const ServiceRecord& service,
                       const Configuration& configuration,
                       Arrival arrival);
  Answer ForwardToZone(const Request& request,
                       const Configuration& configuration,
                       const ZoneId& zone);
  Answer ForwardToIssuer(const Request& request);
  Answer SendToTarget(const Request& request,
                      const TargetPool::PooledTargetPtr& target,
                      std::uint32_t partition,
                      FencingToken term,
                      InFlightGuard guard);
  void LogAnswer(const Request& request,
                 Arrival arrival,
                 const Answer& answer,
                 Duration latency);

  void OnForward(const Request& request,
                 bool as_issuer,
                 const RouterHandlers::Reply& reply);
  void RunForwards(Ring<ForwardJob>& ring, Arrival arrival);
  void RunCancels();
  bool TryCancel(const CancelJob& job);

  const RouterSettings settings_;
  const std::uint64_t incarnation_;
  Log& log_;
  Metrics& metrics_;
  RpcNode* peers_ = nullptr;

  LatestConfiguration configuration_;
  RouteTable routes_;
  TargetPool targets_;
  AdmissionGate gate_;
  std::mutex budget_mutex_;
  RetryBudget retry_budget_;
  LinkBudget link_budget_;
  std::mutex once_mutex_;
  AtMostOnceRegistry at_most_once_;

  std::atomic<bool> draining_ = false;
  std::atomic<bool> refusing_ = false;
  std::atomic<std::uint32_t> in_flight_ = 0;
  std::atomic<std::uint64_t> next_attempt_ = 1;
  // Routers of other zones that could not be reached or refused a request
  // because they were stopping or not ready, and the time until which each is
  // ejected.
  std::mutex ejected_peers_mutex_;
  std::map<VmId, Instant> ejected_peers_;

  // Each kind of forwarded request has its own ring and threads. A request for
  // this router as issuer may be forwarded again, so it must not take the
  // threads of requests that go straight to a target, and bulk must not take
  // those of the other lanes.
  Ring<ForwardJob> for_issuer_;
  Ring<ForwardJob> for_target_;
  Ring<ForwardJob> for_target_bulk_;
  Ring<CancelJob> cancels_;
  std::vector<std::thread> workers_;
};

}  // namespace figstall

#endif  // FIGSTALL_ROUTER_NODE_H_
