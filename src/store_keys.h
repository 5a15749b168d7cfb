// Keys in the platform's store under which members keep their shared data.
#ifndef FIGSTALL_SRC_STORE_KEYS_H_
#define FIGSTALL_SRC_STORE_KEYS_H_

#include <string>

#include "figstall/types.h"

namespace figstall::detail {

// Prefix of all keys that members write.
inline constexpr char kOwnPrefix[] = "figstall/";
// Prefix of one key for each member, attached to its membership lease.
inline constexpr char kMembersPrefix[] = "figstall/members/";
// Prefix of one table of key ranges for each service.
inline constexpr char kTablesPrefix[] = "figstall/ranges/";
// Key that names the elected mover, attached to the mover's lease.
inline constexpr char kMoverKey[] = "figstall/mover";

// Identifies one run of the process on a VM.
inline std::string MemberIncarnationId(const VmId& vm,
                                       const std::string& incarnation) {
  return vm.value() + "#" + incarnation;
}

}  // namespace figstall::detail

#endif  // FIGSTALL_SRC_STORE_KEYS_H_
