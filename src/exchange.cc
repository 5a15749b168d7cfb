// Implements the life of one request.
#include "figstall/exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "platform/headers.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstFailure = 500;

// An answer up to this size is held until it is whole, so that one that breaks
// off can be replaced; a longer one is passed on as it comes.
constexpr std::size_t kMaxBufferedBytes = 262'144;
// A caller that has not taken this much pauses its target's answer.
constexpr std::size_t kMaxUnsentBytes = 262'144;
// Less than this part of the latency objective left is no honest offer.
constexpr double kLeastOffer = 0.1;
// Part of the time for which a leaving owner may get requests that this process
// uses: word of its leaving may have come late.
constexpr double kDrainShare = 0.5;
// An idempotent request gets another attempt after this multiple of the usual
// time, between these bounds.
constexpr double kTimeoutFactor = 3.0;
constexpr Duration kMinTimeout = std::chrono::milliseconds(150);
// A key has one owner, so another attempt only replaces a lost answer there.
constexpr double kKeyedTimeoutFactor = 4.0;
constexpr Duration kMinKeyedTimeout = std::chrono::milliseconds(350);
// Callers come back after at most a third of the time that they have left.
// Source: the platform's protocol.
constexpr double kRetryAfterShare = 0.3;
// What a caller is told while this process knows no desired state.
constexpr Duration kRetryAfterStart = std::chrono::milliseconds(300);
// One in so many answered requests is logged.
constexpr std::uint64_t kLogSample = 16;

// Fields that concern one connection only.
bool IsHopField(http::field field) {
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
void EraseHopFields(Message& message) {
  std::vector<std::string> named;
  for (const auto& token : http::token_list(message[http::field::connection]))
    named.emplace_back(token);
  for (const std::string& name : named)
    message.erase(name);
  for (auto field = message.begin(); field != message.end();) {
    if (IsHopField(field->name()))
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

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

int LocalResponseStatus(ExecutionState state, bool out_of_time) {
  if (state == ExecutionState::kNotRun)
    return kUnavailable;
  return out_of_time ? kGatewayTimeout : kBadGateway;
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
                   std::uint64_t number)
    : traffic_(traffic),
      caller_(std::move(caller)),
      request_(std::move(request.message)),
      number_(number),
      arrived_at_(request.arrived_at),
      id_(View(request_[platform::kRequestIdHeader])),
      routes_(traffic.view_.routes) {}

void Exchange::Start() {
  caller_.SetCancelHandler(
      [self = shared_from_this()] { self->OnCallerGone(); });
  deadline_ = arrived_at_ + std::chrono::seconds(1);
  if (!routes_)
    return FinishWithLocalResponse(kUnavailable, "no-desired-state",
                                   kRetryAfterStart);
  route_ =
      routes_->Find(View(request_[http::field::host]), View(request_.target()));
  if (!route_)
    return FinishWithLocalResponse(kNotFound, "no-route", std::nullopt);
  Duration limit = route_->request_timeout;
  const auto left =
      ParseNumber<std::int64_t>(View(request_[platform::kTimeLeftHeader]));
  if (left)
    limit = std::min<Duration>(limit, std::chrono::milliseconds(*left));
  deadline_ = arrived_at_ + limit;
  if (traffic_.shutdown_deadline_ && deadline_ > *traffic_.shutdown_deadline_)
    return FinishWithLocalResponse(kUnavailable, "stopping", Duration{0});
  service_ = traffic_.spreads_[route_->name].Next(route_->services);
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
  traffic_.BudgetOf(service_).OnRequest(arrived_at_);
  waits_ = ComputeRequestWaits(route_->latency_objective,
                               traffic_.MeanLatency(service_), keyed_);
  if (keyed_ && !traffic_.Admits(service_, key_))
    return FinishWithLocalResponse(kUnavailable, "hot-key",
                                   waits_.retry_after_moving);
  if (!TrySend())
    GoWaiting();
}

const RangeEntry* Exchange::OwnerEntry() const {
  const auto table = traffic_.view_.tables.find(service_);
  const RangeEntry* entry =
      table == traffic_.view_.tables.end() ? nullptr : table->second.Find(key_);
  return entry && entry->phase == RangePhase::kSettled ? entry : nullptr;
}

TargetClient* Exchange::Choose() const {
  if (!keyed_)
    return traffic_.PickShared(service_, *route_, tried_);
  const RangeEntry* entry = OwnerEntry();
  if (!entry)
    return nullptr;
  TargetClient* link = traffic_.FindTarget(entry->owner.id);
  if (!link)
    return nullptr;
  // A move off a leaving owner may take long; the owner's time does not.
  if (link->leaving_since() &&
      BootNow() - *link->leaving_since() >
          Scaled(traffic_.settings_.drain_duration, kDrainShare))
    return nullptr;
  return link->load().HasSpareCapacity(
             BootNow(), link->entry().slots,
             traffic_.SharingRouters(link->entry(), true))
             ? link
             : nullptr;
}

std::string Exchange::Explain() const {
  if (!keyed_) {
    return fmt::format("no room at any target of {}, {} tried",
                       service_.value(), tried_.size());
  }
  const auto table = traffic_.view_.tables.find(service_);
  const RangeEntry* entry =
      table == traffic_.view_.tables.end() ? nullptr : table->second.Find(key_);
  if (!entry)
    return "key has no owner yet";
  if (entry->phase != RangePhase::kSettled)
    return fmt::format("key is moving off {} under token {}",
                       entry->owner.id.value(), entry->fence);
  const TargetClient* link = traffic_.FindTarget(entry->owner.id);
  if (!link)
    return fmt::format("owner {} left the directory", entry->owner.id.value());
  if (link->leaving_since())
    return fmt::format("owner {} leaves, token {}", entry->owner.id.value(),
                       entry->fence);
  return fmt::format("owner {} has {} of this router's requests, token {}",
                     entry->owner.id.value(), link->load().in_flight(),
                     entry->fence);
}

bool Exchange::MayWait(Instant now) const {
  if (now >= deadline_)
    return false;
  const Duration waited = now - arrived_at_;
  return waited < waits_.capacity_wait_timeout ||
         (keyed_ && waited < waits_.owner_wait_timeout && !OwnerEntry());
}

bool Exchange::TrySend() {
  if (ended_)
    return true;
  if (retry_not_before_ && BootNow() < *retry_not_before_)
    return false;
  TargetClient* link = Choose();
  if (!link)
    return false;
  waiting_ = false;
  Send(link);
  return true;
}

void Exchange::GoWaiting() {
  const Instant now = BootNow();
  if (!MayWait(now))
    return Refuse("no-target-free");
  waiting_ = true;
  traffic_.EnqueueWaiting(this);
}

std::shared_ptr<const HttpRequest> Exchange::Outgoing(
    const TargetClient& link) const {
  auto out = std::make_shared<HttpRequest>(request_);
  EraseHopFields(*out);
  out->version(11);
  out->set(platform::kTimeLeftHeader, std::to_string(std::max<std::int64_t>(
                                          1, Millis(TimeLeft(BootNow())))));
  out->set(platform::kExpectedTargetHeader,
           link.entry().incarnation.id.value());
  if (!out->body().empty() || request_.has_content_length() ||
      request_.chunked())
    out->content_length(out->body().size());
  return out;
}

void Exchange::Send(TargetClient* link) {
  const Instant now = BootNow();
  if (TimeLeft(now) < Scaled(route_->latency_objective, kLeastOffer))
    return Refuse("no-time-left");
  ++attempts_sent_;
  ++possible_executions_;
  attempt_.emplace();
  Attempt& attempt = *attempt_;
  attempt.link = link;
  attempt.target = link->entry().incarnation.id;
  last_target_ = attempt.target;
  in_flight_when_sent_ = link->load().in_flight();
  if (keyed_) {
    const RangeEntry* entry = traffic_.view_.tables.at(service_).Find(key_);
    last_fence_ = entry ? entry->fence : 0;
  }
  attempt.sent_at = now;
  attempt.connection = link->Acquire(now);
  attempt.reused = attempt.connection->used();
  const Duration usual = std::max(link->load().latency().value_or(Duration{0}),
                                  traffic_.MeanLatency(service_));
  attempt.timeout_at =
      now +
      (keyed_ ? std::max(kMinKeyedTimeout, Scaled(usual, kKeyedTimeoutFactor))
              : std::max(kMinTimeout, Scaled(usual, kTimeoutFactor)));
  attempt.queueing_factor = link->load().QueueingFactor(
      now, link->entry().slots, traffic_.SharingRouters(link->entry(), keyed_));
  link->load().OnSent(now);
  const auto self = shared_from_this();
  ResponseObserver observer;
  // A refusal without an id belongs to this request only where no other was
  // sent before; a late one would call a request that runs not run.
  observer.on_head = [self, first = !attempt.reused](const ResponseHead& head) {
    const std::string_view echoed = View(head[platform::kRequestIdHeader]);
    const bool refused = head.count(platform::kNotRunHeader) > 0;
    if (echoed != self->id_ && !(echoed.empty() && refused && first))
      return false;
    self->OnHead(head);
    return true;
  };
  observer.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  observer.on_end = [self] { self->OnEnd(); };
  observer.on_error = [self](FailureStage point, const std::string& why) {
    self->OnAttemptError(point, why);
  };
  attempt.connection->Send(Outgoing(*link), std::move(observer));
}

void Exchange::OnHead(const ResponseHead& head) {
  if (!attempt_)
    return;
  attempt_->head = head;
  attempt_->head_seen = true;
}

ResponseHead Exchange::CallerHead() const {
  ResponseHead head = attempt_->head;
  EraseHopFields(head);
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
  const BodyHandling rule =
      BodyHandlingFor(attempt.head, attempt.body.size() + bytes.size());
  if (rule == BodyHandling::kDrop)
    return;
  attempt.body += bytes;
  if (rule == BodyHandling::kBuffer)
    return;
  attempt.streaming = true;
  const std::weak_ptr<TargetConnection> connection = attempt.connection;
  caller_.BeginResponse(CallerHead(), [connection] {
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
  const bool failed = status >= kFirstFailure;
  if (failed && !attempt_->streaming && MayRetry()) {
    tried_.insert(attempt_->target);
    TargetClient* other = Choose();
    if (other && TimeLeft(BootNow()) > traffic_.MeanLatency(service_) &&
        traffic_.BudgetOf(service_).TryRetry(BootNow(), traffic_.Routers())) {
      fallback_response_ = WholeAnswer();
      run_ = ExecutionState::kUnknown;
      EndAttempt(AttemptOutcome::kFailed);
      return Send(other);
    }
  }
  Forward();
}

HttpResponse Exchange::WholeAnswer() {
  HttpResponse answer;
  answer.base() = CallerHead();
  answer.version(11);
  answer.body() = std::move(attempt_->body);
  if (request_.method() != http::verb::head)
    answer.erase(http::field::content_length);
  return answer;
}

void Exchange::Forward() {
  const int status = static_cast<int>(attempt_->head.result_int());
  if (attempt_->streaming) {
    caller_.SendBody({}, true);
  } else {
    caller_.Reply(WholeAnswer());
  }
  EndAttempt(status >= kFirstFailure ? AttemptOutcome::kFailed
                                     : AttemptOutcome::kAnswered);
  Finish("answered", status, "");
}

void Exchange::OnRejected(int status) {
  --possible_executions_;
  const bool misdirected = status == kMisdirected;
  if (!keyed_)
    tried_.insert(attempt_->target);
  EndAttempt(misdirected && !keyed_ ? AttemptOutcome::kBroken
                                    : AttemptOutcome::kRefused);
  if (keyed_)
    retry_not_before_ = BootNow() + waits_.target_retry_interval;
  if (!traffic_.BudgetOf(service_).TryRetry(BootNow(), traffic_.Routers()))
    return Refuse("rejected-by-target");
  if (!TrySend())
    GoWaiting();
}

bool Exchange::MayRetry() const {
  return route_->idempotent && possible_executions_ < route_->attempts;
}

void Exchange::RetryOr(const std::string& reason) {
  if ((run_ == ExecutionState::kNotRun || MayRetry()) &&
      BootNow() < deadline_ &&
      traffic_.BudgetOf(service_).TryRetry(BootNow(), traffic_.Routers())) {
    if (!TrySend())
      GoWaiting();
    return;
  }
  Refuse(reason);
}

void Exchange::OnAttemptError(FailureStage point, const std::string& why) {
  if (!attempt_)
    return;
  if (attempt_->streaming) {
    EndAttempt(AttemptOutcome::kBroken);
    caller_.Truncate();
    return Finish("cut", 0, why);
  }
  if (!keyed_)
    tried_.insert(attempt_->target);
  if (point == FailureStage::kNotSent) {
    --possible_executions_;
  } else {
    run_ = ExecutionState::kUnknown;
  }
  EndAttempt(AttemptOutcome::kBroken);
  if (keyed_ && point == FailureStage::kNotSent)
    retry_not_before_ = BootNow() + waits_.target_retry_interval;
  RetryOr(point == FailureStage::kAnswerCut ? "answer-cut: " + why
                                            : "target-broke: " + why);
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

void Exchange::EndAttempt(AttemptOutcome kind) {
  const Instant now = BootNow();
  const Duration latency = now - attempt_->sent_at;
  // The link may have been dropped meanwhile.
  TargetClient* link = traffic_.FindTarget(attempt_->target);
  if (link && link == attempt_->link)
    link->load().OnDone(now, kind, latency, attempt_->queueing_factor);
  if (kind == AttemptOutcome::kAnswered) {
    double& mean_latency = traffic_.mean_latency_us_[service_];
    constexpr double kWeight = 0.03;
    const auto sample = static_cast<double>(latency.count());
    mean_latency = mean_latency == 0
                       ? sample
                       : mean_latency + kWeight * (sample - mean_latency);
  }
  if (kind != AttemptOutcome::kAnswered && kind != AttemptOutcome::kAbandoned) {
    static constexpr const char* kNames[] = {
        "answered", "failed", "refused", "broken", "timed-out", "abandoned"};
    traffic_.log_.Write(
        LogLevel::kInfo, "attempt-failed",
        {{"id", id_},
         {"target", attempt_->target.value()},
         {"how", kNames[static_cast<int>(kind)]},
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
      run_ = ExecutionState::kUnknown;
      streaming = attempt_->streaming;
      const auto connection = attempt_->connection;
      EndAttempt(AttemptOutcome::kTimedOut);
      connection->Cancel();
    }
    if (streaming) {
      caller_.Truncate();
      return Finish("cut", 0, "out-of-time");
    }
    return FinishWithLocalResponse(LocalResponseStatus(run_, true),
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

// A target at work is given up only for another attempt that can be sent now,
// and not by a stopping process, which ends what it has begun.
void Exchange::RetryOnOtherTarget(Instant now) {
  if (!MayRetry() || traffic_.shutdown_deadline_ ||
      TimeLeft(now) <= traffic_.MeanLatency(service_))
    return;
  tried_.insert(attempt_->target);
  TargetClient* other = Choose();
  if (!other || !traffic_.BudgetOf(service_).TryRetry(now, traffic_.Routers()))
    return;
  run_ = ExecutionState::kUnknown;
  const auto connection = attempt_->connection;
  EndAttempt(AttemptOutcome::kTimedOut);
  connection->Cancel();
  Send(other);
}

void Exchange::Refuse(const std::string& reason) {
  const Duration wait = reason == "no-target-free" && keyed_
                            ? waits_.retry_after_moving
                            : waits_.retry_after;
  if (reason == "no-target-free")
    return FinishWithLocalResponse(LocalResponseStatus(run_, false),
                                   reason + ": " + Explain(), wait);
  FinishWithLocalResponse(LocalResponseStatus(run_, false), reason, wait);
}

void Exchange::FinishWithLocalResponse(int status,
                                       const std::string& reason,
                                       std::optional<Duration> retry_after) {
  if (ended_)
    return;
  if (fallback_response_) {
    const ResponseWriter caller = caller_;
    HttpResponse answer = std::move(*fallback_response_);
    Finish("answered", static_cast<int>(answer.result_int()), reason);
    return caller.Reply(std::move(answer));
  }
  HttpResponse answer;
  answer.result(static_cast<unsigned>(status));
  answer.version(11);
  if (!id_.empty())
    answer.set(platform::kRequestIdHeader, id_);
  if (status == kUnavailable && retry_after) {
    const Duration longest = Scaled(TimeLeft(BootNow()), kRetryAfterShare);
    const Duration wait =
        std::max(Duration{0}, std::min(*retry_after, longest));
    answer.set(http::field::retry_after,
               fmt::format("{:.3f}", static_cast<double>(wait.count()) / 1e6));
  }
  answer.set("Figstall-Reason", reason.substr(0, reason.find(':')));
  const ResponseWriter caller = caller_;
  Finish(run_ == ExecutionState::kNotRun ? "not-run" : "unknown", status,
         reason);
  caller.Reply(std::move(answer));
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
  if (outcome != "answered" || status >= kFirstFailure || late ||
      number_ % kLogSample == 0) {
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
          std::to_string(Millis(BootNow() - traffic_.view_.last_update_at))},
         {"left_ms", std::to_string(Millis(TimeLeft(BootNow())))},
         {"took_us", std::to_string(latency.count())}});
  }
  traffic_.RemoveExchange(this);
}

}  // namespace figstall
