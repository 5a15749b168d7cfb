// Keys in the platform's store under which members keep their shared data.
#ifndef FIGSTALL_SRC_STORE_KEYS_H_
#define FIGSTALL_SRC_STORE_KEYS_H_

#include <fmt/format.h>

#include <cstdint>
#include <string>

#include "figstall/types.h"

namespace figstall::detail {

// Prefix of all keys that members write.
inline constexpr char kOwnPrefix[] = "figstall/";
// Prefix of one key for each member, attached to its membership lease.
inline constexpr char kMembersPrefix[] = "figstall/members/";
// Keys that are written under conditions have the store's era in their name. A
// condition that a member states before it knows of a new era can then hold
// only for a key that nobody reads anymore. Eras up to kFirstEra share the
// names that they had before names had an era.
inline constexpr std::uint64_t kFirstEra = 1;

inline std::string ConditionalPrefix(std::uint64_t era) {
  return era <= kFirstEra ? kOwnPrefix
                          : fmt::format("{}era-{}/", kOwnPrefix, era);
}
// Prefix of one table of key ranges for each service.
inline std::string TablesPrefix(std::uint64_t era) {
  return ConditionalPrefix(era) + "ranges/";
}
// Key that names the elected mover, attached to the mover's lease.
inline std::string MoverKey(std::uint64_t era) {
  return ConditionalPrefix(era) + "mover";
}
// Key that each member writes together with its record when it joins with
// tables of an earlier era, by which it grants from then on. The write of an
// era's first table has its revision as a condition.
inline std::string RejoinKey(std::uint64_t era) {
  return ConditionalPrefix(era) + "rejoined";
}
// Fencing tokens of an era are above this, and so above those of all earlier
// eras, whoever issued them.
inline std::uint64_t FenceFloor(std::uint64_t era) {
  return era <= kFirstEra ? 0 : era << 32U;
}

// Identifies one run of the process on a VM.
inline std::string MemberIncarnationId(const VmId& vm,
                                       const std::string& incarnation) {
  return vm.value() + "#" + incarnation;
}

}  // namespace figstall::detail

#endif  // FIGSTALL_SRC_STORE_KEYS_H_
