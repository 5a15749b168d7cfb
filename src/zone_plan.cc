#include "figstall/zone_plan.h"

#include <algorithm>

namespace figstall {

bool ServicePlan::IsFrozen(std::uint32_t partition) const {
  return frozen || std::find(frozen_partitions.begin(), frozen_partitions.end(),
                             partition) != frozen_partitions.end();
}

const ServicePlan* ZonePlan::FindService(const ServiceId& id) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const auto& s) { return s.id == id; });
  return found == services.end() ? nullptr : &*found;
}

const TargetPlan* ZonePlan::FindTarget(const VmId& id) const {
  const auto found = std::find_if(targets.begin(), targets.end(),
                                  [&](const auto& t) { return t.id == id; });
  return found == targets.end() ? nullptr : &*found;
}

bool ZonePlan::IsRouter(const VmId& id) const {
  return std::find(routers.begin(), routers.end(), id) != routers.end();
}

}  // namespace figstall
