// The figstall-emulator program: the platform's store, targets and callers in
// one process on loopback, driven by a scenario, so that entries can be run,
// watched and broken on one machine. It checks what figstall promises while it
// runs.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "emulated_store.h"
#include "emulated_target.h"
#include "emulator_report.h"
#include "emulator_scenario.h"
#include "figstall/caller_connection.h"
#include "figstall/http_channel.h"
#include "platform/decode.h"
#include "platform/headers.h"
#include "process.h"

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using figstall::BootNow;
using figstall::Duration;
using figstall::Endpoint;
using figstall::HttpRequest;
using figstall::HttpResponse;
using figstall::Instant;
using figstall::detail::EmulatedReply;
using figstall::detail::EmulatedStore;
using figstall::detail::EmulatedTarget;
using figstall::detail::EmulatorChecker;
using figstall::detail::EmulatorReport;
using figstall::detail::Scenario;
using nlohmann::json;

constexpr const char* kUsage =
    R"(figstall-emulator: the platform, targets and callers on loopback.

Usage:
  figstall-emulator --scenario FILE [--report FILE] [--plot FILE] [--seed N]
  figstall-emulator --check --scenario FILE
  figstall-emulator --help

Options:
  --scenario FILE  What runs and what goes wrong, in JSON.
  --report FILE    Where the report goes, as JSON; else to standard output.
  --plot FILE      Where a plot over time goes, as SVG.
  --seed N         Seed of all draws [default: 1].
  --check          Check the scenario and exit.
  --help           Show this text.

Exit status: 0 if every promise was kept, 1 if one was broken, 2 on an invalid
scenario.
)";

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// Targets report to the store this often, and their entry goes after three
// reports were missed.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1500);

class Emulator {
 public:
  Emulator(Scenario scenario, std::uint64_t seed)
      : scenario_(std::move(scenario)),
        random_(seed),
        timer_(io_),
        acceptor_(io_) {
    for (const auto& options : scenario_.targets) {
      targets_.push_back(
          std::make_unique<EmulatedTarget>(io_, options, ledger_, random_()));
      last_heartbeat_at_.push_back({});
    }
  }

  EmulatorReport Run() {
    for (const auto& target : targets_)
      target->Start();
    store_.Put("op/config", scenario_.desired_state.dump());
    ListenForEntries();
    traffic_started_at_ = BootNow() + scenario_.startup_delay;
    for (std::size_t route = 0; route < scenario_.traffic.size(); ++route)
      ScheduleRequest(route, traffic_started_at_);
    ScheduleTick();
    io_.run();
    report_.violations = ledger_.violations();
    report_.owner_changes = ledger_.owner_changes();
    for (const auto& target : targets_)
      report_.runs[target->options().service] += target->runs();
    return std::move(report_);
  }

 private:
  void ListenForEntries() {
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(scenario_.store.address), scenario_.store.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    AcceptEntry();
  }

  void AcceptEntry() {
    acceptor_.async_accept([this](error_code error,
                                  asio::ip::tcp::socket socket) {
      if (error)
        return;
      figstall::CallerConnection::Handlers handlers;
      handlers.on_request = [this](const figstall::ResponseWriter& caller,
                                   const figstall::CallerRequest& request) {
        OnStoreCall(caller, request.message);
      };
      handlers.is_idempotent = [](const HttpRequest&) { return true; };
      handlers.on_closed = [this](const figstall::CallerConnection* closed) {
        std::erase_if(entry_connections_, [closed](const auto& each) {
          return each.get() == closed;
        });
      };
      handlers.stopping = [] { return false; };
      figstall::CallerLimits limits;
      limits.idle_timeout = std::chrono::seconds(60);
      const auto entry = std::make_shared<figstall::CallerConnection>(
          std::move(socket), limits, std::move(handlers));
      entry_connections_.insert(entry);
      entry->Start();
      AcceptEntry();
    });
  }

  void OnStoreCall(const figstall::ResponseWriter& caller,
                   const HttpRequest& request) {
    ++report_.store_calls;
    if (store_fault_ == "store-silent")
      return;
    if (store_fault_ == "store-busy")
      return Answer(caller, {503, {}});
    const std::string target(request.target().data(), request.target().size());
    const std::size_t question = target.find('?');
    json body = json::parse(request.body(), nullptr, false);
    const std::string method(request.method_string().data(),
                             request.method_string().size());
    // The call takes effect and its answer is lost.
    const bool lost = store_fault_ == "store-lost-answers" &&
                      method == "POST" && Draw() < 0.5;
    store_.Call(BootNow(), method, target.substr(0, question),
                figstall::detail::ParseQuery(question == std::string::npos
                                                 ? ""
                                                 : target.substr(question + 1)),
                body, [this, caller, lost](const EmulatedReply& reply) {
                  if (!lost)
                    Answer(caller, reply);
                });
  }

  static void Answer(const figstall::ResponseWriter& caller,
                     const EmulatedReply& reply) {
    HttpResponse answer;
    answer.result(static_cast<unsigned>(reply.status));
    answer.version(11);
    answer.set(boost::beast::http::field::content_type, "application/json");
    if (!reply.body.is_null())
      answer.body() = reply.body.dump();
    caller.Reply(std::move(answer));
  }

  double Draw() { return std::uniform_real_distribution<>()(random_); }

  void ScheduleTick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](error_code error) {
      if (error)
        return;
      const Instant now = BootNow();
      store_.Tick(now);
      UpdateTargetEntries(now);
      RunFaults(now);
      if (now - traffic_started_at_ > scenario_.duration)
        return io_.stop();
      ScheduleTick();
    });
  }

  void UpdateTargetEntries(Instant now) {
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      EmulatedTarget& target = *targets_[i];
      const std::string key = figstall::platform::kTargetsPrefix + target.id();
      if (target.up() && now - last_heartbeat_at_[i] >= kHeartbeatInterval) {
        last_heartbeat_at_[i] = now;
        if (store_.Get(key) != target.StoreEntry())
          store_.Put(key, target.StoreEntry());
      }
      if (!target.up() && now - last_heartbeat_at_[i] >= kHeartbeatTimeout &&
          store_.Get(key))
        store_.Remove(key);
    }
  }

  void RunFaults(Instant now) {
    while (next_fault_ < scenario_.faults.size() &&
           now - traffic_started_at_ >=
               scenario_.faults[next_fault_].start_offset) {
      const auto& fault = scenario_.faults[next_fault_++];
      report_.injected_faults.push_back(fmt::format(
          "{:.1f} s: {} {}", Seconds(fault.start_offset), fault.kind,
          fault.targets.empty()
              ? ""
              : fmt::format("{} targets", fault.targets.size())));
      Apply(fault, true);
      const auto end =
          std::make_shared<asio::steady_timer>(io_, fault.duration);
      end->async_wait([this, end, fault](error_code error) {
        if (!error)
          Apply(fault, false);
      });
    }
  }

  void Apply(const figstall::detail::ScenarioFault& fault, bool begin) {
    if (fault.kind == "store-compact") {
      if (begin)
        store_.Compact();
      return;
    }
    if (fault.kind.rfind("store-", 0) == 0) {
      store_fault_ = begin ? fault.kind : "";
      return;
    }
    for (const std::size_t index : fault.targets) {
      EmulatedTarget& target = *targets_[index];
      if (fault.kind == "target-crash") {
        if (begin) {
          target.Crash();
        } else {
          // The entry of the life before goes; the new one writes its own.
          store_.Remove(figstall::platform::kTargetsPrefix + target.id());
          target.Start();
        }
      } else if (fault.kind == "target-leave") {
        if (begin)
          target.SetLeaving();
        else
          target.Crash();
      } else if (fault.kind == "target-silent") {
        target.SetSilent(begin);
      } else if (fault.kind == "target-garble") {
        target.SetAbortRatio(begin ? fault.strength : 0);
      }
    }
  }

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  void ScheduleRequest(std::size_t route, Instant at) {
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::max(Duration{0}, at - BootNow()));
    timer->async_wait([this, timer, route, at](error_code error) {
      if (error)
        return;
      SendRequest(route);
      const double gap =
          -std::log(1 - Draw()) / scenario_.traffic[route].per_second;
      ScheduleRequest(route,
                      at + Duration(static_cast<Duration::rep>(gap * 1e6)));
    });
  }

  void SendRequest(std::size_t route) {
    const auto& traffic = scenario_.traffic[route];
    const Endpoint& entry =
        scenario_.entries[random_() % scenario_.entries.size()];
    const std::string id = fmt::format("{:016x}", random_());
    figstall::ChannelRequest call;
    call.method = traffic.idempotent ? "GET" : "POST";
    call.target = traffic.prefix + id;
    call.headers = {
        {"Host", traffic.host},
        {figstall::platform::kRequestIdHeader, id},
        {figstall::platform::kTimeLeftHeader,
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            traffic.deadline)
                            .count())}};
    if (traffic.keyed) {
      // A few keys are far busier than others, and close to one another.
      const double skew = std::pow(Draw(), 2.0);
      call.headers.emplace_back(
          figstall::platform::kShardKeyHeader,
          std::to_string(static_cast<int>(skew * 65'535)));
    }
    if (!traffic.idempotent)
      call.body = R"({"order": 1})";
    call.limit = traffic.deadline + std::chrono::milliseconds(200);
    const Instant sent = BootNow();
    const auto channel = figstall::HttpChannel::Make(io_, entry, 1);
    const bool idempotent = traffic.idempotent;
    channel->Call(std::move(call), [this, channel, id, sent, idempotent,
                                    route](const auto& answer) {
      OnAnswer(route, id, idempotent, sent, answer);
    });
  }

  void OnAnswer(std::size_t route,
                const std::string& id,
                bool idempotent,
                Instant sent,
                const figstall::ChannelResponse& answer) {
    const int status = answer.status.value_or(0);
    if (status == 503 || status == 429)
      ledger_.OnRefused(id, idempotent);
    if (status == 200) {
      const std::string echoed =
          answer.header(figstall::platform::kRequestIdHeader);
      if (echoed != id || answer.body.rfind(id + ":", 0) != 0)
        ledger_.OnWrongAnswer(id, "it belongs to " + echoed);
    }
    report_.Add(scenario_.traffic[route].name,
                Seconds(sent - traffic_started_at_), status,
                Seconds(BootNow() - sent));
  }

  const Scenario scenario_;
  std::mt19937_64 random_;
  asio::io_context io_{1};
  asio::steady_timer timer_;
  asio::ip::tcp::acceptor acceptor_;
  EmulatedStore store_;
  EmulatorChecker ledger_;
  EmulatorReport report_;
  std::vector<std::unique_ptr<EmulatedTarget>> targets_;
  std::vector<Instant> last_heartbeat_at_;
  std::set<std::shared_ptr<figstall::CallerConnection>> entry_connections_;
  std::string store_fault_;
  std::size_t next_fault_ = 0;
  Instant traffic_started_at_{};
};

void Write(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  if (!file)
    throw std::runtime_error("cannot write " + path);
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, /*help=*/true);
  return figstall::detail::RunProgram([&]() -> figstall::Result<int> {
    BOOST_LEAF_AUTO(scenario, figstall::detail::ReadScenario(
                                  arguments.at("--scenario").asString()));
    if (arguments.at("--check").asBool())
      return 0;
    const auto seed =
        static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    Emulator emulator(std::move(scenario), seed);
    const EmulatorReport report = emulator.Run();
    const std::string text = report.ToJson().dump(1) + "\n";
    if (arguments.at("--report"))
      Write(arguments.at("--report").asString(), text);
    else
      fmt::print("{}", text);
    if (arguments.at("--plot"))
      Write(arguments.at("--plot").asString(), report.ToSvg());
    return report.violations.empty() ? 0 : 1;
  });
}
