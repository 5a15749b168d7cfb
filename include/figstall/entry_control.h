// Control of an entry VM: membership, the desired state, the target directory,
// grants of key ranges and, on the elected mover, moves of key ranges. Runs on
// the same Asio loop as the traffic. EntryControl performs the I/O; each
// decision is made by a class of its own, such as RangeMover.
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

#include "figstall/duties.h"
#include "figstall/entry_settings.h"
#include "figstall/entry_traffic.h"
#include "figstall/entry_view.h"
#include "figstall/evacuation.h"
#include "figstall/first_assignment.h"
#include "figstall/load_report.h"
#include "figstall/log.h"
#include "figstall/metrics.h"
#include "figstall/pending_operation.h"
#include "figstall/range_granter.h"
#include "figstall/range_mover.h"
#include "figstall/recent_members.h"
#include "figstall/send_credits.h"
#include "figstall/store_connectivity.h"
#include "figstall/store_copy.h"
#include "figstall/store_relay.h"
#include "figstall/target_absence.h"
#include "figstall/target_history.h"
#include "figstall/target_notice_recorder.h"
#include "platform/store_client.h"
#include "platform/target_orders.h"

namespace figstall {

struct ControlTiming {
  // A member that cannot reach the store stops granting once its membership
  // lease expires. In a store outage, keys keep their owners for this duration
  // plus the hold duration of a grant.
  Duration membership_lease_duration = GrantTiming().membership_lease_duration;
  Duration membership_renewal_interval = std::chrono::milliseconds(1500);
  // Renewal interval of a member that watches the store. It is shorter because
  // each renewal also confirms that the store is reachable. A renewal costs a
  // tenth of a read.
  Duration watcher_renewal_interval = std::chrono::milliseconds(350);
  // Lease of the elected mover. Losing it only delays moves.
  Duration mover_lease_duration = GrantTiming().mover_lease_duration;
  Duration mover_renewal_interval = std::chrono::milliseconds(800);
  // A lease is treated as expired this long before it ends, because clocks
  // differ.
  Duration lease_margin = std::chrono::milliseconds(150);
  Duration store_call_timeout = std::chrono::milliseconds(900);
  // Longest time that the store holds a watch open without changes. It is short
  // because an open connection may stop delivering data without an error. A
  // watch without a response soon after this time is repeated on a new
  // connection.
  Duration watch_timeout = std::chrono::seconds(2);
  // Delay between two watches, so that several changes in quick succession cost
  // one call.
  Duration watch_interval = std::chrono::milliseconds(150);
  // A member polls its relay source at this interval for the age of the
  // source's copy of the store. A member whose copy was not confirmed for
  // `relay_timeout` watches the store itself. Both values, together with the
  // renewal interval of the member that watches the store and three relay hops
  // to it, stay within the two seconds that the platform allows for a desired
  // state.
  Duration relay_poll_interval = std::chrono::milliseconds(250);
  Duration relay_timeout = std::chrono::milliseconds(1000);
  // Added to `relay_timeout` per relay level. Members farther from the member
  // that watches the store wait longer, because members closer to it restore
  // the relay for them. All members watching at once would fill the links
  // between regions.
  Duration relay_timeout_per_level = std::chrono::milliseconds(200);
  // From the first to the second age of its copy on, a member polls its source
  // more often, so that it learns in time that the relay was restored.
  Duration relay_alert_age = std::chrono::milliseconds(700);
  Duration relay_alert_end_age = std::chrono::milliseconds(2000);
  Duration relay_alert_poll_interval = std::chrono::milliseconds(50);
  // Interval between two reports that contain the targets' processing times.
  Duration processing_time_report_interval = std::chrono::seconds(3);
  Duration store_retry_interval = std::chrono::milliseconds(250);
  // Members join again within this time of a store's return.
  Duration rejoin_time = std::chrono::milliseconds(2500);
  // Interval between two checks for due grants if nothing changed.
  Duration grant_check_interval = std::chrono::milliseconds(100);
  // Least time between two readings of the tables that grants wait for.
  Duration table_confirmation_interval = std::chrono::milliseconds(100);
  // Interval between two reports to the mover.
  Duration report_interval = std::chrono::milliseconds(300);
  // Interval at which the mover updates the load that it plans by.
  Duration load_update_interval = std::chrono::milliseconds(200);
  // Interval at which the mover recomputes the targets' capacities. The
  // processing times that they are computed from are reported less often.
  Duration capacity_update_interval = std::chrono::milliseconds(500);
  // Limits on hot keys expire after this time unless the mover sends them
  // again.
  Duration hot_key_limits_duration = std::chrono::milliseconds(1000);
  // A member that asks for credits for a target that this one does not know
  // asks again after this time.
  Duration unknown_target_backoff = std::chrono::milliseconds(100);
  // A member writes its grant report to the store if a moving range still
  // awaits reports after this time. If the mover receives the reports of all
  // members directly, the move has ended by then, because their grants have
  // expired.
  Duration store_report_delay = std::chrono::milliseconds(1900);
  // A move that lasts longer is logged, at this interval. Longer than the
  // leases of a lost member and the grants by it.
  Duration move_stall_time = std::chrono::seconds(15);
};

class EntryControl {
 public:
  EntryControl(boost::asio::io_context& io,
               const EntrySettings& settings,
               std::string incarnation,
               EntryView& view,
               EntryTraffic& traffic,
               TargetNoticeRecorder& notices,
               SendCredits& credits,
               Duties& duties,
               Log& log,
               Metrics& metrics);

  // Throws boost::system::system_error if its address cannot be bound.
  void Start();
  void Tick(Instant now);
  // Ends the membership and, on the mover, its term, by revoking their leases.
  void Resign();
  // Sends a message about credits to another member; it may be lost.
  void SendCreditMessage(const VmId& to, const CreditMessage& message);
  // The view has all changes of the store up to this time; empty if it was
  // never confirmed.
  std::optional<Instant> confirmed_at() const;
  bool ready() const { return view_.routes != nullptr && initial_read_done_; }

 private:
  using StoreResponse = platform::StoreResponse;
  // State of one service's ranges.
  struct MoverState {
    std::unique_ptr<RangeMover> mover;
    RangeTableReader reader;
    Revision revision = 0;
    // After a write with an unknown outcome the table is read before the next
    // write.
    PendingOperation write;
    PendingOperation read;
    // Until a release without an outcome may be repeated.
    std::map<ReleaseRequest, PendingOperation> releases;
    // When it was last logged that moves make no progress.
    std::optional<Instant> stall_logged_at;
    // Revision of the join for which the store refused the first table of the
    // era. The next write waits until this copy contains it.
    Revision unseen_rejoin = 0;
  };
  // Which keys one read operation covers.
  enum class ReadScope {
    // All keys that this process uses, after its start. Keys that grants depend
    // on are read in their current state. The others may be read stale, since
    // all changes after the revision that was read are received afterwards, and
    // a stale read costs a tenth of a current one.
    kInitial,
    // Keys that members write and that grants depend on, after the membership
    // was lost.
    kMemberKeys,
    // All keys in their current state, after changes were missed.
    kFull,
  };
  struct StoreRead {
    ReadScope scope;
    // Whether this process was already a member when the read started. Grants
    // require such a read.
    bool started_as_member = false;
    Instant started_at{};
    std::vector<StoreSection> sections;
    // The store's era when it answered; empty before its first answer.
    std::optional<std::uint64_t> era;
    // Index of the section that is being read.
    std::size_t section_index = 0;
  };

  void Join();
  void RecordMemberCounts(Instant now);
  void UpdateCreditMembers(Instant now);
  void WriteMember(bool then_read);
  // Whether this member has a table that the store lost in an earlier era.
  bool HasEarlierTables() const;
  void RenewMembership(Instant now);
  // Takes a change of this member's record that the store or a relay reports.
  // `incarnation` is empty if the record was removed.
  void NoteOwnRecord(Revision revision, const std::string& incarnation);
  // Ends the membership if the record was removed, or replaced by another
  // process, after this one wrote it.
  void CheckOwnRecord();
  // Whether another process under this VM's name has written the record since.
  bool IsReplaced() const {
    return own_record_revision_ != 0 &&
           foreign_record_.revision > own_record_revision_ &&
           !foreign_record_.incarnation.empty();
  }
  void LoseMembership(const char* reason);
  void StartRead(ReadScope scope);
  void ReadPage(const std::shared_ptr<StoreRead>& read,
                const std::string& after,
                PendingOperation::Handle reading);
  void ApplyRead(const StoreRead& read);
  // Subscribes to the chosen relay source, or watches the store itself.
  void MaintainSubscription(Instant now);
  // The member that this one receives store updates from. The relay tree has
  // four levels: its root watches the store, the best member of each other
  // region subscribes to the root, the best member of each zone to that of its
  // region, and every other member to that of its zone. ChooseRelaySource
  // defines which member is best.
  struct RelaySource {
    // Null if this member watches the store itself.
    const EntryMember* member = nullptr;
    // If its copy is not confirmed for this long, the member watches the store
    // itself.
    Duration relay_timeout{0};
  };
  RelaySource ChooseRelaySource() const;
  void LogRelayGap(const ItemDelta& delta, Revision known);
  // Time since the copy was last confirmed to be up to date; nullopt if it
  // never was.
  std::optional<Duration> Staleness(Instant now) const;
  // The interval at which to poll a source whose copy is so old.
  Duration RelayPollInterval(Duration age) const;
  void Watch();
  void OnWatchResponse(const StoreResponse& response, Instant requested_at);
  void CancelWatch();
  void OnRelayUpdate(const RelayUpdate& update);
  ItemOutcome Apply(const StoreItem& item, bool same_value);
  // Refuses an item whose handling throws, so that those behind it are applied.
  ItemOutcome ApplyGuarded(const StoreItem& item, bool same_value);
  // Applies a key of this era that members write under conditions.
  void ApplyConditionalKey(const StoreItem& item);
  void ApplyMover(const StoreItem& item);
  void ApplyRejoin(const StoreItem& item);
  ItemOutcome ApplyDesiredState(const StoreItem& item);
  // Logs the regions in a new desired state that are unknown, and the routes
  // and accounts without a common region.
  void LogAllowedRegions(const DesiredState& state);
  void LogTarget(const TargetEntry& entry, bool joined, Revision revision);
  ItemOutcome ApplyTarget(const std::string& id, const StoreItem& item);
  void ApplyMember(const VmId& vm, const StoreItem& item);
  void ApplyEvacuation(const ZoneId& zone, const StoreItem& item);
  // Ends evacuations that a restored store still lacks, and notes up to when
  // the copy is confirmed.
  void UpdateEvacuations(Instant now);
  void OnEvacuationEnded(Instant now,
                         const ZoneId& zone,
                         Instant known_since,
                         const char* source);
  void ApplyTable(const ServiceId& service, const StoreItem& item);
  void RemoveAbsentTargets(Instant now);
  // Applies what targets said in their answers, here or to other members, to
  // the directory, so that the mover moves their ranges.
  void MarkLeavingTargets();
  void RecordStoreCall(const StoreResponse& response, const char* call);
  // Takes the store's era from an answer, or from another member's copy. In a
  // new era, the leases, the tables and the mover's key are lost.
  void NoteEra(std::uint64_t era, const char* source);
  void OnStoreRestored();
  // Removes the members of the earlier era that have not joined in this one,
  // once their leases have certainly expired.
  void RemoveLapsedMembers(Instant now);
  // Runs `task` at once, or, if the store is unreachable, as soon as it
  // responds again. Until then the store is probed with its cheapest call.
  void WhenStoreReachable(std::function<void()> task);
  // Does the same after `store_retry_interval`, following a failed call.
  void RetryWhenStoreReachable(std::function<void()> task);

  void Campaign(Instant now);
  // Services of which another member has seen a newer table than this one.
  std::set<ServiceId> NewerTablesElsewhere() const;
  void RenewMoverLease(Instant now);
  void StepDownAsMover(const char* reason);
  bool IsMover(Instant now) const { return now < mover_lease_valid_until_; }
  // Announces a changed view, plans moves and sends due grants at once instead
  // of at the next tick, because no target serves keys while they move.
  void ProcessChanges();
  void AnnounceView();
  void UpdateLoad(Instant now);
  const std::map<TargetId, double>& TargetCapacities(Instant now,
                                                     const ServiceId& service);
  // Capacities by which ranges are placed: those that targets have, or what a
  // limit of theirs allows.
  std::map<TargetId, double> LimitedCapacities(Instant now,
                                               const ServiceId& service);
  void MoveRanges(Instant now);
  void MoveRangesOf(Instant now, const ServiceId& service);
  // Logs a move that should have ended long ago, and what it waits for.
  void LogStalledMove(Instant now, const ServiceId& service);
  RangeMover& MoverOf(const ServiceId& service);
  // The table of `service` to write in place of that of an earlier era, which
  // the store has lost; nullopt until other members can't know a newer one.
  std::optional<RangeTable> ContinueTable(Instant now,
                                          const ServiceId& service);
  // Whether no process can have granted ranges by tables that this one does not
  // know.
  bool BeganWithFirstTables() const;
  FirstAssignmentInput MakeFirstAssignmentInput(Instant now) const;
  void LogFirstAssignment(Instant now,
                          const ServiceId& service,
                          FirstAssignmentBasis basis);
  void LogMove(const ServiceId& service, const PlannedMove& move);
  void LogSettled(const ServiceId& service, const SettledRange& range);
  void WriteTable(const ServiceId& service, const RangeTable& next);
  void ReadTable(const ServiceId& service, PendingOperation::Handle reading);
  // What the owner said when it released the range, if it can be kept.
  Handover KeepHandover(const ServiceId& service,
                        const ReleaseRequest& request,
                        const std::string& text);
  void SendReleases(const ServiceId& service, MoverState& state);
  // Whether this mover still waits for the release.
  bool IsOutstanding(const ServiceId& service,
                     const ReleaseRequest& request) const;
  // Releases ranges that have left an owner which does not respond, whether or
  // not this process is the mover.
  void ReleaseLeftRanges(Instant now);
  using ReleaseHandler = std::function<void(platform::ReleaseOutcome outcome,
                                            const std::string& handover)>;
  void SendRelease(const ServiceId& service,
                   const ReleaseRequest& request,
                   const char* sender,
                   std::function<bool()> may_send,
                   ReleaseHandler handler);
  void SendGrants(Instant now);
  void SendGrant(Instant now, const GrantRequest& request);
  void OnGrantOutcome(const GrantRequest& request,
                      Instant queued_at,
                      GrantOutcome outcome,
                      const TargetNotice& notice,
                      AnswerProof proof);
  // How long the owner may go on holding ranges by this member's grants.
  std::int64_t HoldLeftMillis(Instant now, const TargetId& owner) const;
  void LogAwaitedConfirmation(Instant now,
                              const GrantRequest& request,
                              Instant connected_at);
  // Logs the first grant of a range under its token, not its renewals.
  void LogFirstGrant(Instant now,
                     const GrantRequest& request,
                     Instant connected_at);
  // Logs which granted ranges begin to move with the service's next table.
  void LogStoppedGrants(Instant now,
                        const ServiceId& service,
                        const RangeTable& next);
  // Logs when this member begins and ends to grant by its membership.
  void LogGrantingState(Instant now);
  // The tables in this copy contain all changes up to `requested_at`.
  void OnTablesConfirmed(Instant requested_at);
  // Reads the tables if grants wait for their confirmation.
  void ConfirmTables(Instant now);
  // Reads those whose key is after this one, and confirms them.
  void ReadTables(const std::string& after,
                  PendingOperation::Handle confirming);
  // Members in this VM's zone.
  std::vector<VmId> ZoneMembers() const;
  // Whether this member may send grants of the entry at this moment.
  bool MayGrant(Instant now, const RangeEntry& entry) const;
  // Whether it is this member that sends them.
  // Whether this is one of the members of the zone that grant the ranges of
  // `owner`.
  bool IsZoneGranter(const std::vector<VmId>& zone_members,
                     const TargetId& owner) const;
  bool ShouldGrant(Instant now,
                   const std::vector<VmId>& zone_members,
                   const ServiceId& service,
                   const RangeEntry& entry) const;
  void ReportToStore(Instant now);
  GrantReport MakeGrantReport(Instant now) const;
  std::vector<ReportedNotice> MakeNoticeReport(Instant now) const;
  void MergeGrantReport(Instant now,
                        const VmId& vm,
                        const std::string& incarnation,
                        const GrantReport& report);
  void SendReport(Instant now);
  // Tells all members that this process sends no more grants, as it may not
  // hear which one becomes the mover.
  void SendResignation(Instant now);
  void SendDatagram(const Endpoint& peer,
                    const std::shared_ptr<std::string>& datagram);
  // On the mover: sends all members the limits for keys whose load exceeds
  // their owners' capacity.
  void LimitHotKeys(Instant now);
  void LogHotKeyLimits(Instant now, const HotKeyLimits& limits);
  void AnswerCreditRequest(Instant now,
                           const CreditRequest& request,
                           const boost::asio::ip::udp::endpoint& sender);
  void ReceiveDatagrams();
  // Returns a channel for grants or releases.
  std::shared_ptr<HttpChannel> MakeOrderChannel(const TargetId& target,
                                                const Endpoint& address);
  HttpChannel& GrantChannelTo(const TargetId& owner, const Endpoint& address);
  // `target` is empty for the store.
  void OnStrayBytes(const std::string& target, StrayBytes where);
  void RunAfter(Duration delay, std::function<void()> task);
  void MarkViewChanged() { view_changed_ = true; }

  boost::asio::io_context& io_;
  const EntrySettings& settings_;
  const std::string incarnation_;
  const std::int64_t started_at_ms_;
  const ControlTiming timing_;
  EntryView& view_;
  EntryTraffic& traffic_;
  TargetNoticeRecorder& notices_;
  SendCredits& credits_;
  Duties& duties_;
  // The members that share credits, and where they receive messages about them.
  RecentMembers credit_members_;
  std::map<VmId, Endpoint> credit_endpoints_;
  Log& log_;
  Metrics& metrics_;
  platform::StoreClient store_;
  std::mt19937_64 random_;
  bool resigned_ = false;
  // How often the resignation is still to be sent, as datagrams may be lost.
  int resignations_left_ = 0;
  bool view_changed_ = false;

  // Membership. By this process's clock it is valid until
  // `membership_valid_until_`.
  platform::LeaseId member_lease_ = 0;
  Instant membership_valid_until_{};
  Instant membership_renewal_due_at_{};
  PendingOperation join_;
  PendingOperation membership_renewal_;
  // Whether this member's record was written under the current lease.
  bool member_written_ = false;
  // Revision of this process's last write of the record in this era; 0 if none
  // is known.
  Revision own_record_revision_ = 0;
  // The newest change of the record that this process did not make: its
  // removal, if the incarnation is empty, or another process's write.
  struct ForeignRecord {
    Revision revision = 0;
    std::string incarnation;
  };
  ForeignRecord foreign_record_;
  // Whether the tables were read after that write. Grants require it.
  bool tables_up_to_date_ = false;
  // Last fencing token of each service's table according to this member's
  // record in the store.
  std::map<ServiceId, std::uint64_t> seen_fences_in_store_;
  PendingOperation member_write_;
  std::optional<Instant> report_pending_since_;

  // The store's era; empty until its first answer.
  std::optional<std::uint64_t> era_;
  // When this process noticed that the store came back from an older copy.
  std::optional<Instant> restored_at_;
  // Members of an earlier era that have not joined in this one.
  std::set<VmId> lapsed_members_;
  // Whether the store has a table of an earlier era, or may have lost one while
  // this process ran.
  bool earlier_tables_exist_ = false;
  // Revision of the era's last join of a member with earlier tables, and when
  // this process saw it.
  Revision rejoin_revision_ = 0;
  std::optional<Instant> rejoin_seen_at_;
  TargetHistory target_history_;

  // Null if the deployment evacuates no zones.
  std::unique_ptr<EvacuationTracker> evacuations_;
  // How the changes that are being applied have arrived, for the log.
  const char* change_source_ = "read";

  StoreCopy copy_;
  StoreConnectivity connectivity_;
  // Incremented by each watch and each cancellation, so that the response to a
  // cancelled watch is ignored.
  std::uint64_t watch_generation_ = 0;
  Instant next_watch_at_{};
  Instant relay_polled_at_{};
  std::unique_ptr<RelayPublisher> publisher_;
  RelaySubscriber subscriber_;
  PendingOperation store_read_;
  bool initial_read_done_ = false;
  TargetAbsence absence_;
  // TargetNotices::changes() when they were last applied and last reported.
  std::uint64_t applied_notices_ = 0;
  std::uint64_t reported_notices_ = 0;
  MemberReports member_reports_;
  Instant members_known_since_{};

  // Election of the mover.
  bool mover_key_exists_ = false;
  VmId mover_vm_;
  PendingOperation campaign_;
  PendingOperation mover_renewal_;
  std::optional<Instant> campaign_at_;
  platform::LeaseId mover_lease_ = 0;
  Revision mover_key_revision_ = 0;
  Instant mover_lease_valid_until_{};
  // When this member was last elected as the mover.
  Instant mover_since_{};
  Instant mover_renewal_due_at_{};
  std::map<ServiceId, MoverState> movers_;

  boost::asio::ip::udp::socket peer_socket_;
  boost::asio::ip::udp::endpoint peer_sender_;
  std::array<char, 65'536> peer_buffer_;
  LoadAggregator load_aggregator_;
  // On the mover only.
  std::map<ServiceId, SmoothedLoad> smoothed_load_;
  struct CachedCapacities {
    Instant updated_at{};
    std::map<TargetId, double> by_target;
  };
  std::map<ServiceId, CachedCapacities> capacities_;
  Instant load_updated_at_{};
  Instant load_reported_at_{};
  std::uint64_t reported_table_changes_ = 0;
  Instant hot_keys_checked_at_{};
  bool limiting_hot_keys_ = false;
  Instant source_confirmed_at_{};
  Instant processing_times_reported_at_{};
  std::uint64_t table_change_count_ = 0;

  RangeGranter granter_;
  PendingOperation table_confirmation_;
  Instant next_table_confirmation_at_{};
  bool grants_check_due_ = false;
  Instant grants_checked_at_{};
  // Token of the last grant that was logged, by service and first key.
  std::map<std::pair<ServiceId, ShardKey>, std::uint64_t> logged_grants_;
  bool granting_ = false;
  std::map<std::pair<TargetId, Endpoint>, std::shared_ptr<HttpChannel>>
      grant_channels_;
};

}  // namespace figstall

#endif  // FIGSTALL_ENTRY_CONTROL_H_
