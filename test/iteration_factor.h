// How much longer a search of the tests takes than usual, by the environment.
#ifndef FIGSTALL_TEST_ITERATION_FACTOR_H_
#define FIGSTALL_TEST_ITERATION_FACTOR_H_

#include <cstdlib>

namespace figstall {

// The factor that the variable names, or 1.
inline int IterationFactor(const char* variable) {
  const char* factor = std::getenv(variable);
  return factor ? std::atoi(factor) : 1;
}

}  // namespace figstall

#endif  // FIGSTALL_TEST_ITERATION_FACTOR_H_
