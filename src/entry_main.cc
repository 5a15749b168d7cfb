// The figstall-entry program: one process on each entry VM, in front of the
// platform's targets. One thread runs the data path and the control logic on an
// Asio loop. Other threads serve readiness and metrics, and write the log.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <malloc.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <future>
#include <random>

#include "figstall/duties.h"
#include "figstall/entry_control.h"
#include "figstall/entry_settings.h"
#include "figstall/entry_traffic.h"
#include "figstall/http_server.h"
#include "process.h"

namespace {

using figstall::BootNow;
using figstall::Duration;
using figstall::Instant;
using figstall::LogLevel;

constexpr const char* kUsage =
    R"(figstall-entry: routes callers' requests to the platform's targets.

Usage:
  figstall-entry --settings FILE
  figstall-entry --check --settings FILE
  figstall-entry --help

Options:
  --settings FILE  This entry's settings, in JSON.
  --check          Check the settings and exit.
  --help           Show this text.

Signals:
  SIGTERM, SIGINT  Fail readiness, go on serving until the balancer has noticed,
                   finish what is in flight and exit with status 0.
  SIGHUP           Read the settings again; a wrong file changes nothing.

Exit status: 0 after a planned stop, 1 on a failure, 2 on invalid settings.
)";

constexpr std::chrono::milliseconds kTickInterval{25};
// How long a stopping entry goes on serving, so that the balancer stops sending
// to it first. The balancer polls readiness once a second and removes an entry
// after two failed polls. Source: the platform's protocol.
constexpr Duration kBalancerRemovalTime = std::chrono::milliseconds(2800);
// The process finishes this long before the stop grace ends and the platform
// kills it.
constexpr Duration kStopMargin = std::chrono::milliseconds(400);
// The entry reports not ready if its loop has not ticked for this long.
constexpr Duration kMaxTickAge = std::chrono::seconds(2);
// Larger buffers are returned to the system as soon as they are freed.
constexpr int kMaxHeapBufferBytes = 1 << 20;
// A tick that comes later than this is logged.
constexpr Duration kMaxTickDelay = std::chrono::milliseconds(100);
constexpr unsigned kMaxStatusConnections = 16;
// An operator's request for an explanation waits this long for the loop.
constexpr Duration kMaxExplainTime = std::chrono::seconds(1);
// The process tolerates this many unexpected errors. One more makes it exit
// with a failure, so that a new process replaces it.
constexpr int kMaxUnexpectedErrors = 100;
// A duty that has thrown is left out for this long.
constexpr Duration kDutyRetryDelay = std::chrono::milliseconds(500);

// Memory of this process that is resident, in bytes; 0 if it is not known.
std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return file ? resident_pages * static_cast<std::size_t>(getpagesize()) : 0;
}

std::string MakeIncarnation() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

class EntryProcess {
 public:
  EntryProcess(const figstall::EntrySettings& settings, std::string path)
      : settings_(settings),
        path_(std::move(path)),
        log_(settings.vm.value(),
             settings.log.level,
             settings.log.format,
             stdout),
        notices_(
            log_,
            metrics_,
            settings.warm_up,
            [this](Instant now, const figstall::TargetIncarnation& target) {
              credits_.AnnounceWarmUp(now, target);
            }),
        credits_(settings.vm,
                 notices_.notices(),
                 notices_.warm_ups(),
                 MakeCreditHandlers()),
        duties_(kDutyRetryDelay,
                [this](const std::string& duty, const std::exception& error) {
                  OnUnexpectedError(duty, error);
                }),
        traffic_(io_, settings_, view_, notices_, credits_, log_, metrics_),
        control_(io_,
                 settings_,
                 MakeIncarnation(),
                 view_,
                 traffic_,
                 notices_,
                 credits_,
                 duties_,
                 log_,
                 metrics_),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        timer_(io_) {}

  int Run() {
    figstall::HttpServerLimits limits;
    limits.max_connections = kMaxStatusConnections;
    const auto handler = [this](const figstall::ServerRequest& call) {
      return HandleStatusRequest(call);
    };
    const figstall::HttpServer ready(settings_.ready, limits, handler);
    const auto operator_handler = [this](const figstall::ServerRequest& call) {
      return call.path == figstall::kExplainPath ? HandleExplainRequest(call)
                                                 : HandleStatusRequest(call);
    };
    const figstall::HttpServer metrics(settings_.metrics, limits,
                                       operator_handler);
    traffic_.Listen();
    control_.Start();
    WaitForSignal();
    ScheduleTick();
    log_.Write(LogLevel::kInfo, "started",
               {{"callers", settings_.callers.ToString()},
                {"store", settings_.store.ToString()},
                {"zone", settings_.zone.value()},
                {"hold_ms", std::to_string(figstall::ToMillis(
                                settings_.grant_timing.hold_duration))},
                {"first_start", settings_.first_start ? "yes" : "no"}});
    Serve();
    log_.Write(LogLevel::kInfo, "stopped",
               {{"in_flight", std::to_string(traffic_.in_flight())},
                {"undelivered", std::to_string(traffic_.CountUndelivered())}});
    return 0;
  }

 private:
  // An unexpected exception ends only the handler that threw it, and the loop
  // goes on: one bad message must not abort the requests of all callers.
  void Serve() {
    for (;;) {
      try {
        io_.run();
        return;
      } catch (const std::exception& error) {
        OnUnexpectedError("handler", error);
      }
    }
  }

  // `duty`: its name, and behind a slash what it was done for, if anything.
  // Throws if there were too many errors.
  void OnUnexpectedError(const std::string& duty, const std::exception& error) {
    ++unexpected_errors_;
    log_.Write(LogLevel::kError, "unexpected-error",
               {{"duty", duty},
                {"what", error.what()},
                {"count", std::to_string(unexpected_errors_)}});
    ++metrics_.Counter(
        "figstall_unexpected_errors_total",
        fmt::format("duty=\"{}\"", duty.substr(0, duty.find('/'))));
    if (unexpected_errors_ > kMaxUnexpectedErrors)
      throw std::runtime_error(
          fmt::format("over {} unexpected errors, last: {}",
                      kMaxUnexpectedErrors, error.what()));
  }

  figstall::SendCredits::Handlers MakeCreditHandlers() {
    figstall::SendCredits::Handlers handlers;
    handlers.send = [this](const figstall::VmId& to,
                           const figstall::CreditMessage& message) {
      control_.SendCreditMessage(to, message);
    };
    handlers.on_limit = [this](const figstall::VmId& from,
                               const figstall::TargetIncarnation& target,
                               const figstall::RateLimit& limit) {
      notices_.OnReportedLimit(from, target, limit);
    };
    handlers.on_warm_up = [this](const figstall::VmId& from,
                                 const figstall::TargetIncarnation& target,
                                 const figstall::WarmUpStatement& warm_up) {
      notices_.OnReportedWarmUp(from, target, warm_up);
    };
    handlers.on_issuer = [this](const figstall::TargetIncarnation& target,
                                const figstall::VmId& issuer) {
      log_.Write(LogLevel::kInfo, "credit-issuer",
                 {{"target", target.id.value()}, {"issuer", issuer.value()}});
    };
    return handlers;
  }

  figstall::ServerResponse HandleStatusRequest(
      const figstall::ServerRequest& call) const {
    figstall::ServerResponse response;
    response.content_type = "text/plain";
    if (call.path == "/metrics") {
      response.body = metrics_.Expose();
      response.body += fmt::format(
          "# TYPE figstall_log_lines_dropped_total counter\n"
          "figstall_log_lines_dropped_total {}\n"
          "# TYPE figstall_resident_bytes gauge\n"
          "figstall_resident_bytes {}\n"
          "# TYPE figstall_request_kept_bytes gauge\n"
          "figstall_request_kept_bytes {}\n",
          log_.dropped(), ResidentBytes(),
          traffic_.request_memory().kept_bytes());
      return response;
    }
    const Instant last_tick(Duration(last_tick_us_.load()));
    const bool ready = ready_ && BootNow() - last_tick < kMaxTickAge;
    response.status = ready ? 200 : 503;
    response.body = ready ? "ready\n" : "not ready\n";
    return response;
  }

  // Runs on a thread of the server; the loop makes the explanation.
  figstall::ServerResponse HandleExplainRequest(
      const figstall::ServerRequest& call) {
    figstall::RequestDescription request;
    request.host = call.parameter("host");
    request.path = call.parameter("path");
    request.key = call.parameter("key");
    if (const std::string account = call.parameter("account"); !account.empty())
      request.accounts.emplace_back(account);
    const auto promise = std::make_shared<std::promise<std::string>>();
    std::future<std::string> result = promise->get_future();
    boost::asio::post(io_, [this, request, promise] {
      promise->set_value(
          figstall::ToJson(traffic_.Explain(BootNow(), request)));
    });
    figstall::ServerResponse response;
    if (result.wait_for(kMaxExplainTime) != std::future_status::ready) {
      response.status = 503;
      return response;
    }
    try {
      response.body = result.get();
    } catch (const std::future_error&) {
      // The loop logged the exception that ended its handler.
      response.status = 500;
    }
    return response;
  }

  void WaitForSignal() {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error)
        return;
      if (signal == SIGHUP)
        Reload();
      else
        Stop();
      WaitForSignal();
    });
  }

  // Applies only the retry settings. All other settings, such as addresses, VM
  // and zone, take effect after a restart.
  void Reload() {
    figstall::HandleError(
        [&]() -> figstall::Result<void> {
          BOOST_LEAF_AUTO(read, figstall::ReadEntrySettings(path_));
          settings_.retries = read.retries;
          log_.Write(LogLevel::kInfo, "settings-reloaded", {});
          return {};
        },
        [&](const figstall::Error& error) {
          std::string findings = error.message;
          for (const figstall::Finding& finding : error.findings)
            findings += "; " + finding.ToString();
          log_.Write(LogLevel::kError, "settings-refused",
                     {{"findings", findings}});
        });
  }

  void Stop() {
    if (stop_begun_at_)
      return;
    stop_begun_at_ = BootNow();
    ready_ = false;
    log_.Write(LogLevel::kInfo, "stopping",
               {{"in_flight", std::to_string(traffic_.in_flight())}});
    traffic_.BeginShutdown(*stop_begun_at_ + settings_.stop_grace -
                           kStopMargin);
    control_.Resign();
  }

  void ScheduleTick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](boost::system::error_code error) {
      if (error)
        return;
      // If this tick throws, the next one is scheduled before the exception
      // leaves the handler.
      try {
        Tick(BootNow());
      } catch (const std::exception&) {
        ScheduleTick();
        throw;
      }
      if (!io_.stopped())
        ScheduleTick();
    });
  }

  // The processor time says whether the loop was busy or did not run.
  void RecordTickDelay(Instant now) {
    const Duration processor_time = figstall::ThreadProcessorTime();
    if (last_tick_at_) {
      const Duration delay = now - *last_tick_at_ - kTickInterval;
      metrics_.Latency("figstall_tick_delay_seconds", "")
          .Record(std::max(delay, Duration{0}));
      if (delay > kMaxTickDelay) {
        log_.Write(LogLevel::kInfo, "tick-delayed",
                   {{"delay_ms", std::to_string(figstall::ToMillis(delay))},
                    {"processor_ms",
                     std::to_string(figstall::ToMillis(
                         processor_time - processor_time_at_last_tick_))},
                    {"in_flight", std::to_string(traffic_.in_flight())}});
      }
    }
    last_tick_at_ = now;
    processor_time_at_last_tick_ = processor_time;
  }

  void Tick(Instant now) {
    RecordTickDelay(now);
    last_tick_us_ = now.time_since_epoch().count();
    control_.Tick(now);
    duties_.Run(now, "traffic",
                [&] { traffic_.Tick(now, control_.confirmed_at()); });
    if (!stop_begun_at_)
      ready_ = control_.ready();
    else if (IsStopped(now))
      io_.stop();
  }

  bool IsStopped(Instant now) {
    const Duration elapsed = now - *stop_begun_at_;
    if (elapsed < kBalancerRemovalTime)
      return false;
    traffic_.CloseIdleCallers();
    return traffic_.IsDrained() || elapsed > settings_.stop_grace - kStopMargin;
  }

  figstall::EntrySettings settings_;
  const std::string path_;
  figstall::Log log_;
  figstall::Metrics metrics_;
  boost::asio::io_context io_{1};
  figstall::EntryView view_;
  figstall::TargetNoticeRecorder notices_;
  figstall::SendCredits credits_;
  figstall::Duties duties_;
  figstall::EntryTraffic traffic_;
  figstall::EntryControl control_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::optional<Instant> last_tick_at_;
  Duration processor_time_at_last_tick_{0};
  std::atomic<bool> ready_ = false;
  std::atomic<Duration::rep> last_tick_us_ = 0;
  std::optional<Instant> stop_begun_at_;
  int unexpected_errors_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, /*help=*/true);
  return figstall::detail::RunProgram([&]() -> figstall::Result<int> {
    const std::string path = arguments.at("--settings").asString();
    BOOST_LEAF_AUTO(settings, figstall::ReadEntrySettings(path));
    if (arguments.at("--check").asBool())
      return 0;
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, kMaxHeapBufferBytes);
    return EntryProcess(settings, path).Run();
  });
}
