// A replayed deployment: the product's decision code behind small fakes of the
// store, the VM list, targets and callers, all in virtual time.
#ifndef FIGSTALL_SRC_REPLAY_WORLD_H_
#define FIGSTALL_SRC_REPLAY_WORLD_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figstall/budgets.h"
#include "figstall/configuration.h"
#include "figstall/grant_book.h"
#include "figstall/once_registry.h"
#include "figstall/request_flow.h"
#include "figstall/route_table.h"
#include "figstall/zone_steward.h"
#include "replay_checker.h"
#include "replay_timeline.h"

namespace figstall::replay {

// Ways to break a rule on purpose, to see that the checker notices.
enum class Flaw {
  kNone,
  // Leases are taken for lapsed without waiting.
  kNoWaitOut,
  // Members' agreement to stop renewing is invented.
  kForgedSealReplies,
  // The old leader's agreement to step down is invented.
  kForgedStepDown,
  // The VM list drops a VM that is still running.
  kForgedGone,
  // Orders are retried after an unknown outcome.
  kRetryUnknown,
  // Answers are matched to requests by connection alone.
  kReusedConnection,
  // A lower revision is taken over.
  kLowerRevision,
  // Router-fenced partitions are given up while work is in flight.
  kForgetInFlight,
};

std::optional<Flaw> ParseFlaw(const std::string& name);

struct WorldOptions {
  std::uint64_t seed = 1;
  NetworkOptions network;
  Duration vm_list_lag = std::chrono::seconds(5);
  // Clocks of targets and routers run fast or slow by at most this share.
  double clock_drift = 1e-4;
  Flaw flaw = Flaw::kNone;
  bool print_decisions = false;
};

// What a run showed, besides violations.
struct Measures {
  std::map<std::string, int> outcomes;
  // Changes of owner that the store recorded.
  int moves = 0;
  // Longest time from the begin of a slow or failed request until any request
  // of the same partition was answered.
  Duration unavailable{0};
  // Longest time from writing a revision until every live router reachable
  // from the platform had it.
  Duration configuration{0};
  // Longest time after which a leaving target still began work.
  Duration leaving{0};
  // Busiest target's share of runs over the mean, for each service.
  std::map<ServiceId, double> imbalance;
};

class World {
 public:
  World(const nlohmann::json& records, WorldOptions options);

  // Carries out one recorded event; throws std::runtime_error if it makes no
  // sense here.
  void Schedule(const nlohmann::json& event);
  void RunUntil(Instant end);

  Timeline& timeline() { return timeline_; }
  const Checker& checker() const { return checker_; }
  Measures Measure() const;
  // Tells which partitions have no owner able to serve, for failing runs.
  std::string Describe() const;

 private:
  struct Store {
    std::optional<std::string> value;
    std::uint64_t version = 0;
  };

  struct Steward {
    Process* process = nullptr;
    VmId vm;
    ZoneId zone;
    std::unique_ptr<ZoneSteward> machine;
    ConfigurationHolder configuration;
  };

  struct Target {
    Process* process = nullptr;
    VmRecord record;
    bool checks = true;
    LocalClock clock;
    std::string mode = "ok";
    std::unique_ptr<GrantBook> book;
    std::set<std::string> cancelled;
    std::map<PartitionKey, int> working;
    std::optional<Instant> leaving_since;
    int runs = 0;
  };

  struct Router {
    Process* process = nullptr;
    VmId vm;
    ZoneId zone;
    LocalClock clock;
    std::unique_ptr<RouteTable> routes;
    std::unique_ptr<OnceRegistry> once;
    std::unique_ptr<RetryBudget> retries;
    std::unique_ptr<ConfigurationHolder> configuration;
    std::map<VmId, Instant> suspects;
    // Attempts that wait for an answer.
    std::map<std::string, std::function<void(const Answer&)>> waiting;
    // Routers to which a connection is open.
    std::set<VmId> connected;
    // Tells callers that their connection broke.
    std::vector<std::function<void()>> callers;
    bool stopping = false;
  };

  using Done = std::function<void(const Answer&)>;
  using Work = std::function<void()>;

  // How one request ended, for the measure of unavailable time.
  struct Served {
    Instant begin{};
    Instant end{};
    bool answered = false;
    bool slow = false;
  };

  // One request that a router works on.
  struct Course {
    Request request;
    bool for_target = false;
    std::unique_ptr<RequestFlow> flow;
    Done done;
  };
  using CoursePtr = std::shared_ptr<Course>;

  // One caller's request, over all its repeats.
  struct Call {
    std::string token;
    Request request;
    Instant begin{};
    Duration patience{0};
    int uses_left = 0;
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
  void Carry(Steward& steward, const StewardActions& actions);
  void CarryOrder(Steward& steward, const HolderOrder& order);
  void CarryPeer(Steward& steward, const SendPeer& send);
  void CallStore(Steward& steward,
                 bool is_write,
                 std::function<StewardEvent()> run,
                 const std::function<StewardEvent()>& lost);
  void TakeConfiguration(Steward& steward,
                         const ConfigurationHolder::Pointer& next);
  void Spread(Steward& steward);
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
  static Answer CallersOwnWord(const CallPtr& call);
  void UseRouter(const CallPtr& call, Router& router);
  void EndUse(const CallPtr& call, const Answer& answer);
  void ServeAtRouter(Router& router, const Request& request, Done done);
  // Drops the answer if the router was restarted meanwhile.
  static Done ForThisRun(Router& router, Done done);
  void DecideOnce(Router& router, const Request& request, const Done& done);
  void StartCourse(Router& router,
                   const Request& request,
                   bool for_target,
                   Done done);
  void Attempt(Router& router, const CoursePtr& course);
  void OnAttempt(Router& router, const CoursePtr& course, const Answer& answer);
  void ForwardToZone(Router& router,
                     const CoursePtr& course,
                     const ZoneId& zone,
                     std::size_t index);
  void Connect(Router& router,
               Router& other,
               const Work& connected,
               const Work& failed);
  void SendToTarget(Router& router,
                    const CoursePtr& course,
                    Target& target,
                    Term term,
                    std::uint32_t partition,
                    WorkGuard guard);
  void WorkAtTarget(Target& target,
                    const CoursePtr& course,
                    const std::string& attempt,
                    Term term,
                    std::uint32_t partition,
                    Router& router);
  void CancelAtTarget(Router& router,
                      const VmId& target,
                      const std::string& attempt,
                      const std::shared_ptr<WorkGuard>& guard);

  // Operators.
  void ApplyRecords(const std::function<void(nlohmann::json&)>& change);
  void WriteConfiguration();
  void NoteConfiguration(const std::string& router, std::uint64_t revision);
  void CheckConfigurationSpread();
  void PublishVmList();

  // Prints one line with the virtual time, if asked to.
  void Print(const std::string& line) const;
  static Duration LongestOutage(const std::vector<Served>& requests);
  void RunEvent(const nlohmann::json& event);

  const WorldOptions options_;
  Timeline timeline_;
  Checker checker_;
  nlohmann::json records_;
  std::uint64_t revision_ = 0;
  ConfigurationHolder::Pointer configuration_;
  std::uint64_t incarnations_ = 0;

  // The platform.
  std::string store_mode_ = "ok";
  Duration store_delay_{0};
  std::map<ZoneId, Store> zone_documents_;
  std::map<ZoneId, std::pair<std::string, Instant>> leader_leases_;
  std::set<VmId> vm_list_;
  std::uint64_t vm_list_version_ = 0;
  std::set<VmId> vms_present_;

  std::map<VmId, Steward> stewards_;
  std::map<VmId, Router> routers_;
  std::map<VmId, Target> targets_;
  std::uint64_t next_attempt_ = 0;
  std::uint64_t next_token_ = 0;

  // Measures.
  std::map<std::string, int> outcomes_;
  std::map<PartitionKey, VmId> owners_;
  int moves_ = 0;
  std::map<PartitionKey, std::vector<Served>> served_;
  std::map<std::uint64_t, Instant> written_at_;
  Duration configuration_took_{0};
  Duration leaving_worked_{0};
};

// Records of a deployment in the shape of "caroni", "umurage" or "small", in
// the form that figstallctl takes.
nlohmann::json ShapeRecords(const std::string& shape, int schema);

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_WORLD_H_
