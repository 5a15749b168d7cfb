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
class TargetLink {
 public:
  TargetLink(boost::asio::io_context& io, Instant now, TargetEntry entry);
  ~TargetLink();
  TargetLink(const TargetLink&) = delete;
  TargetLink& operator=(const TargetLink&) = delete;

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
  void StartStopping(Instant last_end) { stop_by_ = last_end; }
  void CloseIdleCallers();
  // Whether no request is served and every answer is written to its end.
  bool Quiet() const;
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
  bool IsRepeatable(const HttpRequest& request) const;
  void OnRequest(AnswerSlot caller, CallerRequest request);
  void Retire(Exchange* exchange);
  void Wait(Exchange* exchange);
  void ServeWaiting();
  // The link to send to now; null if none may take the request.
  TargetLink* PickShared(const ServiceId& service,
                         const IngressRoute& route,
                         const std::set<TargetId>& tried);
  TargetLink* LinkTo(const TargetId& id);
  Distance DistanceTo(const ZoneId& zone) const;
  std::uint32_t SharersOf(const TargetEntry& entry, bool keyed) const;
  SharedRetryBudget& BudgetOf(const ServiceId& service);
  Duration TypicalTime(const ServiceId& service) const;
  // Time of work on a request at a target of mean speed, without queueing.
  Duration MeanWorkTime(const ServiceId& service) const;
  void MeasureWorkTimes(Instant now);
  // Whether the limits of hot keys let a request through.
  bool Admits(const ServiceId& service, ShardKey key);
  std::uint32_t Routers() const;

  boost::asio::io_context& io_;
  const EntrySettings& settings_;
  const EntryView& view_;
  Log& log_;
  Metrics& metrics_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::optional<Instant> stop_by_;
  std::unordered_map<const CallerConnection*, std::shared_ptr<CallerConnection>>
      callers_;
  std::map<TargetId, std::unique_ptr<TargetLink>> links_;
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> exchanges_;
  // Requests without a target that may take them, oldest first.
  std::list<Exchange*> waiting_;
  bool serving_waiting_ = false;
  std::map<std::string, WeightedSpread> spreads_;
  std::map<ServiceId, SharedRetryBudget> budgets_;
  std::map<ServiceId, KeyHeat> heat_;
  std::map<ServiceId, double> typical_us_;
  // Work time as of the last look at all targets.
  std::map<ServiceId, Duration> work_time_;
  std::mt19937_64 random_;
  std::uint64_t requests_seen_ = 0;
  Instant checked_callers_{};
};

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_TRAFFIC_H_
