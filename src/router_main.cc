// The figstall-router program: the data path of one entry VM.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <thread>

#include "figstall/http_server.h"
#include "figstall/router_node.h"
#include "figstall/settings.h"
#include "process.h"

namespace {

constexpr const char* kUsage =
    R"(figstall-router: routes callers' requests to targets.

Usage:
  figstall-router --settings FILE
  figstall-router --help

Options:
  --settings FILE  This router's settings, in JSON.
  --help           Show this text.

Signals:
  SIGTERM, SIGINT  Fail readiness, go on serving for the drain grace, then
                   refuse new requests as not run, finish those in flight
                   and exit with status 0.

Exit status: 0 after a planned stop, 1 on a failure, 2 on invalid settings.
)";

constexpr std::chrono::milliseconds kDrainPollInterval{10};

// Serves for the drain grace with readiness failed, then refuses new requests.
// Returns when no request is in flight and every response is written
// completely, or when the drain limit has passed.
void Drain(figstall::RouterNode& node,
           const figstall::HttpServer& server,
           const figstall::RouterSettings& settings,
           figstall::Log& log) {
  log.Write(figstall::LogLevel::kInfo, "draining",
            {{"in_flight", std::to_string(node.in_flight())}});
  node.StartDraining(/*refuse=*/false);
  std::this_thread::sleep_for(settings.drain_grace);
  node.StartDraining(/*refuse=*/true);
  const auto drain_deadline =
      std::chrono::steady_clock::now() + settings.drain_limit;
  while ((node.in_flight() > 0 || server.open_calls() > 0) &&
         std::chrono::steady_clock::now() < drain_deadline)
    std::this_thread::sleep_for(kDrainPollInterval);
  log.Write(figstall::LogLevel::kInfo, "drained",
            {{"in_flight", std::to_string(node.in_flight())},
             {"open_calls", std::to_string(server.open_calls())}});
}

int Run(const figstall::RouterSettings& settings) {
  const sigset_t signals = figstall::detail::BlockStopSignals();
  figstall::Log log("figstall-router/" + settings.vm.value(),
                    settings.log.level, settings.log.format);
  figstall::Metrics metrics;
  figstall::RouterNode node(settings, figstall::detail::NewIncarnation(), log,
                            metrics);
  figstall::RpcNode peers(settings.peers, node.PeerHandlers());
  node.SetPeers(&peers);
  figstall::HttpServer server(settings.callers, figstall::HttpServerLimits{},
                              [&node](const figstall::ServerRequest& call) {
                                return node.OnHttp(call);
                              });
  log.Write(figstall::LogLevel::kInfo, "started",
            {{"callers", settings.callers.ToString()},
             {"peers", settings.peers.ToString()}});
  figstall::detail::WaitForStopSignal(signals);
  Drain(node, server, settings, log);
  node.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, /*help=*/true);
  return figstall::detail::RunProgram([&]() -> figstall::Result<int> {
    BOOST_LEAF_AUTO(settings, figstall::ReadRouterSettings(
                                  arguments.at("--settings").asString()));
    return Run(settings);
  });
}
