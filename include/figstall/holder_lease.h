// A holder's lease and the partitions granted under it. Each target that checks
// grants has one, and so does every router.
#ifndef FIGSTALL_HOLDER_LEASE_H_
#define FIGSTALL_HOLDER_LEASE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "figstall/messages.h"

namespace figstall {

// Decides, by the holder's own clock, which partitions the holder may serve.
//
//   HolderLease lease(VmId("t1"), incarnation);
//   HolderStatus reply = lease.Apply(now, order);
//   if (lease.MayServe(now, partition)) Run(request);
class HolderLease {
 public:
  // Returns true while requests of a revoked partition are in flight.
  using InFlightProbe = std::function<bool(const PartitionKey&)>;

  HolderLease(
      VmId holder,
      std::uint64_t incarnation,
      InFlightProbe in_flight = [](const PartitionKey&) { return false; });

  // Applies an order and returns the reply. It never fails; the reply may say
  // that the order was refused.
  HolderStatus Apply(Instant now, const HolderOrder& order);

  // Returns true while the lease is valid. An expired lease never becomes valid
  // again.
  bool IsLeaseValid(Instant now);

  // Returns the row under which `key` may be served at `now`, if any.
  std::optional<PartitionRow> MayServe(Instant now, const PartitionKey& key);

  // The lease is valid before this instant; empty if there is no valid lease.
  const std::optional<Instant>& valid_until() const { return valid_until_; }

  // Like MayServe, but const: an expired lease is left in place, so that
  // readers can share a lock.
  const PartitionRow* FindValidRow(Instant now, const PartitionKey& key) const;

  // The rows granted last. The lease may have expired since; the rows are
  // removed by the next non-const call after it expires.
  const std::map<PartitionKey, PartitionRow>& rows() const { return rows_; }

 private:
  void Open(const HolderOrder& order);
  void Renew(Instant now, const HolderOrder& order);
  void Grant(const HolderOrder& order);
  void Revoke(const HolderOrder& order);
  HolderStatus Status(Instant now, const HolderOrder& order, bool refused);
  // Removes the partitions without requests in flight from draining_ and
  // returns the others.
  std::vector<PartitionKey> UpdateDraining();

  const VmId holder_;
  const std::uint64_t incarnation_;
  const InFlightProbe in_flight_;
  // Orders of a lower epoch are refused.
  Epoch epoch_ = 0;
  FencingToken lease_;
  // The lease is valid while now < valid_until_; empty once it has expired.
  std::optional<Instant> valid_until_;
  std::map<PartitionKey, PartitionRow> rows_;
  // Partitions given up that may still have requests in flight.
  std::set<PartitionKey> draining_;
  // Grants of a partition with a term below this one are ignored.
  std::map<PartitionKey, FencingToken> min_terms_;
  // The greatest change number applied from the leader of epoch_ under lease_.
  std::uint64_t last_change_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_HOLDER_LEASE_H_
