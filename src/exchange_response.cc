// Implements for Exchange what callers get: a target's response, whole or
// streamed, or a response of its own; and the end of a request.
#include <fmt/format.h>

#include <algorithm>

#include "figstall/exchange.h"
#include "hop_by_hop.h"
#include "platform/headers.h"
#include "platform/target_notice.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;

// A response body up to this size is buffered until it is complete, so that a
// truncated response can be replaced; a longer one is streamed.
constexpr std::size_t kMaxBufferedBytes = 262'144;
// Of the body of a response that says that the request was not run.
constexpr std::size_t kMaxDroppedBytes = 262'144;
// Reading from the target pauses while more bytes than this are unsent to the
// caller.
constexpr std::size_t kMaxUnsentBytes = 262'144;
// Callers retry after at most a third of their remaining time (source: the
// platform's protocol). Retry-After is limited to this fraction of it.
constexpr double kRetryAfterShare = 0.3;
// Retry-After of a request that no target in its allowed regions can serve.
// Only a later desired state or a move of its key changes that, and either
// takes about this long.
constexpr Duration kRetryAfterOutsideRegions = std::chrono::seconds(1);
// One in this many requests is logged even if it was answered in time and
// without a server error.
constexpr std::uint64_t kLogSampleInterval = 16;

}  // namespace

int LocalResponseStatus(ExecutionState state, bool deadline_passed) {
  if (state == ExecutionState::kNotRun)
    return kUnavailable;
  return deadline_passed ? kGatewayTimeout : kBadGateway;
}

BodyHandling BodyHandlingFor(const ResponseHead& head, std::size_t bytes) {
  // A caller may take the body of a 205, which has none, for the next response.
  if (head.count(platform::kNotRunHeader) > 0 ||
      head.result() == http::status::reset_content)
    return BodyHandling::kDrop;
  return bytes <= kMaxBufferedBytes ? BodyHandling::kBuffer
                                    : BodyHandling::kStream;
}

void Exchange::OnHead(const ResponseHead& head) {
  if (!attempt_)
    return;
  attempt_->head = head;
  attempt_->head_seen = true;
  attempt_->head_seen_at = BootNow();
  const TargetNotice notice =
      platform::DecodeTargetNotice(static_cast<int>(head.result_int()), head);
  traffic_.notices_.OnAnswer(BootNow(), attempt_->target, notice, "response");
  TargetClient* client = traffic_.targets_.Find(attempt_->target.id);
  if (notice.load)
    traffic_.priority_.OnLoadStated(service_);
  // A malformed statement, or an answer of a target that did not run the
  // request, does not end the earlier one.
  const bool says_load =
      notice.load || (notice.complete && notice.invalid_fields.empty());
  if (says_load && client && client == attempt_->client &&
      client->load().OnStated(BootNow(), notice.load))
    LogStatedLoad(notice.load);
}

void Exchange::LogStatedLoad(const std::optional<StatedLoad>& load) {
  const char* state = load ? "stated" : "not-stated";
  const StatedLoad value = load.value_or(StatedLoad{});
  traffic_.log_.Write(
      LogLevel::kInfo, "stated-load",
      {{"target", attempt_->target.id.value()},
       {"state", state},
       {"value", load ? fmt::format("{},{},{},{:.2f}", value.running,
                                    value.waiting, value.slots, value.slowness)
                      : ""},
       {"age_ms", "0"},
       {"source", "response"}});
  ++traffic_.metrics_.Counter("figstall_stated_load_changes_total",
                              fmt::format("state=\"{}\"", state));
}

ResponseHead Exchange::MakeCallerHead() const {
  ResponseHead head = attempt_->head;
  detail::EraseHopByHopFields(head);
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
  if (handling == BodyHandling::kDrop) {
    attempt.dropped_bytes += bytes.size();
    const auto connection = attempt.connection;
    if (attempt.dropped_bytes > kMaxDroppedBytes)
      connection->FailOverLimit({"discarded body", kMaxDroppedBytes});
    return;
  }
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

void Exchange::OnLimit(const ExceededLimit& limit) {
  if (!attempt_)
    return;
  traffic_.log_.Write(LogLevel::kWarning, "response-over-limit",
                      {{"id", id_},
                       {"target", attempt_->target.id.value()},
                       {"source", "response"},
                       {"place", limit.place},
                       {"limit", limit.bound()}});
  ++traffic_.metrics_.Counter("figstall_responses_over_limit_total",
                              fmt::format("place=\"{}\"", limit.place));
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
        TakeRetry(BootNow())) {
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
  const TargetClient* client = traffic_.targets_.Find(attempt_->target.id);
  if (RegionLink* link = route_->bulk && client
                             ? traffic_.targets_.LinkTo(client->entry().zone)
                             : nullptr)
    link->OnResponse(attempt_->streaming ? kMaxBufferedBytes
                                         : attempt_->body.size());
  if (attempt_->streaming) {
    caller_.SendBody({}, true);
  } else {
    caller_.Reply(BufferedResponse());
  }
  EndAttempt(status >= kFirstServerError ? AttemptOutcome::kFailed
                                         : AttemptOutcome::kAnswered);
  Finish("answered", status, "");
}

Duration Exchange::SpreadReturn(Instant now, Duration earliest) {
  if (!traffic_.priority_.Applies(service_))
    return earliest;
  return traffic_.priority_.ReturnAfter(
      now, service_, route_->priority, earliest,
      Scaled(TimeLeft(now), kRetryAfterShare), traffic_.DrawForChoice());
}

void Exchange::Refuse(const std::string& reason) {
  const int status = LocalResponseStatus(execution_state_, false);
  if (last_choice_.reason == Unavailability::kOutsideRegions &&
      execution_state_ == ExecutionState::kNotRun)
    return FinishWithLocalResponse(
        status,
        fmt::format("{}: {}", ToString(last_choice_.reason),
                    traffic_.targets_.Explain(BootNow(), MakeTargetQuery(),
                                              last_choice_)),
        kRetryAfterOutsideRegions);
  const Instant now = BootNow();
  if (reason != "no-target-free") {
    return FinishWithLocalResponse(status, reason,
                                   SpreadReturn(now, waits_.retry_after));
  }
  Duration wait = keyed_ ? waits_.retry_after_moving : waits_.retry_after;
  if (last_choice_.available_at)
    wait = std::max(wait, *last_choice_.available_at - now);
  FinishWithLocalResponse(
      status,
      reason + ": " +
          traffic_.targets_.Explain(now, MakeTargetQuery(), last_choice_),
      SpreadReturn(now, wait));
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
