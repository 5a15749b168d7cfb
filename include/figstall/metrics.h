// Counters and latency histograms (Boost.Histogram), exported in the Prometheus
// text exposition format.
#ifndef FIGSTALL_METRICS_H_
#define FIGSTALL_METRICS_H_

#include <atomic>
#include <boost/histogram.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "figstall/types.h"

namespace figstall {

// A histogram of durations from 100 microseconds to 100 seconds, in logarithmic
// bins. Its unit in the export is seconds.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Record(Duration duration);
  // Returns the cumulative buckets, the sum and the count as the lines of
  // metric `name` with these labels.
  std::string Expose(const std::string& name, const std::string& labels) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<
      boost::histogram::accumulators::count<std::uint64_t, true>>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> histogram_;
  std::atomic<std::uint64_t> sum_micros_ = 0;
};

// The registry of a process. The references that it returns stay valid as long
// as the registry exists.
class Metrics {
 public:
  std::atomic<std::uint64_t>& Counter(const std::string& name,
                                      const std::string& labels);
  LatencyHistogram& Latency(const std::string& name, const std::string& labels);

  std::string Expose() const;

 private:
  using Id = std::pair<std::string, std::string>;

  mutable std::mutex mutex_;
  std::map<Id, std::unique_ptr<std::atomic<std::uint64_t>>> counters_;
  std::map<Id, std::unique_ptr<LatencyHistogram>> latencies_;
};

}  // namespace figstall

#endif  // FIGSTALL_METRICS_H_
