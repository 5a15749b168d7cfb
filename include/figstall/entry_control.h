// The control of an entry VM: membership, the desired state, the directory of
// targets, grants of key ranges and, on the elected member, their moves. Runs
// on the same Asio loop as the traffic; every decision is a class of its own.
#ifndef FIGSTALL_ENTRY_CONTROL_H_
#define FIGSTALL_ENTRY_CONTROL_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "figstall/entry_settings.h"
#include "figstall/entry_traffic.h"
#include "figstall/entry_view.h"
#include "figstall/load_report.h"
#include "figstall/log.h"
#include "figstall/metrics.h"
#include "figstall/range_granter.h"
#include "figstall/range_mover.h"
#include "figstall/store_connectivity.h"
#include "figstall/store_mirror.h"
#include "figstall/store_relay.h"
#include "figstall/target_absence.h"
#include "platform/store_client.h"

namespace figstall {

struct ControlTiming {
  // Membership: a member that is cut off stops granting after this. Together
  // with the hold of a grant it is how long an outage of the store lapses no
  // key.
  Duration membership_lease_duration = std::chrono::seconds(6);
  Duration membership_renewal_interval = std::chrono::milliseconds(1500);
  // A member that watches the store renews this often, since each renewal also
  // shows that the store is reached; it costs a tenth of a read.
  Duration watcher_renewal_interval = std::chrono::milliseconds(350);
  // The mover's lease; its loss delays moves only.
  Duration mover_lease_duration = std::chrono::milliseconds(2500);
  Duration mover_renewal_interval = std::chrono::milliseconds(800);
  // A lease counts as over this much before it ends, for clocks that differ.
  Duration lease_margin = std::chrono::milliseconds(150);
  Duration store_call_timeout = std::chrono::milliseconds(900);
  // Short, since an open connection may go silent for good; a watch that is not
  // answered soon after that is asked on another one.
  Duration watch_timeout = std::chrono::seconds(2);
  // Between two watches, so that changes in quick succession cost one call.
  Duration watch_interval = std::chrono::milliseconds(150);
  // Members ask their source this often how old its copy is; one that knows of
  // no confirmation for the longer time watches for itself. Both, with the
  // renewals of the reader and three steps to it, stay within the platform's
  // two seconds for a desired state.
  Duration relay_poll_interval = std::chrono::milliseconds(250);
  Duration relay_timeout = std::chrono::milliseconds(1100);
  // Those farther from the reader wait longer, since those nearer mend it for
  // them.
  Duration relay_timeout_per_level = std::chrono::milliseconds(150);
  // Between two reports that name the speed of targets.
  Duration speed_report_interval = std::chrono::seconds(3);
  Duration store_retry_interval = std::chrono::milliseconds(250);
  // Between two looks for grants that are due, if nothing changed.
  Duration grant_check_interval = std::chrono::milliseconds(100);
  // Between two reports to the mover.
  Duration report_interval = std::chrono::milliseconds(300);
  // Between two looks of the mover at the load.
  Duration load_update_interval = std::chrono::milliseconds(100);
  // Between two times that the mover works out the targets' capacities; the
  // speeds that they follow from are told more seldom.
  Duration capacity_update_interval = std::chrono::milliseconds(500);
  // A limit of hot keys holds this long unless it is told again.
  Duration hot_key_limits_duration = std::chrono::milliseconds(1000);
  // A member that could not tell the mover of a move tells the store after
  // this. Where the mover hears all members the move is over by then, since
  // their grants have run out.
  Duration store_report_delay = std::chrono::milliseconds(1900);
};

class EntryControl {
 public:
  EntryControl(boost::asio::io_context& io,
               const EntrySettings& settings,
               std::string incarnation,
               EntryView& view,
               EntryTraffic& traffic,
               Log& log,
               Metrics& metrics);

  // Throws boost::system::system_error if its address cannot be bound.
  void Start();
  void Tick(Instant now);
  // Gives up the membership and the moves.
  void Resign();
  bool ready() const { return view_.routes != nullptr && initial_read_done_; }

 private:
  using StoreResponse = platform::StoreResponse;
  struct MoverState {
    std::unique_ptr<RangeMover> mover;
    RangeTableReader reader;
    Revision revision = 0;
    // A write of unknown fate is resolved by reading before the next.
    bool writing = false;
    bool reading = false;
    std::set<ReleaseRequest> releasing;
  };
  // What is read of the store at once.
  enum class ReadScope {
    // Everything, by a process that knows nothing yet. Only what grants rest on
    // has to be current; the rest may be old, since changes follow, and costs a
    // tenth.
    kFirst,
    // What grants rest on, after a membership was lost.
    kOwn,
    // Everything as it is now, after changes were missed.
    kEverything,
  };
  struct ReadSection {
    std::string prefix;
    bool allow_stale = false;
    std::vector<StoreItem> items;
    // Of its first page.
    Revision revision = 0;
  };
  struct Reading {
    ReadScope scope;
    // It began when this process was a member already; grants need that.
    bool as_member = false;
    std::vector<ReadSection> sections;
    // The section being read.
    std::size_t section = 0;
  };

  void Join();
  void WriteMember(bool then_read);
  void RenewMembership(Instant now);
  void StartReading(ReadScope scope);
  void ReadPage(const std::shared_ptr<Reading>& reading,
                const std::string& after);
  void ApplyReading(const Reading& reading);
  // Listens to the region's reader, or watches the store itself.
  void MaintainSubscription(Instant now);
  // Whom a member listens to. The root of all reads the store itself; the first
  // member of each other region listens to it, the first of each zone to that
  // of its region, and the rest to the first of their zone.
  struct Source {
    // Null: this member reads the store itself.
    const EntryMember* member = nullptr;
    // Without a confirmation for so long it reads for itself.
    Duration relay_timeout{0};
  };
  Source ChooseSource() const;
  // How to tell listeners of an item, if shorter than the item; null else.
  std::optional<ItemDelta> DeltaTo(const StoreItem& item) const;
  // Adds the item that a difference leads to, unless it is known already. False
  // if what it starts from is not known.
  bool ExpandDelta(const ItemDelta& delta, std::vector<StoreItem>& items);
  // How long ago the store's state was confirmed.
  std::optional<Duration> Staleness(Instant now) const;
  void Watch();
  void OnWatch(const StoreResponse& answer);
  void CancelWatch();
  void OnRelayed(const RelayUpdate& update);
  // Takes in what is newer than what was known, and tells it on.
  void ApplySnapshot(const std::vector<StoreItem>& items, Revision revision);
  void ApplyUpdate(const std::vector<StoreItem>& items, Revision cursor);
  // False if it changes nothing that other members need.
  bool Apply(const StoreItem& item);
  void ApplyMover(const StoreItem& item);
  void ApplyDesiredState(const StoreItem& item);
  void LogTarget(const TargetEntry& entry, bool joined, Revision revision);
  bool ApplyTarget(const std::string& id, const StoreItem& item);
  void ApplyMember(const VmId& vm, const StoreItem& item);
  void ApplyTable(const ServiceId& service, const StoreItem& item);
  void RemoveAbsent(Instant now);
  void RecordStoreCall(const StoreResponse& answer, const char* call);
  // Does the work at once, or when a lost store answers again. It is asked by
  // its cheapest call meanwhile.
  void WhenStoreReachable(std::function<void()> work);
  // The same a moment later, after a call that failed.
  void RetryWhenStoreReachable(std::function<void()> work);

  void Campaign(Instant now);
  void RenewMoverLease(Instant now);
  void StepDownAsMover(const char* why);
  bool IsMover(Instant now) const { return now < mover_lease_valid_until_; }
  // Does at once what a change of the view or of a move allows, rather than at
  // the next tick: keys that move are served by nobody.
  void ProcessChanges();
  void UpdateLoad(Instant now);
  const std::map<TargetId, double>& CapacitiesOf(Instant now,
                                                 const ServiceId& service);
  void MoveRanges(Instant now);
  void LogMove(const ServiceId& service, const PlannedMove& move);
  void WriteTable(const ServiceId& service, const RangeTable& next);
  void ReadTable(const ServiceId& service);
  void SendReleases(const ServiceId& service, MoverState& state);
  void SendGrants(Instant now);
  // VMs of the own zone that are members.
  std::vector<VmId> ZoneMembers() const;
  bool ShouldGrant(Instant now,
                   const std::vector<VmId>& zone_members,
                   const ServiceId& service,
                   const RangeEntry& entry) const;
  void ReportInStore(Instant now);
  GrantReport MakeGrantReport(Instant now) const;
  void MergeGrantReport(Instant now,
                        const VmId& vm,
                        const std::string& incarnation,
                        const GrantReport& report);
  void SendReport(Instant now);
  void SendTo(const Endpoint& peer, const std::shared_ptr<std::string>& bytes);
  // Tells all members to limit keys that are hotter than their owners can bear.
  void LimitHotKeys(Instant now);
  void ReceiveReports();
  std::shared_ptr<HttpChannel> ChannelTo(const TargetId& owner,
                                         const Endpoint& address);
  void After(Duration delay, std::function<void()> work);
  void MarkViewChanged() { view_changed_ = true; }

  boost::asio::io_context& io_;
  const EntrySettings& settings_;
  const std::string incarnation_;
  const ControlTiming timing_;
  EntryView& view_;
  EntryTraffic& traffic_;
  Log& log_;
  Metrics& metrics_;
  platform::StoreClient store_;
  std::mt19937_64 random_;
  bool resigned_ = false;
  bool view_changed_ = false;

  // Membership. It stands until `membership_valid_until_` by this process's own
  // count.
  platform::LeaseId member_lease_ = 0;
  Instant membership_valid_until_{};
  Instant membership_renewal_due_at_{};
  bool joining_ = false;
  bool renewing_membership_ = false;
  // The member's key was written under the lease.
  bool member_written_ = false;
  // Tables were read after that; grants need it.
  bool tables_up_to_date_ = false;
  // Newest change of each table that this member's record in the store names.
  std::map<ServiceId, std::uint64_t> reported_;
  bool reporting_ = false;
  std::optional<Instant> report_pending_since_;

  // What was read of the store, up to `cursor_`.
  StoreMirror mirror_;
  Revision cursor_ = 0;
  StoreConnectivity connectivity_;
  // Tells an answer of the last watch from one that was given up.
  std::uint64_t watch_number_ = 0;
  Instant next_watch_at_{};
  Instant relay_polled_at_{};
  std::unique_ptr<RelayPublisher> publisher_;
  RelaySubscriber subscriber_;
  // From where a source is asked next, where its news did not fit.
  std::optional<Revision> resubscribe_from_;
  bool reading_ = false;
  bool initial_read_done_ = false;
  TargetAbsence absence_;
  MemberReports reports_;
  Instant members_known_since_{};

  // Election of the mover.
  bool mover_key_exists_ = false;
  VmId mover_vm_;
  bool campaigning_ = false;
  bool renewing_mover_lease_ = false;
  std::optional<Instant> campaign_at_;
  platform::LeaseId mover_lease_ = 0;
  Revision mover_revision_ = 0;
  Instant mover_lease_valid_until_{};
  Instant mover_renewal_due_at_{};
  std::map<ServiceId, MoverState> movers_;

  boost::asio::ip::udp::socket peers_;
  boost::asio::ip::udp::endpoint peer_from_;
  std::array<char, 65'536> peer_buffer_;
  LoadAggregator load_aggregator_;
  // On the mover only.
  std::map<ServiceId, SmoothedLoad> smoothed_load_;
  struct MeasuredCapacities {
    Instant at{};
    std::map<TargetId, double> of;
  };
  std::map<ServiceId, MeasuredCapacities> capacities_;
  Instant load_updated_at_{};
  Instant reported_at_{};
  std::uint64_t reported_changes_ = 0;
  Instant limited_at_{};
  bool limiting_ = false;
  Instant source_confirmed_at_{};
  Instant speeds_published_at_{};
  std::uint64_t table_changes_ = 0;

  RangeGranter granter_;
  bool grants_changed_ = false;
  Instant grants_sent_at_{};
  std::map<std::pair<TargetId, Endpoint>, std::shared_ptr<HttpChannel>>
      channels_;
};

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_CONTROL_H_
