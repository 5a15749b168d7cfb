// An asynchronous state machine with at most one attempt in progress. It is
// driven by events of both connections, by the queue of waiting requests and by
// Tick(), which enforces the timeouts. Responses are in exchange_response.cc.
#include "figstall/exchange.h"

#include <fmt/format.h>

#include <algorithm>

#include "figstall/region_rules.h"
#include "hop_by_hop.h"
#include "parse_number.h"
#include "platform/headers.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

// A request with less time left than this fraction of the latency objective is
// not sent, since a response in time is unlikely.
constexpr double kMinTimeLeftShare = 0.1;
// An idempotent request may get another attempt after this multiple of the
// expected latency, but not before the minimum.
constexpr double kAttemptTimeoutFactor = 3.0;
constexpr Duration kMinAttemptTimeout = std::chrono::milliseconds(150);
// A key has one owner, so another attempt can only replace a response that was
// lost.
constexpr double kKeyedAttemptTimeoutFactor = 4.0;
constexpr Duration kMinKeyedAttemptTimeout = std::chrono::milliseconds(350);
// Less than the second after which the kernel sends a SYN that was dropped
// again. On a link with a full queue a connection may take almost as long to
// open.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(900);
// Retry-After while this process has no desired state.
constexpr Duration kRetryAfterNoDesiredState = std::chrono::milliseconds(300);

}  // namespace

Exchange::Exchange(EntryTraffic& traffic,
                   ResponseWriter caller,
                   CallerRequest request,
                   std::uint64_t sequence_number)
    : traffic_(traffic),
      caller_(std::move(caller)),
      request_(std::move(request.message)),
      body_(std::make_shared<const std::string>(std::move(request_.body()))),
      sequence_number_(sequence_number),
      arrived_at_(request.arrived_at),
      id_(View(request_[platform::kRequestIdHeader])),
      routes_(traffic.view_.routes) {}

void Exchange::Start() {
  caller_.SetCancelHandler(
      [self = shared_from_this()] { self->OnCallerGone(); });
  deadline_ = arrived_at_ + std::chrono::seconds(1);
  if (!routes_)
    return FinishWithLocalResponse(kUnavailable, "no-desired-state",
                                   kRetryAfterNoDesiredState);
  route_ =
      routes_->Find(View(request_[http::field::host]), View(request_.target()));
  if (!route_)
    return FinishWithLocalResponse(kNotFound, "no-route", std::nullopt);
  deadline_ = DeadlineUnder(*route_);
  deadline_version_ = routes_->state().version;
  if (traffic_.shutdown_deadline_ && deadline_ > *traffic_.shutdown_deadline_)
    return FinishWithLocalResponse(kUnavailable, "stopping", Duration{0});
  service_ = traffic_.service_selectors_[route_->name].Next(route_->services);
  const TargetService* service = routes_->FindService(service_);
  keyed_ = service && service->keyed;
  if (keyed_) {
    const auto key = detail::ParseNumber<ShardKey>(
        View(request_[platform::kShardKeyHeader]));
    if (!key)
      return FinishWithLocalResponse(kBadRequest, "no-key", std::nullopt);
    key_ = *key;
  }
  waits_ = ComputeRequestWaits(route_->latency_objective,
                               traffic_.MeanLatency(service_), keyed_);
  regions_at_arrival_ = regions_in_force_ =
      RegionsUnder(routes_->state(), route_);
  regions_version_ = routes_->state().version;
  // Before it counts as load of its key, whose owner does not get it.
  if (regions_in_force_.restricted() &&
      traffic_.targets_.IsOutsideRegions(MakeTargetQuery())) {
    last_choice_ = {nullptr, Unavailability::kOutsideRegions, {}};
    return Refuse("no-target-free");
  }
  if (keyed_) {
    traffic_.key_load_[service_].Add(key_,
                                     traffic_.MeanProcessingTime(service_));
  }
  traffic_.RetryBudgetFor(service_).OnRequest(arrived_at_);
  if (keyed_ && !traffic_.Admits(service_, key_))
    return FinishWithLocalResponse(kUnavailable, "hot-key",
                                   waits_.retry_after_moving);
  traffic_.request_rates_[service_].OnArrival(arrived_at_);
  traffic_.priority_.OnArrival(arrived_at_, service_, route_->priority);
  if (!TrySend())
    WaitForTarget();
}

Instant Exchange::DeadlineUnder(const IngressRoute& route) const {
  Duration timeout = route.request_timeout;
  const auto time_left_ms = detail::ParseNumber<std::int64_t>(
      View(request_[platform::kTimeLeftHeader]));
  if (time_left_ms)
    timeout =
        std::min<Duration>(timeout, std::chrono::milliseconds(*time_left_ms));
  return arrived_at_ + timeout;
}

void Exchange::ExtendDeadline() {
  const auto& latest = traffic_.view_.routes;
  if (!route_ || latest->state().version == deadline_version_)
    return;
  deadline_version_ = latest->state().version;
  const IngressRoute* route =
      latest->Find(View(request_[http::field::host]), View(request_.target()));
  if (!route || route->name != route_->name)
    return;
  Instant extended = DeadlineUnder(*route);
  if (traffic_.shutdown_deadline_)
    extended = std::min(extended, *traffic_.shutdown_deadline_);
  if (extended <= deadline_)
    return;
  traffic_.log_.Write(
      LogLevel::kInfo, "deadline-extended",
      {{"id", id_},
       {"version", std::to_string(deadline_version_)},
       {"by_ms", std::to_string(ToMillis(extended - deadline_))}});
  deadline_ = extended;
}

AllowedRegions Exchange::RegionsUnder(const DesiredState& state,
                                      const IngressRoute* route) const {
  // A request that names several accounts is bound by each.
  std::vector<AccountId> accounts;
  if (!state.accounts.empty()) {
    const auto [begin, end] = request_.equal_range(platform::kAccountHeader);
    for (auto field = begin; field != end; ++field)
      accounts.emplace_back(std::string(View(field->value())));
  }
  return RegionsForRequest(state, route, accounts);
}

const AllowedRegions& Exchange::RegionsInForce() {
  const RouteIndex& latest = *traffic_.view_.routes;
  if (latest.state().version != regions_version_) {
    regions_version_ = latest.state().version;
    const IngressRoute* route =
        latest.Find(View(request_[http::field::host]), View(request_.target()));
    regions_in_force_ =
        Intersect(regions_at_arrival_, RegionsUnder(latest.state(), route));
  }
  return regions_in_force_;
}

TargetQuery Exchange::MakeTargetQuery() {
  return {service_,
          keyed_ ? std::optional(key_) : std::nullopt,
          route_->bulk,
          route_->latency_objective,
          traffic_.MeanLatency(service_),
          tried_targets_,
          RegionsInForce()};
}

bool Exchange::GoesBefore(const Exchange& other) const {
  if (other.priority() != priority() || other.service_ != service_ ||
      !traffic_.priority_.Applies(service_))
    return false;
  if ((attempts_sent_ > 0) != (other.attempts_sent_ > 0))
    return attempts_sent_ > 0;
  return deadline_ < other.deadline_;
}

std::optional<double> Exchange::ReservedAtTarget(Instant now) const {
  if (of_minimum_ || !traffic_.priority_.Applies(service_))
    return std::nullopt;
  return traffic_.priority_.ReservedAtTarget(
      now, service_, route_->priority, traffic_.MeanLatency(service_),
      traffic_.targets_.RouterCount(), traffic_.targets_.TargetCount(service_));
}

bool Exchange::TakesMinimum(Instant now) {
  if (yielded_)
    return false;
  yielded_ = true;
  if (const auto change = traffic_.priority_.OnYield(now, service_))
    traffic_.LogPriorityChange(*change);
  of_minimum_ = traffic_.priority_.TakeMinimum(service_, route_->priority);
  ++traffic_.metrics_.Counter(
      "figstall_priority_yields_total",
      fmt::format("service=\"{}\",priority=\"{}\",minimum=\"{}\"",
                  service_.value(), route_->priority,
                  of_minimum_ ? "yes" : "no"));
  return of_minimum_;
}

bool Exchange::MakesItsTimeAt(Instant now, const TargetClient& client) const {
  if (!traffic_.priority_.Applies(service_))
    return true;
  const auto expected = client.load().ExpectedResponseTime(
      now, traffic_.MeanProcessingTime(service_));
  return !expected || *expected <= TimeLeft(now);
}

TargetClient* Exchange::ChooseTarget() {
  const Instant now = BootNow();
  TargetQuery query = MakeTargetQuery();
  query.random = traffic_.DrawForChoice();
  query.request_rate = traffic_.request_rates_[service_].At(now);
  query.reserved = ReservedAtTarget(now);
  last_choice_ = traffic_.standstill_.MaySend(now)
                     ? traffic_.targets_.Choose(now, query)
                     : TargetChoice{nullptr, Unavailability::kStandstill, {}};
  if (last_choice_.reason == Unavailability::kYieldsToPriority &&
      TakesMinimum(now)) {
    query.reserved.reset();
    last_choice_ = traffic_.targets_.Choose(now, query);
  }
  return last_choice_.client;
}

bool Exchange::MayWait(Instant now) const {
  if (now >= deadline_)
    return false;
  const Duration waited = now - arrived_at_;
  // What is over a target's limit is refused at once, and so is what no target
  // may get: none is in an allowed region, or the owner in an evacuated zone
  // has not been replaced in time. The same holds for what would have to wait
  // too long for the end of a pause.
  if (last_choice_.reason == Unavailability::kRateLimited ||
      last_choice_.reason == Unavailability::kWarmingUp ||
      last_choice_.reason == Unavailability::kOutsideRegions ||
      last_choice_.reason == Unavailability::kEvacuated)
    return false;
  if (last_choice_.available_at &&
      *last_choice_.available_at - arrived_at_ >= waits_.capacity_wait_timeout)
    return false;
  return waited < waits_.capacity_wait_timeout ||
         (keyed_ && waited < waits_.owner_wait_timeout &&
          !traffic_.targets_.OwnerEntry(service_, key_));
}

bool Exchange::TrySend() {
  if (ended_)
    return true;
  TargetClient* client = ChooseTarget();
  if (!client || (retry_not_before_ && BootNow() < *retry_not_before_))
    return false;
  waiting_ = false;
  Send(client);
  return true;
}

void Exchange::WaitForTarget() {
  const Instant now = BootNow();
  if (!MayWait(now))
    return Refuse("no-target-free");
  waiting_ = true;
  traffic_.EnqueueWaiting(this);
}

std::shared_ptr<TargetRequest> Exchange::MakeTargetRequest(
    const TargetClient& client) const {
  auto out = std::make_shared<TargetRequest>(request_.base(), body_);
  detail::EraseHopByHopFields(*out);
  out->version(11);
  SetTimeLeft(*out);
  out->set(platform::kExpectedTargetHeader,
           client.entry().incarnation.id.value());
  if (!body_->empty() || request_.has_content_length() || request_.chunked())
    out->content_length(body_->size());
  return out;
}

void Exchange::SetTimeLeft(TargetRequest& request) const {
  request.set(
      platform::kTimeLeftHeader,
      std::to_string(std::max<std::int64_t>(1, ToMillis(TimeLeft(BootNow())))));
}

bool Exchange::HasTimeLeft(Instant now) const {
  return TimeLeft(now) >= Scaled(route_->latency_objective, kMinTimeLeftShare);
}

std::string_view Exchange::WhyNotSent(Instant now) {
  if (!HasTimeLeft(now))
    return "no-time-left";
  if (!traffic_.standstill_.MaySend(now))
    return ToString(Unavailability::kStandstill);
  return ToString(traffic_.targets_.CheckChosen(
      now, MakeTargetQuery(), attempt_->target, attempt_->address));
}

bool Exchange::PrepareDelayedSend(TargetRequest& request) {
  const Instant now = BootNow();
  attempt_->withdrawn_for = WhyNotSent(now);
  const TargetClient* client = traffic_.targets_.Find(attempt_->target.id);
  if (attempt_->withdrawn_for.empty() && client &&
      !traffic_.credits_.MaySendDelayed(
          now, attempt_->target, client->entry().zone, attempt_->credit_until))
    attempt_->withdrawn_for = ToString(Unavailability::kWarmingUp);
  if (!attempt_->withdrawn_for.empty())
    return false;
  if (SlowToSend(now))
    LogSendDelay("sent", "");
  traffic_.RecordConnect(now, attempt_->client->entry(),
                         now - attempt_->sent_at);
  SetTimeLeft(request);
  attempt_->timeout_at += now - attempt_->sent_at;
  attempt_->sent_on_connection_at = now;
  return true;
}

void Exchange::Send(TargetClient* client) {
  const Instant now = BootNow();
  if (!HasTimeLeft(now) || !MakesItsTimeAt(now, *client))
    return Refuse("no-time-left");
  const auto credit_until =
      traffic_.credits_.Consume(now, client->entry().incarnation);
  ++attempts_sent_;
  ++possible_executions_;
  attempt_.emplace();
  Attempt& attempt = *attempt_;
  attempt.client = client;
  attempt.target = client->entry().incarnation;
  attempt.address = client->entry().address;
  attempt.credit_until = credit_until;
  last_target_ = attempt.target.id;
  in_flight_when_sent_ = client->load().in_flight();
  if (keyed_) {
    const RangeEntry* entry = traffic_.view_.tables.at(service_).Find(key_);
    last_fence_ = entry ? entry->fence : 0;
  }
  attempt.sent_at = now;
  attempt.sent_on_connection_at = now;
  // A late copy of an earlier refusal carries the same id as the response to
  // this attempt, but it can only come on the connection of that attempt.
  attempt.connection = !route_->idempotent && attempts_sent_ > 1
                           ? client->Open()
                           : client->Acquire(now);
  attempt.reused = attempt.connection->used();
  const Duration expected_latency =
      std::max(client->load().latency().value_or(Duration{0}),
               traffic_.MeanLatency(service_));
  attempt.timeout_at =
      now +
      (keyed_ ? std::max(kMinKeyedAttemptTimeout,
                         Scaled(expected_latency, kKeyedAttemptTimeoutFactor))
              : std::max(kMinAttemptTimeout,
                         Scaled(expected_latency, kAttemptTimeoutFactor)));
  attempt.queueing_factor = client->load().QueueingFactor(
      now, client->entry().slots,
      traffic_.targets_.SharingRouters(client->entry(), keyed_));
  client->load().OnSent(now);
  if (RegionLink* link = route_->bulk
                             ? traffic_.targets_.LinkTo(client->entry().zone)
                             : nullptr)
    link->OnRequest(now);
  const auto self = shared_from_this();
  ResponseObserver observer;
  // A "not run" response without a request id is accepted only on a new
  // connection. On a reused one it may be a late response to an earlier
  // request, and this request would be treated as not run while it runs.
  observer.on_head = [self, first = !attempt.reused](const ResponseHead& head) {
    const std::string_view echoed = View(head[platform::kRequestIdHeader]);
    const bool refused = head.count(platform::kNotRunHeader) > 0;
    if (echoed != self->id_ && !(echoed.empty() && refused && first))
      return false;
    self->OnHead(head);
    return true;
  };
  const auto request = MakeTargetRequest(*client);
  observer.may_send = [self, request] {
    return self->PrepareDelayedSend(*request);
  };
  observer.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  observer.on_end = [self] { self->OnEnd(); };
  observer.on_limit = [self](const ExceededLimit& limit) {
    self->OnLimit(limit);
  };
  observer.on_error = [self](FailureStage stage,
                             const std::string& error_text) {
    self->OnAttemptError(stage, error_text);
  };
  attempt.connection->Send(request, std::move(observer), kConnectTimeout);
}

void Exchange::OnRejected(int status) {
  --possible_executions_;
  const bool misdirected = status == kMisdirected;
  if (!keyed_)
    tried_targets_.insert(attempt_->target.id);
  EndAttempt(misdirected && !keyed_ ? AttemptOutcome::kBroken
                                    : AttemptOutcome::kRefused);
  if (keyed_)
    retry_not_before_ = BootNow() + waits_.target_retry_interval;
  // A repeat that cannot be sent would only use up the budget.
  const TargetClient* next = ChooseTarget();
  if (!next && !MayWait(BootNow()))
    return Refuse("no-target-free");
  if (next && !MakesItsTimeAt(BootNow(), *next))
    return Refuse("no-time-left");
  if (!TakeRetry(BootNow()))
    return Refuse("rejected-by-target");
  if (!TrySend())
    WaitForTarget();
}

bool Exchange::TakeRetry(Instant now) {
  const MemberCounts& members = traffic_.view_.member_counts;
  const RetryDecisionBasis basis = traffic_.RetryBudgetFor(service_).TryRetry(
      now, members.FractionOfFixedSum(now, traffic_.settings_.retries.window));
  const auto number = [](double value) { return fmt::format("{:.1f}", value); };
  traffic_.log_.Write(LogLevel::kInfo,
                      basis.allowed ? "retry-allowed" : "retry-refused",
                      {{"id", id_},
                       {"service", service_.value()},
                       {"attempts", std::to_string(attempts_sent_)},
                       {"paid", number(basis.paid)},
                       {"slack_allowed", number(basis.slack_allowed)},
                       {"slack_used", number(basis.slack_used)},
                       {"members", std::to_string(members.total())}});
  ++traffic_.metrics_.Counter(
      "figstall_retries_total",
      fmt::format("service=\"{}\",outcome=\"{}\"", service_.value(),
                  basis.allowed ? "allowed" : "refused"));
  return basis.allowed;
}

bool Exchange::MayRetry() const {
  return route_->idempotent && possible_executions_ < route_->attempts;
}

void Exchange::RetryOrRefuse(const std::string& reason) {
  if ((execution_state_ == ExecutionState::kNotRun || MayRetry()) &&
      BootNow() < deadline_ && TakeRetry(BootNow())) {
    if (!TrySend())
      WaitForTarget();
    return;
  }
  Refuse(reason);
}

void Exchange::OnAttemptError(FailureStage stage,
                              const std::string& error_text) {
  if (!attempt_)
    return;
  attempt_->error = error_text;
  if (attempt_->streaming) {
    EndAttempt(AttemptOutcome::kBroken);
    caller_.Truncate();
    return Finish("cut", 0, error_text);
  }
  if (stage == FailureStage::kNotSent) {
    const bool withdrawn = !attempt_->withdrawn_for.empty();
    return WithdrawAttempt(
        withdrawn ? std::string(attempt_->withdrawn_for) : error_text,
        withdrawn ? AttemptOutcome::kAbandoned : AttemptOutcome::kBroken);
  }
  if (!keyed_)
    tried_targets_.insert(attempt_->target.id);
  execution_state_ = ExecutionState::kUnknown;
  EndAttempt(AttemptOutcome::kBroken);
  RetryOrRefuse(stage == FailureStage::kAnswerCut
                    ? "answer-cut: " + error_text
                    : "target-broke: " + error_text);
}

void Exchange::EndUnsentAttempt(const std::string& reason,
                                AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kAbandoned || SlowToSend(BootNow()))
    LogSendDelay("withdrawn", reason);
  --possible_executions_;
  --attempts_sent_;
  RecordAbandonedConnect();
  EndAttempt(outcome);
}

void Exchange::RecordAbandonedConnect() {
  const TargetClient* client = traffic_.targets_.Find(attempt_->target.id);
  if (client && client == attempt_->client && SlowToSend(BootNow()))
    traffic_.RecordConnect(BootNow(), client->entry(),
                           BootNow() - attempt_->sent_at);
}

// No target saw the attempt, so the next one needs no retry from the budget.
void Exchange::WithdrawAttempt(const std::string& reason,
                               AttemptOutcome outcome) {
  // A target that was not at fault may be chosen again.
  if (!keyed_ && outcome == AttemptOutcome::kBroken)
    tried_targets_.insert(attempt_->target.id);
  EndUnsentAttempt(reason, outcome);
  const Instant now = BootNow();
  if (keyed_)
    retry_not_before_ = now + waits_.target_retry_interval;
  const bool may_send_again =
      execution_state_ == ExecutionState::kNotRun || MayRetry();
  if (!may_send_again || now >= deadline_)
    return Refuse("target-broke: " + reason);
  if (TrySend())
    return;
  if (!MayWait(now))
    return Refuse("target-broke: " + reason);
  WaitForTarget();
}

void Exchange::CheckUnsent(Instant now) {
  const std::string_view reason = WhyNotSent(now);
  if (reason.empty() && (keyed_ || !SlowToSend(now)))
    return;
  if (reason.empty()) {
    // Another target is tried only if one may take the request now.
    tried_targets_.insert(attempt_->target.id);
    const bool other_target = ChooseTarget() != nullptr;
    tried_targets_.erase(attempt_->target.id);
    if (!other_target)
      return;
  }
  const auto connection = attempt_->connection;
  if (reason.empty())
    WithdrawAttempt("opens-slowly", AttemptOutcome::kBroken);
  else
    WithdrawAttempt(std::string(reason), AttemptOutcome::kAbandoned);
  connection->Cancel();
}

void Exchange::LogSendDelay(const char* outcome, const std::string& reason) {
  const Instant now = BootNow();
  const Duration waited = now - attempt_->sent_at;
  traffic_.log_.Write(
      LogLevel::kInfo, "send-delayed",
      {{"id", id_},
       {"target", attempt_->target.id.value()},
       {"waited_ms", std::to_string(ToMillis(waited))},
       {"outcome", outcome},
       {"reason", reason},
       {"view_age_ms",
        std::to_string(ToMillis(now - traffic_.view_.last_update_at))}});
}

void Exchange::OnCallerGone() {
  if (ended_)
    return;
  if (attempt_) {
    const auto connection = attempt_->connection;
    if (connection->send_started())
      EndAttempt(AttemptOutcome::kAbandoned);
    else
      EndUnsentAttempt("caller-left", AttemptOutcome::kAbandoned);
    connection->Cancel();
  }
  Finish("caller-left", 0, "");
}

void Exchange::EndAttempt(AttemptOutcome outcome) {
  const Instant now = BootNow();
  const Duration latency = now - attempt_->sent_at;
  // The target may have been removed in the meantime.
  TargetClient* client = traffic_.targets_.Find(attempt_->target.id);
  if (client && client == attempt_->client)
    client->load().OnDone(now, outcome, latency, attempt_->queueing_factor,
                          attempt_->head_seen
                              ? std::optional(attempt_->head_seen_at -
                                              attempt_->sent_on_connection_at)
                              : std::nullopt);
  if (outcome == AttemptOutcome::kAnswered) {
    traffic_.priority_.OnServed(now, service_, route_->priority, of_minimum_);
    double& mean_latency = traffic_.mean_latency_us_[service_];
    constexpr double kWeight = 0.03;
    const auto sample = static_cast<double>(latency.count());
    mean_latency = mean_latency == 0
                       ? sample
                       : mean_latency + kWeight * (sample - mean_latency);
  }
  if (outcome != AttemptOutcome::kAnswered &&
      outcome != AttemptOutcome::kAbandoned) {
    static constexpr const char* kNames[] = {
        "answered", "failed", "refused", "broken", "timed-out", "abandoned"};
    traffic_.log_.Write(
        LogLevel::kInfo, "attempt-failed",
        {{"id", id_},
         {"target", attempt_->target.id.value()},
         {"how", kNames[static_cast<int>(outcome)]},
         {"error", attempt_->error},
         {"status", std::to_string(
                        attempt_->head_seen ? attempt_->head.result_int() : 0)},
         {"took_us", std::to_string(latency.count())},
         {"reused", attempt_->reused ? "yes" : "no"}});
  }
  attempt_.reset();
}

void Exchange::Tick(Instant now) {
  if (ended_)
    return;
  const auto self = shared_from_this();
  if (attempt_ && attempt_->streaming)
    ExtendDeadline();
  if (now >= deadline_) {
    bool streaming = false;
    if (attempt_) {
      const auto connection = attempt_->connection;
      streaming = attempt_->streaming;
      if (connection->send_started()) {
        execution_state_ = ExecutionState::kUnknown;
        EndAttempt(AttemptOutcome::kTimedOut);
      } else {
        EndUnsentAttempt("out-of-time", AttemptOutcome::kBroken);
      }
      connection->Cancel();
    }
    if (streaming) {
      caller_.Truncate();
      return Finish("cut", 0, "out-of-time");
    }
    return FinishWithLocalResponse(LocalResponseStatus(execution_state_, true),
                                   "out-of-time", std::nullopt);
  }
  if (waiting_) {
    if (!MayWait(now))
      Refuse("no-target-free");
    return;
  }
  if (attempt_ && !attempt_->connection->send_started())
    return CheckUnsent(now);
  if (attempt_ && !attempt_->streaming && now >= attempt_->timeout_at)
    RetryOnOtherTarget(now);
}

// An attempt in progress is cancelled only if another one can be sent now. A
// process that is shutting down does not cancel it but lets it complete.
void Exchange::RetryOnOtherTarget(Instant now) {
  if (!MayRetry() || traffic_.shutdown_deadline_ || !HasTimeLeft(now) ||
      TimeLeft(now) <= traffic_.MeanLatency(service_))
    return;
  tried_targets_.insert(attempt_->target.id);
  TargetClient* other = ChooseTarget();
  if (!other || !MakesItsTimeAt(now, *other) || !TakeRetry(now))
    return;
  execution_state_ = ExecutionState::kUnknown;
  const auto connection = attempt_->connection;
  EndAttempt(AttemptOutcome::kTimedOut);
  connection->Cancel();
  Send(other);
}

}  // namespace figstall
