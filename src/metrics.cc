// The latency histogram and the text form of all metrics.
#include "figstall/metrics.h"

#include <fmt/format.h>

namespace figstall {
namespace {

constexpr int kBins = 36;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e2;

std::string Braced(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(std::make_tuple(Axis(kBins, kLowestSeconds, kHighestSeconds)),
                 Storage()) {}

void LatencyHistogram::Record(Duration duration) {
  histogram_(std::chrono::duration<double>(duration).count());
  sum_micros_ += static_cast<std::uint64_t>(duration.count());
}

std::string LatencyHistogram::Expose(const std::string& name,
                                     const std::string& labels) const {
  std::string lines;
  const std::string prefix = labels.empty() ? "" : labels + ",";
  std::uint64_t total = histogram_.at(-1).value();
  for (int bin = 0; bin < kBins; ++bin) {
    const double upper = histogram_.axis().bin(bin).upper();
    total += histogram_.at(bin).value();
    lines += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", name, prefix,
                         upper, total);
  }
  total += histogram_.at(kBins).value();
  lines += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, total);
  lines += fmt::format("{}_sum{} {:.6f}\n", name, Braced(labels),
                       static_cast<double>(sum_micros_) / 1e6);
  lines += fmt::format("{}_count{} {}\n", name, Braced(labels), total);
  return lines;
}

std::atomic<std::uint64_t>& Metrics::Counter(const std::string& name,
                                             const std::string& labels) {
  const std::lock_guard lock(mutex_);
  auto& metric = counters_[{name, labels}];
  if (!metric)
    metric = std::make_unique<std::atomic<std::uint64_t>>(0);
  return *metric;
}

LatencyHistogram& Metrics::Latency(const std::string& name,
                                   const std::string& labels) {
  const std::lock_guard lock(mutex_);
  auto& metric = latencies_[{name, labels}];
  if (!metric)
    metric = std::make_unique<LatencyHistogram>();
  return *metric;
}

std::string Metrics::Expose() const {
  const std::lock_guard lock(mutex_);
  std::string lines;
  std::string last_name;
  for (const auto& [id, counter] : counters_) {
    if (id.first != last_name)
      lines += "# TYPE " + id.first + " counter\n";
    last_name = id.first;
    lines +=
        fmt::format("{}{} {}\n", id.first, Braced(id.second), counter->load());
  }
  for (const auto& [id, latency] : latencies_) {
    if (id.first != last_name)
      lines += "# TYPE " + id.first + " histogram\n";
    last_name = id.first;
    lines += latency->Expose(id.first, id.second);
  }
  return lines;
}

}  // namespace figstall
