// Findings about input: each with its place, collected and reported together.
#ifndef FIGSTALL_FINDINGS_H_
#define FIGSTALL_FINDINGS_H_

#include <compare>
#include <string>
#include <vector>

namespace figstall {

struct Finding {
  // File name, store key or request part in which the fault lies.
  std::string source;
  // JSON pointer or header name within the source.
  std::string place;
  std::string message;

  std::string ToString() const { return source + ":" + place + ": " + message; }
  friend auto operator<=>(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

}  // namespace figstall

#endif  // FIGSTALL_FINDINGS_H_
