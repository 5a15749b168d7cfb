// What the configuration says about one availability zone, in the form that
// its stewards work from.
#ifndef FIGSTALL_ZONE_PLAN_H_
#define FIGSTALL_ZONE_PLAN_H_

#include <cstdint>
#include <vector>

#include "figstall/types.h"

namespace figstall {

struct TargetPlan {
  VmId id;
  ServiceId service;
  double capacity = 1.0;
  // Takes no new partitions and gives up those it has.
  bool leaving = false;

  friend auto operator<=>(const TargetPlan&, const TargetPlan&) = default;
};

// One service whose keys are owned exclusively.
struct ServicePlan {
  ServiceId id;
  // Partitions whose home is this zone.
  std::vector<std::uint32_t> partitions;
  // False: routers, not the targets, are the fence.
  bool checks_grants = true;
  // No request lasts longer than this at a target.
  Duration max_deadline = std::chrono::seconds(10);
  // True: partitions move only off targets that are lost or leaving.
  bool frozen = false;
  // Partitions with a key whose record freezes it.
  std::vector<std::uint32_t> frozen_partitions;
  // Expected load of each of `partitions`; empty if all are alike.
  std::vector<double> weights;

  bool IsFrozen(std::uint32_t partition) const;

  friend auto operator<=>(const ServicePlan&, const ServicePlan&) = default;
};

struct ZonePlan {
  std::uint64_t revision = 0;
  std::vector<ServicePlan> services;
  std::vector<TargetPlan> targets;
  std::vector<VmId> routers;
  std::vector<VmId> stewards;
  // VMs that an operator's record declares lost for good.
  std::vector<VmId> declared_lost;

  const ServicePlan* FindService(const ServiceId& id) const;
  const TargetPlan* FindTarget(const VmId& id) const;
  bool IsRouter(const VmId& id) const;

  friend bool operator==(const ZonePlan&, const ZonePlan&) = default;
};

}  // namespace figstall

#endif  // FIGSTALL_ZONE_PLAN_H_
