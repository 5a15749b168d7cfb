// Data path of an entry VM: forwards callers' requests to targets and returns
// their responses. Runs on one Asio event loop.
#ifndef FIGSTALL_ENTRY_TRAFFIC_H_
#define FIGSTALL_ENTRY_TRAFFIC_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "figstall/caller_connection.h"
#include "figstall/caller_limits.h"
#include "figstall/entry_settings.h"
#include "figstall/entry_view.h"
#include "figstall/load_report.h"
#include "figstall/log.h"
#include "figstall/metrics.h"
#include "figstall/priority_admission.h"
#include "figstall/request_explanation.h"
#include "figstall/send_credits.h"
#include "figstall/shared_retry_budget.h"
#include "figstall/standstill_gate.h"
#include "figstall/target_notice_recorder.h"
#include "figstall/target_selector.h"

namespace figstall {

class Exchange;

class EntryTraffic {
 public:
  EntryTraffic(boost::asio::io_context& io,
               const EntrySettings& settings,
               const EntryView& view,
               TargetNoticeRecorder& notices,
               SendCredits& credits,
               Log& log,
               Metrics& metrics);
  ~EntryTraffic();

  // Starts to accept callers. Throws boost::system::system_error if it cannot
  // listen on the address.
  void Listen();
  // Where callers connect. The system chose the port if the settings state 0.
  boost::asio::ip::tcp::endpoint callers_endpoint() const {
    return acceptor_.local_endpoint();
  }
  // Applies a changed view; EntryControl calls this after each change.
  void OnViewChanged();
  // From now on connections are closed after their current response, and a
  // request whose deadline is later than `shutdown_deadline` is refused.
  void BeginShutdown(Instant shutdown_deadline) {
    shutdown_deadline_ = shutdown_deadline;
  }
  void CloseIdleCallers();
  // Whether no request is being read or in flight and all responses are
  // delivered.
  bool IsDrained() const;
  // The number of callers that have not received all that was written to them.
  std::size_t CountUndelivered() const;
  std::size_t in_flight() const { return exchanges_.size(); }
  const RequestMemory& request_memory() const { return *request_memory_; }
  // Enforces timeouts; called every kTickInterval. `confirmed_at`: the view has
  // all changes of the store up to then.
  void Tick(Instant now, std::optional<Instant> confirmed_at);

  // Sends requests that wait for a target which may have become available.
  void RetryWaiting();
  // Processing time of a request at a target of mean speed, without queueing.
  Duration MeanProcessingTime(const ServiceId& service) const;
  // Where a request would be sent now, and why. Sends and changes nothing.
  RequestExplanation Explain(Instant now, const RequestDescription& request);
  // Returns the load that this router has observed, for the mover.
  LoadReport MakeLoadReport(Instant now, const std::string& incarnation) const;

 private:
  friend class Exchange;

  void Accept();
  void RecordCallerRefused(int status);
  // Logs the end of a caller's connection if requests may have been lost.
  void RecordCallerEnd(const CallerConnectionEnd& end);
  // Whether a request may be served concurrently with others of its connection.
  // True also if it will be refused because there is no desired state or no
  // matching route.
  bool IsIdempotent(const HttpRequest& request) const;
  void OnRequest(ResponseWriter caller, CallerRequest request);
  void RemoveExchange(Exchange* exchange);
  void EnqueueWaiting(Exchange* exchange);
  SharedRetryBudget& RetryBudgetFor(const ServiceId& service);
  Duration MeanLatency(const ServiceId& service) const;
  void UpdateProcessingTimes(Instant now);
  // Records how long a connection to the target took to open, or was waited
  // for.
  void RecordConnect(Instant now, const TargetEntry& target, Duration time);
  void TickRegionLinks(Instant now);
  void LogRegionLink(const RegionId& region,
                     const RegionLink& link,
                     LinkLimitChange change);
  // Random number from 0 up to 1 for the choice of a target.
  double DrawForChoice() {
    return std::uniform_real_distribution<>()(choice_random_);
  }
  // Share of the requests for a key that the limits on hot keys admit.
  double AdmittedShare(Instant now,
                       const ServiceId& service,
                       ShardKey key) const;
  ServiceExplanation ExplainService(Instant now,
                                    const IngressRoute& route,
                                    const WeightedService& part,
                                    const RequestDescription& request,
                                    const AllowedRegions& regions);
  void LogPriorityChange(const PriorityChange& change);
  // Whether the limits on hot keys admit a request.
  bool Admits(const ServiceId& service, ShardKey key);

  boost::asio::io_context& io_;
  const EntrySettings& settings_;
  const EntryView& view_;
  TargetNoticeRecorder& notices_;
  SendCredits& credits_;
  RegionLinks region_links_;
  TargetSelector targets_;
  std::shared_ptr<CallerLimitsHistory> caller_limits_;
  StandstillGate standstill_;
  Log& log_;
  Metrics& metrics_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::optional<Instant> shutdown_deadline_;
  const std::shared_ptr<RequestMemory> request_memory_;
  std::unordered_map<const CallerConnection*, std::shared_ptr<CallerConnection>>
      callers_;
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> exchanges_;
  // Requests that wait for a target, sorted by ascending priority() and then by
  // the time of their insertion, or by GoesBefore() where routes of different
  // priority share a service.
  std::list<Exchange*> waiting_;
  bool retrying_waiting_ = false;
  std::map<std::string, WeightedRoundRobin> service_selectors_;
  std::map<ServiceId, SharedRetryBudget> retry_budgets_;
  std::map<ServiceId, ArrivalRate> request_rates_;
  PriorityAdmission priority_;
  // Version of the desired state that `priority_` takes into account.
  std::optional<std::uint64_t> priority_version_;
  std::map<ServiceId, KeyLoad> key_load_;
  std::map<ServiceId, double> mean_latency_us_;
  // Mean processing time by service, as of the last periodic update.
  std::map<ServiceId, Duration> mean_processing_time_;
  std::mt19937_64 random_;
  // For the choice of targets, apart from `random_`.
  std::mt19937_64 choice_random_;
  std::uint64_t requests_received_ = 0;
  Instant last_housekeeping_at_{};
};

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_TRAFFIC_H_
