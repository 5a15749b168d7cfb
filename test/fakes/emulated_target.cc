// Request handling of the emulated targets, and the checker that records what
// they ran and which key ranges they held.
#include "emulated_target.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "platform/headers.h"

namespace figstall::detail {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;
// A grant that begins less than this before another target's lease ends does
// not count as a second holder, because the emulator reads its clock separately
// for the two instants.
constexpr Duration kClockSlack = std::chrono::milliseconds(2);

// A response of which an entry has received no more than this is replaced if it
// breaks off. Source: docs/DESIGN.md.
constexpr std::size_t kMaxReplaceableBytes = 262'144;

std::string ToString(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

KeyRange ParseKeyRange(const json& body) {
  return {body.at("from").get<ShardKey>(), body.at("target").get<ShardKey>()};
}

// The key that a request names; empty if it names none.
std::optional<ShardKey> KeyOf(const HttpRequest& request) {
  const std::string key = ToString(request[platform::kShardKeyHeader]);
  if (key.empty())
    return std::nullopt;
  return static_cast<ShardKey>(std::stoul(key));
}

bool Overlaps(const KeyRange& a, const KeyRange& b) {
  return a.first <= b.last && b.first <= a.last;
}

}  // namespace

void EmulatorChecker::OnRun(const std::string& request_id, bool idempotent) {
  RequestRecord& record = request_records_[request_id];
  record.idempotent = idempotent;
  ++record.count;
  if (!idempotent && record.count > 1)
    violations_.push_back("request that is not idempotent ran twice: " +
                          request_id);
  if (!idempotent && record.refused)
    violations_.push_back("request ran after it was refused as not run: " +
                          request_id);
}

void EmulatorChecker::OnRefused(const std::string& request_id,
                                bool idempotent) {
  RequestRecord& record = request_records_[request_id];
  record.refused = true;
  if (!idempotent && record.count > 0)
    violations_.push_back(
        "request was refused as not run although it had run: " + request_id);
}

void EmulatorChecker::OnRangeGranted(const std::string& target,
                                     const KeyRange& range,
                                     std::uint64_t token,
                                     Instant from,
                                     Instant until) {
  std::set<std::string> outranked_by;
  for (std::uint32_t key = range.first; key <= range.last; ++key) {
    NewestGrant& newest = newest_grants_[key];
    if (newest.target != target && token <= newest.token)
      outranked_by.insert(newest.target);
    else if (token > newest.token)
      newest = {token, target};
  }
  for (const std::string& other : outranked_by)
    violations_.push_back(fmt::format(
        "{} was granted keys {} to {} under token {}, which is not above that "
        "of {}",
        target, range.first, range.last, token, other));
  for (const auto& [other, leases] : range_leases_) {
    if (other == target)
      continue;
    for (const RangeLease& lease : leases) {
      if (Overlaps(lease.range, range) &&
          from + kClockSlack < lease.valid_until)
        violations_.push_back(
            fmt::format("two holders of keys {} to {}: {} and {}",
                        std::max(lease.range.first, range.first),
                        std::min(lease.range.last, range.last), other, target));
    }
  }
  std::vector<RangeLease>& own = range_leases_[target];
  std::erase_if(own, [&](const RangeLease& lease) {
    return lease.valid_until <= from ||
           (range.first <= lease.range.first && lease.range.last <= range.last);
  });
  own.push_back({range, from, until});
  std::string& last = last_holder_by_first_key_[range.first];
  if (!last.empty() && last != target)
    ++owner_changes_;
  last = target;
}

void EmulatorChecker::OnReleased(const std::string& target,
                                 const KeyRange& range,
                                 Instant requested_at) {
  std::vector<RangeLease> remaining;
  for (const RangeLease& lease : range_leases_[target]) {
    if (!Overlaps(lease.range, range) || lease.granted_at > requested_at) {
      remaining.push_back(lease);
      continue;
    }
    if (lease.range.first < range.first)
      remaining.push_back(
          {{lease.range.first, static_cast<ShardKey>(range.first - 1)},
           lease.granted_at,
           lease.valid_until});
    if (lease.range.last > range.last)
      remaining.push_back(
          {{static_cast<ShardKey>(range.last + 1), lease.range.last},
           lease.granted_at,
           lease.valid_until});
  }
  range_leases_[target] = std::move(remaining);
}

void EmulatorChecker::OnWrongResponse(const std::string& request_id,
                                      const std::string& problem) {
  violations_.push_back("wrong response to request " + request_id + ": " +
                        problem);
}

void EmulatorChecker::OnCut(const std::string& request_id,
                            bool excused_if_not_run) {
  const auto found = request_records_.find(request_id);
  const bool ran = found != request_records_.end() && found->second.count > 0;
  if (ran ? found->second.broken_off : excused_if_not_run)
    return;
  violations_.push_back(fmt::format(
      "request {} and its connection was closed without an answer: {}",
      ran ? "ran" : "was sent", request_id));
}

struct EmulatedTarget::Work {
  explicit Work(Caller from) : caller(std::move(from)) {}

  Caller caller;
  HttpRequest request;
  std::string id;
  std::optional<ShardKey> key;
  bool cancelled = false;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

struct EmulatedTarget::HeldRequest {
  Caller caller;
  HttpRequest message;
  bool cancelled = false;
};

struct EmulatedTarget::PendingRelease {
  Caller caller;
  KeyRange range;
  Instant requested_at;
};

EmulatedTarget::EmulatedTarget(boost::asio::io_context& io,
                               EmulatedTargetOptions options,
                               EmulatorChecker& checker,
                               NoticeChecker& notice_checker,
                               std::uint64_t seed)
    : io_(io),
      options_(std::move(options)),
      checker_(checker),
      notice_checker_(notice_checker),
      random_(seed) {}

EmulatedTarget::~EmulatedTarget() = default;

void EmulatedTarget::Start(bool keep_id) {
  if (acceptor_)
    Crash();
  ++incarnation_;
  if (!keep_id)
    id_ = fmt::format("{}-{}-{}", options_.service, options_.address.port,
                      incarnation_);
  notice_checker_.OnTargetStarted(id_);
  started_at_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  draining_ = silent_ = stopped_ = says_invalid_ = ignores_releases_ = false;
  spoils_handovers_ = false;
  abort_ratio_ = 0;
  said_ = {};
  rejects_for_.reset();
  warm_up_until_ = {};
  if (incarnation_ > 1)
    WarmUp();
  highest_token_.assign(kKeySpaceSize, 0);
  held_until_.assign(kKeySpaceSize, {});
  if (options_.external)
    return;
  acceptor_ = std::make_unique<boost::asio::ip::tcp::acceptor>(io_);
  const boost::asio::ip::tcp::endpoint endpoint(
      boost::asio::ip::make_address(options_.address.address),
      options_.address.port);
  acceptor_->open(endpoint.protocol());
  acceptor_->set_option(boost::asio::socket_base::reuse_address(true));
  acceptor_->bind(endpoint);
  acceptor_->listen();
  Accept();
}

void EmulatedTarget::WarmUp() {
  if (options_.warm_up_time == Duration{0})
    return;
  warm_up_until_ = BootNow() + options_.warm_up_time;
  notice_checker_.OnWarmUp(id_, warm_up_until_, options_.max_warm_up_requests);
}

void EmulatedTarget::Crash() {
  acceptor_.reset();
  queue_fillers_.clear();
  checker_.OnTargetCrash(id_);
  for (const auto& work : in_flight_)
    work->timer->cancel();
  in_flight_.clear();
  queued_.clear();
  pending_releases_.clear();
  held_requests_.clear();
  const auto connections = std::move(connections_);
  connections_.clear();
  for (const Connection& connection : connections)
    connection->Abort();
}

std::string EmulatedTarget::StoreEntry() const {
  return json{
      {"addr", options_.address.ToString()},
      {"born", started_at_ms_},
      {"info",
       {{"service", options_.service},
        {"version", "v1"},
        {"zone", options_.zone},
        {"slots", options_.slots}}},
      {"status",
       {{"state", draining_ ? "draining" : "ready"},
        {"seq", draining_ ? 2 : 1},
        {"warmupLeftS", static_cast<double>(ToMillis(WarmUpLeft())) / 1e3}}}}
      .dump();
}

void EmulatedTarget::Accept() {
  acceptor_->async_accept([this, incarnation = incarnation_](
                              error_code error,
                              boost::asio::ip::tcp::socket socket) {
    if (error || incarnation != incarnation_ || !acceptor_)
      return;
    if (options_.responds_early) {
      RespondEarly(std::move(socket), [this](const HttpFields& head) {
        return RespondToHead(head);
      });
      return Accept();
    }
    CallerConnection::Handlers handlers;
    handlers.on_request = [this, incarnation](const Caller& caller,
                                              const CallerRequest& request) {
      if (incarnation == incarnation_)
        OnRequest(caller, request.message);
    };
    handlers.is_idempotent = [](const HttpRequest&) { return true; };
    handlers.on_closed = [this](const CallerConnection* closed) {
      std::erase_if(connections_, [closed](const Connection& connection) {
        return connection.get() == closed;
      });
    };
    handlers.stopping = [] { return false; };
    const auto connection = std::make_shared<CallerConnection>(
        std::move(socket), std::make_shared<const CallerLimitsHistory>(),
        std::move(handlers));
    connections_.insert(connection);
    connection->Start();
    if (queue_fillers_.empty())
      Accept();
  });
}

void EmulatedTarget::SendResponse(const Caller& caller,
                                  int status,
                                  bool not_run,
                                  const std::string& request_id,
                                  const std::string& handover) {
  HttpResponse response;
  response.result(static_cast<unsigned>(status));
  response.version(11);
  response.set(platform::kTargetIdHeader, id_);
  if (!request_id.empty())
    response.set(platform::kRequestIdHeader, request_id);
  if (not_run)
    response.set(platform::kNotRunHeader, "1");
  if (!handover.empty())
    response.set(platform::kHandoverHeader, handover);
  AddNotices(response, request_id);
  caller.Reply(std::move(response));
}

void EmulatedTarget::AddNotices(HttpResponse& response,
                                const std::string& request_id) {
  SaidNotices said = said_;
  if (said.leaving)
    response.set(platform::kLeavingHeader, "1");
  if (said.limit)
    response.set(platform::kRateLimitHeader, fmt::format("{}", *said.limit));
  if (WarmUpLeft() > Duration{0})
    response.set(platform::kWarmUpHeader,
                 std::to_string(ToMillis(WarmUpLeft())));
  if (response.result_int() == kUnavailable && rejects_for_) {
    said.retry_after = rejects_for_;
    response.set(
        platform::kRetryAfterHeader,
        fmt::format("{}",
                    std::chrono::duration<double>(*rejects_for_).count()));
  }
  if (says_invalid_) {
    static constexpr const char* kInvalid[] = {"-1", "inf", "many", "", "1e9"};
    const char* value = kInvalid[random_() % std::size(kInvalid)];
    response.set(platform::kLeavingHeader, value);
    response.insert(platform::kRateLimitHeader, "0.1");
    response.insert(platform::kRateLimitHeader, value);
    response.set(platform::kRetryAfterHeader, value);
    // What the target said before in the same fields is not sent.
    said = {};
  }
  // The request may have reached another target, which says nothing about this
  // one.
  if (response.result_int() != kMisdirected)
    notice_checker_.OnAnswered(id_, request_id, said, BootNow());
}

void EmulatedTarget::SetAcceptsLate(bool late) {
  if (!acceptor_ || late == !queue_fillers_.empty())
    return;
  if (!late) {
    queue_fillers_.clear();
    acceptor_->listen();
    return Accept();
  }
  acceptor_->cancel();
  acceptor_->listen(0);
  // A queue of length 0 takes one connection.
  constexpr int kFillers = 3;
  for (int i = 0; i < kFillers; ++i)
    queue_fillers_.emplace_back(io_).async_connect(acceptor_->local_endpoint(),
                                                   [](error_code) {});
}

void EmulatedTarget::SetStopped(bool stopped) {
  stopped_ = stopped;
  if (stopped_)
    return;
  auto held = std::move(held_requests_);
  held_requests_.clear();
  std::shuffle(held.begin(), held.end(), random_);
  for (const auto& request : held) {
    const auto path = request->message.target();
    if (!request->cancelled || path == "/grant" || path == "/release")
      OnRequest(request->caller, request->message);
  }
}

void EmulatedTarget::Hold(const Caller& caller, const HttpRequest& request) {
  const auto held = std::make_shared<HeldRequest>(HeldRequest{caller, request});
  held_requests_.push_back(held);
  caller.SetCancelHandler([weak = std::weak_ptr(held)] {
    if (const auto cancelled = weak.lock())
      cancelled->cancelled = true;
  });
}

void EmulatedTarget::OnRequest(const Caller& caller,
                               const HttpRequest& request) {
  if (stopped_)
    return Hold(caller, request);
  if (silent_)
    return;
  const std::string path = ToString(request.target());
  const std::string expected =
      ToString(request[platform::kExpectedTargetHeader]);
  const std::string id = ToString(request[platform::kRequestIdHeader]);
  if (!expected.empty() && expected != id_)
    return SendResponse(caller, kMisdirected, true, id);
  if (path == "/grant")
    return OnGrant(caller, request);
  if (path == "/release" && ignores_releases_)
    return;
  if (path == "/release")
    return OnRelease(caller, request);
  if (path == "/healthz")
    return SendResponse(caller, draining_ ? kUnavailable : 200, false, "");
  if (options_.keyed) {
    const auto key = KeyOf(request);
    if (!key || !HoldsKey(*key))
      return SendResponse(caller, kMisdirected, true, id);
  }
  notice_checker_.OnArrival(id_, options_.zone, id, BootNow());
  if (rejects_for_)
    return SendResponse(caller, kUnavailable, true, id);
  Enqueue(caller, request);
}

std::optional<EarlyResponse> EmulatedTarget::RespondToHead(
    const HttpFields& head) {
  const std::string id = ToString(head[platform::kRequestIdHeader]);
  const std::string expected = ToString(head[platform::kExpectedTargetHeader]);
  if (!running() || silent_ || (!expected.empty() && expected != id_))
    return std::nullopt;
  ++requests_run_;
  notice_checker_.OnArrival(id_, options_.zone, id, BootNow());
  checker_.OnRun(id, /*idempotent=*/false);
  EarlyResponse response;
  response.head = fmt::format(
      "HTTP/1.1 200 OK\r\nConnection: close\r\n{}: {}\r\n{}: {}\r\n\r\n",
      platform::kRequestIdHeader, id, platform::kProofHeader, id_);
  response.body = id + ":";
  response.body.resize(options_.response_bytes, 'x');
  response.aborted = std::uniform_real_distribution<>()(random_) < abort_ratio_;
  return response;
}

bool EmulatedTarget::HoldsKey(ShardKey key) const {
  return BootNow() < held_until_[key];
}

void EmulatedTarget::OnGrant(const Caller& caller, const HttpRequest& request) {
  const json body = json::parse(request.body(), nullptr, false);
  if (!body.is_object() || !body.contains("fence"))
    return SendResponse(caller, kBadRequest, false, "");
  const KeyRange range = ParseKeyRange(body);
  const std::uint64_t token = body.at("fence");
  for (std::uint32_t key = range.first; key <= range.last; ++key) {
    if (highest_token_[key] > token)
      return SendResponse(caller, kConflict, false, "");
  }
  const Instant now = BootNow();
  const Instant until = now + Duration(static_cast<Duration::rep>(
                                  body.at("holdS").get<double>() * 1e6));
  for (std::uint32_t key = range.first; key <= range.last; ++key) {
    highest_token_[key] = token;
    held_until_[key] = until;
  }
  checker_.OnRangeGranted(id_, range, token, now, until);
  SendResponse(caller, 200, false, "");
}

void EmulatedTarget::OnRelease(const Caller& caller,
                               const HttpRequest& request) {
  const json body = json::parse(request.body(), nullptr, false);
  if (!body.is_object() || !body.contains("fence"))
    return SendResponse(caller, kBadRequest, false, "");
  const KeyRange range = ParseKeyRange(body);
  const std::uint64_t token = body.at("fence");
  for (std::uint32_t key = range.first; key <= range.last; ++key) {
    highest_token_[key] = std::max(highest_token_[key], token);
    held_until_[key] = {};
  }
  pending_releases_.push_back({caller, range, BootNow()});
  AnswerReleases();
}

void EmulatedTarget::AnswerReleases() {
  std::vector<PendingRelease> pending = std::move(pending_releases_);
  pending_releases_.clear();
  for (PendingRelease& release : pending) {
    const bool at_work = std::any_of(
        in_flight_.begin(), in_flight_.end(), [&](const auto& work) {
          return work->key && release.range.Contains(*work->key);
        });
    if (at_work) {
      pending_releases_.push_back(std::move(release));
      continue;
    }
    checker_.OnReleased(id_, release.range, release.requested_at);
    SendResponse(release.caller, 200, false, "", MakeHandover());
  }
}

std::string EmulatedTarget::MakeHandover() {
  std::string sound = fmt::format("{:016x}", random_());
  if (!spoils_handovers_)
    return sound;
  const std::string spoiled[] = {
      sound.substr(1) + "\xe9", "],[" + sound, "]}", "\"" + sound, "\\",
      std::string(2'000, 'x'),  "\xed\xa0\x80"};
  return spoiled[random_() % std::size(spoiled)];
}

void EmulatedTarget::Enqueue(const Caller& caller, const HttpRequest& request) {
  const auto work = std::make_shared<Work>(caller);
  work->request = request;
  work->id = ToString(request[platform::kRequestIdHeader]);
  if (options_.keyed)
    work->key = KeyOf(request);
  work->timer = std::make_unique<boost::asio::steady_timer>(io_);
  caller.SetCancelHandler([this, work, incarnation = incarnation_] {
    work->cancelled = true;
    if (incarnation != incarnation_ || in_flight_.erase(work) == 0)
      return;
    work->timer->cancel();
    AnswerReleases();
    StartNext();
  });
  if (in_flight_.size() < options_.slots)
    return StartWork(work);
  if (queued_.size() < options_.queue_capacity)
    return queued_.push_back(work);
  SendResponse(caller, kUnavailable, true, work->id);
}

void EmulatedTarget::StartWork(const std::shared_ptr<Work>& work) {
  if (work->cancelled)
    return StartNext();
  if (work->key && !HoldsKey(*work->key)) {
    SendResponse(work->caller, kMisdirected, true, work->id);
    return StartNext();
  }
  ++requests_run_;
  checker_.OnRun(work->id, work->request.method() == http::verb::get);
  in_flight_.insert(work);
  const double factor = std::uniform_real_distribution<>(0.7, 1.4)(random_);
  work->timer->expires_after(Duration(static_cast<Duration::rep>(
      static_cast<double>(options_.nominal_work_time.count()) * factor)));
  work->timer->async_wait(
      [this, work, incarnation = incarnation_](error_code error) {
        if (!error && incarnation == incarnation_)
          FinishWork(work);
      });
}

void EmulatedTarget::FinishWork(const std::shared_ptr<Work>& work) {
  in_flight_.erase(work);
  AnswerReleases();
  if (!work->cancelled) {
    const bool aborted =
        std::uniform_real_distribution<>()(random_) < abort_ratio_;
    HttpResponse response;
    response.result(http::status::ok);
    response.version(11);
    response.set(platform::kRequestIdHeader, work->id);
    response.set(platform::kProofHeader, id_);
    response.set(http::field::keep_alive, "timeout=10");
    response.body() = work->id + ":";
    response.body().resize(options_.response_bytes, 'x');
    AddNotices(response, work->id);
    if (aborted)
      BreakOff(work->caller, std::move(response));
    else
      work->caller.Reply(std::move(response));
  }
  StartNext();
}

void EmulatedTarget::BreakOff(const Caller& caller, HttpResponse response) {
  if (std::bernoulli_distribution()(random_))
    return caller.Abort();
  const std::string body = std::move(response.body());
  const std::size_t sent = random_() % body.size();
  if (sent > kMaxReplaceableBytes)
    checker_.OnBrokenOff(ToString(response[platform::kRequestIdHeader]));
  response.content_length(body.size());
  caller.BeginResponse(std::move(response.base()), nullptr);
  caller.SendBody(std::string_view(body).substr(0, sent), false);
  caller.Truncate();
}

void EmulatedTarget::StartNext() {
  if (queued_.empty())
    return;
  const auto next = queued_.front();
  queued_.pop_front();
  StartWork(next);
}

}  // namespace figstall::detail
