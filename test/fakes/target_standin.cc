// A stand-in for a target. It serves requests for the partitions it holds,
// applies the leader's orders to its lease and grants, accepts cancellation,
// writes a journal of the requests it ran, and takes injected faults over HTTP.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "figstall/clock.h"
#include "figstall/holder_json.h"
#include "figstall/holder_lease.h"
#include "figstall/http_server.h"
#include "process.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr const char* kUsage = R"(target-standin: one server of a service.

Usage:
  target-standin --name=VM --listen=ADDRESS [--slots N] [--work-us N] [--unchecked] [--journal FILE]

Options:
  --slots N     Requests worked on at once [default: 4].
  --work-us N   Time that each request takes [default: 1000].
  --unchecked   Serves requests without checking the lease and fencing token.
  --journal FILE  Appends a JSON line for each request that ran, before it is
                  answered.

Faults: POST /standin/fault {"mode": "ok" | "silent" | "garbage" | "shed"}.
)";

FencingToken ParseFencingToken(const std::string& text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string::npos)
    return {};
  return {std::strtoull(text.c_str(), nullptr, 10),
          std::strtoull(text.c_str() + dot + 1, nullptr, 10)};
}

class TargetStandin {
 public:
  TargetStandin(const VmId& name,
                bool checks_lease,
                int slots,
                Duration work_time,
                const std::string& journal)
      : name_(name),
        checks_lease_(checks_lease),
        work_time_(work_time),
        free_slots_(slots),
        holder_lease_(
            name,
            detail::NewIncarnation(),
            [this](const PartitionKey& key) { return in_flight_[key] > 0; }) {
    if (!journal.empty())
      journal_.open(journal, std::ios::app);
  }

  ServerResponse HandleRequest(const ServerRequest& request) {
    if (request.path == "/figstall/live")
      return {200, "text/plain", {}, "live\n"};
    if (request.path == "/standin/fault")
      return SetFault(request);
    if (request.path == "/figstall/cancel")
      return Cancel(request);
    if (request.path == kOrderPath)
      return ApplyOrder(request);
    return Serve(request);
  }

 private:
  struct RequestRun {
    PartitionKey key;
    FencingToken token;
    std::string attempt_id;
    std::string request_id;
    std::string path;
    std::int64_t ran_at_us = 0;
  };

  static ServerResponse NotRun(const std::string& reason) {
    return {409, "text/plain", {{"Figstall-Not-Run", reason}}, reason + "\n"};
  }

  ServerResponse SetFault(const ServerRequest& request) {
    const std::lock_guard lock(mutex_);
    fault_mode_ = json::parse(request.body).value("mode", "ok");
    state_changed_.notify_all();
    return {200, "text/plain", {}, ""};
  }

  void WriteJournal(const RequestRun& run) {
    ++runs_;
    if (!journal_.is_open())
      return;
    const json line = {{"service", run.key.service.value()},
                       {"partition", run.key.partition},
                       {"term", {run.token.epoch, run.token.count}},
                       {"target", name_.value()},
                       {"attempt", run.attempt_id},
                       {"id", run.request_id},
                       {"path", run.path},
                       {"at_us", run.ran_at_us}};
    journal_ << line.dump() << std::endl;
  }

  ServerResponse ApplyOrder(const ServerRequest& request) {
    return HandleError(
        [&]() -> Result<ServerResponse> {
          BOOST_LEAF_AUTO(order, ParseOrder(request.body));
          const std::lock_guard lock(mutex_);
          const HolderStatus status = holder_lease_.Apply(BootNow(), order);
          return ServerResponse{
              200, "application/json", {}, SerializeStatus(status)};
        },
        [](const Error& error) {
          return ServerResponse{400, "text/plain", {}, error.message + "\n"};
        });
  }

  // Cancels an attempt. If it arrives later, it is refused. Status 202 says
  // that the attempt is still in flight, 200 that it is not.
  ServerResponse Cancel(const ServerRequest& request) {
    const std::string attempt_id =
        json::parse(request.body).value("attempt", "");
    const std::lock_guard lock(mutex_);
    cancelled_attempts_.insert(attempt_id);
    state_changed_.notify_all();
    const bool in_flight = attempts_in_flight_.contains(attempt_id);
    return {in_flight ? 202 : 200, "text/plain", {}, ""};
  }

  bool MayServe(const PartitionKey& key, FencingToken token) {
    if (!checks_lease_ || !token.valid())
      return true;
    const auto row = holder_lease_.MayServe(BootNow(), key);
    return row && row->term == token;
  }

  ServerResponse Serve(const ServerRequest& request) {
    RequestRun run;
    run.key = {ServiceId(request.header("Figstall-Service")),
               static_cast<std::uint32_t>(std::strtoul(
                   request.header("Figstall-Partition").c_str(), nullptr, 10))};
    run.token = ParseFencingToken(request.header("Figstall-Term"));
    run.attempt_id = request.header("Figstall-Attempt");
    run.request_id = request.header("Figstall-Request-Id");
    run.path = request.method + " " + request.path;
    std::unique_lock lock(mutex_);
    if (fault_mode_ == "shed")
      return NotRun("shedding");
    if (cancelled_attempts_.contains(run.attempt_id))
      return NotRun("cancelled");
    if (!MayServe(run.key, run.token))
      return NotRun("not-owner");
    ++in_flight_[run.key];
    attempts_in_flight_.insert(run.attempt_id);
    state_changed_.wait(lock, [&] { return free_slots_ > 0; });
    --free_slots_;
    ServerResponse response = RunRequest(request, run, lock);
    ++free_slots_;
    attempts_in_flight_.erase(run.attempt_id);
    --in_flight_[run.key];
    state_changed_.notify_all();
    return response;
  }

  ServerResponse RunRequest(const ServerRequest& request,
                            RequestRun& run,
                            std::unique_lock<std::mutex>& lock) {
    const auto cancelled = [&] {
      return cancelled_attempts_.contains(run.attempt_id);
    };
    const std::string work_us = request.parameter("work_us");
    const Duration work_time =
        work_us.empty() ? work_time_
                        : Duration(std::strtol(work_us.c_str(), nullptr, 10));
    lock.unlock();
    if (work_time > Duration{0})
      std::this_thread::sleep_for(work_time);
    lock.lock();
    state_changed_.wait(lock,
                        [&] { return fault_mode_ != "silent" || cancelled(); });
    if (cancelled())
      return NotRun("cancelled");
    // The lease may have expired or the token changed during the work, so both
    // are checked again right before the request takes effect.
    if (!MayServe(run.key, run.token))
      return NotRun("not-owner");
    run.ran_at_us = BootNow().time_since_epoch().count();
    WriteJournal(run);
    if (fault_mode_ == "garbage")
      return {200, "text/plain", {{"Figstall-Attempt", "another"}}, "garbage"};
    json body = {{"target", name_.value()},
                 {"path", request.path},
                 {"run", runs_},
                 {"echo", request.body}};
    const std::string size_text = request.parameter("bytes");
    std::string text = body.dump();
    if (!size_text.empty())
      text.resize(std::strtoul(size_text.c_str(), nullptr, 10), 'x');
    return {200,
            "application/json",
            {{"Figstall-Attempt", run.attempt_id}},
            std::move(text)};
  }

  const VmId name_;
  const bool checks_lease_;
  const Duration work_time_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  std::string fault_mode_ = "ok";
  int free_slots_;
  std::map<PartitionKey, int> in_flight_;
  std::set<std::string> attempts_in_flight_;
  std::set<std::string> cancelled_attempts_;
  std::ofstream journal_;
  std::uint64_t runs_ = 0;
  HolderLease holder_lease_;
};

}  // namespace
}  // namespace figstall

int main(int argc, char** argv) {
  using namespace figstall;
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  return detail::RunProgram([&]() -> Result<int> {
    BOOST_LEAF_AUTO(listen, ParseEndpoint(arguments.at("--listen").asString()));
    const sigset_t signals = detail::BlockStopSignals();
    TargetStandin standin(
        VmId(arguments.at("--name").asString()),
        !arguments.at("--unchecked").asBool(),
        std::stoi(arguments.at("--slots").asString()),
        Duration(std::stoi(arguments.at("--work-us").asString())),
        arguments.at("--journal") ? arguments.at("--journal").asString() : "");
    HttpServer server(listen, HttpServerLimits{},
                      [&](const ServerRequest& request) {
                        return standin.HandleRequest(request);
                      });
    detail::WaitForStopSignal(signals);
    return 0;
  });
}
