// Lease renewal by a steward: which leases it renews, with which stamp, and
// when each holder last replied.
#ifndef FIGSTALL_LEASE_RENEWER_H_
#define FIGSTALL_LEASE_RENEWER_H_

#include <map>
#include <optional>
#include <vector>

#include "figstall/messages.h"

namespace figstall {

// Renews leases with the latest stamp received from each holder. A sealed lease
// is never renewed again, even if a leader asks for it. `interval` is the time
// between two orders to a holder, `validity` the lease duration.
class LeaseRenewer {
 public:
  LeaseRenewer(Duration interval, Duration validity);

  // Sets the holders to which orders are sent: probes until a lease is known,
  // renewals afterwards.
  void SetMonitoredHolders(const std::vector<VmId>& holders);

  // Renews `lease`, which the leader reports as open, unless it is sealed.
  void StartRenewing(const VmId& holder, FencingToken lease);

  // Stops renewing every lease of `holder` up to and including `lease`.
  void Seal(const VmId& holder, FencingToken lease);

  // Stops renewing all leases. Seals and received statuses are kept.
  void DropLeases();

  void OnStatus(Instant now, const HolderStatus& status);

  // Returns the orders that are due: renewals, and probes of holders whose
  // lease is unknown.
  std::vector<HolderOrder> DueOrders(Instant now);

  // Makes the next order to `holder` due at once.
  void ScheduleNow(const VmId& holder);
  // True if ScheduleNow was called since the last DueOrders.
  bool order_expedited() const { return order_expedited_; }

  bool RespondedWithin(const VmId& holder, Instant now, Duration window) const;
  // Time since the holder's last status was received; at most `validity`.
  Duration TimeSinceStatus(const VmId& holder, Instant now) const;
  // Time since the newest stamp sent in a renewal by this steward was received;
  // at most `validity`. No renewal by this steward keeps a lease valid for
  // longer than `validity` after that stamp was received.
  Duration SentStampAge(const VmId& holder, Instant now) const;
  // Returns the latest stamp and records it as sent, for an order that is about
  // to be sent.
  std::optional<Stamp> TakeStampToSend(const VmId& holder);
  std::optional<HolderStatus> LatestStatus(const VmId& holder) const;
  FencingToken LeaseOf(const VmId& holder) const;
  std::vector<VmId> monitored_holders() const;

 private:
  struct Entry {
    FencingToken lease;
    // All leases up to and including this one are sealed.
    FencingToken sealed;
    std::optional<HolderStatus> status;
    std::optional<Instant> status_received_at;
    // When the newest stamp sent in an order was received.
    std::optional<Instant> sent_stamp_received_at;
    std::optional<Instant> order_sent_at;
    bool monitored = false;
  };

  // Time since `instant`, at most `validity_`; `validity_` if there is none.
  Duration CappedAge(const std::optional<Instant>& instant, Instant now) const;

  const Duration renew_interval_;
  const Duration validity_;
  std::map<VmId, Entry> entries_;
  bool order_expedited_ = false;
};

}  // namespace figstall

#endif  // FIGSTALL_LEASE_RENEWER_H_
