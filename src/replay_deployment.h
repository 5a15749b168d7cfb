// A simulated deployment: the product's decision code with fakes of the store,
// the VM list, the targets and the callers, run in virtual time.
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

// Deliberate faults, by which a run shows whether InvariantChecker reports the
// violations that they cause.
enum class Mutation {
  kNone,
  // The leader treats leases as expired without waiting for their end.
  kSkipLeaseExpiryWait,
  // Members' agreement to stop renewing a lease is forged.
  kForgedSealReplies,
  // The previous leader's acknowledgment of a step-down request is forged.
  kForgedStepDown,
  // The VM list omits a VM that is still running.
  kForgedVmRemoval,
  // Requests that are not idempotent are retried after an unknown outcome.
  kRetryUnknown,
  // A router takes a late answer for that of another pending attempt, as if it
  // matched answers to requests by connection alone.
  kReusedConnection,
  // Routers accept a configuration with a lower revision than their own.
  kLowerRevision,
  // Routers release partitions that they fence while work is in flight.
  kForgetInFlight,
};

// Returns nothing for an unknown name.
std::optional<Mutation> ParseMutation(const std::string& name);

struct DeploymentOptions {
  std::uint64_t seed = 1;
  NetworkOptions network;
  Duration vm_list_lag = std::chrono::seconds(5);
  // Clocks of targets and routers run fast or slow by at most this fraction.
  double clock_drift = 1e-4;
  Mutation mutation = Mutation::kNone;
  bool print_decisions = false;
};

// Measurements of a run. Violations are kept by InvariantChecker.
struct RunMetrics {
  std::map<std::string, int> outcomes;
  // Changes of a partition's owner that were written to the store.
  int owner_changes = 0;
  // Longest time from the start of a slow or failed request until any request
  // for the same partition was answered.
  Duration longest_outage{0};
  // Longest time from writing a revision until every live router that the
  // platform can reach has applied it.
  Duration max_configuration_delay{0};
  // Longest time between marking a target as leaving and the last request that
  // it began afterwards.
  Duration max_work_delay_after_leaving{0};
  // For each service, the requests that its busiest live target executed,
  // divided by the mean over its live targets.
  std::map<ServiceId, double> imbalance;
};

class SimulatedDeployment {
 public:
  SimulatedDeployment(const nlohmann::json& records, DeploymentOptions options);

  // Schedules one recorded event. RunUntil() throws std::runtime_error when it
  // comes to an event of an unknown kind.
  void Schedule(const nlohmann::json& event);
  void RunUntil(Instant end);

  Simulator& simulator() { return simulator_; }
  const InvariantChecker& checker() const { return checker_; }
  RunMetrics CollectMetrics() const;
  // Describes the leading stewards, one per line, for the output of a failed
  // run.
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
    std::unique_ptr<HolderLease> holder_lease;
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
    // Callbacks of the attempts that wait for an answer, by attempt id.
    std::map<std::string, std::function<void(const Answer&)>> pending_attempts;
    // Routers to which this router has an open connection.
    std::set<VmId> connected;
    // Called when the router is killed, to end its callers' connections.
    std::vector<std::function<void()>> disconnect_callbacks;
    bool stopping = false;
  };

  using AnswerCallback = std::function<void(const Answer&)>;
  using Task = std::function<void()>;

  // When and how a caller's request ended; the input of LongestOutage().
  struct CompletedRequest {
    Instant started_at{};
    Instant ended_at{};
    bool answered = false;
    bool slow = false;
  };

  // A request that a router is processing.
  struct ActiveRequest {
    Request request;
    bool forwarded = false;
    std::unique_ptr<RetryController> retry_controller;
    AnswerCallback done;
  };
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  // A caller's request with all its tries.
  struct Call {
    std::string call_id;
    Request request;
    Instant started_at{};
    Duration timeout{0};
    int tries_left = 0;
    VmId only_router;
    // Set once a try ended with an unknown outcome.
    bool may_have_run = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  // VMs and their processes.
  void AddVm(const VmRecord& vm);
  void StartProcess(const std::string& name);
  void KillProcess(const std::string& name);
  void StartSteward(Steward& steward);
  void StartTarget(Target& target);
  void StartRouter(Router& router);
  std::uint64_t NextIncarnation() { return ++incarnations_; }

  // Stewards, the platform and the holders of leases.
  void TickSteward(Steward& steward);
  void PollPlatform(Steward& steward);
  void Step(Steward& steward, const StewardEvent& event);
  void ExecuteActions(Steward& steward, const StewardActions& actions);
  void DeliverOrder(Steward& steward, const HolderOrder& order);
  void DeliverPeerMessage(Steward& steward, const SendPeerMessage& send);
  void CallStore(Steward& steward,
                 bool is_write,
                 std::function<StewardEvent()> execute,
                 const std::function<StewardEvent()>& make_failure);
  void ApplyConfiguration(Steward& steward,
                          const LatestConfiguration::Pointer& next);
  void DistributeConfiguration(Steward& steward);
  HolderStatus OrderAtTarget(Target& target, const HolderOrder& order);
  // The current time by the local clock of a target or router.
  template <typename Holder>
  Instant LocalTime(const Holder& holder) const {
    return holder.clock.At(simulator_.now());
  }

  // Requests.
  void ScheduleCalls(const nlohmann::json& event);
  void StartCall(const CallPtr& call);
  // The outcome of a try that could not reach any router.
  static Answer UnreachableAnswer(const CallPtr& call);
  void SendToRouter(const CallPtr& call, Router& router);
  void OnTryEnded(const CallPtr& call, const Answer& answer);
  void ServeAtRouter(Router& router,
                     const Request& request,
                     AnswerCallback done);
  // Returns a callback that passes its answer to `done` unless the router has
  // been restarted since this call.
  static AnswerCallback DropAfterRestart(Router& router, AnswerCallback done);
  void ServeAtMostOnce(Router& router,
                       const Request& request,
                       const AnswerCallback& done);
  void StartRequest(Router& router,
                    const Request& request,
                    bool forwarded,
                    AnswerCallback done);
  void Attempt(Router& router, const ActiveRequestPtr& active_request);
  void OnAttempt(Router& router,
                 const ActiveRequestPtr& active_request,
                 const Answer& answer);
  void ForwardToZone(Router& router,
                     const ActiveRequestPtr& active_request,
                     const ZoneId& zone,
                     std::size_t index);
  void Connect(Router& router,
               Router& peer,
               const Task& connected,
               const Task& failed);
  void SendToTarget(Router& router,
                    const ActiveRequestPtr& active_request,
                    Target& target,
                    FencingToken fencing_token,
                    std::uint32_t partition,
                    InFlightGuard guard);
  void WorkAtTarget(Target& target,
                    const ActiveRequestPtr& active_request,
                    const std::string& attempt_id,
                    FencingToken fencing_token,
                    std::uint32_t partition,
                    Router& router);
  void CancelAtTarget(Router& router,
                      const VmId& target_id,
                      const std::string& attempt_id,
                      const std::shared_ptr<InFlightGuard>& guard);

  // Configuration changes by operators, and the platform's VM list.
  void ApplyRecords(const std::function<void(nlohmann::json&)>& change);
  void WriteConfiguration();
  void OnConfigurationApplied(const std::string& router,
                              std::uint64_t revision);
  void CheckConfigurationSpread();
  void PublishVmList();

  // Prints a line with the virtual time if print_decisions is set.
  void Print(const std::string& line) const;
  static Duration LongestOutage(const std::vector<CompletedRequest>& requests);
  void RunEvent(const nlohmann::json& event);

  const DeploymentOptions options_;
  Simulator simulator_;
  InvariantChecker checker_;
  nlohmann::json records_;
  std::uint64_t revision_ = 0;
  LatestConfiguration::Pointer configuration_;
  std::uint64_t incarnations_ = 0;

  // State of the platform: store, leader leases and VM list.
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
  std::uint64_t next_call_id_ = 0;

  // Metrics.
  std::map<std::string, int> outcomes_;
  std::map<PartitionKey, VmId> owners_;
  int owner_changes_ = 0;
  std::map<PartitionKey, std::vector<CompletedRequest>> completed_requests_;
  std::map<std::uint64_t, Instant> written_at_;
  Duration max_configuration_delay_{0};
  Duration max_work_delay_after_leaving_{0};
};

// Returns the records of a deployment with the shape "caroni", "umurage" or
// "small", in the format that figstallctl reads. Throws std::runtime_error for
// any other shape.
nlohmann::json RecordsForShape(const std::string& shape, int schema);

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_DEPLOYMENT_H_
