// Each process's own settings file, in JSON.
#ifndef FIGSTALL_SETTINGS_H_
#define FIGSTALL_SETTINGS_H_

#include <string>

#include "figstall/log.h"
#include "figstall/records.h"
#include "figstall/steward_io.h"

namespace figstall {

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kText;
};

struct RouterSettings {
  VmId vm;
  ZoneId zone;
  RegionId region;
  Endpoint callers;
  Endpoint peers;
  LogSettings log;
  // Requests that this router works on at once, and that may wait per lane.
  std::uint32_t slots = 512;
  std::uint32_t queue = 256;
  // This router's share of the link between regions.
  double link_bytes_per_second = 1'000'000;
  // How long after SIGTERM new requests are still taken, while the balancer
  // learns that the router is not ready; then requests in flight may finish.
  Duration drain_grace = std::chrono::seconds(1);
  Duration drain_limit = std::chrono::seconds(60);
};

struct StewardSettings {
  VmId vm;
  ZoneId zone;
  RegionId region;
  Endpoint peers;
  Endpoint status;
  // Base URLs of the platform's services.
  std::string store;
  std::string vm_list;
  LogSettings log;
  StewardTiming timing;
  StewardLimits limits;
};

// Reads a settings file; every finding is reported, with its place.
Result<RouterSettings> ReadRouterSettings(const std::string& path);
Result<StewardSettings> ReadStewardSettings(const std::string& path);

}  // namespace figstall

#endif  // FIGSTALL_SETTINGS_H_
