// Stand-in for a target: answers requests for the keys it owns, takes grants,
// deadlines and cancellation, journals what it ran, and fails on command.
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
  --unchecked   Does not check who gives it an order.
  --journal FILE  Appends a JSON line for each request that ran, before it is
                  answered.

Faults: POST /standin/fault {"mode": "ok" | "silent" | "garbage" | "shed"}.
)";

FencingToken ParseTerm(const std::string& text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string::npos)
    return {};
  return {std::strtoull(text.c_str(), nullptr, 10),
          std::strtoull(text.c_str() + dot + 1, nullptr, 10)};
}

class TargetStandin {
 public:
  TargetStandin(const VmId& name,
                bool checks,
                int slots,
                Duration work,
                const std::string& journal)
      : name_(name),
        checks_(checks),
        work_(work),
        free_slots_(slots),
        holder_lease_(
            name,
            detail::NewIncarnation(),
            [this](const PartitionKey& key) { return in_flight_[key] > 0; }) {
    if (!journal.empty())
      journal_.open(journal, std::ios::app);
  }

  ServerResponse OnHttp(const ServerRequest& call) {
    if (call.path == "/figstall/live")
      return {200, "text/plain", {}, "live\n"};
    if (call.path == "/standin/fault")
      return SetFault(call);
    if (call.path == "/figstall/cancel")
      return Cancel(call);
    if (call.path == kOrderPath)
      return ApplyOrder(call);
    return Serve(call);
  }

 private:
  struct Run {
    PartitionKey key;
    FencingToken term;
    std::string attempt;
    std::string request_id;
    std::string path;
    std::int64_t at_us = 0;
  };

  static ServerResponse NotRun(const std::string& reason) {
    return {409, "text/plain", {{"Figstall-Not-Run", reason}}, reason + "\n"};
  }

  ServerResponse SetFault(const ServerRequest& call) {
    const std::lock_guard lock(mutex_);
    fault_mode_ = json::parse(call.body).value("mode", "ok");
    wake_.notify_all();
    return {200, "text/plain", {}, ""};
  }

  void WriteJournal(const Run& run) {
    ++runs_;
    if (!journal_.is_open())
      return;
    const json line = {{"service", run.key.service.value()},
                       {"partition", run.key.partition},
                       {"term", {run.term.epoch, run.term.count}},
                       {"target", name_.value()},
                       {"attempt", run.attempt},
                       {"id", run.request_id},
                       {"path", run.path},
                       {"at_us", run.at_us}};
    journal_ << line.dump() << std::endl;
  }

  ServerResponse ApplyOrder(const ServerRequest& call) {
    return HandleError(
        [&]() -> Result<ServerResponse> {
          BOOST_LEAF_AUTO(order, ParseOrder(call.body));
          const std::lock_guard lock(mutex_);
          const HolderStatus status = holder_lease_.Apply(BootNow(), order);
          return ServerResponse{
              200, "application/json", {}, SerializeStatus(status)};
        },
        [](const Error& error) {
          return ServerResponse{400, "text/plain", {}, error.message + "\n"};
        });
  }

  // A cancelled attempt that arrives later is refused; one being worked on is
  // waited for.
  ServerResponse Cancel(const ServerRequest& call) {
    const std::string attempt = json::parse(call.body).value("attempt", "");
    const std::lock_guard lock(mutex_);
    cancelled_.insert(attempt);
    wake_.notify_all();
    const bool working = attempts_in_flight_.contains(attempt);
    return {working ? 202 : 200, "text/plain", {}, ""};
  }

  bool MayServe(const PartitionKey& key, FencingToken term) {
    if (!checks_ || !term.valid())
      return true;
    const auto row = holder_lease_.MayServe(BootNow(), key);
    return row && row->term == term;
  }

  ServerResponse Serve(const ServerRequest& call) {
    Run run;
    run.key = {ServiceId(call.header("Figstall-Service")),
               static_cast<std::uint32_t>(std::strtoul(
                   call.header("Figstall-Partition").c_str(), nullptr, 10))};
    run.term = ParseTerm(call.header("Figstall-Term"));
    run.attempt = call.header("Figstall-Attempt");
    run.request_id = call.header("Figstall-Request-Id");
    run.path = call.method + " " + call.path;
    std::unique_lock lock(mutex_);
    if (fault_mode_ == "shed")
      return NotRun("shedding");
    if (cancelled_.contains(run.attempt))
      return NotRun("cancelled");
    if (!MayServe(run.key, run.term))
      return NotRun("not-owner");
    ++in_flight_[run.key];
    attempts_in_flight_.insert(run.attempt);
    wake_.wait(lock, [&] { return free_slots_ > 0; });
    --free_slots_;
    ServerResponse reply = Work(call, run, lock);
    ++free_slots_;
    attempts_in_flight_.erase(run.attempt);
    --in_flight_[run.key];
    wake_.notify_all();
    return reply;
  }

  ServerResponse Work(const ServerRequest& call,
                      Run& run,
                      std::unique_lock<std::mutex>& lock) {
    const auto cancelled = [&] { return cancelled_.contains(run.attempt); };
    const std::string delay = call.parameter("work_us");
    const Duration work =
        delay.empty() ? work_
                      : Duration(std::strtol(delay.c_str(), nullptr, 10));
    lock.unlock();
    if (work > Duration{0})
      std::this_thread::sleep_for(work);
    lock.lock();
    wake_.wait(lock, [&] { return fault_mode_ != "silent" || cancelled(); });
    if (cancelled())
      return NotRun("cancelled");
    // The fence is checked once more where the effect takes place.
    if (!MayServe(run.key, run.term))
      return NotRun("not-owner");
    run.at_us = BootNow().time_since_epoch().count();
    WriteJournal(run);
    if (fault_mode_ == "garbage")
      return {200, "text/plain", {{"Figstall-Attempt", "another"}}, "garbage"};
    json body = {{"target", name_.value()},
                 {"path", call.path},
                 {"run", runs_},
                 {"echo", call.body}};
    const std::string bytes = call.parameter("bytes");
    std::string text = body.dump();
    if (!bytes.empty())
      text.resize(std::strtoul(bytes.c_str(), nullptr, 10), 'x');
    return {200,
            "application/json",
            {{"Figstall-Attempt", run.attempt}},
            std::move(text)};
  }

  const VmId name_;
  const bool checks_;
  const Duration work_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::string fault_mode_ = "ok";
  int free_slots_;
  std::map<PartitionKey, int> in_flight_;
  std::set<std::string> attempts_in_flight_;
  std::set<std::string> cancelled_;
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
    HttpServer server(
        listen, HttpServerLimits{},
        [&](const ServerRequest& call) { return standin.OnHttp(call); });
    detail::WaitForStopSignal(signals);
    return 0;
  });
}
