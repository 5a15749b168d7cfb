// A router's table of partition owners, with one look-up per request that does
// not allocate, and the router's own lease, which fences partitions of targets
// that do not check grants.
#ifndef FIGSTALL_ROUTE_TABLE_H_
#define FIGSTALL_ROUTE_TABLE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <shared_mutex>
#include <vector>

#include "figstall/configuration.h"
#include "figstall/holder_lease.h"

namespace figstall {

// Index of a target within a route table's target list.
using RouteTargetIndex = std::uint16_t;
inline constexpr RouteTargetIndex kNoRouteTarget = 0xffff;

enum class RouteKind {
  // Send to `target` with the fencing token `term`.
  kOwner,
  // The partition's home zone is another one.
  kOtherZone,
  // The partition is being moved or no owner is known.
  kNoOwner,
};

struct RouteDecision {
  RouteKind kind = RouteKind::kNoOwner;
  RouteTargetIndex target = kNoRouteTarget;
  FencingToken term;
  // Index of the home zone in the home weights of the service's record.
  std::uint16_t home = 0;

  friend auto operator<=>(const RouteDecision&, const RouteDecision&) = default;
};

// Counts one request as in flight until the guard is destroyed. A router does
// not release a partition that it fences while requests are in flight.
class InFlightGuard {
 public:
  using Counters = std::shared_ptr<std::atomic<std::uint32_t>[]>;

  InFlightGuard() = default;
  InFlightGuard(Counters counters, std::uint32_t partition);
  InFlightGuard(InFlightGuard&& other) noexcept;
  InFlightGuard& operator=(InFlightGuard&& other) noexcept;
  ~InFlightGuard();

  // Leaves the request counted forever, because its target may still be running
  // it.
  void KeepCounted() { counters_.reset(); }

 private:
  Counters counters_;
  std::uint32_t partition_ = 0;
};

struct RoutedRequest {
  RouteDecision decision;
  InFlightGuard guard;
};

// Thread-safe. Look-ups hold the lock shared; orders of stewards and new
// configurations hold it exclusively.
class RouteTable {
 public:
  RouteTable(VmId router, std::uint64_t incarnation, ZoneId zone);

  // Rebuilds the table for a new configuration and keeps the known owners.
  void SetConfiguration(const Configuration& configuration);

  // Applies a steward's order as a lease holder.
  HolderStatus Apply(Instant now, const HolderOrder& order);

  RouteDecision Decide(Instant now,
                       const ServiceId& service,
                       std::uint32_t partition) const;

  // Decides and, if this router fences the partition, counts the request as in
  // flight, both under one lock.
  RoutedRequest BeginRequest(Instant now,
                             const ServiceId& service,
                             std::uint32_t partition);

  // True once an owner was known for every partition whose home zone is this
  // one; it stays true.
  bool AllOwnersKnown() const { return all_owners_known_; }

  VmId TargetVmId(RouteTargetIndex index) const;

 private:
  struct Row {
    FencingToken term;
    // Fencing token with which this router may send if it fences the partition;
    // empty if it has no grant.
    FencingToken granted;
    RouteTargetIndex target = kNoRouteTarget;
    std::uint16_t home = 0;
    bool home_here = false;
  };

  struct Service {
    ServiceId id;
    bool checks_grants = true;
    std::vector<Row> rows;
    // One per partition; counted only if routers fence the service's
    // partitions.
    InFlightGuard::Counters in_flight;
  };

  RouteDecision DecideLocked(Instant now,
                             const Service& service,
                             std::uint32_t partition) const;
  void ApplyGrants(const HolderOrder& order, const HolderStatus& status);
  Row* FindRow(const PartitionKey& key);
  void UpdateAllOwnersKnown();
  void ApplyHint(const PartitionRow& row);
  RouteTargetIndex IndexOf(const VmId& target);
  bool InFlight(const PartitionKey& key) const;
  int FindService(const ServiceId& service) const;

  const ZoneId zone_;
  mutable std::shared_mutex mutex_;
  std::vector<Service> services_;
  std::vector<VmId> targets_;
  std::map<VmId, RouteTargetIndex> target_index_;
  HolderLease holder_lease_;
  std::atomic<bool> all_owners_known_ = false;
  bool configured_ = false;
  // Rows received before the configuration that declares their service.
  std::map<PartitionKey, PartitionRow> rows_without_service_;
  // The lease to which the rows' grants belong.
  FencingToken lease_;
};

}  // namespace figstall

#endif  // FIGSTALL_ROUTE_TABLE_H_
