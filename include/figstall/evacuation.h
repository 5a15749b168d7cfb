// Zones that an operator evacuates: nothing more is sent to targets of such a
// zone from a limit after the store has acknowledged the evacuation until it is
// cancelled. Answers the load pattern of a whole zone whose load has to go to
// the others within seconds. Performs no I/O and has no clock.
#ifndef FIGSTALL_EVACUATION_H_
#define FIGSTALL_EVACUATION_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "figstall/types.h"

namespace figstall {

struct Evacuation {
  // When this process learned of it.
  Instant known_since{};
  // Until when owners of keys in the zone may get requests, while their keys
  // move.
  Instant owners_until{};

  friend auto operator<=>(const Evacuation&, const Evacuation&) = default;
};

// The evacuations in force, by zone.
using Evacuations = std::map<ZoneId, Evacuation>;

// Whether a target of the zone may get a request. `owns_key`: the target owns
// the key of the request, so no other one can serve it.
bool MayReceive(const Evacuations& evacuations,
                const ZoneId& zone,
                bool owns_key,
                Instant now);

struct EvacuationTiming {
  // Time from the store's acknowledgement of an evacuation after which nothing
  // may reach a target of the zone.
  Duration limit{0};
  // An evacuation that is missing from a store which came back from an older
  // copy stays in force until this long after the return was noticed. Operators
  // write again what the copy lacks; in docs/incidents/restored-store.md their
  // next write came 4.5 s after the return.
  Duration post_restore_hold = std::chrono::milliseconds(6000);
};

// Follows which evacuations are in the store.
class EvacuationTracker {
 public:
  explicit EvacuationTracker(EvacuationTiming timing) : timing_(timing) {}

  // All changes of the store up to this time have been reported here, so an
  // evacuation that is reported later was acknowledged later.
  void OnConfirmed(Instant confirmed_at) { confirmed_at_ = confirmed_at; }
  // Returns true if this evacuation was not in force.
  bool OnWritten(Instant now, const ZoneId& zone);
  // Returns true if the evacuation ends at once.
  bool OnRemoved(Instant now, const ZoneId& zone);
  // The store came back from an older copy, in which evacuations may be
  // missing.
  void OnStoreRestored(Instant now);
  // Ends those that did not reappear in a restored store in time, and returns
  // their zones.
  std::vector<ZoneId> TakeLapsed(Instant now);

  const Evacuations& in_force() const { return in_force_; }
  // Time since which a change that is reported now may have been acknowledged;
  // nullopt if that is not known.
  std::optional<Duration> MaxAge(Instant now) const;

 private:
  const EvacuationTiming timing_;
  std::optional<Instant> confirmed_at_;
  std::optional<Instant> restored_at_;
  Evacuations in_force_;
  // Those that the restored store has not confirmed. A subset of `in_force_`.
  std::set<ZoneId> unconfirmed_;
  // When evacuations that are missing from the restored store end. A subset of
  // `unconfirmed_`.
  std::map<ZoneId, Instant> lapse_at_;
};

}  // namespace figstall

#endif  // FIGSTALL_EVACUATION_H_
