// Lets an environment variable raise the number of iterations of a randomized
// test.
#ifndef FIGSTALL_TEST_ITERATION_FACTOR_H_
#define FIGSTALL_TEST_ITERATION_FACTOR_H_

#include <cstdlib>

namespace figstall {

// The value of the environment variable, or 1 if it is not set.
inline int IterationFactor(const char* variable) {
  const char* factor = std::getenv(variable);
  return factor ? std::atoi(factor) : 1;
}

}  // namespace figstall

#endif  // FIGSTALL_TEST_ITERATION_FACTOR_H_
