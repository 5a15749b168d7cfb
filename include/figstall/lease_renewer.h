// The renewer's side of leases: which ones this steward renews, with which
// stamp, and when each holder was last heard.
#ifndef FIGSTALL_LEASE_RENEWER_H_
#define FIGSTALL_LEASE_RENEWER_H_

#include <map>
#include <optional>
#include <vector>

#include "figstall/messages.h"

namespace figstall {

// Renews standing leases and remembers stamps. A sealed lease is never renewed
// again, whoever asks for it.
class LeaseRenewer {
 public:
  LeaseRenewer(Duration interval, Duration validity);

  // Holders that are probed and, once a lease is known, renewed.
  void SetMonitoredHolders(const std::vector<VmId>& holders);

  // Takes over the leader's word that `lease` stands.
  void StartRenewing(const VmId& holder, FencingToken lease);

  // Stops renewing every lease of `holder` up to and including `lease`.
  void Seal(const VmId& holder, FencingToken lease);

  // Forgets all leases, but not what is sealed or when holders were heard.
  void DropLeases();

  void OnStatus(Instant now, const HolderStatus& status);

  // Orders that are due: renewals, and probes where no lease is known.
  std::vector<HolderOrder> DueOrders(Instant now);

  // Makes the next order to `holder` due at once.
  void ScheduleNow(const VmId& holder);
  // True if an order was made due since DueOrders was last asked.
  bool forced() const { return forced_; }

  bool RespondedWithin(const VmId& holder, Instant now, Duration window) const;
  // Time since the holder was last heard; `validity` at most.
  Duration TimeSinceStatus(const VmId& holder, Instant now) const;
  // Time since the newest stamp that this steward ever sent in a renewal was
  // received; `validity` at most. No lease lasts longer than validity past it.
  Duration SentStampAge(const VmId& holder, Instant now) const;
  // Takes the latest stamp for an order that is about to be sent.
  std::optional<Stamp> TakeStampToSend(const VmId& holder);
  std::optional<HolderStatus> LatestStatus(const VmId& holder) const;
  FencingToken LeaseOf(const VmId& holder) const;
  std::vector<VmId> monitored_holders() const;

 private:
  struct Entry {
    FencingToken lease;
    // Leases up to this one are sealed.
    FencingToken sealed;
    std::optional<HolderStatus> status;
    std::optional<Instant> status_received_at;
    // When the newest stamp that was sent in an order had been received.
    std::optional<Instant> sent_stamp_received_at;
    std::optional<Instant> sent_at;
    bool monitored = false;
  };

  Duration AgeOf(const std::optional<Instant>& instant, Instant now) const;

  const Duration interval_;
  const Duration validity_;
  std::map<VmId, Entry> entries_;
  bool forced_ = false;
};

}  // namespace figstall

#endif  // FIGSTALL_LEASE_RENEWER_H_
