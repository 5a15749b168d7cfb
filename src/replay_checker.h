// Watches a replayed run from outside: what targets did, what callers were
// told, what the store held. It shares no code with the decisions it checks.
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
  // The fences of all targets at one moment: the partitions for which each
  // would act now.
  void OnValidGrants(
      Instant now,
      const std::map<VmId, std::set<PartitionKey>>& valid_grants);
  // A target started or ended work for a key.
  void OnWorkBegin(Instant now, const VmId& target, const PartitionKey& key);
  void OnWorkEnd(const VmId& target, const PartitionKey& key);
  // A request's effect took place.
  void OnRequestExecuted(Instant now,
                         const std::string& token,
                         const VmId& target,
                         const PartitionKey& key);
  // A caller was told an outcome for good.
  void OnOutcome(Instant now,
                 const std::string& token,
                 bool repeatable,
                 const Answer& answer);
  void OnStored(Instant now, const ZoneId& zone, const ZoneDocument& document);
  void OnRevision(Instant now,
                  const std::string& process,
                  std::uint64_t revision);

  const std::vector<std::string>& violations() const { return violations_; }
  int execution_count(const std::string& token) const;

 private:
  void Report(Instant now, const std::string& what);

  std::map<PartitionKey, std::multiset<VmId>> working_targets_;
  std::map<std::string, int> execution_counts_;
  std::map<ZoneId, Epoch> epochs_;
  std::map<PartitionKey, FencingToken> terms_;
  std::map<std::string, std::uint64_t> revisions_;
  std::vector<std::string> violations_;
};

}  // namespace figstall::replay

#endif  // FIGSTALL_SRC_REPLAY_CHECKER_H_
