// The invariants that are checked in simulated runs.
#include "replay_checker.h"

#include <fmt/format.h>

namespace figstall::replay {

void InvariantChecker::OnValidGrants(
    Instant now,
    const std::map<VmId, std::set<PartitionKey>>& valid_grants) {
  std::map<PartitionKey, VmId> owners;
  for (const auto& [target, keys] : valid_grants) {
    for (const PartitionKey& key : keys) {
      const auto [owner, inserted] = owners.emplace(key, target);
      if (inserted)
        continue;
      Report(now, fmt::format("{} has two owners: {} and {}", ToString(key),
                              owner->second.value(), target.value()));
    }
  }
}

void InvariantChecker::OnWorkBegin(Instant now,
                                   const VmId& target,
                                   const PartitionKey& key) {
  std::multiset<VmId>& workers = working_targets_[key];
  workers.insert(target);
  if (*workers.begin() == *workers.rbegin())
    return;
  Report(now, ToString(key) + " is worked on by " + workers.begin()->value() +
                  " and " + workers.rbegin()->value());
}

void InvariantChecker::OnWorkEnd(const VmId& target, const PartitionKey& key) {
  std::multiset<VmId>& workers = working_targets_[key];
  const auto found = workers.find(target);
  if (found != workers.end())
    workers.erase(found);
}

void InvariantChecker::OnRequestExecuted(Instant,
                                         const std::string& call_id,
                                         const VmId&,
                                         const PartitionKey&) {
  ++execution_counts_[call_id];
}

int InvariantChecker::execution_count(const std::string& call_id) const {
  const auto found = execution_counts_.find(call_id);
  return found == execution_counts_.end() ? 0 : found->second;
}

void InvariantChecker::OnOutcome(Instant now,
                                 const std::string& call_id,
                                 bool repeatable,
                                 const Answer& answer) {
  const int count = execution_count(call_id);
  if (!repeatable && count > 1)
    Report(now, fmt::format("{} was executed {} times", call_id, count));
  if (answer.outcome == Outcome::kNotRun && count > 0)
    Report(now, call_id + " was executed but reported as not run");
  if (answer.outcome != Outcome::kAnswered)
    return;
  if (answer.body != call_id)
    Report(now, call_id + " got the answer to " + answer.body);
  if (count == 0)
    Report(now, call_id + " was answered but never executed");
}

void InvariantChecker::OnStored(Instant now,
                                const ZoneId& zone,
                                const ZoneDocument& document) {
  Epoch& last_epoch = epochs_[zone];
  if (document.epoch < last_epoch)
    Report(now, "the epoch of zone " + zone.value() + " decreased");
  last_epoch = document.epoch;
  std::set<PartitionKey> present;
  for (const PartitionRow& row : document.rows) {
    present.insert(row.key);
    FencingToken& last_token = fencing_tokens_[row.key];
    if (row.term < last_token)
      Report(now, "the fencing token of " + ToString(row.key) + " decreased");
    last_token = row.term;
  }
}

void InvariantChecker::OnRevision(Instant now,
                                  const std::string& process,
                                  std::uint64_t revision) {
  std::uint64_t& last_revision = revisions_[process];
  if (revision < last_revision)
    Report(now,
           process + " lowered its revision to " + std::to_string(revision));
  last_revision = revision;
}

void InvariantChecker::Report(Instant now, const std::string& violation) {
  constexpr std::size_t kMaxViolations = 100;
  if (violations_.size() >= kMaxViolations)
    return;
  const double seconds =
      std::chrono::duration<double>(now.time_since_epoch()).count();
  violations_.push_back(fmt::format("{:.3f} s: {}", seconds, violation));
}

}  // namespace figstall::replay
