// Decides whether the mover may assign all key ranges of a service that has no
// table in the store's current era.
//
// Within one era, the write of the first table is refused if there is one, so a
// process that began with the whole system and has seen no other era may assign
// them at once. Otherwise the store may have come back from a copy older than
// the table, and a process that this one doesn't know may grant by it: until
// the membership of the earlier era ends, which was last renewed before the
// store came back. The mover waits until the last of those grants has expired.
// A member that joins again with an earlier table grants on by it, under any
// later membership. The store refuses the write of a table whose writer has not
// seen the last of them join.
#ifndef FIGSTALL_FIRST_ASSIGNMENT_H_
#define FIGSTALL_FIRST_ASSIGNMENT_H_

#include <optional>

#include "figstall/range_mover.h"
#include "figstall/types.h"

namespace figstall {

enum class FirstAssignmentBasis {
  // No table can have existed.
  kFirstStart,
  // A table existed; all grants by it have expired.
  kWaited,
  // There is no trace of a table; all grants by one would have expired.
  kKnownToNone,
};

const char* ToString(FirstAssignmentBasis basis);

struct FirstAssignmentInput {
  Instant now;
  // Whether this process began with the whole system and has seen the store in
  // its first era only.
  bool first_start = false;
  // Whether the store has a table of an earlier era, or may have lost one while
  // this process ran.
  bool earlier_table_exists = false;
  // When this process first knew the members.
  Instant members_known_since{};
  // When this process noticed that the store came back from a copy; empty if it
  // never did.
  std::optional<Instant> restored_at;
  // When this process last saw that a member had joined with an earlier table;
  // empty if none did. One that it did not see join had departed by then.
  std::optional<Instant> rejoin_seen_at;
  // All members that this process has known, also the departed ones.
  const MemberReports* members = nullptr;
};

// Returns why the ranges of `service` may be assigned now; nullopt if a target
// may hold some of them.
std::optional<FirstAssignmentBasis> MayAssignAnew(
    const ServiceId& service,
    const FirstAssignmentInput& input,
    const GrantTiming& timing);

// Whether a target may hold ranges by grants of members that have departed. One
// of them may have seen a newer table than any member that is left.
bool DepartedMembersMayHold(Instant now,
                            const MemberReports& members,
                            const GrantTiming& timing);

}  // namespace figstall

#endif  // FIGSTALL_FIRST_ASSIGNMENT_H_
