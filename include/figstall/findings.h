// Faults found in input, each with its place. A check collects all findings and
// reports them together.
#ifndef FIGSTALL_FINDINGS_H_
#define FIGSTALL_FINDINGS_H_

#include <compare>
#include <string>
#include <vector>

namespace figstall {

struct Finding {
  // The file name, store key or part of a request that contains the fault.
  std::string source;
  // The JSON pointer or header name of the fault within the source.
  std::string place;
  std::string message;

  std::string ToString() const { return source + ":" + place + ": " + message; }
  friend auto operator<=>(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

}  // namespace figstall

#endif  // FIGSTALL_FINDINGS_H_
