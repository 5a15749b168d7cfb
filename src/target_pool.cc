// Configuration and selection of the targets of a router's zone.
#include "figstall/target_pool.h"

#include <algorithm>

namespace figstall {
namespace {

constexpr Duration kEjectionDuration = std::chrono::milliseconds(100);
constexpr double kSmoothingFactor = 0.1;
constexpr std::uint32_t kQueuedPerConnection = 4;

// Any lane may take all of the router's share of a target: a service has one
// lane, and the router's own admission separates the lanes.
AdmissionLimits LimitsFor(std::uint32_t connections) {
  AdmissionLimits limits;
  limits.slots = std::max<std::uint32_t>(connections, 1);
  for (LaneLimits& lane : limits.lanes)
    lane = {0, limits.slots, limits.slots * kQueuedPerConnection};
  return limits;
}

}  // namespace

PooledTarget::PooledTarget(const VmRecord& record, std::uint32_t connections)
    : id_(record.id),
      endpoint_(record.http),
      client_(std::max<std::uint32_t>(connections, 1)),
      gate_(LimitsFor(connections)) {}

bool PooledTarget::Ejected(Instant now) const {
  return now.time_since_epoch().count() < ejected_until_us_;
}

void PooledTarget::OnUnreachable(Instant now) {
  ejected_until_us_ = (now + kEjectionDuration).time_since_epoch().count();
}

void PooledTarget::OnAnswer(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  smoothed_seconds_ =
      (1 - kSmoothingFactor) * smoothed_seconds_ + kSmoothingFactor * seconds;
  ejected_until_us_ = 0;
}

double PooledTarget::Load() const {
  return (1.0 + in_flight_) * smoothed_seconds_;
}

void TargetPool::SetConfiguration(const Configuration& configuration) {
  const std::lock_guard lock(mutex_);
  const auto routers = static_cast<std::uint32_t>(
      std::max<std::size_t>(configuration.EntryVms(zone_).size(), 1));
  std::map<VmId, Entry> next;
  usable_.clear();
  for (const VmRecord& vm : configuration.records().vms) {
    const bool in_pool = vm.role == VmRole::kTarget && vm.zone == zone_ &&
                         vm.state != VmState::kLost;
    if (!in_pool)
      continue;
    const auto known = entries_.find(vm.id);
    const bool unchanged = known != entries_.end() &&
                           known->second.record.http == vm.http &&
                           known->second.record.connections == vm.connections;
    Entry entry{vm, nullptr};
    entry.target = unchanged ? known->second.target
                             : std::make_shared<PooledTarget>(
                                   vm, vm.connections / routers);
    if (vm.state != VmState::kLeaving)
      usable_[vm.service].push_back(entry.target);
    next.emplace(vm.id, std::move(entry));
  }
  entries_ = std::move(next);
}

TargetPool::PooledTargetPtr TargetPool::Find(const VmId& target) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(target);
  return found == entries_.end() ? nullptr : found->second.target;
}

TargetPool::PooledTargetPtr TargetPool::PickShared(Instant now,
                                                   const ServiceId& service,
                                                   std::uint64_t draw) const {
  const std::lock_guard lock(mutex_);
  const auto found = usable_.find(service);
  if (found == usable_.end())
    return nullptr;
  std::vector<PooledTargetPtr> candidates;
  for (const PooledTargetPtr& target : found->second) {
    if (!target->Ejected(now))
      candidates.push_back(target);
  }
  if (candidates.empty())
    return nullptr;
  const PooledTargetPtr& first = candidates[draw % candidates.size()];
  const PooledTargetPtr& second = candidates[(draw >> 32) % candidates.size()];
  return first->Load() <= second->Load() ? first : second;
}

}  // namespace figstall
