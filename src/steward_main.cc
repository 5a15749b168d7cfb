// The figstall-steward program: the steward of one entry VM, which takes part
// in the control of its availability zone.
#include <docopt/docopt.h>

#include "figstall/http_server.h"
#include "figstall/settings.h"
#include "figstall/steward_node.h"
#include "process.h"

namespace {

constexpr const char* kUsage =
    R"(figstall-steward: keeps leases and places partitions of one zone.

Usage:
  figstall-steward --settings FILE
  figstall-steward --help

Options:
  --settings FILE  This steward's settings, in JSON.
  --help           Show this text.

Signals:
  SIGTERM, SIGINT  Resign, release the leader lease and exit with status 0.

Exit status: 0 after a planned stop, 1 on a failure, 2 on invalid settings.
)";

int Run(const figstall::StewardSettings& settings) {
  const sigset_t signals = figstall::detail::BlockStopSignals();
  figstall::Log log("figstall-steward/" + settings.vm.value(),
                    settings.log.level, settings.log.format);
  figstall::Metrics metrics;
  figstall::StewardNode node(settings, figstall::detail::NewIncarnation(), log,
                             metrics);
  figstall::RpcNode peers(settings.peers, node.PeerHandlers());
  figstall::HttpServer status(settings.status, figstall::HttpServerLimits{},
                              [&node](const figstall::ServerRequest& call) {
                                return node.OnHttp(call);
                              });
  node.Start(&peers);
  log.Write(figstall::LogLevel::kInfo, "started",
            {{"peers", settings.peers.ToString()}});
  figstall::detail::WaitForStopSignal(signals);
  log.Write(figstall::LogLevel::kInfo, "stopping", {});
  node.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, /*help=*/true);
  return figstall::detail::RunProgram([&]() -> figstall::Result<int> {
    BOOST_LEAF_AUTO(settings, figstall::ReadStewardSettings(
                                  arguments.at("--settings").asString()));
    return Run(settings);
  });
}
