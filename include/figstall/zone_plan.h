// The part of the configuration that concerns one availability zone, as its
// stewards use it.
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
  // Partitions whose home zone is this zone.
  std::vector<std::uint32_t> partitions;
  // If true, the targets check grants and refuse requests for partitions that
  // are not granted to them. If false, the routers check the grants instead.
  bool checks_grants = true;
  // The longest time that a target may work on a request.
  Duration max_deadline = std::chrono::seconds(10);
  // If true, partitions move only away from targets that are lost or leaving.
  bool frozen = false;
  // Partitions that contain a key whose record freezes it.
  std::vector<std::uint32_t> frozen_partitions;
  // Expected relative load of each entry of `partitions`; empty if all are
  // equal.
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
  // VMs that an operator's record declares permanently lost.
  std::vector<VmId> declared_lost;

  const ServicePlan* FindService(const ServiceId& id) const;
  const TargetPlan* FindTarget(const VmId& id) const;
  bool IsRouter(const VmId& id) const;

  friend bool operator==(const ZonePlan&, const ZonePlan&) = default;
};

}  // namespace figstall

#endif  // FIGSTALL_ZONE_PLAN_H_
