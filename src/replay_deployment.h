// A replayed deployment: the product's decision code behind small fakes of the
// store, the VM list, targets and callers, all in virtual time.
#ifndef FIGSTALL_SRC_REPLAY_DEPLOYMENT_H_
#define FIGSTALL_SRC_REPLAY_DEPLOYMENT_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figstall/at_most_once_registry.h"
#include "figstall/budgets.h"
#include "figstall/configuration.h"
#include "figstall/holder_lease.h"
#include "figstall/retry_controller.h"
#include "figstall/route_table.h"
#include "figstall/zone_steward.h"
#include "replay_checker.h"
#include "replay_simulator.h"

namespace figstall::replay {

// Ways to break a rule on purpose, to see that the checker notices.
enum class Mutation {
  kNone,
  // Leases are taken for lapsed without waiting.
  kSkipLeaseExpiryWait,
  // Members' agreement to stop renewing is invented.
  kForgedSealReplies,
  // The old leader's agreement to step down is invented.
  kForgedStepDown,
  // The VM list drops a VM that is still running.
  kForgedVmRemoval,
  // Orders are retried after an unknown outcome.
  kRetryUnknown,
  // Answers are matched to requests by connection alone.
  kReusedConnection,
  // A lower revision is taken over.
  kLowerRevision,
  // Router-fenced partitions are given up while work is in flight.
  kForgetInFlight,
};

std::optional<Mutation> ParseMutation(const std::string& name);

struct DeploymentOptions {
  std::uint64_t seed = 1;
  NetworkOptions network;
  Duration vm_list_lag = std::chrono::seconds(5);
  // Clocks of targets and routers run fast or slow by at most this share.
  double clock_drift = 1e-4;
  Mutation mutation = Mutation::kNone;
  bool print_decisions = false;
};

// What a run showed, besides violations.
struct RunMetrics {
  std::map<std::string, int> outcomes;
  // Changes of owner that the store recorded.
  int owner_changes = 0;
  // Longest time from the begin of a slow or failed request until any request
  // of the same partition was answered.
  Duration longest_outage{0};
  // Longest time from writing a revision until every live router reachable
  // from the platform had it.
  Duration max_configuration_delay{0};
  // Longest time after which a leaving target still began work.
  Duration max_work_delay_after_leaving{0};
  // Busiest target's share of runs over the mean, for each service.
  std::map<ServiceId, double> imbalance;
};

class SimulatedDeployment {
 public:
  SimulatedDeployment(const nlohmann::json& records, DeploymentOptions options);

  // Carries out one recorded event; throws std::runtime_error if it makes no
  // sense here.
  void Schedule(const nlohmann::json& event);
  void RunUntil(Instant end);

  Simulator& timeline() { return timeline_; }
  const InvariantChecker& checker() const { return checker_; }
  RunMetrics CollectMetrics() const;
  // Tells which partitions have no owner able to serve, for failing runs.
  std::string DescribeLeaders() const;

 private:
  struct VersionedDocument {
    std::optional<std::string> value;
    std::uint64_t version = 0;
  };

  struct Steward {
    Process* process = nullptr;
    VmId vm;
    ZoneId zone;
    std::unique_ptr<ZoneSteward> state_machine;
    LatestConfiguration configuration;
  };

  struct Target {
    Process* process = nullptr;
    VmRecord record;
    bool checks_grants = true;
    LocalClock clock;
    std::string fault_mode = "ok";
    std::unique_ptr<HolderLease> grants;
    std::set<std::string> cancelled;
    std::map<PartitionKey, int> in_flight;
    std::optional<Instant> leaving_since;
    int executions = 0;
  };

  struct Router {
    Process* process = nullptr;
    VmId vm;
    ZoneId zone;
    LocalClock clock;
    std::unique_ptr<RouteTable> routes;
    std::unique_ptr<AtMostOnceRegistry> request_registry;
    std::unique_ptr<RetryBudget> retry_budget;
    std::unique_ptr<LatestConfiguration> configuration;
    std::map<VmId, Instant> ejected_until;
    // Attempts that wait for an answer.
    std::map<std::string, std::function<void(const Answer&)>> pending_attempts;
    // Routers to which a connection is open.
    std::set<VmId> connected;
    // Tells callers that their connection broke.
    std::vector<std::function<void()>> disconnect_callbacks;
    bool stopping = false;
  };

  using AnswerCallback = std::function<void(const Answer&)>;
  using Task = std::function<void()>;

  // How one request ended, for the measure of unavailable time.
  struct CompletedRequest {
    Instant started_at{};
    Instant end{};
    bool answered = false;
    bool slow = false;
  };

  // One request that a router works on.
  struct ActiveRequest {
    Request request;
    bool forwarded = false;
    std::unique_ptr<RetryController> flow;
    AnswerCallback done;
  };
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  // One caller's request, over all its repeats.
  struct Call {
    std::string call_id;
    Request request;
    Instant started_at{};
    Duration timeout{0};
    int tries_left = 0;
    VmId only_router;
    // Set once a use ended as unknown.
    bool may_have_run = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  // Building and starting.
  void AddVm(const VmRecord& vm);
  void StartProcess(const std::string& name);
  void KillProcess(const std::string& name);
  void StartSteward(Steward& steward);
  void StartTarget(Target& target);
  void StartRouter(Router& router);
  std::uint64_t NextIncarnation() { return ++incarnations_; }

  // Stewards and what they act upon.
  void TickSteward(Steward& steward);
  void PollPlatform(Steward& steward);
  void Step(Steward& steward, const StewardEvent& event);
  void ExecuteActions(Steward& steward, const StewardActions& actions);
  void DeliverOrder(Steward& steward, const HolderOrder& order);
  void DeliverPeerMessage(Steward& steward, const SendPeerMessage& send);
  void CallStore(Steward& steward,
                 bool is_write,
                 std::function<StewardEvent()> run,
                 const std::function<StewardEvent()>& lost);
  void ApplyConfiguration(Steward& steward,
                          const LatestConfiguration::Pointer& next);
  void DistributeConfiguration(Steward& steward);
  HolderStatus OrderAtTarget(Target& target, const HolderOrder& order);
  // Time by the clock of a target or router.
  template <typename Holder>
  Instant LocalTime(const Holder& holder) const {
    return holder.clock.At(timeline_.now());
  }

  // Requests.
  void ScheduleCalls(const nlohmann::json& event);
  void StartCall(const CallPtr& call);
  // What a caller knows that reached no router at all.
  static Answer UnreachableAnswer(const CallPtr& call);
  void SendToRouter(const CallPtr& call, Router& router);
  void OnTryEnded(const CallPtr& call, const Answer& answer);
  void ServeAtRouter(Router& router,
                     const Request& request,
                     AnswerCallback done);
  // Drops the answer if the router was restarted meanwhile.
  static AnswerCallback DropAfterRestart(Router& router, AnswerCallback done);
  void ServeAtMostOnce(Router& router,
                       const Request& request,
                       const AnswerCallback& done);
  void StartRequest(Router& router,
                    const Request& request,
                    bool forwarded,
                    AnswerCallback done);
  void Attempt(Router& router, const ActiveRequestPtr& course);
  void OnAttempt(Router& router,
                 const ActiveRequestPtr& course,
                 const Answer& answer);
  void ForwardToZone(Router& router,
                     const ActiveRequestPtr& course,
                     const ZoneId& zone,
                     std::size_t index);
  void Connect(Router& router,
               Router& other,
               const Task& connected,
               const Task& failed);
  void SendToTarget(Router& router,
                    const ActiveRequestPtr& course,
                    Target& target,
                    FencingToken term,
                    std::uint32_t partition,
                    InFlightGuard guard);
  void WorkAtTarget(Target& target,
                    const ActiveRequestPtr& course,
                    const std::string& attempt,
                    FencingToken term,
                    std::uint32_t partition,
                    Router& router);
  void CancelAtTarget(Router& router,
                      const VmId& target,
                      const std::string& attempt,
                      const std::shared_ptr<InFlightGuard>& guard);

  // Operators.
  void ApplyRecords(const std::function<void(nlohmann::json&)>& change);
  void WriteConfiguration();
  void OnConfigurationApplied(const std::string& router,
                              std::uint64_t revision);
  void CheckConfigurationSpread();
  void PublishVmList();

  // Prints one line with the virtual time, if asked to.
  void Print(const std::string& line) const;
  static Duration LongestOutage(const std::vector<CompletedRequest>& requests);
  void RunEvent(const nlohmann::json& event);

  const DeploymentOptions options_;
  Simulator timeline_;
  InvariantChecker checker_;
  nlohmann::json records_;
  std::uint64_t revision_ = 0;
  LatestConfiguration::Pointer configuration_;
  std::uint64_t incarnations_ = 0;

  // The platform.
  std::string store_fault_mode_ = "ok";
  Duration store_delay_{0};
  std::map<ZoneId, VersionedDocument> zone_documents_;
  std::map<ZoneId, std::pair<std::string, Instant>> leader_leases_;
  std::set<VmId> vm_list_;
  std::uint64_t vm_list_version_ = 0;
  std::set<VmId> vms_present_;

  std::map<VmId, Steward> stewards_;
  std::map<VmId, Router> routers_;
  std::map<VmId, Target> targets_;
  std::uint64_t next_attempt_ = 0;
  std::uint64_t next_token_ = 0;

  // Metrics.
  std::map<std::string, int> outcomes_;
  std::map<PartitionKey, VmId> owners_;
  int owner_changes_ = 0;
  std::map<PartitionKey, std::vector<CompletedRequest>> completed_requests_;
  std::map<std::uint64_t, Instant> written_at_;
  Duration max_configuration_delay_{0};
  Duration max_work_delay_after_leaving_{0};
};

// Records of a deployment in the shape of "caroni", "umurage" or "small", in
// the form that figstallctl takes.
nlohmann::json ShapeRecords(const std::string& shape, int schema);

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_DEPLOYMENT_H_
