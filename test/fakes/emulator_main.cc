// The figstall-emulator program. It runs the platform's store, targets and
// callers of a scenario in one process on loopback, so that entries can be run,
// observed and exposed to faults on one machine. It checks figstall's
// guarantees during the run.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "emulated_store.h"
#include "emulated_store_server.h"
#include "emulated_target.h"
#include "emulator_report.h"
#include "emulator_scenario.h"
#include "figstall/http_channel.h"
#include "platform/decode.h"
#include "platform/headers.h"
#include "process.h"
#include "slow_reader.h"

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using figstall::BootNow;
using figstall::Duration;
using figstall::Endpoint;
using figstall::HttpRequest;
using figstall::HttpResponse;
using figstall::Instant;
using figstall::detail::EmulatedStore;
using figstall::detail::EmulatedStoreServer;
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
  --scenario FILE  Targets, routes and faults to run, in JSON.
  --report FILE    Write the JSON report here instead of standard output.
  --plot FILE      Write an SVG plot of the requests over time here.
  --seed N         Seed of the random numbers [default: 1].
  --check          Check the scenario and exit.
  --help           Show this text.

Exit status: 0 if no guarantee was violated, 1 if one was, 2 on an invalid
scenario.
)";

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// The store entry of a running target is kept current at this interval. The
// entry of a stopped target is removed after the timeout, which is three missed
// heartbeats.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1500);
// From the end of a target that restarts to its next start.
constexpr Duration kTargetRestartTime = std::chrono::milliseconds(300);
// Between the versions of a desired-state fault.
constexpr Duration kVersionInterval = std::chrono::milliseconds(30);
// An entry applies a version that the store confirmed within this time, also
// beside a disturbance of the store (source: the platform's protocol).
constexpr Duration kMaxVersionLag = std::chrono::seconds(7);
// Callers reuse a connection that has been idle for up to this fraction of the
// idle limit (source: the platform's protocol).
constexpr double kUsableIdleFraction = 0.8;

class Emulator {
 public:
  Emulator(Scenario scenario, std::uint64_t seed)
      : scenario_(std::move(scenario)),
        random_(seed),
        tick_timer_(io_),
        store_server_(io_, store_, seed),
        desired_state_(scenario_.desired_state) {
    for (const auto& options : scenario_.targets) {
      targets_.push_back(std::make_unique<EmulatedTarget>(
          io_, options, checker_, notice_checker_, random_()));
      last_heartbeat_at_.push_back({});
    }
  }

  EmulatorReport Run() {
    for (const auto& target : targets_)
      target->Start();
    store_.Put(figstall::platform::kDesiredStateKey, desired_state_.dump());
    store_server_.Listen(scenario_.stores);
    traffic_started_at_ =
        scenario_.begins_at.value_or(BootNow()) + scenario_.startup_delay;
    for (std::size_t route = 0; route < scenario_.traffic.size(); ++route)
      ScheduleRequest(route, traffic_started_at_);
    ScheduleTick();
    io_.run();
    report_.desired_state_versions = desired_state_version_;
    report_.violations.insert(report_.violations.end(),
                              checker_.violations().begin(),
                              checker_.violations().end());
    report_.violations.insert(report_.violations.end(),
                              notice_checker_.violations().begin(),
                              notice_checker_.violations().end());
    report_.store_calls = store_server_.calls();
    report_.highest_limit_use = notice_checker_.highest_limit_use();
    report_.latest_evacuated_arrival =
        notice_checker_.latest_evacuated_arrival();
    report_.most_in_warm_up = notice_checker_.most_in_warm_up();
    report_.owner_changes = checker_.owner_changes();
    for (const auto& target : targets_)
      report_.requests_run[target->options().service] += target->requests_run();
    return std::move(report_);
  }

 private:
  double RandomFraction() {
    return std::uniform_real_distribution<>()(random_);
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](error_code error) {
      if (error)
        return;
      const Instant now = BootNow();
      store_.Tick(now);
      UpdateTargetEntries(now);
      StartDueFaults(now);
      if (now - traffic_started_at_ > scenario_.duration)
        return io_.stop();
      ScheduleTick();
    });
  }

  void UpdateTargetEntries(Instant now) {
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      EmulatedTarget& target = *targets_[i];
      const std::string key = figstall::platform::kTargetsPrefix + target.id();
      const bool silent = silent_in_store_.contains(i);
      if (target.running() && !silent &&
          now - last_heartbeat_at_[i] >= kHeartbeatInterval) {
        last_heartbeat_at_[i] = now;
        if (store_.Get(key) != target.StoreEntry()) {
          store_.Put(key, target.StoreEntry());
          if (target.draining())
            notice_checker_.OnListedLeaving(target.id(), now);
        }
      }
      if ((!target.running() || silent) &&
          now - last_heartbeat_at_[i] >= kHeartbeatTimeout && store_.Get(key))
        store_.Remove(key);
    }
  }

  void StartDueFaults(Instant now) {
    while (next_fault_ < scenario_.faults.size() &&
           now - traffic_started_at_ >=
               scenario_.faults[next_fault_].start_offset) {
      const auto& fault = scenario_.faults[next_fault_++];
      report_.injected_faults.push_back(fmt::format(
          "{:.1f} s: {} {}", ToSeconds(fault.start_offset), fault.kind,
          fault.targets.empty()
              ? ""
              : fmt::format("{} targets", fault.targets.size())));
      ApplyFault(fault, true);
      const auto end_timer =
          std::make_shared<asio::steady_timer>(io_, fault.duration);
      end_timer->async_wait([this, end_timer, fault](error_code error) {
        if (!error)
          ApplyFault(fault, false);
      });
    }
  }

  void ApplyFault(const figstall::detail::ScenarioFault& fault, bool starts) {
    if (fault.kind.rfind("store-", 0) == 0)
      notice_checker_.OnStoreDisturbed();
    if (fault.kind == "store-compact") {
      if (starts)
        store_.Compact();
      return;
    }
    if (fault.kind == "store-lapse" && !starts)
      store_.EndAllLeases();
    if (fault.kind == "store-odd-entries") {
      if (starts)
        PutOddTargetEntries();
      return;
    }
    if (fault.kind == "entry-frozen" || fault.kind == "entry-killed") {
      const Instant until = BootNow() + fault.duration;
      if (starts)
        notice_checker_.ExcuseEntry(fault.entry, until);
      if (starts && fault.kind == "entry-killed")
        killed_until_[fault.entry] = until;
      return;
    }
    if (fault.kind == "entry-stopping") {
      if (starts) {
        notice_checker_.OnEntryDisturbed(fault.entry);
        stopping_until_[fault.entry] = BootNow() + fault.duration;
      }
      return;
    }
    if (fault.kind == "desired-state") {
      if (starts)
        ChangeDesiredState(fault, 1);
      return;
    }
    if (fault.kind == "zone-evacuated")
      return Evacuate(fault.zone, starts);
    if (fault.kind == "store-rejects-entry" ||
        fault.kind == "store-revokes-entry")
      notice_checker_.OnEntryRejected(fault.entry, BootNow(), starts);
    if (fault.kind == "store-rejects-entry")
      return store_server_.Reject(fault.entry, starts);
    if (fault.kind == "store-revokes-entry") {
      store_server_.Reject(fault.entry, starts);
      if (starts)
        store_server_.RevokeLeasesOf(fault.entry);
      return;
    }
    if (fault.kind == "store-restored" && !starts) {
      store_.Restore(BootNow(), FromSeconds(fault.value));
      // The operator's next desired state follows a moment later.
      const auto timer = std::make_shared<asio::steady_timer>(
          io_, std::chrono::milliseconds(500));
      timer->async_wait([this, timer](error_code error) {
        if (error)
          return;
        PutNextDesiredState();
        for (const auto& [zone, evacuated] : evacuations_)
          PutEvacuation(zone, evacuated);
      });
    }
    if (fault.kind.rfind("store-", 0) == 0) {
      store_server_.SetFault(starts ? fault.kind : "");
      notice_checker_.OnStoreAvailable(BootNow(), !starts);
      return;
    }
    for (const std::size_t index : fault.targets) {
      EmulatedTarget& target = *targets_[index];
      if (fault.kind == "target-crash") {
        if (starts) {
          target.Crash();
        } else {
          // Removes the entry of the old incarnation; the new one has an id and
          // an entry of its own.
          store_.Remove(figstall::platform::kTargetsPrefix + target.id());
          target.Start();
        }
      } else if (fault.kind == "target-reborn") {
        if (starts)
          target.Crash();
        else
          target.Start(/*keep_id=*/true);
      } else if (fault.kind == "target-restart") {
        if (starts)
          target.SetDraining();
        else
          RestartTarget(target);
      } else if (fault.kind == "target-leave") {
        if (starts)
          target.SetDraining();
        else
          target.Crash();
      } else if (fault.kind == "target-silent") {
        target.SetSilent(starts);
      } else if (fault.kind == "target-ignores-releases") {
        target.SetIgnoresReleases(starts);
      } else if (fault.kind == "target-stopped") {
        target.SetStopped(starts);
        if (starts && !fault.keeps_entry)
          silent_in_store_.insert(index);
        else
          silent_in_store_.erase(index);
      } else if (fault.kind == "target-accepts-late") {
        target.SetAcceptsLate(starts);
      } else if (fault.kind == "target-garble") {
        target.SetAbortRatio(starts ? fault.abort_ratio : 0);
      } else if (fault.kind == "target-says-leaving") {
        if (starts)
          target.SayLeaving();
        else
          target.Crash();
      } else if (fault.kind == "target-limit") {
        target.SayLimit(starts ? std::optional(fault.value) : std::nullopt);
      } else if (fault.kind == "target-warm-up") {
        if (starts)
          target.WarmUp();
      } else if (fault.kind == "target-retry-after") {
        target.RejectFor(starts ? std::optional(FromSeconds(fault.value))
                                : std::nullopt);
      } else if (fault.kind == "target-says-invalid") {
        target.SayInvalidNotices(starts);
      } else if (fault.kind == "target-spoils-handovers") {
        target.SetSpoilsHandovers(starts);
      }
    }
  }

  void Evacuate(const std::string& zone, bool starts) {
    evacuations_[zone] = starts;
    PutEvacuation(zone, starts);
    if (starts)
      notice_checker_.OnEvacuated(zone, BootNow());
    else
      notice_checker_.OnEvacuationEnded(zone);
  }

  void PutEvacuation(const std::string& zone, bool evacuated) {
    const std::string key = figstall::platform::kEvacuationsPrefix + zone;
    if (evacuated)
      store_.Put(key, "");
    else if (store_.Get(key))
      store_.Remove(key);
  }

  // Ends the target, which starts again under its id a moment later.
  void RestartTarget(EmulatedTarget& target) {
    target.Crash();
    const auto timer =
        std::make_shared<asio::steady_timer>(io_, kTargetRestartTime);
    timer->async_wait([timer, &target](error_code error) {
      if (!error && !target.running())
        target.Start(/*keep_id=*/true);
    });
  }

  // Entries that another writer left among those of the targets.
  void PutOddTargetEntries() {
    constexpr std::size_t kLevels = 100'000;
    const std::string nested =
        std::string(kLevels, '[') + std::string(kLevels, ']');
    const std::string rest =
        R"(,"info":{"service":"accounts","zone":"north-a","slots":4},)"
        R"("status":{"state":"ready","seq":1}})";
    const std::string values[] = {
        nested,
        R"({"addr":"127.0.0.1:9","x":)" + nested + rest,
        R"({"addr":"127.0.0.1:9","born":1e400)" + rest,
        R"({"addr":"127.0.0.1:9","born":1e300)" + rest,
        R"({"addr":"127.0.0.1:9","born":18446744073709551615)" + rest,
        R"({"addr":"127.0.0.1:65536")" + rest,
        R"({"addr":"127.0.0.1:0")" + rest,
        R"({"addr":"127.0.0.1:-1")" + rest,
        "\xff\xfe"};
    for (std::size_t i = 0; i < std::size(values); ++i)
      store_.Put(fmt::format("{}odd-{}", figstall::platform::kTargetsPrefix, i),
                 values[i]);
  }

  void PutNextDesiredState() {
    desired_state_["version"] = ++desired_state_version_;
    store_.Put(figstall::platform::kDesiredStateKey, desired_state_.dump());
  }

  // Writes this version and those after it of the fault.
  void ChangeDesiredState(const figstall::detail::ScenarioFault& fault,
                          int version) {
    desired_state_["limits"].update(fault.limits);
    json& routes = desired_state_["routes"];
    if (fault.timeout_s) {
      changed_timeouts_.emplace_back(BootNow(), FromSeconds(*fault.timeout_s));
      for (auto& [name, route] : routes.items())
        route["timeoutS"] = *fault.timeout_s;
    }
    if (!routes.empty()) {
      json route = *routes.begin();
      for (int i = 0; i < fault.more_routes; ++i) {
        route["prefix"] = fmt::format("/more-{}/", i);
        routes[fmt::format("more-{}", i)] = route;
      }
    }
    PutNextDesiredState();
    if (version == fault.versions)
      return;
    const auto timer =
        std::make_shared<asio::steady_timer>(io_, kVersionInterval);
    timer->async_wait([this, timer, fault, version](error_code error) {
      if (!error)
        ChangeDesiredState(fault, version + 1);
    });
  }

  // The shortest time limit of a request by the versions that an entry may have
  // applied since it was sent.
  Duration ShortestTimeout(std::size_t route, Instant sent_at) const {
    Duration shortest = scenario_.traffic[route].deadline;
    for (std::size_t i = 0; i < changed_timeouts_.size(); ++i) {
      const bool superseded =
          i + 1 < changed_timeouts_.size() &&
          changed_timeouts_[i + 1].first + kMaxVersionLag < sent_at;
      if (!superseded)
        shortest = std::min(shortest, changed_timeouts_[i].second);
    }
    return shortest;
  }

  // For how long callers may leave a connection idle before they use it again.
  Duration UsableIdleTime() const {
    const json limits = desired_state_.value("limits", json::object());
    return FromSeconds(
        kUsableIdleFraction *
        limits.value("idleTimeoutS",
                     ToSeconds(figstall::CallerLimits{}.idle_timeout)));
  }

  static Duration FromSeconds(double seconds) {
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
  }

  static double ToSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  void ScheduleRequest(std::size_t route, Instant at) {
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::max(Duration{0}, at - BootNow()));
    timer->async_wait([this, timer, route, at](error_code error) {
      if (error)
        return;
      SendRequest(route);
      const double interval_s = -std::log(1 - RandomFraction()) /
                                scenario_.traffic[route].requests_per_second;
      ScheduleRequest(
          route, at + Duration(static_cast<Duration::rep>(interval_s * 1e6)));
    });
  }

  void SendRequest(std::size_t route) {
    const auto& traffic = scenario_.traffic[route];
    const std::size_t entry = random_() % scenario_.entries.size();
    const std::string id = fmt::format("{:016x}", random_());
    if (traffic.slow_reader_share > 0 &&
        RandomFraction() < traffic.slow_reader_share)
      return SendFromSlowReader(route, entry, id);
    figstall::ChannelRequest request;
    request.method = traffic.idempotent ? "GET" : "POST";
    request.target = traffic.prefix + id;
    request.headers = {
        {"Host", traffic.host},
        {figstall::platform::kRequestIdHeader, id},
        {figstall::platform::kTimeLeftHeader,
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            traffic.deadline)
                            .count())}};
    if (traffic.keyed) {
      // Squaring makes a few neighbouring keys far busier than the others.
      const double key_fraction = std::pow(RandomFraction(), 2.0);
      request.headers.emplace_back(
          figstall::platform::kShardKeyHeader,
          std::to_string(static_cast<int>(key_fraction * 65'535)));
    }
    if (!traffic.idempotent)
      request.body = traffic.request_body_bytes == 0
                         ? R"({"order": 1})"
                         : std::string(traffic.request_body_bytes, 'b');
    request.limit = traffic.deadline + std::chrono::milliseconds(200);
    const Instant sent_at = BootNow();
    const auto kept =
        traffic.keeps_connections ? KeptConnectionTo(entry) : nullptr;
    const auto channel =
        kept ? kept->channel
             : figstall::HttpChannel::Make(io_, scenario_.entries[entry], 1);
    const bool idempotent = traffic.idempotent;
    notice_checker_.OnRequestSent(id, entry, sent_at);
    channel->Call(
        std::move(request), [this, channel, kept, id, sent_at, idempotent,
                             route, entry](const auto& response) {
          OnResponse(route, entry, id, idempotent, sent_at, response);
          if (kept)
            kept->idle_since =
                response.status ? std::optional(BootNow()) : std::nullopt;
        });
  }

  std::string SafeRequestText(const figstall::detail::ScenarioTraffic& traffic,
                              const std::string& id) const {
    return fmt::format(
        "GET {}{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n\r\n",
        traffic.prefix, id, traffic.host, figstall::platform::kRequestIdHeader,
        id, figstall::platform::kTimeLeftHeader,
        figstall::ToMillis(traffic.deadline));
  }

  // A request behind which another one is sent; only the first is checked.
  void SendFromSlowReader(std::size_t route,
                          std::size_t entry,
                          const std::string& id) {
    const auto& traffic = scenario_.traffic[route];
    const std::string next_id = fmt::format("{:016x}", random_());
    figstall::detail::SlowReaderOptions options;
    options.entry = scenario_.entries[entry];
    options.bytes_per_second = traffic.slow_bytes_per_second;
    options.request = SafeRequestText(traffic, id);
    options.next_request = SafeRequestText(traffic, next_id);
    options.limit = traffic.deadline + std::chrono::milliseconds(200);
    const Instant sent_at = BootNow();
    notice_checker_.OnRequestSent(id, entry, sent_at);
    notice_checker_.OnRequestSent(next_id, entry, sent_at);
    figstall::detail::ReadSlowly(
        io_, std::move(options),
        [this, route, entry, id, sent_at](const auto& response) {
          OnResponse(route, entry, id, /*idempotent=*/true, sent_at, response);
        });
  }

  // A connection that a caller keeps open for further requests.
  struct KeptConnection {
    std::shared_ptr<figstall::HttpChannel> channel;
    // Empty before the first response and after a request without one.
    std::optional<Instant> idle_since;
  };

  // Returns a connection without a request, kept or new.
  std::shared_ptr<KeptConnection> KeptConnectionTo(std::size_t entry) {
    auto& all = kept_connections_[entry];
    for (const auto& each : all) {
      if (each->channel->queued() > 0)
        continue;
      if (each->idle_since &&
          BootNow() - *each->idle_since > UsableIdleTime()) {
        each->idle_since.reset();
        each->channel->Close();
      }
      return each;
    }
    auto added = std::make_shared<KeptConnection>();
    added->channel =
        figstall::HttpChannel::Make(io_, scenario_.entries[entry], 1);
    const std::weak_ptr<KeptConnection> weak = added;
    added->channel->SetDisconnectHandler([this, entry, weak] {
      if (const auto lost = weak.lock())
        OnKeptConnectionLost(entry, *lost);
    });
    all.push_back(added);
    return added;
  }

  // A request on a connection that an entry closes may cross the close and
  // remain unanswered.
  void OnKeptConnectionLost(std::size_t entry, KeptConnection& lost) {
    const Instant now = BootNow();
    if (lost.idle_since && now - *lost.idle_since <= UsableIdleTime() &&
        !MayCloseConnections(entry, now))
      report_.violations.push_back(fmt::format(
          "{:.1f} s: entry {} closed a connection after {:.1f} s, which "
          "callers "
          "may use for {:.1f} s",
          ToSeconds(now - traffic_started_at_), entry,
          ToSeconds(now - *lost.idle_since), ToSeconds(UsableIdleTime())));
    lost.idle_since.reset();
  }

  bool MayCloseConnections(std::size_t entry, Instant now) {
    return now < killed_until_[entry] || now < stopping_until_[entry];
  }

  void OnResponse(std::size_t route,
                  std::size_t entry,
                  const std::string& id,
                  bool idempotent,
                  Instant sent_at,
                  const figstall::ChannelResponse& response) {
    const int status = response.status.value_or(0);
    if (status == 503 || status == 429)
      checker_.OnRefused(id, idempotent);
    const Instant now = BootNow();
    if (status == 200)
      notice_checker_.OnPassedOn(id, now);
    // Only the kill of an entry may cut off a request that a target ran. An
    // entry that lags behind may apply the timeout of an earlier version.
    if (status == 0 && response.sent &&
        now < sent_at + ShortestTimeout(route, sent_at) &&
        now >= killed_until_[entry])
      checker_.OnCut(id, MayCloseConnections(entry, now));
    if (status == 200) {
      const std::string received_id =
          response.header(figstall::platform::kRequestIdHeader);
      if (received_id != id || response.body.rfind(id + ":", 0) != 0)
        checker_.OnWrongResponse(id, "it carries request id " + received_id);
      // The end of the connection passes for the end of a body without framing.
      else if (response.body.size() != scenario_.traffic[route].response_bytes)
        checker_.OnWrongResponse(
            id, fmt::format("its body has {} of {} bytes", response.body.size(),
                            scenario_.traffic[route].response_bytes));
    }
    report_.Add(scenario_.traffic[route].name,
                ToSeconds(sent_at - traffic_started_at_), status,
                ToSeconds(BootNow() - sent_at));
  }

  const Scenario scenario_;
  std::mt19937_64 random_;
  asio::io_context io_{1};
  asio::steady_timer tick_timer_;
  EmulatedStore store_;
  EmulatedStoreServer store_server_;
  EmulatorChecker checker_;
  figstall::detail::NoticeChecker notice_checker_;
  EmulatorReport report_;
  // By index of the entry.
  std::map<std::size_t, std::vector<std::shared_ptr<KeptConnection>>>
      kept_connections_;
  // By index of the entry: end of the time in which it was killed.
  std::map<std::size_t, Instant> killed_until_;
  // The same for a planned stop.
  std::map<std::size_t, Instant> stopping_until_;
  // As last written to the store, with its version.
  json desired_state_;
  std::vector<std::unique_ptr<EmulatedTarget>> targets_;
  // Indices of targets that send no heartbeats although they are running.
  std::set<std::size_t> silent_in_store_;
  // What the operator wrote last: whether each zone is evacuated.
  std::map<std::string, bool> evacuations_;
  std::vector<Instant> last_heartbeat_at_;
  std::uint64_t desired_state_version_ = 1;
  // The timeouts to which desired states changed all routes, and when.
  std::vector<std::pair<Instant, Duration>> changed_timeouts_;
  std::size_t next_fault_ = 0;
  Instant traffic_started_at_{};
};

void WriteFile(const std::string& path, const std::string& text) {
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
      WriteFile(arguments.at("--report").asString(), text);
    else
      fmt::print("{}", text);
    if (arguments.at("--plot"))
      WriteFile(arguments.at("--plot").asString(), report.ToSvg());
    return report.violations.empty() ? 0 : 1;
  });
}
