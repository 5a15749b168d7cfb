// The settings files of the router and the steward, in JSON.
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
  // The maximum number of requests that this router processes at once, and the
  // maximum that may wait in each lane.
  std::uint32_t slots = 512;
  std::uint32_t queue = 256;
  // This router's share of the bandwidth between regions.
  double link_bytes_per_second = 1'000'000;
  // After SIGTERM, the router accepts new requests for `drain_grace`, until the
  // balancer has seen that it is not ready. After that, requests in flight have
  // `drain_limit` to finish.
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

// Read and check a settings file. The error of an invalid file lists the
// findings with their places.
Result<RouterSettings> ReadRouterSettings(const std::string& path);
Result<StewardSettings> ReadStewardSettings(const std::string& path);

}  // namespace figstall

#endif  // FIGSTALL_SETTINGS_H_
