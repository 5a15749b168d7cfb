// Carries callers' requests to targets and answers back: the data path of an
// entry VM. Runs on one Asio loop.
#ifndef FIGSTALL_ENTRY_TRAFFIC_H_
#define FIGSTALL_ENTRY_TRAFFIC_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "figstall/caller_connection.h"
#include "figstall/entry_settings.h"
#include "figstall/entry_view.h"
#include "figstall/load_report.h"
#include "figstall/log.h"
#include "figstall/metrics.h"
#include "figstall/shared_retry_budget.h"
#include "figstall/target_connection.h"
#include "figstall/target_load.h"

namespace figstall {

class Exchange;

// One target as this router sees it: its connections and its load.
class TargetClient {
 public:
  TargetClient(boost::asio::io_context& io, Instant now, TargetEntry entry);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  // An idle connection that the target surely still keeps open, or a new one.
  std::shared_ptr<TargetConnection> Acquire(Instant now);
  bool Connected(Instant now) const { return FindIdle(now) != nullptr; }
  // Closes idle connections that will not be used again, since a target takes
  // only so many from all routers.
  void CloseStale(Instant now);
  void SetEntry(Instant now, TargetEntry entry);
  // Since when this process has known that the target leaves.
  std::optional<Instant> leaving_since() const { return leaving_since_; }

  const TargetEntry& entry() const { return entry_; }
  TargetLoad& load() { return load_; }
  const TargetLoad& load() const { return load_; }

 private:
  std::shared_ptr<TargetConnection> FindIdle(Instant now) const;

  boost::asio::io_context& io_;
  TargetEntry entry_;
  std::optional<Instant> leaving_since_;
  TargetLoad load_;
  std::set<std::shared_ptr<TargetConnection>> connections_;
  // Tells handlers of connections whether this link still exists.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

class EntryTraffic {
 public:
  EntryTraffic(boost::asio::io_context& io,
               const EntrySettings& settings,
               const EntryView& view,
               Log& log,
               Metrics& metrics);
  ~EntryTraffic();

  // Throws boost::system::system_error if the address cannot be listened on.
  void Listen();
  // Control changed the view.
  void OnViewChanged();
  // From now on connections end after their current answer, and a request that
  // might not end by `last_end` is refused.
  void BeginShutdown(Instant shutdown_deadline) {
    shutdown_deadline_ = shutdown_deadline;
  }
  void CloseIdleCallers();
  // Whether no request is served and every answer is written to its end.
  bool IsDrained() const;
  std::size_t in_flight() const { return exchanges_.size(); }
  // Advances time limits; called every kTickInterval.
  void Tick(Instant now);

  // What this router saw, for the mover.
  LoadReport MakeLoadReport(Instant now, const std::string& incarnation) const;

 private:
  friend class Exchange;

  void Accept();
  // Whether a request may be served beside others of its connection. One that
  // will be refused may.
  bool IsIdempotent(const HttpRequest& request) const;
  void OnRequest(ResponseWriter caller, CallerRequest request);
  void RemoveExchange(Exchange* exchange);
  void EnqueueWaiting(Exchange* exchange);
  void RetryWaiting();
  // The link to send to now; null if none may take the request.
  TargetClient* PickShared(const ServiceId& service,
                           const IngressRoute& route,
                           const std::set<TargetId>& tried);
  TargetClient* FindTarget(const TargetId& id);
  Distance DistanceTo(const ZoneId& zone) const;
  std::uint32_t SharingRouters(const TargetEntry& entry, bool keyed) const;
  SharedRetryBudget& BudgetOf(const ServiceId& service);
  Duration MeanLatency(const ServiceId& service) const;
  // Time of work on a request at a target of mean speed, without queueing.
  Duration MeanProcessingTime(const ServiceId& service) const;
  void UpdateProcessingTimes(Instant now);
  // Whether the limits of hot keys let a request through.
  bool Admits(const ServiceId& service, ShardKey key);
  std::uint32_t Routers() const;

  boost::asio::io_context& io_;
  const EntrySettings& settings_;
  const EntryView& view_;
  Log& log_;
  Metrics& metrics_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::optional<Instant> shutdown_deadline_;
  std::unordered_map<const CallerConnection*, std::shared_ptr<CallerConnection>>
      callers_;
  std::map<TargetId, std::unique_ptr<TargetClient>> links_;
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> exchanges_;
  // Requests without a target that may take them, oldest first.
  std::list<Exchange*> waiting_;
  bool serving_waiting_ = false;
  std::map<std::string, WeightedRoundRobin> spreads_;
  std::map<ServiceId, SharedRetryBudget> budgets_;
  std::map<ServiceId, KeyLoad> key_load_;
  std::map<ServiceId, double> mean_latency_us_;
  // Work time as of the last look at all targets.
  std::map<ServiceId, Duration> work_time_;
  std::mt19937_64 random_;
  std::uint64_t requests_seen_ = 0;
  Instant callers_checked_at_{};
};

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_TRAFFIC_H_
