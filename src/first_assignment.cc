#include "figstall/first_assignment.h"

#include <algorithm>

namespace figstall {

const char* ToString(FirstAssignmentBasis basis) {
  switch (basis) {
    case FirstAssignmentBasis::kFirstStart:
      return "first-start";
    case FirstAssignmentBasis::kWaited:
      return "waited";
    case FirstAssignmentBasis::kKnownToNone:
      return "known-to-none";
  }
  return "unknown";
}

std::optional<FirstAssignmentBasis> MayAssignAnew(
    const ServiceId& service,
    const FirstAssignmentInput& input,
    const GrantTiming& timing) {
  bool table_known = input.earlier_table_exists;
  for (const auto& [incarnation_id, member] : *input.members) {
    const auto seen = member.seen_fence.find(service);
    if (seen == member.seen_fence.end() || seen->second == 0)
      continue;
    table_known = true;
    const auto last_grant_at = member.LastGrantAt(timing);
    if (!last_grant_at || input.now < *last_grant_at + timing.MaxHoldFromSend())
      return std::nullopt;
  }
  if (input.first_start)
    return FirstAssignmentBasis::kFirstStart;
  Instant last_unknown_member_at = input.members_known_since;
  for (const auto& event : {input.restored_at, input.rejoin_seen_at}) {
    if (event)
      last_unknown_member_at = std::max(last_unknown_member_at, *event);
  }
  if (input.now < last_unknown_member_at + timing.membership_lease_duration +
                      timing.MaxHoldFromSend())
    return std::nullopt;
  return table_known ? FirstAssignmentBasis::kWaited
                     : FirstAssignmentBasis::kKnownToNone;
}

bool DepartedMembersMayHold(Instant now,
                            const MemberReports& members,
                            const GrantTiming& timing) {
  return std::any_of(members.begin(), members.end(), [&](const auto& each) {
    const MemberReport& member = each.second;
    if (member.departed_at && member.grants_ended)
      return std::any_of(member.holds_until.begin(), member.holds_until.end(),
                         [now](const auto& hold) { return now < hold.second; });
    const auto last_grant_at = member.LastGrantAt(timing);
    return last_grant_at && now < *last_grant_at + timing.MaxHoldFromSend();
  });
}

}  // namespace figstall
