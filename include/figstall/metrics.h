// Counters and latency histograms (Boost.Histogram), shown in the usual text
// exposition form.
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

// Seconds from 100 microseconds to 100 seconds in logarithmic bins.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Record(Duration duration);
  // Writes the cumulative buckets of one metric with these labels.
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

// Registry of a process; metric objects live as long as it does.
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
