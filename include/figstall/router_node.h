// A router's data path: from a checked request to its answer, by way of the
// issuing router, the home zone's router, or the owner target.
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

// Requests that may arrive: from a caller, from a router that wants this one to
// decide as the id's issuer, or from a router that has decided already.
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

  // Connects to other routers; call once before serving.
  void SetPeers(RpcNode* peers) { peers_ = peers; }

  // What other processes ask of this router.
  RouterHandlers PeerHandlers();
  // Answers one HTTP call of a caller, the balancer or an operator.
  ServerResponse OnHttp(const ServerRequest& call);

  void OfferConfiguration(const std::string& text);
  // Fails readiness; with `refuse`, new requests are answered as not run.
  void StartDraining(bool refuse);
  // Ends the threads that call other processes; call before SetPeers' node
  // goes.
  void Stop();
  std::uint32_t in_flight() const { return in_flight_; }
  bool ready() const;

 private:
  struct CancelJob {
    TargetPool::PooledTargetPtr link;
    std::string attempt;
    // Keeps a router-fenced partition until its work has surely ended.
    std::shared_ptr<InFlightGuard> guard;
    Instant next{};
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
  // Refuses a request without trying it. An id that may have run under an
  // earlier use is answered as unknown.
  Answer Refuse(const Request& request, Arrival arrival, Reason reason);
  Answer ServeAtMostOnce(const Request& request);
  Answer RunFlow(const Request& request, Arrival arrival);
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
                      const TargetPool::PooledTargetPtr& link,
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
  RetryBudget retries_;
  LinkBudget link_;
  std::mutex once_mutex_;
  AtMostOnceRegistry at_most_once_;

  std::atomic<bool> draining_ = false;
  std::atomic<bool> refusing_ = false;
  std::atomic<std::uint32_t> in_flight_ = 0;
  std::atomic<std::uint64_t> next_attempt_ = 1;
  // Zones' routers that could not be reached, and until when to avoid them.
  std::mutex suspect_mutex_;
  std::map<VmId, Instant> ejected_peers_;

  // Forwarded requests have rings and threads of their own by kind: those that
  // may forward once more never take the threads of those that end here, and
  // bulk never takes those of the other lanes.
  Ring<ForwardJob> for_issuer_;
  Ring<ForwardJob> for_target_;
  Ring<ForwardJob> for_target_bulk_;
  Ring<CancelJob> cancels_;
  std::vector<std::thread> workers_;
};

}  // namespace figstall

#endif  // FIGSTALL_ROUTER_NODE_H_
