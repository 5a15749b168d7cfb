// Divides the capacity of a service among routes of different priority. Takes
// time and random numbers as arguments. Performs no I/O.
//
// Load pattern: routes compete for the insufficient capacity of a service they
// share, so that less urgent requests take slots for want of which more urgent
// ones are rejected; and callers that were rejected return all at once, to be
// rejected again.
#ifndef FIGSTALL_PRIORITY_ADMISSION_H_
#define FIGSTALL_PRIORITY_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "figstall/desired_state.h"
#include "figstall/types.h"

namespace figstall {

// Arrivals per second, smoothed exponentially.
class ArrivalRate {
 public:
  void OnArrival(Instant now);
  double At(Instant now) const;

 private:
  // Arrivals, each of which counts less the older it is.
  double weighted_count_ = 0;
  Instant counted_at_{};
};

// Spreads the returns of callers whose requests were refused.
class ReturnSchedule {
 public:
  // A request could be served again at this rate.
  void OnServed(Instant now) { served_.OnArrival(now); }
  // Time after which a caller refused now returns. Successive callers are one
  // service time apart, from `earliest` on; those for whom that is later than
  // `latest` return at random times between both.
  Duration Next(Instant now, Duration earliest, Duration latest, double random);

 private:
  ArrivalRate served_;
  Instant next_return_at_{};
};

// A change for the log: less urgent requests begin or cease to yield.
struct PriorityChange {
  ServiceId service;
  bool began = false;
  // Requests that yielded, and how long.
  std::uint64_t yielded = 0;
  Duration lasted{0};

  friend bool operator==(const PriorityChange&,
                         const PriorityChange&) = default;
};

class PriorityAdmission {
 public:
  // Services that routes of different priority share, by the desired state.
  void OnDesiredState(const DesiredState& state);

  // A target of the service stated its load. Without statements a router knows
  // too little of a target: reserving room by its own requests alone refused
  // more than it saved.
  void OnLoadStated(const ServiceId& service);
  // Whether routes of different priority share the service and its targets
  // state their load.
  bool Applies(const ServiceId& service) const;
  void OnArrival(Instant now, const ServiceId& service, std::uint32_t priority);
  // `by_minimum`: TakeMinimum() returned true for the request.
  void OnServed(Instant now,
                const ServiceId& service,
                std::uint32_t priority,
                bool by_minimum);

  // Requests of higher priority than `priority` that are expected at each
  // target of the service within `response_time`, from all `routers`, if each
  // receives as many as this one. A less urgent request is sent to a target
  // only if it leaves room for these. None if no request is more urgent.
  std::optional<double> ReservedAtTarget(Instant now,
                                         const ServiceId& service,
                                         std::uint32_t priority,
                                         Duration response_time,
                                         std::size_t routers,
                                         std::size_t targets) const;
  // A request that has to yield: whether it is served nevertheless, since its
  // class has got less than the guaranteed minimum.
  bool TakeMinimum(const ServiceId& service, std::uint32_t priority);
  // Records that a request yields. Returns a change if it is the first.
  std::optional<PriorityChange> OnYield(Instant now, const ServiceId& service);
  // The services in which no request has yielded for a while.
  std::vector<PriorityChange> TakeEnded(Instant now);

  Duration ReturnAfter(Instant now,
                       const ServiceId& service,
                       std::uint32_t priority,
                       Duration earliest,
                       Duration latest,
                       double random);

 private:
  struct Class {
    ArrivalRate arrivals;
    ReturnSchedule returns;
    // Requests of the guaranteed minimum that were not served. Between zero and
    // kMaxOwed.
    double owed = 0;
  };
  struct Service {
    // By priority; at least two.
    std::map<std::uint32_t, Class> classes;
    bool load_stated = false;
    std::optional<Instant> yielding_since;
    Instant last_yield_at{};
    std::uint64_t yielded = 0;
  };

  Class* FindClass(const ServiceId& service, std::uint32_t priority);

  // Only services that routes of different priority share.
  std::map<ServiceId, Service> services_;
};

}  // namespace figstall

#endif  // FIGSTALL_PRIORITY_ADMISSION_H_
