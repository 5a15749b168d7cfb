// Percentiles, JSON and SVG of the emulator's report.
#include "emulator_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace figstall::detail {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kTooManyRequests = 429;

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<std::ptrdiff_t>(
      fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

struct SecondCounts {
  int served = 0;
  int refused = 0;
  int failed = 0;
  std::vector<double> latencies_s;
};

std::vector<SecondCounts> BySecond(const EmulatorReport& report) {
  std::vector<SecondCounts> seconds;
  for (const auto& [route, samples] : report.samples) {
    for (const auto& sample : samples) {
      const auto index =
          static_cast<std::size_t>(std::max(0.0, sample.sent_at_s));
      if (seconds.size() <= index)
        seconds.resize(index + 1);
      SecondCounts& second = seconds[index];
      if (sample.status == kOk) {
        ++second.served;
        second.latencies_s.push_back(sample.latency_s);
      } else if (sample.status == kUnavailable ||
                 sample.status == kTooManyRequests) {
        ++second.refused;
      } else {
        ++second.failed;
      }
    }
  }
  return seconds;
}

}  // namespace

json EmulatorReport::ToJson() const {
  json routes = json::object();
  for (const auto& [route, all] : samples) {
    std::vector<double> latencies_s;
    std::map<std::string, int> statuses;
    for (const Sample& sample : all) {
      ++statuses[std::to_string(sample.status)];
      if (sample.status == kOk)
        latencies_s.push_back(sample.latency_s);
    }
    routes[route] = {
        {"asked", all.size()},
        {"statuses", statuses},
        {"p50_ms", std::round(1e3 * Percentile(latencies_s, 0.5))},
        {"p99_ms", std::round(1e3 * Percentile(latencies_s, 0.99))}};
  }
  return {{"routes", routes},
          {"runs", requests_run},
          {"owner_changes", owner_changes},
          {"store_calls", store_calls},
          {"desired_state_versions", desired_state_versions},
          {"highest_limit_use", highest_limit_use},
          {"latest_evacuated_arrival_ms", ToMillis(latest_evacuated_arrival)},
          {"most_in_warm_up", most_in_warm_up},
          {"happened", injected_faults},
          {"violations", violations}};
}

std::string EmulatorReport::ToSvg() const {
  constexpr double kWidth = 900;
  constexpr double kHeight = 240;
  constexpr double kLeft = 50;
  const std::vector<SecondCounts> seconds = BySecond(*this);
  int max_requests = 1;
  double max_p99_s = 0.001;
  for (const SecondCounts& second : seconds) {
    max_requests =
        std::max(max_requests, second.served + second.refused + second.failed);
    max_p99_s = std::max(max_p99_s, Percentile(second.latencies_s, 0.99));
  }
  const double column_width =
      (kWidth - kLeft) /
      static_cast<double>(std::max<std::size_t>(1, seconds.size()));
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n",
      kWidth, kHeight + 40);
  std::string p99_points;
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    const SecondCounts& second = seconds[i];
    const double x = kLeft + column_width * static_cast<double>(i);
    double y = kHeight;
    for (const auto& [count, color] :
         {std::pair(second.served, "#4a8"), std::pair(second.refused, "#ca3"),
          std::pair(second.failed, "#c43")}) {
      const double height = kHeight * count / max_requests;
      y -= height;
      svg += fmt::format(
          "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
          "fill=\"{}\"/>\n",
          x, y, column_width * 0.9, height, color);
    }
    p99_points += fmt::format(
        "{:.1f},{:.1f} ", x + column_width / 2,
        kHeight * (1 - Percentile(second.latencies_s, 0.99) / max_p99_s));
  }
  svg += fmt::format(
      "<polyline points=\"{}\" fill=\"none\" stroke=\"#226\"/>\n", p99_points);
  svg += fmt::format(
      "<text x=\"4\" y=\"12\">{}/s</text><text x=\"{}\" y=\"{}\">served "
      "(green), refused (yellow), failed (red) by second; line: 99th "
      "percentile, top is {:.0f} ms</text>\n</svg>\n",
      max_requests, kLeft, kHeight + 24, max_p99_s * 1e3);
  return svg;
}

}  // namespace figstall::detail
