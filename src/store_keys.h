// Where entries keep what they share in the platform's store.
#ifndef FIGSTALL_SRC_STORE_KEYS_H_
#define FIGSTALL_SRC_STORE_KEYS_H_

#include <string>

#include "figstall/types.h"

namespace figstall::detail {

// Everything that members write.
inline constexpr char kOwnPrefix[] = "figstall/";
// One key for each member, under its membership's lease.
inline constexpr char kMembersPrefix[] = "figstall/members/";
// One table of key ranges for each service.
inline constexpr char kTablesPrefix[] = "figstall/ranges/";
// The mover, under its own lease.
inline constexpr char kMoverKey[] = "figstall/mover";

// Tells runs of the process on one VM apart.
inline std::string MemberIncarnationId(const VmId& vm,
                                       const std::string& incarnation) {
  return vm.value() + "#" + incarnation;
}

}  // namespace figstall::detail

#endif  // FIGSTALL_SRC_STORE_KEYS_H_
