// Implements the membership and the election of the mover for EntryControl.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "figstall/entry_control.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::kMembersPrefix;
using detail::MemberIncarnationId;
using detail::MoverKey;
using detail::RejoinKey;
using nlohmann::json;
using platform::StoreStatus;

// Upper bound of the random delay before a member writes the mover key, so that
// members do not all write it at the same time.
constexpr Duration kMaxCampaignJitter = std::chrono::milliseconds(350);
// Additional delay for a member that knows one with a higher capacity, so that
// the other one writes the key first.
constexpr Duration kOutrankedCampaignDelay = std::chrono::milliseconds(500);

constexpr int kResignationCount = 3;

}  // namespace

void EntryControl::Join() {
  if (join_.in_progress() || resigned_ || IsReplaced())
    return;
  member_written_ = false;
  tables_up_to_date_ = false;
  membership_valid_until_ = {};
  const Instant requested_at = BootNow();
  store_.OpenLease(
      timing_.membership_lease_duration,
      [this, requested_at,
       joining = join_.Begin()](const StoreResponse& response) {
        RecordStoreCall(response, "open-lease");
        joining.End();
        if (response.status != StoreStatus::kOk || response.era != era_) {
          if (!initial_read_done_)
            StartRead(ReadScope::kInitial);
          return RetryWhenStoreReachable([this] { Join(); });
        }
        if (IsReplaced())
          return store_.RevokeLease(response.lease,
                                    [](const StoreResponse&) {});
        member_lease_ = response.lease;
        membership_valid_until_ =
            requested_at + response.time_to_live - timing_.lease_margin;
        membership_renewal_due_at_ =
            requested_at + timing_.membership_renewal_interval;
        WriteMember(/*then_read=*/true);
      });
}

bool EntryControl::HasEarlierTables() const {
  const auto& tables = granter_.tables();
  return std::any_of(tables.begin(), tables.end(), [this](const auto& each) {
    const auto state = movers_.find(each.first);
    return state == movers_.end() || state->second.revision == 0;
  });
}

void EntryControl::WriteMember(bool then_read) {
  const Instant now = BootNow();
  const GrantReport report = MakeGrantReport(now);
  json holds = json::object();
  for (const auto& [owner, remaining] : report.holds_for)
    holds[owner.value()] = remaining.count();
  json seen = json::object();
  for (const auto& [service, fence] : report.seen_fence)
    seen[service.value()] = fence;
  const json value = {{"zone", settings_.zone.value()},
                      {"peers", settings_.peers.ToString()},
                      {"incarnation", incarnation_},
                      {"started_at_ms", started_at_ms_},
                      {"capacity", settings_.capacity_cores},
                      {"era", era_.value_or(0)},
                      {"seen_fence", seen},
                      {"holds_for_us", holds}};
  std::vector<platform::StoreWrite> writes = {
      {kMembersPrefix + settings_.vm.value(), value.dump(), member_lease_}};
  const bool has_earlier_tables = HasEarlierTables();
  if (then_read && has_earlier_tables)
    writes.push_back(
        {RejoinKey(*era_), MemberIncarnationId(settings_.vm, incarnation_), 0});
  store_.Write(
      {}, writes, {},
      [this, then_read, has_earlier_tables, lease = member_lease_,
       seen_fence = report.seen_fence,
       writing = member_write_.Begin()](const StoreResponse& response) {
        RecordStoreCall(response, "write-member");
        writing.End();
        if (lease != member_lease_)
          return;
        if (response.status == StoreStatus::kOk) {
          seen_fences_in_store_ = seen_fence;
          own_record_revision_ =
              std::max(own_record_revision_, response.revision);
          if (then_read) {
            member_written_ = true;
            log_.Write(LogLevel::kInfo, "joined",
                       {{"lease", std::to_string(member_lease_)},
                        {"incarnation", incarnation_},
                        {"earlier_tables", has_earlier_tables ? "yes" : "no"}});
            StartRead(initial_read_done_ ? ReadScope::kMemberKeys
                                         : ReadScope::kInitial);
          }
          return CheckOwnRecord();
        }
        if (response.status == StoreStatus::kNotFound)
          return Join();
        if (then_read)
          RetryWhenStoreReachable([this, lease] {
            if (lease == member_lease_)
              WriteMember(true);
          });
      });
}

void EntryControl::RenewMembership(Instant now) {
  if (membership_renewal_.in_progress() || join_.in_progress() ||
      member_lease_ == 0 || now < membership_renewal_due_at_ || resigned_)
    return;
  const platform::LeaseId lease = member_lease_;
  store_.RenewLease(
      lease, [this, now, lease, renewing = membership_renewal_.Begin()](
                 const StoreResponse& response) {
        RecordStoreCall(response, "keep-member");
        renewing.End();
        if (lease != member_lease_)
          return;
        if (response.status == StoreStatus::kOk) {
          membership_valid_until_ = std::max(
              membership_valid_until_,
              now + timing_.membership_lease_duration - timing_.lease_margin);
          connectivity_.OnConfirmed(now);
          membership_renewal_due_at_ =
              now + (connectivity_.watching()
                         ? timing_.watcher_renewal_interval
                         : timing_.membership_renewal_interval);
          return;
        }
        membership_renewal_due_at_ = BootNow() + connectivity_.ProbeDelay();
        if (response.status != StoreStatus::kNotFound)
          return;
        LoseMembership("lease-ended");
      });
}

void EntryControl::LoseMembership(const char* reason) {
  log_.Write(LogLevel::kWarning, "membership-lost",
             {{"lease", std::to_string(member_lease_)},
              {"incarnation", incarnation_},
              {"why", reason},
              {"other", foreign_record_.incarnation}});
  member_lease_ = 0;
  member_written_ = false;
  tables_up_to_date_ = false;
  membership_valid_until_ = {};
  Join();
}

void EntryControl::NoteOwnRecord(Revision revision,
                                 const std::string& incarnation) {
  if (EraOf(revision) != era_)
    return;
  if (incarnation == incarnation_) {
    own_record_revision_ = std::max(own_record_revision_, revision);
    return;
  }
  if (revision <= foreign_record_.revision)
    return;
  const bool was_replaced = IsReplaced();
  foreign_record_ = {revision, incarnation};
  CheckOwnRecord();
  if (was_replaced && !IsReplaced())
    Join();
}

void EntryControl::CheckOwnRecord() {
  // Before this process's write is known, the change may be the end of an
  // earlier process's record.
  if (!member_written_ || resigned_ || own_record_revision_ == 0 ||
      foreign_record_.revision <= own_record_revision_)
    return;
  LoseMembership(IsReplaced() ? "replaced" : "removed");
}

void EntryControl::Resign() {
  resigned_ = true;
  resignations_left_ = kResignationCount;
  credits_.StopIssuing();
  log_.Write(LogLevel::kInfo, "resigning",
             {{"mover", IsMover(BootNow()) ? "yes" : "no"}});
  const auto ignore = [](const StoreResponse&) {};
  if (mover_lease_ != 0)
    store_.RevokeLease(mover_lease_, ignore);
  if (member_lease_ != 0)
    store_.RevokeLease(member_lease_, ignore);
  mover_lease_valid_until_ = membership_valid_until_ = {};
}

void EntryControl::ApplyMember(const VmId& vm, const StoreItem& item) {
  const auto known = view_.members.find(vm);
  const Instant now = BootNow();
  const auto mark_departed = [&](const char* reason) {
    const std::string& incarnation = known->second.incarnation;
    member_reports_[MemberIncarnationId(vm, incarnation)].departed_at = now;
    log_.Write(
        LogLevel::kInfo, "member-left",
        {{"vm", vm.value()}, {"incarnation", incarnation}, {"why", reason}});
  };
  if (item.deleted) {
    if (vm == settings_.vm)
      NoteOwnRecord(item.revision, "");
    // A member of an earlier era may grant until its own lease expires.
    if (known == view_.members.end() || lapsed_members_.contains(vm))
      return;
    mark_departed("removed");
    view_.members.erase(known);
    return MarkViewChanged();
  }
  // Late news of an earlier era.
  if (EraOf(item.revision) != era_)
    return;
  try {
    const json value = json::parse(item.value);
    // A record in a restored copy is of an earlier era.
    if (value.value("era", *era_) != *era_)
      return;
    EntryMember member{vm,
                       ZoneId(value.at("zone")),
                       {},
                       value.at("incarnation"),
                       value.value("capacity", 1.0)};
    const std::string peers = value.at("peers");
    member.peer_endpoint = HandleError(
        [&]() -> Result<Endpoint> { return ParseEndpoint(peers); },
        [&](const Error& error) {
          log_.Write(LogLevel::kError, "member-without-address",
                     {{"vm", vm.value()}, {"findings", error.message}});
          return Endpoint{};
        });
    if (vm == settings_.vm)
      NoteOwnRecord(item.revision, member.incarnation);
    GrantReport report;
    for (const auto& [service, fence] : value.at("seen_fence").items())
      report.seen_fence[ServiceId(service)] = fence;
    for (const auto& [owner, remaining] : value.at("holds_for_us").items())
      report.holds_for[TargetId(owner)] =
          Duration(remaining.get<Duration::rep>());
    const bool replaced = known != view_.members.end() &&
                          known->second.incarnation != member.incarnation;
    if (replaced)
      mark_departed("replaced");
    lapsed_members_.erase(vm);
    MemberReport& known_report =
        member_reports_[MemberIncarnationId(vm, member.incarnation)];
    known_report.zone = member.zone;
    known_report.departed_at.reset();
    known_report.peer_endpoint = member.peer_endpoint;
    known_report.started_at_ms = value.value("started_at_ms", std::int64_t{0});
    MarkEndedProcesses(now, MemberIncarnationId(vm, ""),
                       MemberIncarnationId(vm, member.incarnation),
                       member_reports_);
    MergeGrantReport(now, vm, member.incarnation, report);
    if (known != view_.members.end() && known->second == member)
      return;
    log_.Write(LogLevel::kInfo, "member-joined",
               {{"vm", vm.value()},
                {"zone", member.zone.value()},
                {"incarnation", member.incarnation}});
    view_.members[vm] = std::move(member);
    MarkViewChanged();
  } catch (const json::exception& error) {
    log_.Write(LogLevel::kError, "member-refused",
               {{"vm", vm.value()}, {"findings", error.what()}});
  }
}

void EntryControl::RemoveLapsedMembers(Instant now) {
  if (lapsed_members_.empty() ||
      now - *restored_at_ < timing_.membership_lease_duration)
    return;
  for (const VmId& vm : std::exchange(lapsed_members_, {})) {
    const auto known = view_.members.find(vm);
    if (known == view_.members.end())
      continue;
    // It renewed no lease since.
    member_reports_[MemberIncarnationId(vm, known->second.incarnation)]
        .departed_at = *restored_at_;
    view_.members.erase(known);
    log_.Write(LogLevel::kInfo, "member-lapsed", {{"vm", vm.value()}});
  }
  MarkViewChanged();
}

std::set<ServiceId> EntryControl::NewerTablesElsewhere() const {
  std::set<ServiceId> services;
  for (const auto& [vm, member] : view_.members) {
    const auto report =
        member_reports_.find(MemberIncarnationId(vm, member.incarnation));
    if (report == member_reports_.end())
      continue;
    for (const auto& [service, fence] : report->second.seen_fence) {
      if (fence > granter_.SeenFence(service))
        services.insert(service);
    }
  }
  return services;
}

void EntryControl::Campaign(Instant now) {
  // After a restore, those that lived through it know the tables; a process
  // that started since leaves them time to join.
  const bool started_after_restore =
      !BeganWithFirstTables() && view_.tables.empty() &&
      now - members_known_since_ < timing_.rejoin_time;
  if (mover_key_exists_ || campaign_.in_progress() || resigned_ ||
      !tables_up_to_date_ || connectivity_.lost() ||
      now >= membership_valid_until_ || started_after_restore ||
      !NewerTablesElsewhere().empty()) {
    campaign_at_.reset();
    return;
  }
  if (!campaign_at_) {
    const bool outranked = std::any_of(
        view_.members.begin(), view_.members.end(), [this](const auto& each) {
          return each.second.capacity_cores > settings_.capacity_cores;
        });
    campaign_at_ = now + (outranked ? kOutrankedCampaignDelay : Duration{0}) +
                   Duration(static_cast<Duration::rep>(
                       random_() %
                       static_cast<std::uint64_t>(kMaxCampaignJitter.count())));
  }
  if (now < *campaign_at_)
    return;
  campaign_at_.reset();
  store_.OpenLease(
      timing_.mover_lease_duration,
      [this, now,
       campaigning = campaign_.Begin()](const StoreResponse& lease_response) {
        RecordStoreCall(lease_response, "open-lease");
        if (lease_response.status != StoreStatus::kOk ||
            lease_response.era != era_ || !tables_up_to_date_)
          return campaigning.End();
        const platform::LeaseId lease = lease_response.lease;
        const Instant valid_until =
            now + lease_response.time_to_live - timing_.lease_margin;
        store_.Write({{MoverKey(*era_), 0}},
                     {{MoverKey(*era_),
                       MemberIncarnationId(settings_.vm, incarnation_), lease}},
                     {},
                     [this, lease, valid_until, campaigning,
                      era = era_](const StoreResponse& response) {
                       RecordStoreCall(response, "write-mover");
                       campaigning.End();
                       if (era != era_)
                         return;
                       if (response.status == StoreStatus::kOk) {
                         mover_lease_ = lease;
                         mover_key_revision_ = response.revision;
                         mover_lease_valid_until_ = valid_until;
                         mover_since_ = BootNow();
                         mover_key_exists_ = true;
                         mover_renewal_due_at_ =
                             BootNow() + timing_.mover_renewal_interval;
                         log_.Write(
                             LogLevel::kInfo, "mover-elected",
                             {{"revision", RevisionText(response.revision)}});
                         return;
                       }
                       if (response.status == StoreStatus::kConflict)
                         mover_key_exists_ = true;
                       store_.RevokeLease(lease, [](const StoreResponse&) {});
                     });
      });
}

void EntryControl::RenewMoverLease(Instant now) {
  if (mover_lease_ == 0 || mover_renewal_.in_progress() ||
      now < mover_renewal_due_at_)
    return;
  const platform::LeaseId lease = mover_lease_;
  store_.RenewLease(
      lease, [this, now, lease, renewing = mover_renewal_.Begin()](
                 const StoreResponse& response) {
        RecordStoreCall(response, "keep-mover");
        renewing.End();
        if (lease != mover_lease_)
          return;
        if (response.status == StoreStatus::kOk) {
          mover_lease_valid_until_ = std::max(
              mover_lease_valid_until_,
              now + timing_.mover_lease_duration - timing_.lease_margin);
          mover_renewal_due_at_ = now + timing_.mover_renewal_interval;
          return;
        }
        mover_renewal_due_at_ = BootNow() + timing_.store_retry_interval;
        if (response.status == StoreStatus::kNotFound)
          StepDownAsMover("lease-ended");
      });
}

void EntryControl::StepDownAsMover(const char* reason) {
  log_.Write(LogLevel::kWarning, "mover-lost", {{"why", reason}});
  mover_lease_ = 0;
  mover_lease_valid_until_ = {};
}

}  // namespace figstall
