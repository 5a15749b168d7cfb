// Position in the history of the store. A store that comes back from an older
// copy gives out its numbers again, in a new era, so a number alone orders
// nothing: a revision is the era followed by the number.
#ifndef FIGSTALL_REVISION_H_
#define FIGSTALL_REVISION_H_

#include <cstdint>
#include <string>

namespace figstall {

// Compares as (era, number). Zero comes before all others.
using Revision = std::uint64_t;

inline constexpr int kRevisionNumberBits = 48;

constexpr Revision MakeRevision(std::uint64_t era, std::uint64_t number) {
  return (era << kRevisionNumberBits) | number;
}
constexpr std::uint64_t EraOf(Revision revision) {
  return revision >> kRevisionNumberBits;
}
constexpr std::uint64_t NumberOf(Revision revision) {
  return revision & ((std::uint64_t{1} << kRevisionNumberBits) - 1);
}

// "ERA.NUMBER", for logs.
inline std::string RevisionText(Revision revision) {
  return std::to_string(EraOf(revision)) + "." +
         std::to_string(NumberOf(revision));
}

}  // namespace figstall

#endif  // FIGSTALL_REVISION_H_
