// The processing time of a request at a target of mean speed, by which a router
// counts the load of a key. Performs no I/O.
//
// Load pattern: a link between regions delays responses for seconds, while the
// targets have little to do. Targets across the link are left out, as they are
// in reports to the mover: with them, the load of all keys rose by two thirds.
#ifndef FIGSTALL_MEAN_PROCESSING_TIME_H_
#define FIGSTALL_MEAN_PROCESSING_TIME_H_

#include <optional>

#include "figstall/target_load.h"
#include "figstall/types.h"

namespace figstall {

// The geometric mean over targets. It weights all targets equally, as the mover
// does.
class MeanProcessingTime {
 public:
  void Add(const ProcessingTime& processing_time, Distance distance);
  // The mean over targets in this router's region, or over all others if there
  // are none; none without any target.
  std::optional<Duration> Get() const;

 private:
  struct LogSum {
    double sum = 0;
    int count = 0;
  };

  LogSum in_region_;
  LogSum elsewhere_;
};

}  // namespace figstall

#endif  // FIGSTALL_MEAN_PROCESSING_TIME_H_
