// Holds the accept loop, the queue of waiting requests and the latency
// estimates of each service. Handlers add and remove requests and connections,
// so loops that call them iterate over copies.
#include "figstall/entry_traffic.h"

#include <fmt/format.h>

#include <algorithm>

#include "figstall/exchange.h"
#include "figstall/http_channel.h"
#include "figstall/mean_processing_time.h"
#include "figstall/scoped_flag.h"

namespace figstall {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Mean latency and processing time assumed for a service without a response
// yet.
constexpr Duration kInitialTimeEstimate = std::chrono::milliseconds(100);
constexpr int kUnavailable = 503;
// Fractions of the drain duration. A target that left during a shorter
// standstill may still get requests.
constexpr double kMaxStandstillShare = 0.5;
constexpr double kMaxConfirmationWaitShare = 0.25;
constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(500);
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

EntryTraffic::EntryTraffic(asio::io_context& io,
                           const EntrySettings& settings,
                           const EntryView& view,
                           TargetNoticeRecorder& notices,
                           SendCredits& credits,
                           Log& log,
                           Metrics& metrics)
    : io_(io),
      settings_(settings),
      view_(view),
      notices_(notices),
      credits_(credits),
      targets_(io, settings, view, notices.notices(), credits, region_links_),
      caller_limits_(
          std::make_shared<CallerLimitsHistory>(CallerLimits{},
                                                settings.max_version_delay)),
      standstill_({Scaled(settings.drain_duration, kMaxStandstillShare),
                   Scaled(settings.drain_duration, kMaxConfirmationWaitShare)}),
      log_(log),
      metrics_(metrics),
      acceptor_(io),
      request_memory_(
          std::make_shared<RequestMemory>(settings.max_request_bytes)),
      random_(std::hash<std::string>()(settings.vm.value())),
      choice_random_(
          std::hash<std::string>()(settings.vm.value() + "/choice")) {}

EntryTraffic::~EntryTraffic() = default;

void EntryTraffic::Listen() {
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(settings_.callers.address),
      settings_.callers.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  Accept();
}

void EntryTraffic::Accept() {
  acceptor_.async_accept([this](error_code error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (error) {
      log_.Write(LogLevel::kWarning, "accept-failed",
                 {{"error", error.message()}});
      const auto pause =
          std::make_shared<asio::steady_timer>(io_, kAcceptRetryDelay);
      pause->async_wait([this, pause](error_code stopped) {
        if (!stopped)
          Accept();
      });
      return;
    }
    CallerConnection::Handlers handlers;
    handlers.on_request = [this](ResponseWriter caller, CallerRequest request) {
      OnRequest(std::move(caller), std::move(request));
    };
    handlers.on_closed = [this](const CallerConnection* caller) {
      callers_.erase(caller);
    };
    handlers.stopping = [this] { return shutdown_deadline_.has_value(); };
    handlers.on_refused = [this](int status) { RecordCallerRefused(status); };
    handlers.request_memory = request_memory_;
    handlers.is_idempotent = [this](const HttpRequest& request) {
      return IsIdempotent(request);
    };
    handlers.on_end = [this](const CallerConnectionEnd& end) {
      RecordCallerEnd(end);
    };
    const auto caller = std::make_shared<CallerConnection>(
        std::move(socket), caller_limits_, std::move(handlers));
    callers_.emplace(caller.get(), caller);
    caller->Start();
    Accept();
  });
}

void EntryTraffic::RecordCallerRefused(int status) {
  const char* reason =
      status == kUnavailable ? "request-memory" : "invalid-input";
  log_.Write(
      LogLevel::kWarning, "caller-refused",
      {{"status", std::to_string(status)},
       {"reason", reason},
       {"kept_bytes", std::to_string(request_memory_->kept_bytes())},
       {"max_kept_bytes", std::to_string(request_memory_->max_bytes())}});
  ++metrics_.Counter(
      "figstall_callers_refused_total",
      fmt::format("status=\"{}\",reason=\"{}\"", status, reason));
}

void EntryTraffic::RecordCallerEnd(const CallerConnectionEnd& end) {
  const bool lost = end.LostRequests();
  ++metrics_.Counter(
      "figstall_caller_connections_ended_total",
      fmt::format("reason=\"{}\",lost=\"{}\"", ToString(end.session.reason),
                  lost ? "yes" : "no"));
  if (!lost)
    return;
  log_.Write(
      LogLevel::kWarning, "caller-connection-lost",
      {{"reason", ToString(end.session.reason)},
       {"unanswered", std::to_string(end.session.unanswered)},
       {"unparsed_bytes", std::to_string(end.session.unparsed_bytes)},
       {"bytes_after_close", std::to_string(end.bytes_after_close)},
       {"undelivered_bytes", std::to_string(end.undelivered_bytes)},
       {"quiet_ms", std::to_string(ToMillis(end.quiet_for))},
       {"idle_limit_ms", std::to_string(ToMillis(end.idle_timeout))},
       {"version",
        std::to_string(view_.routes ? view_.routes->state().version : 0)}});
}

bool EntryTraffic::IsIdempotent(const HttpRequest& request) const {
  if (!view_.routes)
    return true;
  const IngressRoute* route = view_.routes->Find(
      View(request[boost::beast::http::field::host]), View(request.target()));
  return !route || route->idempotent;
}

void EntryTraffic::OnRequest(ResponseWriter caller, CallerRequest request) {
  const auto exchange = std::make_shared<Exchange>(
      *this, std::move(caller), std::move(request), ++requests_received_);
  exchanges_.emplace(exchange.get(), exchange);
  exchange->Start();
}

void EntryTraffic::RemoveExchange(Exchange* exchange) {
  waiting_.remove(exchange);
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end())
    return;
  // A member function of the exchange may be running, so the exchange is
  // destroyed only after its handlers have returned.
  asio::post(io_, [this, kept = std::move(found->second)] { RetryWaiting(); });
  exchanges_.erase(found);
}

void EntryTraffic::EnqueueWaiting(Exchange* exchange) {
  waiting_.remove(exchange);
  const auto position = std::find_if(
      waiting_.begin(), waiting_.end(), [exchange](const Exchange* other) {
        return other->priority() > exchange->priority() ||
               exchange->GoesBefore(*other);
      });
  waiting_.insert(position, exchange);
}

void EntryTraffic::RetryWaiting() {
  if (retrying_waiting_)
    return;
  const ScopedFlag retrying(retrying_waiting_);
  const std::vector<Exchange*> waiting(waiting_.begin(), waiting_.end());
  for (Exchange* each : waiting) {
    const auto found = exchanges_.find(each);
    if (found == exchanges_.end() || !each->waiting())
      continue;
    const auto kept = found->second;
    if (kept->TrySend())
      waiting_.remove(each);
  }
}

void EntryTraffic::OnViewChanged() {
  if (view_.routes) {
    caller_limits_->Set(BootNow(), view_.routes->state().limits);
    if (priority_version_ != view_.routes->state().version) {
      priority_version_ = view_.routes->state().version;
      priority_.OnDesiredState(view_.routes->state());
    }
  }
  targets_.OnViewChanged();
  RetryWaiting();
}

bool EntryTraffic::IsDrained() const {
  return exchanges_.empty() &&
         std::all_of(callers_.begin(), callers_.end(),
                     [](const auto& each) { return !each.second->busy(); });
}

std::size_t EntryTraffic::CountUndelivered() const {
  return static_cast<std::size_t>(std::count_if(
      callers_.begin(), callers_.end(),
      [](const auto& each) { return !each.second->IsDelivered(); }));
}

void EntryTraffic::CloseIdleCallers() {
  std::vector<std::shared_ptr<CallerConnection>> all;
  for (const auto& [key, caller] : callers_)
    all.push_back(caller);
  for (const auto& caller : all)
    caller->CloseIfIdle();
}

void EntryTraffic::Tick(Instant now, std::optional<Instant> confirmed_at) {
  standstill_.OnTick(now, confirmed_at);
  std::vector<std::shared_ptr<Exchange>> all;
  all.reserve(exchanges_.size());
  for (const auto& [key, exchange] : exchanges_)
    all.push_back(exchange);
  for (const auto& exchange : all)
    exchange->Tick(now);
  if (!waiting_.empty())
    RetryWaiting();
  for (auto& [service, load] : key_load_)
    load.Decay(now);
  TickRegionLinks(now);
  if (now - last_housekeeping_at_ < kHousekeepingInterval)
    return;
  last_housekeeping_at_ = now;
  for (const auto& [id, client] : targets_.clients())
    client->CloseStale(now);
  UpdateProcessingTimes(now);
  notices_.Prune(now, view_.targets);
  credits_.Prune(now);
  for (const PriorityChange& change : priority_.TakeEnded(now))
    LogPriorityChange(change);
  std::vector<std::shared_ptr<CallerConnection>> callers;
  for (const auto& [key, caller] : callers_)
    callers.push_back(caller);
  for (const auto& caller : callers)
    caller->EnforceTimeouts(now);
}

SharedRetryBudget& EntryTraffic::RetryBudgetFor(const ServiceId& service) {
  return retry_budgets_.try_emplace(service, settings_.retries).first->second;
}

Duration EntryTraffic::MeanLatency(const ServiceId& service) const {
  const auto found = mean_latency_us_.find(service);
  if (found == mean_latency_us_.end() || found->second == 0)
    return kInitialTimeEstimate;
  return Duration(static_cast<Duration::rep>(found->second));
}

Duration EntryTraffic::MeanProcessingTime(const ServiceId& service) const {
  const auto found = mean_processing_time_.find(service);
  return found == mean_processing_time_.end() ? kInitialTimeEstimate
                                              : found->second;
}

void EntryTraffic::UpdateProcessingTimes(Instant now) {
  std::map<ServiceId, figstall::MeanProcessingTime> means;
  for (const auto& [id, client] : targets_.clients()) {
    if (const auto processing_time = client->load().processing_time(now)) {
      means[client->entry().service].Add(
          *processing_time, targets_.DistanceTo(client->entry().zone));
    }
  }
  for (const auto& [service, mean] : means) {
    if (const auto time = mean.Get())
      mean_processing_time_[service] = *time;
  }
}

void EntryTraffic::LogPriorityChange(const PriorityChange& change) {
  log_.Write(LogLevel::kInfo, "priority-admission",
             {{"service", change.service.value()},
              {"state", change.began ? "yielding" : "ended"},
              {"yielded", std::to_string(change.yielded)},
              {"lasted_ms", std::to_string(ToMillis(change.lasted))},
              {"source", "own arrivals, load of targets"},
              {"view_age_ms",
               std::to_string(ToMillis(BootNow() - view_.last_update_at))}});
}

void EntryTraffic::RecordConnect(Instant now,
                                 const TargetEntry& target,
                                 Duration time) {
  if (RegionLink* link = targets_.LinkTo(target.zone))
    LogRegionLink(view_.regions.at(target.zone), *link,
                  link->OnConnect(now, time));
}

void EntryTraffic::TickRegionLinks(Instant now) {
  for (auto& [region, link] : region_links_)
    LogRegionLink(region, link, link.Tick(now));
}

void EntryTraffic::LogRegionLink(const RegionId& region,
                                 const RegionLink& link,
                                 LinkLimitChange change) {
  if (change == LinkLimitChange::kNone)
    return;
  const bool started = change == LinkLimitChange::kStarted;
  ++metrics_.Counter("figstall_region_link_limits_total",
                     started ? "change=\"started\"" : "change=\"ended\"");
  log_.Write(LogLevel::kInfo,
             started ? "region-link-limited" : "region-link-free",
             {{"region", region.value()},
              {"bytes_per_s", fmt::format("{:.0f}", link.rate().value_or(0))},
              {"queueing_ms", std::to_string(ToMillis(link.queueing()))}});
}

double EntryTraffic::AdmittedShare(Instant now,
                                   const ServiceId& service,
                                   ShardKey key) const {
  if (now >= view_.hot_key_limits_until)
    return 1;
  const auto shares = view_.hot_key_limits.services.find(service);
  return shares == view_.hot_key_limits.services.end()
             ? 1
             : AdmittedShareOf(shares->second, key);
}

bool EntryTraffic::Admits(const ServiceId& service, ShardKey key) {
  const double share = AdmittedShare(BootNow(), service, key);
  return share >= 1 || std::uniform_real_distribution<>()(random_) < share;
}

LoadReport EntryTraffic::MakeLoadReport(Instant now,
                                        const std::string& incarnation) const {
  LoadReport report;
  report.vm = settings_.vm;
  report.incarnation = incarnation;
  for (const auto& [service, load] : key_load_)
    report.services[service] = MakeKeyLoadReport(load);
  for (const auto& [id, client] : targets_.clients()) {
    // Targets in other regions are left out, since the network latency would
    // count as processing time.
    const auto processing_time = client->load().processing_time(now);
    if (processing_time && key_load_.contains(client->entry().service) &&
        targets_.DistanceTo(client->entry().zone) != Distance::kOtherRegion)
      report.targets[id] = *processing_time;
  }
  return report;
}

}  // namespace figstall
