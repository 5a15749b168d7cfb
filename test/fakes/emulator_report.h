// The result of a run of the emulator: request counts, latencies and violated
// guarantees, written as JSON or as an SVG plot over time.
#ifndef FIGSTALL_TEST_FAKES_EMULATOR_REPORT_H_
#define FIGSTALL_TEST_FAKES_EMULATOR_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "figstall/types.h"

namespace figstall::detail {

struct EmulatorReport {
  struct Sample {
    // Seconds since the start of the traffic.
    double sent_at_s = 0;
    // HTTP status; 0 if no response was received.
    int status = 0;
    double latency_s = 0;
  };

  void Add(const std::string& route,
           double sent_at_s,
           int status,
           double latency_s) {
    samples[route].push_back({sent_at_s, status, latency_s});
  }
  nlohmann::json ToJson() const;
  // A plot of the served, refused and failed requests of each second, and of
  // the 99th percentile of the latency of the served ones.
  std::string ToSvg() const;

  // By route.
  std::map<std::string, std::vector<Sample>> samples;
  // By service.
  std::map<std::string, std::uint64_t> requests_run;
  std::vector<std::string> injected_faults;
  std::vector<std::string> violations;
  std::uint64_t owner_changes = 0;
  std::uint64_t store_calls = 0;
  std::uint64_t desired_state_versions = 1;
  // Highest number of requests in 4 s at a target with a limit, as a share of
  // what the limit allows.
  double highest_limit_use = 0;
  // Longest time from the store's acknowledgement of an evacuation to a request
  // that reached a target of the zone before its end; 0 without any.
  Duration latest_evacuated_arrival{0};
  // Highest number of requests in one second at a target that warms up.
  std::size_t most_in_warm_up = 0;
};

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATOR_REPORT_H_
