// Implements emulated targets and the ledger of what was promised.
#include "emulated_target.h"

#include <fmt/format.h>

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
// A grant that arrives within this of the last holder's end is not counted as
// a second holder: clocks of the emulator's own are read twice.
constexpr Duration kClockSlack = std::chrono::milliseconds(2);

std::string Text(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

KeyRange RangeOf(const json& body) {
  return {body.at("from").get<ShardKey>(), body.at("target").get<ShardKey>()};
}

bool Overlap(const KeyRange& a, const KeyRange& b) {
  return a.first <= b.last && b.first <= a.last;
}

}  // namespace

void EmulatorChecker::OnRun(const std::string& request, bool idempotent) {
  RequestRecord& run = runs_[request];
  run.idempotent = idempotent;
  ++run.count;
  if (!idempotent && run.count > 1)
    violations_.push_back("ran twice: " + request);
  if (!idempotent && run.refused)
    violations_.push_back("ran after it was refused as not run: " + request);
}

void EmulatorChecker::OnRefused(const std::string& request, bool idempotent) {
  RequestRecord& run = runs_[request];
  run.refused = true;
  if (!idempotent && run.count > 0)
    violations_.push_back("refused as not run though it ran: " + request);
}

void EmulatorChecker::OnRangeGranted(const std::string& target,
                                     const KeyRange& range,
                                     Instant from,
                                     Instant until) {
  for (const auto& [other, holds] : range_leases_) {
    if (other == target)
      continue;
    for (const RangeLease& hold : holds) {
      if (Overlap(hold.range, range) && from + kClockSlack < hold.valid_until)
        violations_.push_back(
            fmt::format("two holders of keys {} to {}: {} and {}",
                        std::max(hold.range.first, range.first),
                        std::min(hold.range.last, range.last), other, target));
    }
  }
  std::vector<RangeLease>& own = range_leases_[target];
  std::erase_if(own, [&](const RangeLease& hold) {
    return hold.valid_until <= from ||
           (range.first <= hold.range.first && hold.range.last <= range.last);
  });
  own.push_back({range, until});
  std::string& last = last_holder_[range.first];
  if (!last.empty() && last != target)
    ++owner_changes_;
  last = target;
}

void EmulatorChecker::OnRelease(const std::string& target,
                                const KeyRange& range) {
  std::vector<RangeLease> left;
  for (const RangeLease& hold : range_leases_[target]) {
    if (!Overlap(hold.range, range)) {
      left.push_back(hold);
      continue;
    }
    if (hold.range.first < range.first)
      left.push_back(
          {{hold.range.first, static_cast<ShardKey>(range.first - 1)},
           hold.valid_until});
    if (hold.range.last > range.last)
      left.push_back({{static_cast<ShardKey>(range.last + 1), hold.range.last},
                      hold.valid_until});
  }
  range_leases_[target] = std::move(left);
}

void EmulatorChecker::OnWrongAnswer(const std::string& request,
                                    const std::string& what) {
  violations_.push_back("not the whole own answer: " + request + ": " + what);
}

struct EmulatedTarget::Work {
  explicit Work(Caller from) : caller(std::move(from)) {}

  Caller caller;
  HttpRequest request;
  std::string id;
  bool cancelled = false;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

EmulatedTarget::EmulatedTarget(boost::asio::io_context& io,
                               EmulatedTargetOptions options,
                               EmulatorChecker& ledger,
                               std::uint64_t seed)
    : io_(io), options_(std::move(options)), ledger_(ledger), random_(seed) {}

EmulatedTarget::~EmulatedTarget() = default;

void EmulatedTarget::Start() {
  ++incarnation_;
  id_ = fmt::format("{}-{}-{}", options_.service, options_.address.port,
                    incarnation_);
  born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  leaving_ = silent_ = false;
  abort_ratio_ = 0;
  highest_token_.assign(kKeySpaceSize, 0);
  held_until_.assign(kKeySpaceSize, {});
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

void EmulatedTarget::Crash() {
  acceptor_.reset();
  ledger_.OnGone(id_);
  for (const auto& work : in_flight_)
    work->timer->cancel();
  in_flight_.clear();
  queued_.clear();
  const auto callers = std::move(callers_);
  callers_.clear();
  for (const Connection& caller : callers)
    caller->Abort();
}

std::string EmulatedTarget::StoreEntry() const {
  return json{{"addr", options_.address.ToString()},
              {"born", born_ms_},
              {"info",
               {{"service", options_.service},
                {"version", "v1"},
                {"zone", options_.zone},
                {"slots", options_.slots}}},
              {"status",
               {{"state", leaving_ ? "draining" : "ready"},
                {"seq", 1},
                {"warmupLeftS", 0}}}}
      .dump();
}

void EmulatedTarget::Accept() {
  acceptor_->async_accept([this, incarnation = incarnation_](
                              error_code error,
                              boost::asio::ip::tcp::socket socket) {
    if (error || incarnation != incarnation_ || !acceptor_)
      return;
    CallerConnection::Handlers handlers;
    handlers.on_request = [this, incarnation](const Caller& caller,
                                              const CallerRequest& request) {
      if (incarnation == incarnation_)
        OnRequest(caller, request.message);
    };
    handlers.is_idempotent = [](const HttpRequest&) { return true; };
    handlers.on_closed = [this](const CallerConnection* closed) {
      std::erase_if(callers_, [closed](const Connection& each) {
        return each.get() == closed;
      });
    };
    handlers.stopping = [] { return false; };
    const auto caller = std::make_shared<CallerConnection>(
        std::move(socket), CallerLimits{}, std::move(handlers));
    callers_.insert(caller);
    caller->Start();
    Accept();
  });
}

void EmulatedTarget::Reply(const Caller& caller,
                           int status,
                           bool not_run,
                           const std::string& request_id) {
  HttpResponse answer;
  answer.result(static_cast<unsigned>(status));
  answer.version(11);
  answer.set(platform::kTargetIdHeader, id_);
  if (!request_id.empty())
    answer.set(platform::kRequestIdHeader, request_id);
  if (not_run)
    answer.set(platform::kNotRunHeader, "1");
  caller.Reply(std::move(answer));
}

void EmulatedTarget::OnRequest(const Caller& caller,
                               const HttpRequest& request) {
  if (silent_)
    return;
  const std::string path = Text(request.target());
  const std::string expected = Text(request[platform::kExpectedTargetHeader]);
  const std::string id = Text(request[platform::kRequestIdHeader]);
  if (!expected.empty() && expected != id_)
    return Reply(caller, kMisdirected, true, id);
  if (path == "/grant")
    return OnGrant(caller, request);
  if (path == "/release")
    return OnRelease(caller, request);
  if (path == "/healthz")
    return Reply(caller, leaving_ ? kUnavailable : 200, false, "");
  if (options_.keyed) {
    const std::string key = Text(request[platform::kShardKeyHeader]);
    if (key.empty() || !Holds(static_cast<ShardKey>(std::stoul(key))))
      return Reply(caller, kMisdirected, true, id);
  }
  Enqueue(caller, request);
}

bool EmulatedTarget::Holds(ShardKey key) const {
  return BootNow() < held_until_[key];
}

void EmulatedTarget::OnGrant(const Caller& caller, const HttpRequest& request) {
  const json body = json::parse(request.body(), nullptr, false);
  if (!body.is_object() || !body.contains("fence"))
    return Reply(caller, kBadRequest, false, "");
  const KeyRange range = RangeOf(body);
  const std::uint64_t fence = body.at("fence");
  for (std::uint32_t key = range.first; key <= range.last; ++key) {
    if (highest_token_[key] > fence)
      return Reply(caller, kConflict, false, "");
  }
  const Instant now = BootNow();
  const Instant until = now + Duration(static_cast<Duration::rep>(
                                  body.at("holdS").get<double>() * 1e6));
  for (std::uint32_t key = range.first; key <= range.last; ++key) {
    highest_token_[key] = fence;
    held_until_[key] = until;
  }
  ledger_.OnRangeGranted(id_, range, now, until);
  Reply(caller, 200, false, "");
}

void EmulatedTarget::OnRelease(const Caller& caller,
                               const HttpRequest& request) {
  const json body = json::parse(request.body(), nullptr, false);
  if (!body.is_object() || !body.contains("fence"))
    return Reply(caller, kBadRequest, false, "");
  const KeyRange range = RangeOf(body);
  const std::uint64_t fence = body.at("fence");
  for (std::uint32_t key = range.first; key <= range.last; ++key) {
    highest_token_[key] = std::max(highest_token_[key], fence);
    held_until_[key] = {};
  }
  ledger_.OnRelease(id_, range);
  Reply(caller, 200, false, "");
}

void EmulatedTarget::Enqueue(const Caller& caller, const HttpRequest& request) {
  const auto work = std::make_shared<Work>(caller);
  work->request = request;
  work->id = Text(request[platform::kRequestIdHeader]);
  work->timer = std::make_unique<boost::asio::steady_timer>(io_);
  caller.SetCancelHandler([this, work, incarnation = incarnation_] {
    work->cancelled = true;
    if (incarnation != incarnation_ || in_flight_.erase(work) == 0)
      return;
    work->timer->cancel();
    StartNext();
  });
  if (in_flight_.size() < options_.slots)
    return StartWork(work);
  if (queued_.size() < options_.queue)
    return queued_.push_back(work);
  Reply(caller, kUnavailable, true, work->id);
}

void EmulatedTarget::StartWork(const std::shared_ptr<Work>& work) {
  if (work->cancelled) {
    StartNext();
    return;
  }
  ++runs_;
  ledger_.OnRun(work->id, work->request.method() == http::verb::get);
  in_flight_.insert(work);
  const double factor = std::uniform_real_distribution<>(0.7, 1.4)(random_);
  work->timer->expires_after(Duration(static_cast<Duration::rep>(
      static_cast<double>(options_.work.count()) * factor)));
  work->timer->async_wait(
      [this, work, incarnation = incarnation_](error_code error) {
        if (!error && incarnation == incarnation_)
          FinishWork(work);
      });
}

void EmulatedTarget::FinishWork(const std::shared_ptr<Work>& work) {
  in_flight_.erase(work);
  if (!work->cancelled) {
    const bool broken =
        std::uniform_real_distribution<>()(random_) < abort_ratio_;
    if (broken) {
      work->caller.Abort();
    } else {
      HttpResponse answer;
      answer.result(http::status::ok);
      answer.version(11);
      answer.set(platform::kRequestIdHeader, work->id);
      answer.set(platform::kProofHeader, id_);
      answer.set(http::field::keep_alive, "timeout=10");
      answer.body() = work->id + ":";
      answer.body().resize(options_.answer_bytes, 'x');
      work->caller.Reply(std::move(answer));
    }
  }
  StartNext();
}

void EmulatedTarget::StartNext() {
  if (queued_.empty())
    return;
  const auto next = queued_.front();
  queued_.pop_front();
  StartWork(next);
}

}  // namespace figstall::detail
