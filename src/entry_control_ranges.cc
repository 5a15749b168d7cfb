// Implements grants and moves of key ranges for EntryControl.
#include <fmt/format.h>

#include <algorithm>

#include "figstall/entry_control.h"
#include "platform/target_orders.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::FenceFloor;
using detail::MoverKey;
using detail::TablesPrefix;
using platform::StoreStatus;

constexpr std::size_t kMaxQueuedRequests = 256;
// Number of members of a zone that grant the same range. The members with the
// highest rank grant it.
constexpr std::size_t kGrantersPerRange = 2;
// Allows for a target that responds to a release only after the requests for
// the released keys have ended.
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(2500);
// How long the report of a departed member is kept. Longer than any grant is
// valid.
constexpr Duration kDepartedReportRetention = std::chrono::seconds(60);
// Capacity of a target that takes nearly no requests. It is above zero because
// loads are compared in proportion to capacities.
constexpr double kMinLimitedCapacity = 0.01;
constexpr Duration kReleaseRetryInterval = std::chrono::milliseconds(200);

}  // namespace

std::shared_ptr<HttpChannel> EntryControl::ChannelTo(const TargetId& owner,
                                                     const Endpoint& address) {
  auto& channel = channels_[{owner, address}];
  if (!channel) {
    channel = HttpChannel::Make(io_, address, kMaxQueuedRequests);
    channel->SetDisconnectHandler(
        [this, owner] { granter_.OnConnectionLost(BootNow(), owner); });
  }
  return channel;
}

std::vector<VmId> EntryControl::ZoneMembers() const {
  std::vector<VmId> members;
  for (const auto& [vm, member] : view_.members) {
    if (member.zone == settings_.zone)
      members.push_back(vm);
  }
  return members;
}

bool EntryControl::ShouldGrant(Instant now,
                               const std::vector<VmId>& zone_members,
                               const ServiceId& service,
                               const RangeEntry& entry) const {
  if (IsMover(now) && (granter_.NotYetGranted(service, entry) ||
                       std::none_of(view_.members.begin(), view_.members.end(),
                                    [&](const auto& each) {
                                      return each.second.zone == entry.zone &&
                                             load_aggregator_.HasRecentReport(
                                                 now, each.first);
                                    })))
    return true;
  if (entry.zone != settings_.zone)
    return false;
  // Ranks the members of this zone by rendezvous hash.
  const auto hash_of = [&](const VmId& vm) {
    return std::hash<std::string>()(vm.value() + "/" + entry.owner.id.value());
  };
  const std::size_t own_hash = hash_of(settings_.vm);
  const auto members_ranked_higher = static_cast<std::size_t>(std::count_if(
      zone_members.begin(), zone_members.end(), [&](const VmId& vm) {
        return vm != settings_.vm && hash_of(vm) > own_hash;
      }));
  return members_ranked_higher < kGrantersPerRange;
}

void EntryControl::SendGrants(Instant now) {
  if (resigned_ || !tables_up_to_date_ || now >= membership_valid_until_)
    return;
  const std::vector<VmId> zone_members = ZoneMembers();
  const auto due = granter_.TakeDueGrants(
      now, view_.targets,
      [&](const ServiceId& service, const RangeEntry& entry) {
        return ShouldGrant(now, zone_members, service, entry);
      });
  for (const GrantRequest& request : due) {
    const auto may_send = [this, request](Instant connected_at) {
      const Instant at = BootNow();
      const RangeEntry* entry =
          view_.tables.at(request.service).Find(request.range.first);
      const bool is_granter =
          entry && (entry->zone == settings_.zone || IsMover(at));
      if (resigned_ || !tables_up_to_date_ || at >= membership_valid_until_ ||
          !is_granter)
        return false;
      const SendDecision decision =
          granter_.TryBeginSend(at, request, connected_at);
      if (decision == SendDecision::kAwaitConfirmation)
        LogAwaitedConfirmation(at, request, connected_at);
      return decision == SendDecision::kSend;
    };
    platform::SendGrant(
        *ChannelTo(request.owner.id, request.address), request,
        settings_.grant_timing.call_timeout, may_send,
        [this, request](GrantOutcome outcome, const TargetNotice& notice) {
          granter_.OnOutcome(BootNow(), request, outcome);
          notices_.OnAnswer(BootNow(), request.owner, notice, "grant");
          static constexpr const char* kNames[] = {"granted",   "refused",
                                                   "not-there", "not-sent",
                                                   "withdrawn", "unknown"};
          const char* name = kNames[static_cast<int>(outcome)];
          ++metrics_.Counter("figstall_grants_total",
                             fmt::format("outcome=\"{}\"", name));
          if (outcome == GrantOutcome::kGranted ||
              outcome == GrantOutcome::kWithdrawn)
            return;
          log_.Write(LogLevel::kInfo, "grant-failed",
                     {{"service", request.service.value()},
                      {"target", request.owner.id.value()},
                      {"first", std::to_string(request.range.first)},
                      {"last", std::to_string(request.range.last)},
                      {"fence", std::to_string(request.fence)},
                      {"outcome", name}});
        });
  }
}

void EntryControl::LogAwaitedConfirmation(Instant now,
                                          const GrantRequest& request,
                                          Instant connected_at) {
  const auto confirmed_at = granter_.ConfirmedAt(request.service);
  log_.Write(
      LogLevel::kInfo, "grant-awaits-table",
      {{"service", request.service.value()},
       {"target", request.owner.id.value()},
       {"first", std::to_string(request.range.first)},
       {"fence", std::to_string(request.fence)},
       {"connected_ms_ago", std::to_string(ToMillis(now - connected_at))},
       {"confirmed_ms_ago",
        confirmed_at ? std::to_string(ToMillis(now - *confirmed_at)) : ""}});
}

void EntryControl::OnTablesConfirmed(Instant requested_at) {
  for (const auto& [service, state] : movers_) {
    // Tables of an earlier era are not in the store anymore.
    if (state.revision != 0)
      granter_.OnTableConfirmed(service, requested_at);
  }
}

void EntryControl::ConfirmTables(Instant now) {
  if (confirming_tables_ || connectivity_.lost() ||
      now < next_table_confirmation_at_)
    return;
  // A table of an earlier era is not in the store; its grants wait until the
  // mover has continued it.
  const bool awaited =
      std::any_of(movers_.begin(), movers_.end(), [this](const auto& each) {
        return each.second.revision != 0 &&
               granter_.AwaitsConfirmation(each.first);
      });
  if (!awaited)
    return;
  confirming_tables_ = true;
  next_table_confirmation_at_ = now + timing_.table_confirmation_interval;
  ReadTables("");
}

void EntryControl::ReadTables(const std::string& after) {
  const std::string prefix = TablesPrefix(*era_);
  store_.List(prefix, after, /*allow_stale=*/false,
              [this, prefix, requested_at = BootNow(),
               era = era_](const StoreResponse& response) {
                RecordStoreCall(response, "confirm-ranges");
                if (response.status != StoreStatus::kOk ||
                    response.era != era_ || era != era_) {
                  confirming_tables_ = false;
                  return;
                }
                copy_.ApplyChanges(response.items, 0);
                for (const StoreItem& item : response.items) {
                  const ServiceId service(item.key.substr(prefix.size()));
                  if (movers_[service].revision >= item.revision)
                    granter_.OnTableConfirmed(service, requested_at);
                }
                if (response.more && !response.items.empty())
                  return ReadTables(response.items.back().key);
                confirming_tables_ = false;
                grants_check_due_ = true;
                ProcessChanges();
              });
}

void EntryControl::ReportToStore(Instant now) {
  if (writing_member_ || resigned_ || !tables_up_to_date_ ||
      now >= membership_valid_until_)
    return;
  bool outstanding = false;
  for (const auto& [service, table] : granter_.tables()) {
    for (const RangeEntry& entry : table.entries) {
      outstanding =
          outstanding || (entry.phase == RangePhase::kAwaitingReports &&
                          entry.fence > seen_fences_in_store_[service]);
    }
  }
  if (!outstanding)
    return report_pending_since_.reset();
  report_pending_since_ = report_pending_since_.value_or(now);
  if (now - *report_pending_since_ >= timing_.store_report_delay)
    WriteMember(/*then_read=*/false);
}

const std::map<TargetId, double>& EntryControl::TargetCapacities(
    Instant now,
    const ServiceId& service) {
  CachedCapacities& known = capacities_[service];
  if (now - known.updated_at >= timing_.capacity_update_interval) {
    known.updated_at = now;
    known.by_target = load_aggregator_.Capacities(now, view_.targets, service);
  }
  return known.by_target;
}

std::map<TargetId, double> EntryControl::LimitedCapacities(
    Instant now,
    const ServiceId& service) {
  std::map<TargetId, double> capacities = TargetCapacities(now, service);
  const double busy_per_request =
      std::chrono::duration<double>(traffic_.MeanProcessingTime(service))
          .count();
  for (const auto& [id, entry] : view_.targets) {
    const RateLimit* limit = notices_.notices().LimitOf(entry.incarnation);
    if (entry.service != service || !limit || !limit->per_second)
      continue;
    capacities[id] = std::min(
        CapacityOf(entry, &capacities),
        std::max(kMinLimitedCapacity, *limit->per_second * busy_per_request));
  }
  return capacities;
}

void EntryControl::UpdateLoad(Instant now) {
  if (!IsMover(now)) {
    smoothed_load_.clear();
    return;
  }
  if (now - load_updated_at_ < timing_.load_update_interval)
    return;
  load_updated_at_ = now;
  for (const auto& [service, table] : view_.tables) {
    smoothed_load_[service].Update(
        now, load_aggregator_.KeyLoads(now, service, view_.members.size()));
  }
}

RangeMover& EntryControl::MoverOf(const ServiceId& service) {
  MoverState& state = movers_[service];
  if (!state.mover) {
    MoverOptions options;
    options.fence_floor = FenceFloor(era_.value_or(0));
    state.mover =
        std::make_unique<RangeMover>(service, settings_.grant_timing, options);
  }
  return *state.mover;
}

std::optional<RangeTable> EntryControl::ContinueTable(
    Instant now,
    const ServiceId& service) {
  const auto earlier = view_.tables.find(service);
  if (earlier == view_.tables.end() || !lapsed_members_.empty())
    return std::nullopt;
  // A member that did not join may have seen a newer table and granted by it.
  const bool others_departed = lapsed_members_departed_at_.has_value();
  if (others_departed && now - *lapsed_members_departed_at_ <
                             settings_.grant_timing.MaxHoldFromSend())
    return std::nullopt;
  log_.Write(LogLevel::kInfo, "ranges-continued",
             {{"service", service.value()},
              {"fence", std::to_string(earlier->second.last_fence)},
              {"renewed", others_departed ? "yes" : "no"}});
  return MoverOf(service).Continue(earlier->second, others_departed);
}

bool EntryControl::MayAssignAnew(Instant now) const {
  return now - members_known_since_ >=
         timing_.membership_lease_duration +
             settings_.grant_timing.MaxHoldFromSend();
}

void EntryControl::MoveRanges(Instant now) {
  if (!IsMover(now) || !view_.routes)
    return;
  UpdateLoad(now);
  std::erase_if(member_reports_, [now](const auto& each) {
    return each.second.departed_at &&
           now - *each.second.departed_at > kDepartedReportRetention;
  });
  for (const auto& [service, each] : view_.routes->state().services) {
    if (!each.keyed)
      continue;
    MoverState& state = movers_[service];
    const RangeMover& mover = MoverOf(service);
    SendReleases(service, state);
    if (state.write_in_progress || state.read_in_progress)
      continue;
    if (mover.table().entries.empty() && earlier_tables_exist_) {
      if (OthersKnowNewerTables()) {
        store_.RevokeLease(mover_lease_, [](const StoreResponse&) {});
        return StepDownAsMover("others-know-newer-tables");
      }
      if (const auto continued = ContinueTable(now, service))
        WriteTable(service, *continued);
      if (view_.tables.contains(service) || !MayAssignAnew(now))
        continue;
    }
    const RangeLoad& load = smoothed_load_[service].load();
    const auto capacity = LimitedCapacities(now, service);
    MoverInput input;
    input.now = now;
    input.directory = &view_.targets;
    input.members = &member_reports_;
    input.members_up_to_date = copy_.cursor() >= state.revision;
    input.members_known_since = members_known_since_;
    input.mover_since = mover_since_;
    input.own_hold_until = [this, now](const TargetId& owner) {
      return granter_.HoldExpiry(now, owner);
    };
    input.capacity = &capacity;
    input.load = &load;
    const auto next = state.mover->Plan(input);
    if (!next)
      continue;
    for (const PlannedMove& move : state.mover->last_balance_moves())
      LogMove(service, move);
    WriteTable(service, *next);
  }
}

void EntryControl::LogMove(const ServiceId& service, const PlannedMove& move) {
  const auto number = [](double value) { return fmt::format("{:.2f}", value); };
  log_.Write(LogLevel::kInfo, "move-planned",
             {{"service", service.value()},
              {"first", std::to_string(move.range.first)},
              {"last", std::to_string(move.range.last)},
              {"from", move.from.value()},
              {"to", move.to.value()},
              {"load", number(move.load)},
              {"from_load", number(move.from_load)},
              {"from_fair", number(move.from_fair)},
              {"to_load", number(move.to_load)},
              {"to_fair", number(move.to_fair)},
              {"why", move.hot ? "hot-part" : "balance"}});
}

void EntryControl::WriteTable(const ServiceId& service,
                              const RangeTable& next) {
  MoverState& state = movers_[service];
  state.write_in_progress = true;
  const std::string key = TablesPrefix(*era_) + service.value();
  store_.Write(
      {{MoverKey(*era_), mover_key_revision_}, {key, state.revision}},
      {{key, EncodeRangeTable(next), 0}}, {},
      [this, service, next, key, era = era_,
       requested_at = BootNow()](const StoreResponse& response) {
        RecordStoreCall(response, "write-ranges");
        if (era != era_)
          return;
        MoverState& current = movers_[service];
        current.write_in_progress = false;
        log_.Write(LogLevel::kInfo, "ranges-written",
                   {{"service", service.value()},
                    {"fence", std::to_string(next.last_fence)},
                    {"entries", std::to_string(next.entries.size())},
                    {"outcome", ToString(response.status)}});
        if (response.status == StoreStatus::kOk) {
          copy_.ApplyChanges(
              {{key, EncodeRangeTable(next), response.revision, false}}, 0);
          granter_.OnTableConfirmed(service, requested_at);
          return ProcessChanges();
        }
        if (response.status == StoreStatus::kConflict &&
            std::none_of(response.items.begin(), response.items.end(),
                         [this](const StoreItem& item) {
                           return item.key == MoverKey(*era_) &&
                                  item.revision == mover_key_revision_;
                         }))
          StepDownAsMover("write-refused");
        ReadTable(service);
      });
}

void EntryControl::ReadTable(const ServiceId& service) {
  movers_[service].read_in_progress = true;
  const std::string key = TablesPrefix(*era_) + service.value();
  store_.Get(key, [this, service, era = era_](const StoreResponse& response) {
    RecordStoreCall(response, "read-ranges");
    if (era != era_)
      return;
    const bool succeeded = response.status == StoreStatus::kOk ||
                           response.status == StoreStatus::kNotFound;
    if (!succeeded)
      return RunAfter(timing_.store_retry_interval, [this, service, era] {
        if (era == era_)
          ReadTable(service);
      });
    movers_[service].read_in_progress = false;
    copy_.ApplyChanges(response.items, 0);
  });
}

void EntryControl::SendReleases(const ServiceId& service, MoverState& state) {
  for (const ReleaseRequest& request : state.mover->OutstandingReleases()) {
    if (!state.releases_in_flight.insert(request).second)
      continue;
    platform::SendRelease(
        *ChannelTo(request.owner.id, request.address), request, kReleaseTimeout,
        [this, service, request](platform::ReleaseOutcome outcome,
                                 const std::string& handover,
                                 const TargetNotice& notice) {
          notices_.OnAnswer(BootNow(), request.owner, notice, "release");
          MoverState& current = movers_[service];
          static constexpr const char* kNames[] = {"released", "owner-gone",
                                                   "unknown"};
          log_.Write(LogLevel::kInfo, "release",
                     {{"service", service.value()},
                      {"target", request.owner.id.value()},
                      {"first", std::to_string(request.range.first)},
                      {"last", std::to_string(request.range.last)},
                      {"fence", std::to_string(request.fence)},
                      {"outcome", kNames[static_cast<int>(outcome)]}});
          if (outcome == platform::ReleaseOutcome::kUnknown) {
            return RunAfter(kReleaseRetryInterval, [this, service, request] {
              movers_[service].releases_in_flight.erase(request);
            });
          }
          current.releases_in_flight.erase(request);
          MoverOf(service).OnReleased(request, handover);
          ProcessChanges();
        });
  }
}

}  // namespace figstall
