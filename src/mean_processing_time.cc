// Sums logarithms of microseconds.
#include "figstall/mean_processing_time.h"

#include <algorithm>
#include <cmath>

namespace figstall {

void MeanProcessingTime::Add(const ProcessingTime& processing_time,
                             Distance distance) {
  LogSum& sum = distance == Distance::kOtherRegion ? elsewhere_ : in_region_;
  sum.sum += std::log(
      std::max(1.0, static_cast<double>(processing_time.mean.count())));
  ++sum.count;
}

std::optional<Duration> MeanProcessingTime::Get() const {
  const LogSum& sum = in_region_.count > 0 ? in_region_ : elsewhere_;
  if (sum.count == 0)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(std::exp(sum.sum / sum.count)));
}

}  // namespace figstall
