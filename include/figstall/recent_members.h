// The members that share bounds on targets while their list is disturbed.
// Answers the failure that the leases of most members lapse together: each then
// sees few others or none for a moment, and would issue credits by itself.
// Performs no I/O.
#ifndef FIGSTALL_RECENT_MEMBERS_H_
#define FIGSTALL_RECENT_MEMBERS_H_

#include <map>

#include "figstall/types.h"

namespace figstall {

class RecentMembers {
 public:
  // Returns the listed members. If they are fewer than half of those listed
  // within the last moment, returns all of these; call again with the same list
  // until settled().
  std::map<VmId, ZoneId> Update(Instant now,
                                const std::map<VmId, ZoneId>& listed);
  // Whether the last result was the list itself.
  bool settled() const { return settled_; }

 private:
  struct Seen {
    ZoneId zone;
    Instant at;
  };

  std::map<VmId, Seen> seen_;
  bool settled_ = true;
};

}  // namespace figstall

#endif  // FIGSTALL_RECENT_MEMBERS_H_
