// A router's view of who owns what: one look-up per request, without
// allocation, and the router's own lease for targets that check nothing.
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
  // Send to `target` under `term`.
  kOwner,
  // The partition's home is another zone.
  kOtherZone,
  // The partition is being moved or no owner is known.
  kNoOwner,
};

struct RouteDecision {
  RouteKind kind = RouteKind::kNoOwner;
  RouteTargetIndex target = kNoRouteTarget;
  FencingToken term;
  // Index of the home zone in the service's record, if another's.
  std::uint16_t home = 0;

  friend auto operator<=>(const RouteDecision&, const RouteDecision&) = default;
};

// Counts one request as in flight until destroyed or released. A partition
// fenced by routers is not given up while such work lasts.
class InFlightGuard {
 public:
  using Counters = std::shared_ptr<std::atomic<std::uint32_t>[]>;

  InFlightGuard() = default;
  InFlightGuard(Counters counters, std::uint32_t partition);
  InFlightGuard(InFlightGuard&& other) noexcept;
  InFlightGuard& operator=(InFlightGuard&& other) noexcept;
  ~InFlightGuard();

  // Keeps the request counted for good: its target may still be working on it.
  void KeepCounted() { counters_.reset(); }

 private:
  Counters counters_;
  std::uint32_t partition_ = 0;
};

struct RoutedRequest {
  RouteDecision decision;
  InFlightGuard guard;
};

// Thread-safe. Look-ups share a lock; orders of stewards and new
// configurations take it alone.
class RouteTable {
 public:
  RouteTable(VmId router, std::uint64_t incarnation, ZoneId zone);

  // Rebuilds the table for a new configuration, keeping what is known.
  void SetConfiguration(const Configuration& configuration);

  // Applies a steward's order as a lease holder.
  HolderStatus Apply(Instant now, const HolderOrder& order);

  RouteDecision Decide(Instant now,
                       const ServiceId& service,
                       std::uint32_t partition) const;

  // Decides and, if this router is the partition's fence, counts the request
  // as in flight in one step.
  RoutedRequest BeginRequest(Instant now,
                             const ServiceId& service,
                             std::uint32_t partition);

  // True once an owner of every partition at home was known.
  bool AllOwnersKnown() const { return complete_; }

  VmId TargetVmId(RouteTargetIndex index) const;

 private:
  struct Row {
    FencingToken term;
    // Fencing token under which this router, as the fence, may send; empty if
    // none.
    FencingToken granted;
    RouteTargetIndex target = kNoRouteTarget;
    std::uint16_t home = 0;
    bool home_here = false;
  };

  struct Service {
    ServiceId id;
    bool checks_grants = true;
    std::vector<Row> rows;
    // One per partition; used only where the router is the fence.
    InFlightGuard::Counters in_flight;
  };

  RouteDecision DecideLocked(Instant now,
                             const Service& service,
                             std::uint32_t partition) const;
  void ApplyGrants(const HolderOrder& order, const HolderStatus& status);
  Row* FindRow(const PartitionKey& key);
  void CheckComplete();
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
  std::atomic<bool> complete_ = false;
  bool configured_ = false;
  // Rows told before the configuration that declares their service.
  std::map<PartitionKey, PartitionRow> rows_without_service_;
  // The lease that the rows' grants belong to.
  FencingToken lease_;
};

}  // namespace figstall

#endif  // FIGSTALL_ROUTE_TABLE_H_
