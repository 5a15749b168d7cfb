// Implements the emulator's report.
#include "emulator_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace figstall::detail {
namespace {

using nlohmann::json;

constexpr int kServed = 200;
constexpr int kUnavailable = 503;
constexpr int kTooMany = 429;

double Percentile(std::vector<double> times, double share) {
  if (times.empty())
    return 0;
  const auto place = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), times.begin() + place, times.end());
  return times[static_cast<std::size_t>(place)];
}

struct Second {
  int served = 0;
  int refused = 0;
  int failed = 0;
  std::vector<double> times;
};

std::vector<Second> BySecond(const EmulatorReport& report) {
  std::vector<Second> seconds;
  for (const auto& [route, samples] : report.samples) {
    for (const auto& sample : samples) {
      const auto index = static_cast<std::size_t>(std::max(0.0, sample.at_s));
      if (seconds.size() <= index)
        seconds.resize(index + 1);
      Second& second = seconds[index];
      if (sample.status == kServed) {
        ++second.served;
        second.times.push_back(sample.latency_s);
      } else if (sample.status == kUnavailable || sample.status == kTooMany) {
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
    std::vector<double> times;
    std::map<std::string, int> statuses;
    for (const Sample& sample : all) {
      ++statuses[std::to_string(sample.status)];
      if (sample.status == kServed)
        times.push_back(sample.latency_s);
    }
    routes[route] = {{"asked", all.size()},
                     {"statuses", statuses},
                     {"p50_ms", std::round(1e3 * Percentile(times, 0.5))},
                     {"p99_ms", std::round(1e3 * Percentile(times, 0.99))}};
  }
  return {{"routes", routes},
          {"runs", runs},
          {"owner_changes", owner_changes},
          {"store_calls", store_calls},
          {"happened", injected_faults},
          {"violations", violations}};
}

std::string EmulatorReport::ToSvg() const {
  constexpr double kWidth = 900;
  constexpr double kHeight = 240;
  constexpr double kLeft = 50;
  const std::vector<Second> seconds = BySecond(*this);
  int most = 1;
  double slowest = 0.001;
  for (const Second& second : seconds) {
    most = std::max(most, second.served + second.refused + second.failed);
    slowest = std::max(slowest, Percentile(second.times, 0.99));
  }
  const double step =
      (kWidth - kLeft) /
      static_cast<double>(std::max<std::size_t>(1, seconds.size()));
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n",
      kWidth, kHeight + 40);
  std::string line;
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    const Second& second = seconds[i];
    const double x = kLeft + step * static_cast<double>(i);
    double y = kHeight;
    for (const auto& [count, color] :
         {std::pair(second.served, "#4a8"), std::pair(second.refused, "#ca3"),
          std::pair(second.failed, "#c43")}) {
      const double height = kHeight * count / most;
      y -= height;
      svg += fmt::format(
          "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
          "fill=\"{}\"/>\n",
          x, y, step * 0.9, height, color);
    }
    line +=
        fmt::format("{:.1f},{:.1f} ", x + step / 2,
                    kHeight * (1 - Percentile(second.times, 0.99) / slowest));
  }
  svg += fmt::format(
      "<polyline points=\"{}\" fill=\"none\" stroke=\"#226\"/>\n", line);
  svg += fmt::format(
      "<text x=\"4\" y=\"12\">{}/s</text><text x=\"{}\" y=\"{}\">served "
      "(green), refused (yellow), failed (red) by second; line: 99th "
      "percentile, top is {:.0f} ms</text>\n</svg>\n",
      most, kLeft, kHeight + 24, slowest * 1e3);
  return svg;
}

}  // namespace figstall::detail
