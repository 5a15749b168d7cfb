// Starts EntryControl and applies what the store says. How its copy of the
// store is kept current is in entry_control_copy.cc, membership and the
// election in entry_control_members.cc, grants of key ranges in
// entry_control_grants.cc, moves in entry_control_ranges.cc, datagrams between
// members in entry_control_peers.cc.
#include "figstall/entry_control.h"

#include <fmt/format.h>

#include "figstall/region_rules.h"
#include "platform/decode.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::ConditionalPrefix;
using detail::kMembersPrefix;
using detail::kOwnPrefix;
using detail::MoverKey;
using detail::RejoinKey;
using detail::TablesPrefix;
using platform::StoreStatus;

// Log lines of one kind about the regions of one desired state, so that a state
// with many accounts does not fill the log.
constexpr std::size_t kMaxRegionLines = 20;

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string Describe(const Error& error) {
  std::string text = error.message;
  for (const Finding& finding : error.findings)
    text += "; " + finding.ToString();
  return text;
}

}  // namespace

EntryControl::EntryControl(boost::asio::io_context& io,
                           const EntrySettings& settings,
                           std::string incarnation,
                           EntryView& view,
                           EntryTraffic& traffic,
                           TargetNoticeRecorder& notices,
                           SendCredits& credits,
                           Duties& duties,
                           Log& log,
                           Metrics& metrics)
    : io_(io),
      settings_(settings),
      incarnation_(std::move(incarnation)),
      started_at_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count()),
      view_(view),
      traffic_(traffic),
      notices_(notices),
      credits_(credits),
      duties_(duties),
      log_(log),
      metrics_(metrics),
      store_(io, settings.store, timing_.store_call_timeout),
      random_(std::hash<std::string>()(incarnation_ + settings.vm.value())),
      copy_({[this](const StoreItem& item, bool same_value) {
               return ApplyGuarded(item, same_value);
             },
             [this] { return publisher_->subscribers() > 0; },
             [this](const RelayUpdate& update) { publisher_->Publish(update); },
             [this](const ItemDelta& delta, Revision known) {
               LogRelayGap(delta, known);
             }}),
      subscriber_(io,
                  settings.vm,
                  [this](const RelayUpdate& update) { OnRelayUpdate(update); }),
      peer_socket_(io),
      granter_(settings.grant_timing) {
  if (settings.evacuation_limit) {
    EvacuationTiming timing;
    timing.limit = *settings.evacuation_limit;
    evacuations_ = std::make_unique<EvacuationTracker>(timing);
  }
  view_.regions = settings.regions;
  store_.SetStrayBytesHandler(
      [this](StrayBytes where) { OnStrayBytes("", where); });
}

void EntryControl::RunAfter(Duration delay, std::function<void()> task) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const boost::system::error_code& error) {
        if (!error)
          task();
      });
}

void EntryControl::Start() {
  const boost::asio::ip::udp::endpoint endpoint(
      boost::asio::ip::make_address(settings_.peers.address),
      settings_.peers.port);
  peer_socket_.open(endpoint.protocol());
  peer_socket_.bind(endpoint);
  ReceiveDatagrams();
  const auto with_age = [this](RelayUpdate update) {
    update.age = Staleness(BootNow());
    return update;
  };
  publisher_ = std::make_unique<RelayPublisher>(
      io_, settings_.peers,
      [this, with_age](Revision revision) {
        return with_age(copy_.ChangesSince(revision));
      },
      [this, with_age] { return with_age(copy_.Position()); });
  Join();
}

void EntryControl::RetryWhenStoreReachable(std::function<void()> task) {
  RunAfter(timing_.store_retry_interval,
           [this, task = std::move(task)] { WhenStoreReachable(task); });
}

void EntryControl::WhenStoreReachable(std::function<void()> task) {
  if (!connectivity_.lost())
    return task();
  store_.List(MoverKey(era_.value_or(0)), "", /*allow_stale=*/true,
              [this, task = std::move(task)](const StoreResponse& response) {
                RecordStoreCall(response, "probe");
                if (!connectivity_.lost())
                  return task();
                RunAfter(connectivity_.ProbeDelay(),
                         [this, task] { WhenStoreReachable(task); });
              });
}

void EntryControl::RecordStoreCall(const StoreResponse& response,
                                   const char* call) {
  const bool lost = response.status == StoreStatus::kUnknown ||
                    response.status == StoreStatus::kRefused;
  ++metrics_.Counter("figstall_store_calls_total",
                     fmt::format("call=\"{}\",outcome=\"{}\"", call,
                                 ToString(response.status)));
  if (response.era)
    NoteEra(*response.era, call);
  absence_.OnStoreCall(BootNow(), !lost);
  const bool changed =
      lost ? connectivity_.OnFailed(BootNow()) : connectivity_.OnAnswered();
  if (!changed)
    return;
  if (lost)
    membership_renewal_due_at_ = std::min(
        membership_renewal_due_at_, BootNow() + connectivity_.ProbeDelay());
  log_.Write(lost ? LogLevel::kWarning : LogLevel::kInfo,
             lost ? "store-lost" : "store-regained",
             {{"call", call},
              {"outcome", ToString(response.status)},
              {"failure", response.failure}});
}

void EntryControl::NoteEra(std::uint64_t era, const char* source) {
  if (era_ && era <= *era_)
    return;
  const auto earlier = era_;
  era_ = era;
  if (!earlier)
    return;
  log_.Write(
      LogLevel::kWarning, "store-restored",
      {{"era", std::to_string(era)},
       {"earlier", std::to_string(*earlier)},
       {"source", source},
       {"cursor", RevisionText(copy_.cursor())},
       {"version",
        std::to_string(view_.routes ? view_.routes->state().version : 0)}});
  ++metrics_.Counter("figstall_store_restored_total", "");
  OnStoreRestored();
}

void EntryControl::OnStoreRestored() {
  const Instant now = BootNow();
  restored_at_ = now;
  absence_.OnStoreRestored(now);
  if (evacuations_)
    evacuations_->OnStoreRestored(now);
  target_history_.ForgetRemovedBefore(*era_ - 1);
  for (const auto& [vm, member] : view_.members) {
    if (vm != settings_.vm)
      lapsed_members_.insert(vm);
  }
  earlier_tables_exist_ = true;
  rejoin_revision_ = 0;
  rejoin_seen_at_.reset();
  mover_key_exists_ = false;
  campaign_at_.reset();
  if (mover_lease_ != 0)
    StepDownAsMover("store-restored");
  movers_.clear();
  if (connectivity_.watching())
    CancelWatch();
  member_lease_ = 0;
  own_record_revision_ = 0;
  foreign_record_ = {};
  Join();
}

ItemOutcome EntryControl::ApplyGuarded(const StoreItem& item, bool same_value) {
  ItemOutcome outcome = ItemOutcome::kRefused;
  duties_.Attempt("item/" + item.key,
                  [&] { outcome = Apply(item, same_value); });
  return outcome;
}

ItemOutcome EntryControl::Apply(const StoreItem& item, bool same_value) {
  if (StartsWith(item.key, platform::kTargetsPrefix))
    return ApplyTarget(
        item.key.substr(std::string_view(platform::kTargetsPrefix).size()),
        item);
  if (item.key == platform::kDesiredStateKey)
    return same_value ? ItemOutcome::kChanged : ApplyDesiredState(item);
  if (evacuations_ && StartsWith(item.key, platform::kEvacuationsPrefix)) {
    ApplyEvacuation(ZoneId(item.key.substr(
                        std::string_view(platform::kEvacuationsPrefix).size())),
                    item);
    return ItemOutcome::kChanged;
  }
  if (StartsWith(item.key, kMembersPrefix))
    ApplyMember(VmId(item.key.substr(std::string_view(kMembersPrefix).size())),
                item);
  else if (EraOf(item.revision) == era_)
    ApplyConditionalKey(item);
  return ItemOutcome::kChanged;
}

void EntryControl::ApplyConditionalKey(const StoreItem& item) {
  const std::string tables_prefix = TablesPrefix(*era_);
  if (item.key == MoverKey(*era_))
    ApplyMover(item);
  else if (item.key == RejoinKey(*era_))
    ApplyRejoin(item);
  else if (StartsWith(item.key, tables_prefix))
    ApplyTable(ServiceId(item.key.substr(tables_prefix.size())), item);
  else if (!item.deleted && StartsWith(item.key, kOwnPrefix))
    earlier_tables_exist_ = true;
}

void EntryControl::ApplyMover(const StoreItem& item) {
  mover_key_exists_ = !item.deleted;
  mover_vm_ = VmId(item.value.substr(0, item.value.find('#')));
  if (item.deleted && IsMover(BootNow()))
    StepDownAsMover("key-removed");
}

void EntryControl::ApplyRejoin(const StoreItem& item) {
  if (item.revision <= rejoin_revision_)
    return;
  rejoin_revision_ = item.revision;
  rejoin_seen_at_ = BootNow();
}

ItemOutcome EntryControl::ApplyDesiredState(const StoreItem& item) {
  // What is in force stays so without the key.
  if (item.deleted)
    return ItemOutcome::kRefused;
  const Instant begun_at = BootNow();
  const Duration processor_time_before = ThreadProcessorTime();
  return HandleError(
      [&]() -> Result<ItemOutcome> {
        BOOST_LEAF_AUTO(state, platform::DecodeDesiredState(item.value));
        const std::uint64_t known =
            view_.routes ? view_.routes->state().version : 0;
        if (view_.routes && state.version <= known)
          return ItemOutcome::kChanged;
        view_.routes = std::make_shared<const RouteIndex>(std::move(state));
        notices_.OnServices(BootNow(), view_.routes->state().services);
        MarkViewChanged();
        const DesiredState& in_force = view_.routes->state();
        LogAllowedRegions(in_force);
        log_.Write(
            LogLevel::kInfo, "desired-state-in-force",
            {{"version", std::to_string(in_force.version)},
             {"earlier", std::to_string(known)},
             {"revision", RevisionText(item.revision)},
             {"routes", std::to_string(in_force.routes.size())},
             {"bytes", std::to_string(item.value.size())},
             {"idle_limit_ms",
              std::to_string(ToMillis(in_force.limits.idle_timeout))},
             {"took_us", std::to_string((BootNow() - begun_at).count())},
             {"processor_us",
              std::to_string(
                  (ThreadProcessorTime() - processor_time_before).count())}});
        return ItemOutcome::kChanged;
      },
      [&](const Error& error) {
        log_.Write(LogLevel::kError, "desired-state-refused",
                   {{"revision", RevisionText(item.revision)},
                    {"findings", Describe(error)}});
        return ItemOutcome::kRefused;
      });
}

void EntryControl::LogAllowedRegions(const DesiredState& state) {
  std::set<RegionId> known;
  for (const auto& [zone, region] : view_.regions)
    known.insert(region);
  const std::string version = std::to_string(state.version);
  const std::vector<UnknownRegion> unknown = FindUnknownRegions(state, known);
  metrics_.Counter("figstall_allowed_regions_faults_total",
                   "kind=\"unknown\"") += unknown.size();
  for (std::size_t i = 0; i < unknown.size(); ++i) {
    const auto& [route, account, region] = unknown[i];
    if (i == kMaxRegionLines) {
      log_.Write(
          LogLevel::kWarning, "allowed-regions-unknown",
          {{"version", version}, {"more", std::to_string(unknown.size() - i)}});
      break;
    }
    log_.Write(LogLevel::kWarning, "allowed-region-unknown",
               {{"version", version},
                {route ? "route" : "account",
                 route ? std::string_view(route->name) : account->id.value()},
                {"region", region.value()},
                {"source", platform::kDesiredStateKey},
                {"place", route ? platform::PlaceOfAllowedRegions(*route)
                                : platform::PlaceOfAllowedRegions(*account)}});
  }
  const std::vector<DisjointRegions> disjoint = FindDisjointRegions(state);
  metrics_.Counter("figstall_allowed_regions_faults_total",
                   "kind=\"disjoint\"") += disjoint.size();
  for (std::size_t i = 0; i < disjoint.size() && i < kMaxRegionLines; ++i) {
    const auto& [route, accounts] = disjoint[i];
    log_.Write(
        LogLevel::kWarning, "allowed-regions-disjoint",
        {{"version", version},
         {"route", route->name},
         {"allowed", ToString(route->allowed_regions)},
         {"account", accounts.front()->id.value()},
         {"account_allowed", ToString(accounts.front()->allowed_regions)},
         {"accounts", std::to_string(accounts.size())},
         {"source", platform::kDesiredStateKey},
         {"place", platform::PlaceOfAllowedRegions(*route)}});
  }
}

void EntryControl::ApplyEvacuation(const ZoneId& zone, const StoreItem& item) {
  const Instant now = BootNow();
  if (item.deleted) {
    const auto known = view_.evacuations.find(zone);
    if (known == view_.evacuations.end())
      return;
    const Instant known_since = known->second.known_since;
    if (evacuations_->OnRemoved(now, zone))
      OnEvacuationEnded(now, zone, known_since, change_source_);
    return;
  }
  if (!evacuations_->OnWritten(now, zone))
    return;
  view_.evacuations = evacuations_->in_force();
  MarkViewChanged();
  const auto max_age = evacuations_->MaxAge(now);
  log_.Write(
      LogLevel::kInfo, "evacuation-started",
      {{"zone", zone.value()},
       {"max_age_ms", max_age ? std::to_string(ToMillis(*max_age)) : "unknown"},
       {"owners_ms",
        std::to_string(ToMillis(std::max(
            Duration{0}, view_.evacuations.at(zone).owners_until - now)))},
       {"source", change_source_},
       {"revision", RevisionText(item.revision)}});
  // A name that is not a zone of the deployment is likely a mistake.
  const bool known_zone = settings_.regions.contains(zone);
  if (!known_zone)
    log_.Write(LogLevel::kWarning, "evacuation-of-unknown-zone",
               {{"zone", zone.value()},
                {"key", item.key},
                {"revision", RevisionText(item.revision)}});
  ++metrics_.Counter(
      "figstall_evacuations_total",
      fmt::format("zone=\"{}\"", known_zone ? zone.value() : "unknown"));
  metrics_.Counter("figstall_evacuated_zones", "") = view_.evacuations.size();
}

void EntryControl::OnEvacuationEnded(Instant now,
                                     const ZoneId& zone,
                                     Instant known_since,
                                     const char* source) {
  view_.evacuations = evacuations_->in_force();
  notices_.OnZoneReturned(now, zone, view_.targets);
  MarkViewChanged();
  const auto max_age = evacuations_->MaxAge(now);
  log_.Write(
      LogLevel::kInfo, "evacuation-ended",
      {{"zone", zone.value()},
       {"in_force_ms", std::to_string(ToMillis(now - known_since))},
       {"max_age_ms", max_age ? std::to_string(ToMillis(*max_age)) : "unknown"},
       {"source", source}});
  metrics_.Counter("figstall_evacuated_zones", "") = view_.evacuations.size();
}

void EntryControl::UpdateEvacuations(Instant now) {
  if (!evacuations_)
    return;
  if (const auto confirmed = confirmed_at())
    evacuations_->OnConfirmed(*confirmed);
  const Evacuations earlier = view_.evacuations;
  for (const ZoneId& zone : evacuations_->TakeLapsed(now))
    OnEvacuationEnded(now, zone, earlier.at(zone).known_since,
                      "missing-from-restored-store");
}

void EntryControl::LogTarget(const TargetEntry& entry,
                             bool joined,
                             Revision revision) {
  log_.Write(LogLevel::kInfo, joined ? "target-joined" : "target-changed",
             {{"target", entry.incarnation.id.value()},
              {"service", entry.service.value()},
              {"zone", entry.zone.value()},
              {"address", entry.address.ToString()},
              {"state", entry.leaving ? "leaving" : "ready"},
              {"born", std::to_string(entry.incarnation.started_at_ms)},
              {"revision", RevisionText(revision)}});
}

ItemOutcome EntryControl::ApplyTarget(const std::string& id,
                                      const StoreItem& item) {
  const TargetId target(id);
  if (item.deleted) {
    target_history_.OnRemoved(target);
    const auto known = view_.targets.find(target);
    if (known != view_.targets.end())
      absence_.OnEntryRemoved(BootNow(), target, known->second.leaving);
    return ItemOutcome::kChanged;
  }
  return HandleError(
      [&]() -> Result<ItemOutcome> {
        BOOST_LEAF_AUTO(entry, platform::DecodeTargetEntry(id, item.value));
        if (!target_history_.Accept(entry, EraOf(item.revision))) {
          log_.Write(LogLevel::kInfo, "target-entry-outdated",
                     {{"target", id},
                      {"born", std::to_string(entry.incarnation.started_at_ms)},
                      {"status", std::to_string(entry.status_number)},
                      {"era", std::to_string(EraOf(item.revision))}});
          return ItemOutcome::kUnchanged;
        }
        const bool was_absent = absence_.OnEntryPresent(target);
        notices_.OnListed(BootNow(), entry);
        const bool listed_otherwise = notices_.notices().OnListed(
            BootNow(), entry.incarnation, entry.leaving);
        // An entry may still say ready after the target's answers said that it
        // leaves.
        entry.leaving =
            notices_.notices().LeavingSince(entry.incarnation).has_value();
        const auto known = view_.targets.find(target);
        // Subscribers may not have heard yet what this member knew before.
        if (known != view_.targets.end() && known->second == entry)
          return was_absent || listed_otherwise ? ItemOutcome::kChanged
                                                : ItemOutcome::kUnchanged;
        // The initial read is logged as one line for all targets.
        if (initial_read_done_)
          LogTarget(entry, known == view_.targets.end(), item.revision);
        // A target at the address of another one has replaced it.
        for (const auto& [other, each] : view_.targets) {
          if (other != target && each.address == entry.address)
            absence_.OnReplaced(BootNow(), other);
        }
        view_.targets[target] = std::move(entry);
        MarkViewChanged();
        return ItemOutcome::kChanged;
      },
      [&](const Error& error) {
        log_.Write(LogLevel::kWarning, "target-entry-refused",
                   {{"target", id},
                    {"revision", RevisionText(item.revision)},
                    {"findings", Describe(error)}});
        return ItemOutcome::kRefused;
      });
}

void EntryControl::MarkLeavingTargets() {
  if (applied_notices_ == notices_.notices().changes())
    return;
  applied_notices_ = notices_.notices().changes();
  for (auto& [id, entry] : view_.targets) {
    if (entry.leaving || !notices_.notices().SaidLeaving(entry.incarnation))
      continue;
    entry.leaving = true;
    MarkViewChanged();
  }
}

void EntryControl::RemoveAbsentTargets(Instant now) {
  for (const TargetId& target : absence_.TakeRemovedTargets(now)) {
    log_.Write(LogLevel::kInfo, "target-gone", {{"target", target.value()}});
    view_.targets.erase(target);
    MarkViewChanged();
  }
}

void EntryControl::ApplyTable(const ServiceId& service, const StoreItem& item) {
  if (item.deleted)
    return;
  MoverState& state = movers_[service];
  if (item.revision <= state.revision)
    return;
  HandleError(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(table, state.reader.Read(item.value, item.key));
        state.revision = item.revision;
        MoverOf(service).OnTable(table, BootNow());
        LogStoppedGrants(BootNow(), service, table);
        granter_.OnTable(service, table);
        ++table_change_count_;
        log_.Write(LogLevel::kInfo, "ranges-changed",
                   {{"service", service.value()},
                    {"revision", RevisionText(item.revision)},
                    {"fence", std::to_string(table.last_fence)},
                    {"entries", std::to_string(table.entries.size())}});
        view_.tables[service] = std::move(table);
        MarkViewChanged();
        return {};
      },
      [&](const Error& error) {
        log_.Write(
            LogLevel::kError, "ranges-refused",
            {{"service", service.value()}, {"findings", Describe(error)}});
      });
}

void EntryControl::ProcessChanges() {
  if (view_changed_)
    duties_.Run(BootNow(), "view", [this] { AnnounceView(); });
  const Instant now = BootNow();
  duties_.Run(now, "ranges", [&] { MoveRanges(now); });
  if (!grants_check_due_ &&
      now - grants_checked_at_ < timing_.grant_check_interval)
    return;
  grants_check_due_ = false;
  grants_checked_at_ = now;
  duties_.Run(now, "grants", [&] { SendGrants(now); });
  duties_.Run(now, "releases", [&] { ReleaseLeftRanges(now); });
}

void EntryControl::AnnounceView() try {
  view_changed_ = false;
  grants_check_due_ = true;
  UpdateCreditMembers(BootNow());
  RecordMemberCounts(BootNow());
  traffic_.OnViewChanged();
} catch (...) {
  view_changed_ = true;
  throw;
}

void EntryControl::UpdateCreditMembers(Instant now) {
  std::map<VmId, ZoneId> members;
  for (const auto& [vm, member] : view_.members) {
    members[vm] = member.zone;
    credit_endpoints_[vm] = member.peer_endpoint;
  }
  if (settings_.warm_up)
    members = credit_members_.Update(now, members);
  std::erase_if(credit_endpoints_, [&members](const auto& each) {
    return !members.contains(each.first);
  });
  credits_.SetMembers(std::move(members));
}

void EntryControl::RecordMemberCounts(Instant now) {
  std::map<ZoneId, std::uint32_t> by_zone;
  for (const auto& [vm, member] : view_.members)
    ++by_zone[member.zone];
  view_.member_counts.Record(
      now, by_zone, member_written_ ? membership_valid_until_ : Instant{});
}

void EntryControl::Tick(Instant now) {
  duties_.Run(now, "membership", [&] {
    RenewMembership(now);
    LogGrantingState(now);
    RemoveLapsedMembers(now);
    RecordMemberCounts(now);
  });
  duties_.Run(now, "subscription", [&] { MaintainSubscription(now); });
  duties_.Run(now, "targets", [&] {
    RemoveAbsentTargets(now);
    UpdateEvacuations(now);
    MarkLeavingTargets();
    notices_.Advance(now);
    if (!credit_members_.settled())
      UpdateCreditMembers(now);
  });
  duties_.Run(now, "mover", [&] {
    RenewMoverLease(now);
    Campaign(now);
  });
  duties_.Run(now, "tables", [&] { ConfirmTables(now); });
  ProcessChanges();
  duties_.Run(now, "hot-keys", [&] { LimitHotKeys(now); });
  duties_.Run(now, "report", [&] { SendReport(now); });
  duties_.Run(now, "store-report", [&] { ReportToStore(now); });
}

}  // namespace figstall
