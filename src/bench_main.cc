// The figstall-bench program. It measures placement policies on one sequence of
// target losses and skewed loads, the time of a routing decision, how the costs
// of a leading steward grow with targets, partitions and members, and what an
// entry spends on a version of the desired state and on a whole reading.
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <new>
#include <numeric>
#include <random>

#include "figstall/clock.h"
#include "figstall/holder_json.h"
#include "figstall/holder_lease.h"
#include "figstall/log.h"
#include "figstall/placement.h"
#include "figstall/range_table.h"
#include "figstall/route_table.h"
#include "figstall/schema_check.h"
#include "figstall/store_copy.h"
#include "figstall/text_delta.h"
#include "figstall/zone_steward.h"
#include "platform/decode.h"
#include "process.h"

namespace {

// Of the heap of this process.
std::atomic<std::size_t> heap_bytes = 0;
std::atomic<std::size_t> peak_heap_bytes = 0;

}  // namespace

void* operator new(std::size_t size) {
  void* const block = std::malloc(size);
  if (block == nullptr)
    throw std::bad_alloc();
  heap_bytes += malloc_usable_size(block);
  if (heap_bytes > peak_heap_bytes)
    peak_heap_bytes = heap_bytes.load();
  return block;
}

void operator delete(void* block) noexcept {
  if (block == nullptr)
    return;
  heap_bytes -= malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  operator delete(block);
}

namespace figstall {
namespace {

constexpr const char* kUsage =
    R"(figstall-bench: measures placement, routing and control.

Usage:
  figstall-bench placement
  figstall-bench routing
  figstall-bench steward
  figstall-bench state
  figstall-bench --help

placement  Each policy through the same losses, capacities and skewed loads.
routing    Nanoseconds of one decision, at three numbers of partitions.
steward    A leader's processor time, messages and bytes a second, and memory,
           at three numbers of targets, partitions and members.
state      Processor time and peak memory of taking in one version of the
           desired state, at four numbers of routes, and of the parts of a
           whole reading of the store.
)";

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Resident memory of this process, in units of 10^6 bytes.
double ResidentMegabytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  constexpr double kPageBytes = 4096;
  return static_cast<double>(resident) * kPageBytes / 1e6;
}

// Results of one policy over all its placements.
struct PlacementResult {
  // Largest ratio of a target's partitions to its share by capacity.
  double max_count_ratio = 0;
  // The same of its load, in placements with skewed loads.
  double max_load_ratio = 0;
  // Largest root mean square of the ratios' deviations from 1.
  double max_variation = 0;
  int moved = 0;
  // Partitions of removed targets, which any policy has to move.
  int min_moves = 0;
  double total_micros = 0;
  int placements = 0;
};

// Ratio of each target's load to its share of the total load by capacity.
// Targets without capacity are left out.
std::vector<double> LoadRatios(const std::vector<PlacementTarget>& targets,
                               const Assignment& assignment,
                               const std::vector<double>& weights) {
  std::vector<double> loads(targets.size(), 0);
  for (std::size_t p = 0; p < assignment.size(); ++p) {
    if (assignment[p])
      loads[*assignment[p]] += weights.empty() ? 1 : weights[p];
  }
  double capacity = 0;
  for (const PlacementTarget& target : targets)
    capacity += target.capacity;
  const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
  std::vector<double> ratios;
  for (std::size_t t = 0; t < targets.size(); ++t) {
    if (targets[t].capacity > 0)
      ratios.push_back(loads[t] / (total * targets[t].capacity / capacity));
  }
  return ratios;
}

template <PlacementPolicy P>
class PlacementRun {
 public:
  PlacementRun(P policy,
               std::vector<PlacementTarget> targets,
               std::size_t partitions)
      : policy_(policy),
        targets_(std::move(targets)),
        current_(policy_.Place(targets_, Assignment(partitions), {})) {}

  void RemoveTarget(std::size_t target) {
    result_.min_moves +=
        static_cast<int>(std::count(current_.begin(), current_.end(), target));
    targets_[target].capacity = 0;
    Place({});
  }

  void Place(const std::vector<double>& weights) {
    const auto begin = std::chrono::steady_clock::now();
    const Assignment next = policy_.Place(targets_, current_, weights);
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - begin;
    result_.total_micros += elapsed.count();
    ++result_.placements;
    for (std::size_t p = 0; p < next.size(); ++p)
      result_.moved += next[p] != current_[p];
    current_ = next;
    const auto ratios = LoadRatios(targets_, current_, weights);
    double& max_ratio =
        weights.empty() ? result_.max_count_ratio : result_.max_load_ratio;
    max_ratio =
        std::max(max_ratio, *std::max_element(ratios.begin(), ratios.end()));
    double squares = 0;
    for (double ratio : ratios)
      squares += (ratio - 1) * (ratio - 1);
    result_.max_variation =
        std::max(result_.max_variation,
                 std::sqrt(squares / static_cast<double>(ratios.size())));
  }

  const PlacementResult& result() const { return result_; }

 private:
  const P policy_;
  std::vector<PlacementTarget> targets_;
  Assignment current_;
  PlacementResult result_;
};

std::vector<PlacementTarget> UnevenTargets(std::size_t count) {
  constexpr double kCapacities[] = {2, 4, 4, 8};
  std::vector<PlacementTarget> targets;
  for (std::size_t i = 0; i < count; ++i)
    targets.push_back({i * 7919 + 1, kCapacities[i % 4]});
  return targets;
}

// Loads of partitions whose keys have Zipf-distributed loads. `seed` decides
// which partitions the keys with the highest loads belong to.
std::vector<double> SkewedLoads(std::size_t partitions, int seed) {
  std::mt19937_64 random(static_cast<std::uint64_t>(seed) + 1);
  std::vector<double> loads(partitions, 0);
  constexpr int kKeys = 100'000;
  for (int rank = 1; rank <= kKeys; ++rank)
    loads[random() % partitions] += 1.0 / std::pow(rank, 0.9);
  return loads;
}

template <PlacementPolicy P>
void BenchPlacement(const char* name,
                    P policy,
                    std::size_t count,
                    std::size_t partitions) {
  PlacementRun<P> run(policy, UnevenTargets(count), partitions);
  std::mt19937_64 random(3);
  std::vector<std::size_t> removal_order(count);
  std::iota(removal_order.begin(), removal_order.end(), std::size_t{0});
  std::shuffle(removal_order.begin(), removal_order.end(), random);
  // Removes half of the targets one by one, none replaced, so that the losses
  // pass one target and a tenth of the targets.
  for (std::size_t removed = 0; removed < count / 2; ++removed)
    run.RemoveTarget(removal_order[removed]);
  const PlacementResult after_removals = run.result();
  for (int seed = 0; seed < 5; ++seed)
    run.Place(SkewedLoads(partitions, seed));
  const PlacementResult& overall = run.result();
  fmt::print(
      "| {} | {} | {} | {:.2f} | {:.2f} | {:.2f} | {} | {} | {:.2f} | "
      "{:.0f} |\n",
      name, count, partitions, after_removals.max_count_ratio,
      after_removals.max_variation, overall.max_load_ratio,
      after_removals.moved, after_removals.min_moves,
      static_cast<double>(after_removals.moved) / after_removals.min_moves,
      overall.total_micros / overall.placements);
}

int BenchPlacements() {
  fmt::print(
      "| policy | targets | partitions | max/mean | variation | max/mean under "
      "skew | moved | least | moved/least | us per placement |\n"
      "|---|---|---|---|---|---|---|---|---|---|\n");
  for (const auto& [count, partitions] :
       std::vector<std::pair<std::size_t, std::size_t>>{
           {18, 1024}, {20, 1024}, {280, 8192}}) {
    BenchPlacement("modulo hash", ModuloHash{}, count, partitions);
    BenchPlacement("weighted rendezvous", WeightedRendezvous{}, count,
                   partitions);
    BenchPlacement("bounded rendezvous", BoundedRendezvous{}, count,
                   partitions);
    BenchPlacement("table repair", IncrementalRebalance{1.05}, count,
                   partitions);
  }
  return 0;
}

// A configuration with one exclusive service of `partitions` partitions.
std::shared_ptr<const Configuration> OneServiceConfiguration(
    std::size_t partitions) {
  const std::string text = fmt::format(
      R"({{"revision":1,"records":[{{"kind":"service","schema":1,
        "name":"account-enquiry","partitions":{},"zones":["arima"]}},
        {{"kind":"vm","schema":1,"name":"e1","zone":"arima","region":"north",
        "role":"entry","address":"127.0.0.1","callers_port":1,
        "router_port":2,"steward_port":3}}]}})",
      partitions);
  return HandleError(
      [&] { return Configuration::Parse(text, "bench"); },
      [](const Error& error) -> std::shared_ptr<const Configuration> {
        throw std::runtime_error(error.message);
      });
}

int BenchRouting() {
  const ServiceId service("account-enquiry");
  for (std::size_t partitions : {1024, 8192, 65536}) {
    RouteTable table(VmId("e1"), 1, ZoneId("arima"));
    table.SetConfiguration(*OneServiceConfiguration(partitions));
    HolderOrder order;
    for (std::uint32_t p = 0; p < partitions; ++p) {
      order.hints.push_back({{service, p},
                             FencingToken{1, p + 1},
                             VmId(fmt::format("t{}", p % 280))});
    }
    table.Apply(Instant{}, order);
    constexpr int kDecisions = 5'000'000;
    std::uint64_t sum = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kDecisions; ++i) {
      const std::uint32_t partition =
          PartitionOf(fmt::string_view("key").data() + i % 3,
                      static_cast<std::uint32_t>(partitions));
      sum += table.Decide(Instant{}, service, partition ^ (i & 1023)).target;
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    fmt::print(
        "{} partitions: {:.0f} ns per decision, {:.1f} MB resident "
        "(sum {})\n",
        partitions, elapsed.count() / kDecisions, ResidentMegabytes(), sum);
  }
  return 0;
}

// A zone with one leading steward, whose messages holders, members and the
// store answer without delay.
class StewardBench {
 public:
  StewardBench(std::size_t targets, std::size_t partitions, std::size_t members)
      : steward_({VmId("e0"), 1}, StewardTiming{}, StewardLimits{}) {
    ZonePlan plan;
    plan.revision = 1;
    ServicePlan service;
    service.id = ServiceId("account-enquiry");
    for (std::uint32_t p = 0; p < partitions; ++p)
      service.partitions.push_back(p);
    plan.services.push_back(service);
    for (std::size_t t = 0; t < targets; ++t) {
      const VmId id(fmt::format("t{}", t));
      plan.targets.push_back({id, service.id, 4.0, false});
      holder_leases_.emplace(id, HolderLease(id, 1));
    }
    VmListChanged vm_list{1, {}};
    for (std::size_t m = 0; m < members; ++m) {
      const VmId id(fmt::format("e{}", m));
      plan.stewards.push_back(id);
      vm_list.listed.insert(id);
    }
    events_ = {PlanChanged{plan}, vm_list};
    for (std::size_t m = 1; m < members; ++m)
      events_.push_back(
          PeerMessageReceived{{VmId(fmt::format("e{}", m)), 1}, JoinRequest{}});
    initial_events_ = events_;
  }

  void Run(Duration duration) {
    const Instant end = now_ + duration;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(10);
      HandleEvent(Tick{});
      while (!events_.empty()) {
        const StewardEvent event = events_.front();
        events_.pop_front();
        HandleEvent(event);
      }
    }
  }

  // Repeats the members' join requests, since no steward led the zone when they
  // were first sent.
  void ReplayInitialEvents() { events_ = initial_events_; }

  std::size_t orders = 0;
  // Bytes of the bodies of orders and of the statuses that answer them.
  std::size_t body_bytes = 0;
  std::size_t peer_messages = 0;
  // Size of the zone document that was last written.
  std::size_t document_bytes = 0;

 private:
  void HandleEvent(const StewardEvent& event) {
    for (const StewardAction& action : steward_.Step(now_, event)) {
      if (const auto* order = std::get_if<SendOrder>(&action)) {
        const HolderStatus status =
            holder_leases_.at(order->order.holder).Apply(now_, order->order);
        ++orders;
        body_bytes += SerializeOrder(order->order).size() +
                      SerializeStatus(status).size();
        events_.push_back(HolderReplied{status});
      } else if (const auto* peer = std::get_if<SendPeerMessage>(&action)) {
        ++peer_messages;
        const auto* state_push = std::get_if<StatePush>(&peer->message);
        if (state_push)
          events_.push_back(PeerMessageReceived{
              {peer->to, 1},
              StatePushAck{state_push->epoch, state_push->change}});
      } else if (const auto* read = std::get_if<ReadZone>(&action)) {
        events_.push_back(ZoneReadResult{read->call, true, std::nullopt, 0});
      } else if (const auto* write = std::get_if<WriteZone>(&action)) {
        document_bytes = SerializeZoneDocument(write->document).size();
        events_.push_back(
            ZoneWriteResult{write->call, StoreOutcome::kDone, ++version_});
      } else if (std::holds_alternative<AcquireLeaderLease>(action)) {
        events_.push_back(LeaderLeaseReply{true, true});
      }
    }
  }

  ZoneSteward steward_;
  Instant now_{std::chrono::seconds(1)};
  std::map<VmId, HolderLease> holder_leases_;
  std::deque<StewardEvent> events_;
  std::deque<StewardEvent> initial_events_;
  std::uint64_t version_ = 0;
};

void BenchSteward(std::size_t targets,
                  std::size_t partitions,
                  std::size_t members) {
  const double megabytes_before = ResidentMegabytes();
  StewardBench bench(targets, partitions, members);
  bench.Run(std::chrono::seconds(5));
  bench.ReplayInitialEvents();
  bench.Run(std::chrono::seconds(5));
  bench.orders = bench.body_bytes = bench.peer_messages = 0;
  constexpr double kMeasuredSeconds = 20;
  const double cpu_before = CpuSeconds();
  bench.Run(std::chrono::seconds(20));
  const double cpu_seconds = CpuSeconds() - cpu_before;
  fmt::print(
      "| {} | {} | {} | {:.3f} | {:.0f} | {:.1f} | {:.0f} | {:.0f} | {:.1f} "
      "|\n",
      targets, partitions, members, 100 * cpu_seconds / kMeasuredSeconds,
      static_cast<double>(bench.orders) / kMeasuredSeconds,
      static_cast<double>(bench.body_bytes) / kMeasuredSeconds / 1000,
      static_cast<double>(bench.peer_messages) / kMeasuredSeconds,
      static_cast<double>(bench.document_bytes) / 1000,
      ResidentMegabytes() - megabytes_before);
}

int BenchStewards() {
  fmt::print(
      "| targets | partitions | members | % of a core | orders/s | KB/s of "
      "order bodies | peer messages/s | document KB | MB |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  BenchSteward(10, 1024, 3);
  BenchSteward(70, 1024, 3);
  BenchSteward(280, 1024, 3);
  BenchSteward(280, 8192, 3);
  BenchSteward(280, 24576, 3);
  BenchSteward(280, 8192, 20);
  BenchSteward(280, 8192, 78);
  return 0;
}

struct Cost {
  double microseconds = 0;
  // Of the heap, above what was in use before.
  std::size_t peak_bytes = 0;
};

// The cheapest of several runs, which other processes disturbed least.
Cost Measure(const std::function<void()>& run) {
  constexpr int kRuns = 9;
  Cost cheapest;
  for (int i = 0; i < kRuns; ++i) {
    const std::size_t heap_before = heap_bytes;
    peak_heap_bytes = heap_before;
    const Duration before = ThreadProcessorTime();
    run();
    const auto microseconds =
        static_cast<double>((ThreadProcessorTime() - before).count());
    if (i == 0 || microseconds < cheapest.microseconds)
      cheapest.microseconds = microseconds;
    cheapest.peak_bytes = peak_heap_bytes - heap_before;
  }
  return cheapest;
}

template <typename Value>
Value ValueOf(const std::function<Result<Value>()>& make) {
  return HandleError(make, [](const Error& error) -> Value {
    throw std::runtime_error(error.message);
  });
}

constexpr int kBenchServices = 20;

std::string MakeDesiredStateText(int routes) {
  std::string text = R"({"version":7,"routes":{)";
  for (int i = 0; i < routes; ++i) {
    text += fmt::format(
        R"({}"route-{}":{{"host":"shop-{}.example","prefix":"/api/part-{}/",)"
        R"("kind":"unsafe","timeoutS":1.5,"sloS":0.4,"priority":1,)",
        i == 0 ? "" : ",", i, i % 50, i);
    const int service = i % kBenchServices;
    if (i % 5 == 0) {
      text += fmt::format(R"("split":[{{"service":"s-{}","weight":90}},)"
                          R"({{"service":"s-{}","weight":10}}]}})",
                          service, (service + 1) % kBenchServices);
    } else {
      text += fmt::format(R"("attempts":2,"service":"s-{}"}})", service);
    }
  }
  text += R"(},"services":{)";
  for (int i = 0; i < kBenchServices; ++i)
    text += fmt::format(R"({}"s-{}":{{"maxConns":120,"sharded":true}})",
                        i == 0 ? "" : ",", i);
  return text + R"(},"limits":{"maxHeaderBytes":16384,"idleTimeoutS":15}})";
}

void BenchDesiredState(int routes) {
  const std::string text = MakeDesiredStateText(routes);
  const auto decode = [&] {
    return ValueOf<DesiredState>(
        [&] { return platform::DecodeDesiredState(text); });
  };
  const Cost parse = Measure([&] {
    ValueOf<nlohmann::json>([&] { return ParseJson(text, "bench"); });
  });
  const Cost decoded = Measure(decode);
  const DesiredState state = decode();
  const Cost copy =
      Measure([&] { std::vector<DesiredState>(1, state).clear(); });
  const Cost index = Measure([&] { const RouteIndex built(state); });
  std::string changed_text = text;
  changed_text.replace(text.rfind("1.5"), 3, "2.5");
  const Cost delta = Measure([&] { MakeDelta(text, changed_text); });
  const Cost no_delta = Measure([&] { MakeDelta(text, text); });
  fmt::print(
      "| {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n",
      routes, static_cast<double>(text.size()) / 1000, parse.microseconds,
      decoded.microseconds, index.microseconds - copy.microseconds,
      static_cast<double>(decoded.peak_bytes) / 1000, delta.microseconds,
      no_delta.microseconds);
}

StoreItem MakeTargetItem(int number) {
  return {
      fmt::format("{}i-{:08x}", platform::kTargetsPrefix, number),
      fmt::format(R"({{"addr":"10.1.{}.{}:8080","born":1700000000000,)"
                  R"("info":{{"service":"s-{}","zone":"z{}","slots":8}},)"
                  R"("status":{{"state":"ready","seq":3,"warmupLeftS":0}}}})",
                  number / 200, number % 200 + 1, number % kBenchServices,
                  number % 6),
      static_cast<Revision>(number + 1), false};
}

void BenchWholeReading() {
  constexpr int kTargets = 475;
  std::vector<StoreItem> items;
  items.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i)
    items.push_back(MakeTargetItem(i));
  const auto print = [](const char* part, const Cost& cost) {
    fmt::print("| {} | {:.0f} | {:.0f} |\n", part, cost.microseconds,
               static_cast<double>(cost.peak_bytes) / 1000);
  };
  print("475 target entries, decoded", Measure([&] {
          for (const StoreItem& item : items) {
            ValueOf<TargetEntry>([&] {
              return platform::DecodeTargetEntry(
                  item.key.substr(std::string(platform::kTargetsPrefix).size()),
                  item.value);
            });
          }
        }));
  print("475 items into an empty copy of the store", Measure([&] {
          StoreCopy copy({[](const StoreItem&, bool /*same_value*/) {
                            return ItemOutcome::kChanged;
                          },
                          [] { return false; }, [](const RelayUpdate&) {},
                          [](const ItemDelta&, Revision) {}});
          copy.ApplyRead({{"", false, items, kTargets}},
                         /*covers_all_keys=*/true);
        }));
  constexpr int kRanges = 300;
  RangeTable table;
  table.entries.reserve(kRanges);
  constexpr int kRangeSize = 200;
  for (int i = 0; i < kRanges; ++i) {
    table.entries.push_back(
        {{static_cast<ShardKey>(i * kRangeSize),
          static_cast<ShardKey>((i + 1) * kRangeSize - 1)},
         {TargetId(fmt::format("i-{:08x}", i)), 1700000000000},
         {"10.1.1.1", 8080},
         ZoneId("z1"),
         static_cast<std::uint64_t>(i),
         RangePhase::kSettled,
         Handover()});
  }
  table.entries.back().range.last = kKeySpaceSize - 1;
  const std::string table_text = EncodeRangeTable(table);
  print("a table of 300 ranges, decoded", Measure([&] {
          ValueOf<RangeTable>(
              [&] { return RangeTableReader().Read(table_text, "bench"); });
        }));
  const std::string member_text =
      R"({"zone":"z1","peers":"10.1.1.1:7000","incarnation":"0123456789abcdef",)"
      R"("era":2,"capacity":0.1,"seen_fence":{"s-1":120,"s-2":80},)"
      R"("holds":{"i-00000001":200000,"i-00000002":150000}})";
  print("91 records of members, parsed", Measure([&] {
          for (int i = 0; i < 91; ++i)
            ValueOf<nlohmann::json>(
                [&] { return ParseJson(member_text, "bench"); });
        }));
  std::FILE* const nowhere = std::fopen("/dev/null", "w");
  {
    Log log("bench", LogLevel::kInfo, LogFormat::kJson, nowhere);
    print("475 lines of the log", Measure([&] {
            for (const StoreItem& item : items)
              log.Write(LogLevel::kInfo, "target-joined",
                        {{"target", item.key},
                         {"service", "s-1"},
                         {"zone", "z1"},
                         {"address", "10.1.1.1:8080"},
                         {"state", "ready"},
                         {"born", "1700000000000"},
                         {"revision", "2.1234"}});
          }));
  }
  std::fclose(nowhere);
}

int BenchStates() {
  fmt::print(
      "| routes | KB | parse us | decode us | index us | peak KB of decode "
      "| delta of a changed route us | delta of nothing us "
      "|\n|---|---|---|---|---|---|---|---|\n");
  for (const int routes : {120, 430, 1500, 4000})
    BenchDesiredState(routes);
  fmt::print("\n| part of a reading | us | peak KB |\n|---|---|---|\n");
  BenchWholeReading();
  return 0;
}

}  // namespace
}  // namespace figstall

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(figstall::kUsage, {argv + 1, argv + argc}, /*help=*/true);
  return figstall::detail::RunProgram([&]() -> figstall::Result<int> {
    if (arguments.at("placement").asBool())
      return figstall::BenchPlacements();
    if (arguments.at("routing").asBool())
      return figstall::BenchRouting();
    if (arguments.at("state").asBool())
      return figstall::BenchStates();
    return figstall::BenchStewards();
  });
}
