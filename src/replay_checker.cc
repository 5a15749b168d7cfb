// Implements the checker of replayed runs.
#include "replay_checker.h"

#include <fmt/format.h>

namespace figstall::replay {

void InvariantChecker::OnValidGrants(
    Instant now,
    const std::map<VmId, std::set<PartitionKey>>& valid_grants) {
  std::map<PartitionKey, VmId> owners;
  for (const auto& [target, keys] : valid_grants) {
    for (const PartitionKey& key : keys) {
      const auto [owner, sole] = owners.emplace(key, target);
      if (sole)
        continue;
      Report(now, fmt::format("{} has two owners: {} {}", ToString(key),
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
                                         const std::string& token,
                                         const VmId&,
                                         const PartitionKey&) {
  ++execution_counts_[token];
}

int InvariantChecker::execution_count(const std::string& token) const {
  const auto found = execution_counts_.find(token);
  return found == execution_counts_.end() ? 0 : found->second;
}

void InvariantChecker::OnOutcome(Instant now,
                                 const std::string& token,
                                 bool repeatable,
                                 const Answer& answer) {
  const int count = execution_count(token);
  if (!repeatable && count > 1)
    Report(now, fmt::format("{} ran {} times", token, count));
  if (answer.outcome == Outcome::kNotRun && count > 0)
    Report(now, token + " ran but was called not run");
  if (answer.outcome != Outcome::kAnswered)
    return;
  if (answer.body != token)
    Report(now, token + " got the answer of " + answer.body);
  if (count == 0)
    Report(now, token + " was answered without a run");
}

void InvariantChecker::OnStored(Instant now,
                                const ZoneId& zone,
                                const ZoneDocument& document) {
  Epoch& epoch = epochs_[zone];
  if (document.epoch < epoch)
    Report(now, "the epoch of zone " + zone.value() + " went back");
  epoch = document.epoch;
  std::set<PartitionKey> present;
  for (const PartitionRow& row : document.rows) {
    present.insert(row.key);
    FencingToken& term = terms_[row.key];
    if (row.term < term)
      Report(now, "the term of " + ToString(row.key) + " went back");
    term = row.term;
  }
}

void InvariantChecker::OnRevision(Instant now,
                                  const std::string& process,
                                  std::uint64_t revision) {
  std::uint64_t& known = revisions_[process];
  if (revision < known)
    Report(now, process + " went back to revision " + std::to_string(revision));
  known = revision;
}

void InvariantChecker::Report(Instant now, const std::string& what) {
  constexpr std::size_t kMostReported = 100;
  if (violations_.size() >= kMostReported)
    return;
  const double seconds =
      std::chrono::duration<double>(now.time_since_epoch()).count();
  violations_.push_back(fmt::format("{:.3f} s: {}", seconds, what));
}

}  // namespace figstall::replay
