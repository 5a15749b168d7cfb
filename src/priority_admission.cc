// Rates are exponentially weighted; the guaranteed minimum of a class is a
// number of requests that grows with its arrivals and falls with what is
// served.
#include "figstall/priority_admission.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace figstall {
namespace {

// Time constant of arrival and service rates: several response times, but less
// than demand takes to change.
constexpr Duration kRateDecayTime = std::chrono::seconds(2);
// Share of the arrivals of a class that is not held back for more urgent ones.
constexpr double kGuaranteedShare = 0.1;
// A class that got nothing for long does not get all of it at once.
constexpr double kMaxOwed = 3;
// Less urgent requests have ceased to yield after this time without one.
constexpr Duration kYieldEnd = std::chrono::seconds(2);
// Assumed while nothing was served, per second.
constexpr double kMinServiceRate = 1;

double Decay(Duration elapsed) {
  return std::exp(-static_cast<double>(std::max(elapsed, Duration{0}).count()) /
                  static_cast<double>(kRateDecayTime.count()));
}

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace

void ArrivalRate::OnArrival(Instant now) {
  weighted_count_ = weighted_count_ * Decay(now - counted_at_) + 1;
  counted_at_ = now;
}

double ArrivalRate::At(Instant now) const {
  return weighted_count_ * Decay(now - counted_at_) / Seconds(kRateDecayTime);
}

Duration ReturnSchedule::Next(Instant now,
                              Duration earliest,
                              Duration latest,
                              double random) {
  const Duration interval(static_cast<Duration::rep>(
      1e6 / std::max(kMinServiceRate, served_.At(now))));
  latest = std::max(earliest, latest);
  const Instant scheduled = std::max(next_return_at_, now + earliest);
  if (scheduled > now + latest)
    return earliest + Scaled(latest - earliest, random);
  next_return_at_ = scheduled + interval;
  return scheduled - now;
}

void PriorityAdmission::OnDesiredState(const DesiredState& state) {
  std::map<ServiceId, std::set<std::uint32_t>> priorities;
  for (const IngressRoute& route : state.routes) {
    for (const WeightedService& service : route.services) {
      if (service.weight > 0)
        priorities[service.service].insert(route.priority);
    }
  }
  std::map<ServiceId, Service> services;
  for (const auto& [id, shared] : priorities) {
    if (shared.size() < 2)
      continue;
    Service& service = services[id];
    const auto earlier = services_.find(id);
    if (earlier != services_.end())
      service = std::move(earlier->second);
    std::erase_if(service.classes, [&shared = shared](const auto& each) {
      return !shared.contains(each.first);
    });
    for (const std::uint32_t priority : shared)
      service.classes.try_emplace(priority);
  }
  services_ = std::move(services);
}

PriorityAdmission::Class* PriorityAdmission::FindClass(const ServiceId& service,
                                                       std::uint32_t priority) {
  const auto found = services_.find(service);
  if (found == services_.end())
    return nullptr;
  const auto each = found->second.classes.find(priority);
  return each == found->second.classes.end() ? nullptr : &each->second;
}

void PriorityAdmission::OnLoadStated(const ServiceId& service) {
  const auto found = services_.find(service);
  if (found != services_.end())
    found->second.load_stated = true;
}

bool PriorityAdmission::Applies(const ServiceId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.load_stated;
}

void PriorityAdmission::OnArrival(Instant now,
                                  const ServiceId& service,
                                  std::uint32_t priority) {
  Class* each = FindClass(service, priority);
  if (!each)
    return;
  each->arrivals.OnArrival(now);
  each->owed = std::min(kMaxOwed, each->owed + kGuaranteedShare);
}

void PriorityAdmission::OnServed(Instant now,
                                 const ServiceId& service,
                                 std::uint32_t priority,
                                 bool by_minimum) {
  Class* each = FindClass(service, priority);
  if (!each)
    return;
  each->returns.OnServed(now);
  if (!by_minimum)
    each->owed = std::max(0.0, each->owed - 1);
}

std::optional<double> PriorityAdmission::ReservedAtTarget(
    Instant now,
    const ServiceId& service,
    std::uint32_t priority,
    Duration response_time,
    std::size_t routers,
    std::size_t targets) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.load_stated || targets == 0)
    return std::nullopt;
  std::optional<double> rate;
  for (const auto& [other, each] : found->second.classes) {
    if (other < priority)
      rate = rate.value_or(0) + each.arrivals.At(now);
  }
  if (!rate)
    return std::nullopt;
  return *rate * Seconds(response_time) * static_cast<double>(routers) /
         static_cast<double>(targets);
}

bool PriorityAdmission::TakeMinimum(const ServiceId& service,
                                    std::uint32_t priority) {
  Class* each = FindClass(service, priority);
  if (!each || each->owed < 1)
    return false;
  --each->owed;
  return true;
}

std::optional<PriorityChange> PriorityAdmission::OnYield(
    Instant now,
    const ServiceId& service) {
  const auto found = services_.find(service);
  if (found == services_.end())
    return std::nullopt;
  Service& each = found->second;
  each.last_yield_at = now;
  ++each.yielded;
  if (each.yielding_since)
    return std::nullopt;
  each.yielding_since = now;
  each.yielded = 1;
  return PriorityChange{service, true, 1, {}};
}

std::vector<PriorityChange> PriorityAdmission::TakeEnded(Instant now) {
  std::vector<PriorityChange> ended;
  for (auto& [id, each] : services_) {
    if (!each.yielding_since || now - each.last_yield_at < kYieldEnd)
      continue;
    ended.push_back(
        {id, false, each.yielded, each.last_yield_at - *each.yielding_since});
    each.yielding_since.reset();
  }
  return ended;
}

Duration PriorityAdmission::ReturnAfter(Instant now,
                                        const ServiceId& service,
                                        std::uint32_t priority,
                                        Duration earliest,
                                        Duration latest,
                                        double random) {
  Class* each = FindClass(service, priority);
  return each ? each->returns.Next(now, earliest, latest, random) : earliest;
}

}  // namespace figstall
