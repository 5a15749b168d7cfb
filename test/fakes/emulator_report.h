// What a run of the emulator showed: counts, times and broken promises, as JSON
// and as a plot over time.
#ifndef FIGSTALL_TEST_FAKES_EMULATOR_REPORT_H_
#define FIGSTALL_TEST_FAKES_EMULATOR_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace figstall::detail {

struct EmulatorReport {
  struct Sample {
    double at_s = 0;
    int status = 0;
    double latency_s = 0;
  };

  void Add(const std::string& route,
           double at_s,
           int status,
           double latency_s) {
    samples[route].push_back({at_s, status, latency_s});
  }
  nlohmann::json ToJson() const;
  // Served, refused and failed requests and the 99th percentile of each second.
  std::string ToSvg() const;

  std::map<std::string, std::vector<Sample>> samples;
  std::map<std::string, std::uint64_t> runs;
  std::vector<std::string> injected_faults;
  std::vector<std::string> violations;
  std::uint64_t owner_changes = 0;
  std::uint64_t store_calls = 0;
};

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATOR_REPORT_H_
