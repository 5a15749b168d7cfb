// Checks the invariants of a simulated run from what targets execute, which
// outcomes callers receive and what the store holds. It shares no code with
// the decisions that it checks.
#ifndef FIGSTALL_SRC_REPLAY_CHECKER_H_
#define FIGSTALL_SRC_REPLAY_CHECKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "figstall/holder_lease.h"
#include "figstall/request.h"
#include "figstall/zone_document.h"

namespace figstall::replay {

class InvariantChecker {
 public:
  // Takes the partitions that each target may serve at this instant by a valid
  // lease.
  void OnValidGrants(
      Instant now,
      const std::map<VmId, std::set<PartitionKey>>& valid_grants);
  // A target began or ended work for a partition.
  void OnWorkBegin(Instant now, const VmId& target, const PartitionKey& key);
  void OnWorkEnd(const VmId& target, const PartitionKey& key);
  // A target executed a request: its effect took place.
  void OnRequestExecuted(Instant now,
                         const std::string& call_id,
                         const VmId& target,
                         const PartitionKey& key);
  // A caller received the final outcome of its request.
  void OnOutcome(Instant now,
                 const std::string& call_id,
                 bool repeatable,
                 const Answer& answer);
  // A zone document was written to the store.
  void OnStored(Instant now, const ZoneId& zone, const ZoneDocument& document);
  // A process applied a configuration revision.
  void OnRevision(Instant now,
                  const std::string& process,
                  std::uint64_t revision);

  const std::vector<std::string>& violations() const { return violations_; }
  int execution_count(const std::string& call_id) const;

 private:
  void Report(Instant now, const std::string& violation);

  std::map<PartitionKey, std::multiset<VmId>> working_targets_;
  std::map<std::string, int> execution_counts_;
  std::map<ZoneId, Epoch> epochs_;
  std::map<PartitionKey, FencingToken> fencing_tokens_;
  std::map<std::string, std::uint64_t> revisions_;
  std::vector<std::string> violations_;
};

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_CHECKER_H_
