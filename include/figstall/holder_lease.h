// The holder's side of the fence: one lease, and the partitions granted under
// it. Targets that check grants keep one, and so does every router.
#ifndef FIGSTALL_HOLDER_LEASE_H_
#define FIGSTALL_HOLDER_LEASE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "figstall/messages.h"

namespace figstall {

// Decides, on the holder's own clock, what the holder may do.
//
//   HolderLease lease(VmId("t1"), incarnation);
//   HolderStatus reply = lease.Apply(now, order);
//   if (lease.MayServe(now, partition)) Run(request);
class HolderLease {
 public:
  // Tells whether requests of a revoked partition are still being worked on.
  using InFlightProbe = std::function<bool(const PartitionKey&)>;

  HolderLease(
      VmId holder,
      std::uint64_t incarnation,
      InFlightProbe in_flight = [](const PartitionKey&) { return false; });

  // Applies an order and answers it; never fails, but may refuse.
  HolderStatus Apply(Instant now, const HolderOrder& order);

  // True while the lease stands; a lapsed lease never stands again.
  bool IsLeaseValid(Instant now);

  // The row under which `key` may be served at `now`, if any.
  std::optional<PartitionRow> MayServe(Instant now, const PartitionKey& key);

  // The lease stands before this instant; empty if it does not stand.
  const std::optional<Instant>& valid_until() const { return valid_until_; }

  // As MayServe, but changes nothing, so that readers may share a lock.
  const PartitionRow* FindValidRow(Instant now, const PartitionKey& key) const;

  // The row last granted, whether or not the lease still stands.
  const std::map<PartitionKey, PartitionRow>& rows() const { return rows_; }

 private:
  void Open(const HolderOrder& order);
  void Renew(Instant now, const HolderOrder& order);
  void Grant(const HolderOrder& order);
  void Revoke(const HolderOrder& order);
  HolderStatus Status(Instant now, const HolderOrder& order, bool refused);
  std::vector<PartitionKey> StillDraining();

  const VmId holder_;
  const std::uint64_t incarnation_;
  const InFlightProbe in_flight_;
  // Orders of a lower epoch are refused.
  Epoch epoch_ = 0;
  FencingToken lease_;
  // The lease stands while now < valid_until_; empty once lapsed.
  std::optional<Instant> valid_until_;
  std::map<PartitionKey, PartitionRow> rows_;
  // Partitions given up whose requests in flight may not have ended.
  std::set<PartitionKey> draining_;
  // No grant of a partition below this term is accepted any more.
  std::map<PartitionKey, FencingToken> min_terms_;
  // Greatest change number obeyed, of the leader of epoch_ and under lease_.
  std::uint64_t change_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_HOLDER_LEASE_H_
