// The renewer's side of leases: which ones this steward renews, with which
// stamp, and when each holder was last heard.
#ifndef FIGSTALL_LEASE_KEEPER_H_
#define FIGSTALL_LEASE_KEEPER_H_

#include <map>
#include <optional>
#include <vector>

#include "figstall/messages.h"

namespace figstall {

// Renews standing leases and remembers stamps. A sealed lease is never renewed
// again, whoever asks for it.
class LeaseKeeper {
 public:
  LeaseKeeper(Duration interval, Duration validity);

  // Holders that are probed and, once a lease is known, renewed.
  void Watch(const std::vector<VmId>& holders);

  // Takes over the leader's word that `lease` stands.
  void Adopt(const VmId& holder, Term lease);

  // Stops renewing every lease of `holder` up to and including `lease`.
  void Seal(const VmId& holder, Term lease);

  // Forgets all leases, but not what is sealed or when holders were heard.
  void DropLeases();

  void OnStatus(Instant now, const HolderStatus& status);

  // Orders that are due: renewals, and probes where no lease is known.
  std::vector<HolderOrder> DueOrders(Instant now);

  // Makes the next order to `holder` due at once.
  void ForceDue(const VmId& holder);
  // True if an order was made due since DueOrders was last asked.
  bool forced() const { return forced_; }

  bool HeardWithin(const VmId& holder, Instant now, Duration window) const;
  // Time since the holder was last heard; `validity` at most.
  Duration HeardAge(const VmId& holder, Instant now) const;
  // Time since the newest stamp that this steward ever sent in a renewal was
  // received; `validity` at most. No lease lasts longer than validity past it.
  Duration UsedStampAge(const VmId& holder, Instant now) const;
  // Takes the latest stamp for an order that is about to be sent.
  std::optional<Stamp> UseStamp(const VmId& holder);
  std::optional<HolderStatus> LatestStatus(const VmId& holder) const;
  Term LeaseOf(const VmId& holder) const;
  std::vector<VmId> watched() const;

 private:
  struct Entry {
    Term lease;
    // Leases up to this one are sealed.
    Term sealed;
    std::optional<HolderStatus> status;
    std::optional<Instant> heard_at;
    // When the newest stamp that was sent in an order had been received.
    std::optional<Instant> used_at;
    std::optional<Instant> sent_at;
    bool watched = false;
  };

  Duration AgeOf(const std::optional<Instant>& instant, Instant now) const;

  const Duration interval_;
  const Duration validity_;
  std::map<VmId, Entry> entries_;
  bool forced_ = false;
};

}  // namespace figstall

#endif  // FIGSTALL_LEASE_KEEPER_H_
