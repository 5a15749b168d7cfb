// Tests the mean processing time by which the load of keys is counted.
#include "figstall/mean_processing_time.h"

#include <catch2/catch.hpp>

namespace figstall {

using std::chrono::milliseconds;

// Guards against limits on all keys while a link delays responses. With the
// targets across the link in the mean, the load of each key rose with it.
TEST_CASE("targets across a slow link do not raise the mean processing time") {
  MeanProcessingTime mean;
  CHECK_FALSE(mean.Get());
  mean.Add({milliseconds(900), 5}, Distance::kOtherRegion);
  CHECK(ToMillis(*mean.Get()) == Approx(900).margin(1));
  mean.Add({milliseconds(100), 5}, Distance::kSameZone);
  mean.Add({milliseconds(400), 50}, Distance::kSameRegion);
  CHECK(ToMillis(*mean.Get()) == Approx(200).margin(1));
}

}  // namespace figstall
