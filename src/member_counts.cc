// Keeps only the recorded counts that may still become the maximum.
#include "figstall/member_counts.h"

namespace figstall {

void RecentMaximum::Record(Instant now,
                           std::uint32_t value,
                           Duration retention) {
  while (!values_.empty() && values_.back().value <= value)
    values_.pop_back();
  values_.push_back({value, now});
  while (now - values_.front().last_at >= retention)
    values_.pop_front();
}

void MemberCounts::Record(Instant now,
                          const std::map<ZoneId, std::uint32_t>& members,
                          Instant membership_valid_until) {
  std::uint32_t total = 0;
  for (const auto& [zone, count] : members) {
    total += count;
    by_zone_.try_emplace(zone);
  }
  total_.Record(now, total, retention_);
  for (auto& [zone, maximum] : by_zone_) {
    const auto found = members.find(zone);
    maximum.Record(now, found == members.end() ? 0 : found->second, retention_);
  }
  membership_valid_until_ = membership_valid_until;
  if (now >= membership_valid_until)
    member_since_.reset();
  else if (!member_since_)
    member_since_ = now;
}

std::uint32_t MemberCounts::InZone(const ZoneId& zone) const {
  const auto found = by_zone_.find(zone);
  return found == by_zone_.end() ? 1 : AtLeastOne(found->second.value());
}

double MemberCounts::FractionOfFixedSum(Instant now, Duration window) const {
  const bool takes_part = member_since_ && now - *member_since_ >= window &&
                          now < membership_valid_until_;
  return takes_part ? 1.0 / total() : 0;
}

}  // namespace figstall
