// An asynchronous state machine with at most one attempt in progress. It is
// driven by events of both connections, by the queue of waiting requests and by
// Tick(), which enforces the timeouts.
#include "figstall/exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "platform/headers.h"
#include "platform/target_notice.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;

// A response body up to this size is buffered until it is complete, so that a
// truncated response can be replaced; a longer one is streamed.
constexpr std::size_t kMaxBufferedBytes = 262'144;
// Reading from the target pauses while more bytes than this are unsent to the
// caller.
constexpr std::size_t kMaxUnsentBytes = 262'144;
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
// Callers retry after at most a third of their remaining time (source: the
// platform's protocol). Retry-After is limited to this fraction of it.
constexpr double kRetryAfterShare = 0.3;
// Retry-After while this process has no desired state.
constexpr Duration kRetryAfterNoDesiredState = std::chrono::milliseconds(300);
// One in this many requests is logged even if it was answered in time and
// without a server error.
constexpr std::uint64_t kLogSampleInterval = 16;

// Hop-by-hop header fields, which apply to a single connection.
bool IsHopByHopField(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

template <typename Message>
void EraseHopByHopFields(Message& message) {
  std::vector<std::string> named;
  for (const auto& token : http::token_list(message[http::field::connection]))
    named.emplace_back(token);
  for (const std::string& name : named)
    message.erase(name);
  for (auto field = message.begin(); field != message.end();) {
    if (IsHopByHopField(field->name()))
      field = message.erase(field);
    else
      ++field;
  }
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

int LocalResponseStatus(ExecutionState state, bool deadline_passed) {
  if (state == ExecutionState::kNotRun)
    return kUnavailable;
  return deadline_passed ? kGatewayTimeout : kBadGateway;
}

BodyHandling BodyHandlingFor(const ResponseHead& head, std::size_t bytes) {
  if (head.count(platform::kNotRunHeader) > 0)
    return BodyHandling::kDrop;
  return bytes <= kMaxBufferedBytes ? BodyHandling::kBuffer
                                    : BodyHandling::kStream;
}

Exchange::Exchange(EntryTraffic& traffic,
                   ResponseWriter caller,
                   CallerRequest request,
                   std::uint64_t sequence_number)
    : traffic_(traffic),
      caller_(std::move(caller)),
      request_(std::move(request.message)),
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
  Duration timeout = route_->request_timeout;
  const auto time_left_ms =
      ParseNumber<std::int64_t>(View(request_[platform::kTimeLeftHeader]));
  if (time_left_ms)
    timeout =
        std::min<Duration>(timeout, std::chrono::milliseconds(*time_left_ms));
  deadline_ = arrived_at_ + timeout;
  if (traffic_.shutdown_deadline_ && deadline_ > *traffic_.shutdown_deadline_)
    return FinishWithLocalResponse(kUnavailable, "stopping", Duration{0});
  service_ = traffic_.service_selectors_[route_->name].Next(route_->services);
  const TargetService* service = routes_->FindService(service_);
  keyed_ = service && service->keyed;
  if (keyed_) {
    const auto key =
        ParseNumber<ShardKey>(View(request_[platform::kShardKeyHeader]));
    if (!key)
      return FinishWithLocalResponse(kBadRequest, "no-key", std::nullopt);
    key_ = *key;
    traffic_.key_load_[service_].Add(key_,
                                     traffic_.MeanProcessingTime(service_));
  }
  traffic_.RetryBudgetFor(service_).OnRequest(arrived_at_);
  waits_ = ComputeRequestWaits(route_->latency_objective,
                               traffic_.MeanLatency(service_), keyed_);
  if (keyed_ && !traffic_.Admits(service_, key_))
    return FinishWithLocalResponse(kUnavailable, "hot-key",
                                   waits_.retry_after_moving);
  if (!TrySend())
    WaitForTarget();
}

TargetQuery Exchange::MakeTargetQuery() const {
  return {service_,
          keyed_ ? std::optional(key_) : std::nullopt,
          route_->bulk,
          route_->latency_objective,
          traffic_.MeanLatency(service_),
          tried_targets_};
}

TargetClient* Exchange::ChooseTarget() {
  last_choice_ = traffic_.targets_.Choose(BootNow(), MakeTargetQuery());
  return last_choice_.client;
}

bool Exchange::MayWait(Instant now) const {
  if (now >= deadline_)
    return false;
  const Duration waited = now - arrived_at_;
  // What is over a target's limit is refused at once, and so is what would have
  // to wait too long for the end of a pause.
  if (last_choice_.reason == Unavailability::kRateLimited)
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

std::shared_ptr<const HttpRequest> Exchange::MakeTargetRequest(
    const TargetClient& client) const {
  auto out = std::make_shared<HttpRequest>(request_);
  EraseHopByHopFields(*out);
  out->version(11);
  out->set(platform::kTimeLeftHeader, std::to_string(std::max<std::int64_t>(
                                          1, ToMillis(TimeLeft(BootNow())))));
  out->set(platform::kExpectedTargetHeader,
           client.entry().incarnation.id.value());
  if (!out->body().empty() || request_.has_content_length() ||
      request_.chunked())
    out->content_length(out->body().size());
  return out;
}

void Exchange::Send(TargetClient* client) {
  const Instant now = BootNow();
  if (TimeLeft(now) < Scaled(route_->latency_objective, kMinTimeLeftShare))
    return Refuse("no-time-left");
  traffic_.credits_.Consume(now, client->entry().incarnation);
  ++attempts_sent_;
  ++possible_executions_;
  attempt_.emplace();
  Attempt& attempt = *attempt_;
  attempt.client = client;
  attempt.target = client->entry().incarnation;
  last_target_ = attempt.target.id;
  in_flight_when_sent_ = client->load().in_flight();
  if (keyed_) {
    const RangeEntry* entry = traffic_.view_.tables.at(service_).Find(key_);
    last_fence_ = entry ? entry->fence : 0;
  }
  attempt.sent_at = now;
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
  observer.may_send = [self, target = attempt.target] {
    return !self->traffic_.notices_.notices().RetryNotBefore(BootNow(), target);
  };
  observer.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  observer.on_end = [self] { self->OnEnd(); };
  observer.on_error = [self](FailureStage stage,
                             const std::string& error_text) {
    self->OnAttemptError(stage, error_text);
  };
  attempt.connection->Send(MakeTargetRequest(*client), std::move(observer));
}

void Exchange::OnHead(const ResponseHead& head) {
  if (!attempt_)
    return;
  attempt_->head = head;
  attempt_->head_seen = true;
  traffic_.notices_.OnAnswer(
      BootNow(), attempt_->target,
      platform::DecodeTargetNotice(static_cast<int>(head.result_int()), head),
      "response");
}

ResponseHead Exchange::MakeCallerHead() const {
  ResponseHead head = attempt_->head;
  EraseHopByHopFields(head);
  return head;
}

void Exchange::OnBody(std::string_view bytes) {
  if (!attempt_)
    return;
  Attempt& attempt = *attempt_;
  if (attempt.streaming) {
    caller_.SendBody(bytes, false);
    if (caller_.unsent() > kMaxUnsentBytes)
      attempt.connection->Pause();
    return;
  }
  const BodyHandling handling =
      BodyHandlingFor(attempt.head, attempt.body.size() + bytes.size());
  if (handling == BodyHandling::kDrop)
    return;
  attempt.body += bytes;
  if (handling == BodyHandling::kBuffer)
    return;
  attempt.streaming = true;
  const std::weak_ptr<TargetConnection> connection = attempt.connection;
  caller_.BeginResponse(MakeCallerHead(), [connection] {
    if (const auto paused = connection.lock())
      paused->Resume();
  });
  caller_.SendBody(attempt.body, false);
  attempt.body.clear();
}

void Exchange::OnEnd() {
  if (!attempt_)
    return;
  const int status = static_cast<int>(attempt_->head.result_int());
  if (attempt_->head.count(platform::kNotRunHeader) > 0)
    return OnRejected(status);
  const bool failed = status >= kFirstServerError;
  if (failed && !attempt_->streaming && MayRetry()) {
    tried_targets_.insert(attempt_->target.id);
    TargetClient* other = ChooseTarget();
    if (other && TimeLeft(BootNow()) > traffic_.MeanLatency(service_) &&
        traffic_.RetryBudgetFor(service_).TryRetry(
            BootNow(), traffic_.targets_.RouterCount())) {
      fallback_response_ = BufferedResponse();
      execution_state_ = ExecutionState::kUnknown;
      EndAttempt(AttemptOutcome::kFailed);
      return Send(other);
    }
  }
  Forward();
}

HttpResponse Exchange::BufferedResponse() {
  HttpResponse response;
  response.base() = MakeCallerHead();
  response.version(11);
  response.body() = std::move(attempt_->body);
  if (request_.method() != http::verb::head)
    response.erase(http::field::content_length);
  return response;
}

void Exchange::Forward() {
  const int status = static_cast<int>(attempt_->head.result_int());
  if (attempt_->streaming) {
    caller_.SendBody({}, true);
  } else {
    caller_.Reply(BufferedResponse());
  }
  EndAttempt(status >= kFirstServerError ? AttemptOutcome::kFailed
                                         : AttemptOutcome::kAnswered);
  Finish("answered", status, "");
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
  if (!ChooseTarget() && !MayWait(BootNow()))
    return Refuse("no-target-free");
  if (!traffic_.RetryBudgetFor(service_).TryRetry(
          BootNow(), traffic_.targets_.RouterCount()))
    return Refuse("rejected-by-target");
  if (!TrySend())
    WaitForTarget();
}

bool Exchange::MayRetry() const {
  return route_->idempotent && possible_executions_ < route_->attempts;
}

void Exchange::RetryOrRefuse(const std::string& reason) {
  if ((execution_state_ == ExecutionState::kNotRun || MayRetry()) &&
      BootNow() < deadline_ &&
      traffic_.RetryBudgetFor(service_).TryRetry(
          BootNow(), traffic_.targets_.RouterCount())) {
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
  if (attempt_->streaming) {
    EndAttempt(AttemptOutcome::kBroken);
    caller_.Truncate();
    return Finish("cut", 0, error_text);
  }
  if (!keyed_)
    tried_targets_.insert(attempt_->target.id);
  if (stage == FailureStage::kNotSent) {
    --possible_executions_;
  } else {
    execution_state_ = ExecutionState::kUnknown;
  }
  EndAttempt(AttemptOutcome::kBroken);
  if (keyed_ && stage == FailureStage::kNotSent)
    retry_not_before_ = BootNow() + waits_.target_retry_interval;
  RetryOrRefuse(stage == FailureStage::kAnswerCut
                    ? "answer-cut: " + error_text
                    : "target-broke: " + error_text);
}

void Exchange::OnCallerGone() {
  if (ended_)
    return;
  if (attempt_) {
    const auto connection = attempt_->connection;
    EndAttempt(AttemptOutcome::kAbandoned);
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
    client->load().OnDone(now, outcome, latency, attempt_->queueing_factor);
  if (outcome == AttemptOutcome::kAnswered) {
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
  if (now >= deadline_) {
    bool streaming = false;
    if (attempt_) {
      execution_state_ = ExecutionState::kUnknown;
      streaming = attempt_->streaming;
      const auto connection = attempt_->connection;
      EndAttempt(AttemptOutcome::kTimedOut);
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
  if (attempt_ && !attempt_->streaming && now >= attempt_->timeout_at)
    RetryOnOtherTarget(now);
}

// An attempt in progress is cancelled only if another one can be sent now. A
// process that is shutting down does not cancel it but lets it complete.
void Exchange::RetryOnOtherTarget(Instant now) {
  if (!MayRetry() || traffic_.shutdown_deadline_ ||
      TimeLeft(now) <= traffic_.MeanLatency(service_))
    return;
  tried_targets_.insert(attempt_->target.id);
  TargetClient* other = ChooseTarget();
  if (!other || !traffic_.RetryBudgetFor(service_).TryRetry(
                    now, traffic_.targets_.RouterCount()))
    return;
  execution_state_ = ExecutionState::kUnknown;
  const auto connection = attempt_->connection;
  EndAttempt(AttemptOutcome::kTimedOut);
  connection->Cancel();
  Send(other);
}

void Exchange::Refuse(const std::string& reason) {
  const int status = LocalResponseStatus(execution_state_, false);
  if (reason != "no-target-free")
    return FinishWithLocalResponse(status, reason, waits_.retry_after);
  const Instant now = BootNow();
  Duration wait = keyed_ ? waits_.retry_after_moving : waits_.retry_after;
  if (last_choice_.available_at)
    wait = std::max(wait, *last_choice_.available_at - now);
  FinishWithLocalResponse(
      status,
      reason + ": " +
          traffic_.targets_.Explain(now, MakeTargetQuery(), last_choice_),
      wait);
}

void Exchange::FinishWithLocalResponse(int status,
                                       const std::string& reason,
                                       std::optional<Duration> retry_after) {
  if (ended_)
    return;
  if (fallback_response_) {
    const ResponseWriter caller = caller_;
    HttpResponse response = std::move(*fallback_response_);
    Finish("answered", static_cast<int>(response.result_int()), reason);
    return caller.Reply(std::move(response));
  }
  HttpResponse response;
  response.result(static_cast<unsigned>(status));
  response.version(11);
  if (!id_.empty())
    response.set(platform::kRequestIdHeader, id_);
  if (status == kUnavailable && retry_after) {
    const Duration max_wait = Scaled(TimeLeft(BootNow()), kRetryAfterShare);
    const Duration wait =
        std::max(Duration{0}, std::min(*retry_after, max_wait));
    response.set(
        http::field::retry_after,
        fmt::format("{:.3f}", static_cast<double>(wait.count()) / 1e6));
  }
  response.set("Figstall-Reason", reason.substr(0, reason.find(':')));
  const ResponseWriter caller = caller_;
  Finish(execution_state_ == ExecutionState::kNotRun ? "not-run" : "unknown",
         status, reason);
  caller.Reply(std::move(response));
}

void Exchange::Finish(const std::string& outcome,
                      int status,
                      const std::string& reason) {
  if (ended_)
    return;
  ended_ = true;
  waiting_ = false;
  caller_.SetCancelHandler(nullptr);
  const Duration latency = BootNow() - arrived_at_;
  const std::string labels =
      fmt::format("route=\"{}\",outcome=\"{}\",reason=\"{}\"",
                  route_ ? (route_->bulk         ? "bulk"
                            : route_->idempotent ? "safe"
                                                 : "once")
                         : "none",
                  outcome, reason.substr(0, reason.find(':')));
  ++traffic_.metrics_.Counter("figstall_requests_total", labels);
  traffic_.metrics_.Latency("figstall_request_seconds", "").Record(latency);
  const bool late = route_ && latency > route_->latency_objective;
  if (outcome != "answered" || status >= kFirstServerError || late ||
      sequence_number_ % kLogSampleInterval == 0) {
    traffic_.log_.Write(
        LogLevel::kInfo, "request",
        {{"id", id_},
         {"route", route_ ? std::string_view(route_->name) : ""},
         {"version", std::to_string(routes_ ? routes_->state().version : 0)},
         {"service", service_.value()},
         {"key", keyed_ ? std::to_string(key_) : ""},
         {"outcome", outcome},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"target", last_target_.value()},
         {"fence", std::to_string(last_fence_)},
         {"in_flight", std::to_string(in_flight_when_sent_)},
         {"sends", std::to_string(attempts_sent_)},
         {"view_age_ms",
          std::to_string(ToMillis(BootNow() - traffic_.view_.last_update_at))},
         {"left_ms", std::to_string(ToMillis(TimeLeft(BootNow())))},
         {"took_us", std::to_string(latency.count())}});
  }
  traffic_.RemoveExchange(this);
}

}  // namespace figstall
