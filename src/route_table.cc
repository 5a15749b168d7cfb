// Updates of the table of partition owners, and its look-ups.
#include "figstall/route_table.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace figstall {

InFlightGuard::InFlightGuard(Counters counters, std::uint32_t partition)
    : counters_(std::move(counters)), partition_(partition) {
  ++counters_[partition_];
}

InFlightGuard::InFlightGuard(InFlightGuard&& other) noexcept
    : counters_(std::move(other.counters_)), partition_(other.partition_) {}

InFlightGuard& InFlightGuard::operator=(InFlightGuard&& other) noexcept {
  std::swap(counters_, other.counters_);
  std::swap(partition_, other.partition_);
  return *this;
}

InFlightGuard::~InFlightGuard() {
  if (counters_)
    --counters_[partition_];
}

RouteTable::RouteTable(VmId router, std::uint64_t incarnation, ZoneId zone)
    : zone_(std::move(zone)),
      holder_lease_(std::move(router),
                    incarnation,
                    [this](const PartitionKey& key) { return InFlight(key); }) {
}

void RouteTable::SetConfiguration(const Configuration& configuration) {
  const std::unique_lock lock(mutex_);
  std::vector<Service> next;
  for (const ServiceRecord& record : configuration.records().services) {
    if (!record.exclusive)
      continue;
    const int known = FindService(record.id);
    Service service;
    if (known >= 0)
      service = std::move(services_[known]);
    service.id = record.id;
    service.checks_grants = record.checks_grants;
    service.rows.resize(record.partitions);
    if (!service.in_flight) {
      service.in_flight.reset(
          new std::atomic<std::uint32_t>[record.partitions]());
    }
    for (std::uint32_t p = 0; p < record.partitions; ++p) {
      const ZoneId& home = configuration.HomeZoneOf(record, p);
      const auto found =
          std::find_if(record.home_weights.begin(), record.home_weights.end(),
                       [&](const HomeWeight& w) { return w.zone == home; });
      service.rows[p].home =
          static_cast<std::uint16_t>(found - record.home_weights.begin());
      service.rows[p].home_here = home == zone_;
    }
    next.push_back(std::move(service));
  }
  services_ = std::move(next);
  for (const auto& [key, row] : std::exchange(rows_without_service_, {}))
    ApplyHint(row);
  for (const auto& [key, row] : holder_lease_.rows()) {
    if (Row* known_row = FindRow(key))
      known_row->granted = row.term;
  }
  configured_ = true;
  UpdateAllOwnersKnown();
}

HolderStatus RouteTable::Apply(Instant now, const HolderOrder& order) {
  const std::unique_lock lock(mutex_);
  HolderStatus status = holder_lease_.Apply(now, order);
  const bool obsolete = order.epoch != 0 && order.epoch < status.epoch;
  if (obsolete)
    return status;
  for (const PartitionRow& row : order.hints)
    ApplyHint(row);
  for (const PartitionRow& row : order.grants)
    ApplyHint(row);
  ApplyGrants(order, status);
  UpdateAllOwnersKnown();
  return status;
}

void RouteTable::UpdateAllOwnersKnown() {
  if (all_owners_known_ || !configured_)
    return;
  for (const Service& service : services_) {
    for (const Row& row : service.rows) {
      if (row.home_here && row.target == kNoRouteTarget)
        return;
    }
  }
  all_owners_known_ = true;
}

RouteDecision RouteTable::Decide(Instant now,
                                 const ServiceId& service,
                                 std::uint32_t partition) const {
  const std::shared_lock lock(mutex_);
  const int index = FindService(service);
  if (index < 0)
    return {};
  return DecideLocked(now, services_[index], partition);
}

RoutedRequest RouteTable::BeginRequest(Instant now,
                                       const ServiceId& service,
                                       std::uint32_t partition) {
  const std::shared_lock lock(mutex_);
  RoutedRequest routed;
  const int index = FindService(service);
  if (index < 0)
    return routed;
  const Service& entry = services_[index];
  routed.decision = DecideLocked(now, entry, partition);
  if (routed.decision.kind == RouteKind::kOwner && !entry.checks_grants)
    routed.guard = InFlightGuard(entry.in_flight, partition);
  return routed;
}

VmId RouteTable::TargetVmId(RouteTargetIndex index) const {
  const std::shared_lock lock(mutex_);
  return index < targets_.size() ? targets_[index] : VmId{};
}

RouteDecision RouteTable::DecideLocked(Instant now,
                                       const Service& service,
                                       std::uint32_t partition) const {
  RouteDecision decision;
  if (partition >= service.rows.size())
    return decision;
  const Row& row = service.rows[partition];
  decision.home = row.home;
  if (!row.home_here) {
    decision.kind = RouteKind::kOtherZone;
    return decision;
  }
  if (row.target == kNoRouteTarget)
    return decision;
  if (!service.checks_grants) {
    const auto& until = holder_lease_.valid_until();
    const bool valid = until && now < *until;
    if (!valid || row.granted != row.term)
      return decision;
  }
  decision.kind = RouteKind::kOwner;
  decision.target = row.target;
  decision.term = row.term;
  return decision;
}

void RouteTable::ApplyGrants(const HolderOrder& order,
                             const HolderStatus& status) {
  const bool cleared = status.lease != lease_ || !status.standing;
  lease_ = status.lease;
  if (cleared) {
    for (Service& service : services_) {
      if (service.checks_grants)
        continue;
      for (Row& row : service.rows)
        row.granted = FencingToken{};
    }
  }
  for (const auto* rows : {&order.grants, &order.revokes}) {
    for (const PartitionRow& changed : *rows) {
      Row* row = FindRow(changed.key);
      if (!row)
        continue;
      const auto held = holder_lease_.rows().find(changed.key);
      row->granted = held == holder_lease_.rows().end() ? FencingToken{}
                                                        : held->second.term;
    }
  }
}

RouteTable::Row* RouteTable::FindRow(const PartitionKey& key) {
  const int index = FindService(key.service);
  if (index < 0 || key.partition >= services_[index].rows.size())
    return nullptr;
  return &services_[index].rows[key.partition];
}

void RouteTable::ApplyHint(const PartitionRow& row) {
  Row* known_row = FindRow(row.key);
  if (!known_row) {
    PartitionRow& stored = rows_without_service_[row.key];
    if (stored.term < row.term)
      stored = row;
    return;
  }
  if (row.term < known_row->term)
    return;
  known_row->term = row.term;
  known_row->target = IndexOf(row.owner);
}

RouteTargetIndex RouteTable::IndexOf(const VmId& target) {
  const auto next = static_cast<RouteTargetIndex>(targets_.size());
  const auto [it, added] = target_index_.emplace(target, next);
  if (added)
    targets_.push_back(target);
  return it->second;
}

bool RouteTable::InFlight(const PartitionKey& key) const {
  const int index = FindService(key.service);
  if (index < 0 || key.partition >= services_[index].rows.size())
    return false;
  return services_[index].in_flight[key.partition].load() > 0;
}

int RouteTable::FindService(const ServiceId& service) const {
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].id == service)
      return static_cast<int>(i);
  }
  return -1;
}

}  // namespace figstall
