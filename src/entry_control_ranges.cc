// Implements moves of key ranges for EntryControl, on the elected mover.
#include <fmt/format.h>

#include <algorithm>

#include "figstall/entry_control.h"
#include "platform/target_orders.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::FenceFloor;
using detail::kFirstEra;
using detail::MoverKey;
using detail::RejoinKey;
using detail::TablesPrefix;
using platform::StoreStatus;

// Allows for a target that responds to a release only after the requests for
// the released keys have ended.
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(2500);
// How long the report of a departed member is kept. Longer than any grant is
// valid.
constexpr Duration kDepartedReportRetention = std::chrono::seconds(60);
// Capacity of a target that takes nearly no requests. It is above zero because
// loads are compared in proportion to capacities.
constexpr double kMinLimitedCapacity = 0.01;
// Releases that one owner gets at once, each on a connection of its own.
constexpr std::size_t kMaxReleasesInFlight = 4;
// The same for an owner in an evacuated zone, whose ranges all have to move
// within the limit. An owner rarely has more ranges, after they were split.
constexpr std::size_t kMaxEvacuationReleasesInFlight = 16;
constexpr Duration kReleaseRetryInterval = std::chrono::milliseconds(200);

}  // namespace

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
  const Duration processing_time = traffic_.MeanProcessingTime(service);
  const double busy_per_request =
      std::chrono::duration<double>(processing_time).count();
  for (const auto& [id, entry] : view_.targets) {
    const RateLimit* limit = notices_.notices().LimitOf(entry.incarnation);
    if (entry.service != service)
      continue;
    const auto reduce_to = [&, &target = id, &each = entry](double capacity) {
      capacities[target] = std::min(CapacityOf(each, &capacities),
                                    std::max(kMinLimitedCapacity, capacity));
    };
    if (limit && limit->per_second)
      reduce_to(*limit->per_second * busy_per_request);
    if (const auto rate = notices_.warm_ups().RateOf(now, entry.incarnation))
      reduce_to(WarmUpCapacity(*rate, processing_time));
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
  const std::size_t members = view_.members.size();
  const double extrapolation =
      load_aggregator_.ExtrapolationFactor(now, members);
  for (const auto& [service, table] : view_.tables) {
    smoothed_load_[service].Update(
        now, load_aggregator_.KeyLoads(now, service, members),
        Scaled(traffic_.MeanProcessingTime(service), extrapolation));
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
  if (DepartedMembersMayHold(now, member_reports_, settings_.grant_timing))
    return std::nullopt;
  const bool others_departed = std::any_of(
      member_reports_.begin(), member_reports_.end(),
      [](const auto& each) { return each.second.departed_at.has_value(); });
  log_.Write(LogLevel::kInfo, "ranges-continued",
             {{"service", service.value()},
              {"fence", std::to_string(earlier->second.last_fence)},
              {"renewed", others_departed ? "yes" : "no"}});
  return MoverOf(service).Continue(earlier->second, others_departed);
}

bool EntryControl::BeganWithFirstTables() const {
  return settings_.first_start && !restored_at_ &&
         era_.value_or(0) <= kFirstEra && !earlier_tables_exist_;
}

FirstAssignmentInput EntryControl::MakeFirstAssignmentInput(Instant now) const {
  FirstAssignmentInput input;
  input.now = now;
  input.first_start = BeganWithFirstTables();
  input.earlier_table_exists = earlier_tables_exist_;
  input.members_known_since = members_known_since_;
  input.restored_at = restored_at_;
  input.rejoin_seen_at = rejoin_seen_at_;
  input.members = &member_reports_;
  return input;
}

void EntryControl::LogFirstAssignment(Instant now,
                                      const ServiceId& service,
                                      FirstAssignmentBasis basis) {
  log_.Write(LogLevel::kInfo, "first-assignment",
             {{"service", service.value()},
              {"why", ToString(basis)},
              {"members_known_ms",
               std::to_string(ToMillis(now - members_known_since_))},
              {"era", std::to_string(era_.value_or(0))}});
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
    // One service's tables may end the term.
    if (!IsMover(now))
      return;
    if (each.keyed)
      duties_.Run(now, "ranges/" + service.value(),
                  [&, &moved = service] { MoveRangesOf(now, moved); });
  }
}

void EntryControl::MoveRangesOf(Instant now, const ServiceId& service) {
  MoverState& state = movers_[service];
  const RangeMover& mover = MoverOf(service);
  LogStalledMove(now, service);
  SendReleases(service, state);
  if (state.write.in_progress() || state.read.in_progress() ||
      state.unseen_rejoin > rejoin_revision_)
    return;
  std::optional<FirstAssignmentBasis> first_assignment;
  if (mover.table().entries.empty()) {
    if (NewerTablesElsewhere().contains(service)) {
      store_.RevokeLease(mover_lease_, [](const StoreResponse&) {});
      return StepDownAsMover("others-know-newer-tables");
    }
    if (view_.tables.contains(service)) {
      if (const auto continued = ContinueTable(now, service))
        WriteTable(service, *continued);
      return;
    }
    first_assignment = MayAssignAnew(service, MakeFirstAssignmentInput(now),
                                     settings_.grant_timing);
    if (!first_assignment)
      return;
  }
  const RangeLoad& load = smoothed_load_[service].load();
  const auto capacity = LimitedCapacities(now, service);
  const std::set<TargetId> warming_up = notices_.warm_ups().Targets(now);
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
  input.evacuations = &view_.evacuations;
  input.warming_up = &warming_up;
  const auto next = state.mover->Plan(input);
  if (!next)
    return;
  if (first_assignment)
    LogFirstAssignment(now, service, *first_assignment);
  for (const PlannedMove& move : state.mover->last_balance_moves())
    LogMove(service, move);
  for (const SettledRange& range : state.mover->last_settled())
    LogSettled(service, range);
  WriteTable(service, *next);
}

void EntryControl::LogStalledMove(Instant now, const ServiceId& service) {
  MoverState& state = movers_[service];
  const auto oldest = MoverOf(service).OldestMove();
  const bool stalled = oldest && now - oldest->since > timing_.move_stall_time;
  if (stalled != state.stall_logged_at.has_value())
    metrics_.Counter("figstall_range_moves_stalled",
                     fmt::format("service=\"{}\"", service.value())) =
        stalled ? 1 : 0;
  if (!stalled)
    return state.stall_logged_at.reset();
  if (state.stall_logged_at &&
      now - *state.stall_logged_at < timing_.move_stall_time)
    return;
  state.stall_logged_at = now;
  const bool has_target = std::any_of(
      view_.targets.begin(), view_.targets.end(), [&](const auto& each) {
        return each.second.service == service && !each.second.leaving &&
               !view_.evacuations.contains(each.second.zone);
      });
  const char* awaited = !has_target                              ? "target"
                        : state.write.in_progress()              ? "write"
                        : state.read.in_progress()               ? "read"
                        : state.unseen_rejoin > rejoin_revision_ ? "rejoin"
                        : oldest->released                       ? "assignment"
                                           : "release-or-reports";
  log_.Write(LogLevel::kWarning, "moves-stalled",
             {{"service", service.value()},
              {"ranges", std::to_string(oldest->moving_ranges)},
              {"first", std::to_string(oldest->range.first)},
              {"last", std::to_string(oldest->range.last)},
              {"from", oldest->from.value()},
              {"moving_ms", std::to_string(ToMillis(now - oldest->since))},
              {"awaited", awaited}});
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

void EntryControl::LogSettled(const ServiceId& service,
                              const SettledRange& range) {
  const char* freed_by = range.released ? "release" : "expired-grants";
  ++metrics_.Counter("figstall_ranges_settled_total",
                     fmt::format("freed_by=\"{}\"", freed_by));
  log_.Write(LogLevel::kInfo, "range-settled",
             {{"service", service.value()},
              {"first", std::to_string(range.range.first)},
              {"last", std::to_string(range.range.last)},
              {"from", range.from.value()},
              {"to", range.to.value()},
              {"fence", std::to_string(range.fence)},
              {"freed_by", freed_by},
              {"moving_ms", std::to_string(ToMillis(range.moving_for))}});
}

void EntryControl::WriteTable(const ServiceId& service,
                              const RangeTable& next) {
  MoverState& state = movers_[service];
  const std::string text = EncodeRangeTable(next);
  const std::string key = TablesPrefix(*era_) + service.value();
  std::vector<platform::StoreCondition> conditions = {
      {MoverKey(*era_), mover_key_revision_}, {key, state.revision}};
  if (state.revision == 0)
    conditions.push_back({RejoinKey(*era_), rejoin_revision_});
  store_.Write(
      conditions, {{key, text, 0}}, {},
      [this, service, next, key, text, era = era_, requested_at = BootNow(),
       writing = state.write.Begin()](const StoreResponse& response) {
        RecordStoreCall(response, "write-ranges");
        writing.End();
        if (era != era_)
          return;
        MoverState& current = movers_[service];
        log_.Write(LogLevel::kInfo, "ranges-written",
                   {{"service", service.value()},
                    {"fence", std::to_string(next.last_fence)},
                    {"entries", std::to_string(next.entries.size())},
                    {"outcome", ToString(response.status)}});
        if (response.status == StoreStatus::kOk) {
          copy_.ApplyChanges({{key, text, response.revision, false}}, 0);
          granter_.OnTableConfirmed(service, requested_at);
          return ProcessChanges();
        }
        for (const StoreItem& item : response.items) {
          if (item.key == RejoinKey(*era_))
            current.unseen_rejoin = item.revision;
        }
        if (response.status == StoreStatus::kConflict &&
            std::none_of(response.items.begin(), response.items.end(),
                         [this](const StoreItem& item) {
                           return item.key == MoverKey(*era_) &&
                                  item.revision == mover_key_revision_;
                         }))
          StepDownAsMover("write-refused");
        ReadTable(service, current.read.Begin());
      });
}

void EntryControl::ReadTable(const ServiceId& service,
                             PendingOperation::Handle reading) {
  const std::string key = TablesPrefix(*era_) + service.value();
  store_.Get(key, [this, service, era = era_, reading = std::move(reading)](
                      const StoreResponse& response) {
    RecordStoreCall(response, "read-ranges");
    if (era != era_)
      return;
    const bool succeeded = response.status == StoreStatus::kOk ||
                           response.status == StoreStatus::kNotFound;
    if (!succeeded)
      return RunAfter(timing_.store_retry_interval,
                      [this, service, era, reading] {
                        if (era == era_)
                          ReadTable(service, reading);
                      });
    reading.End();
    copy_.ApplyChanges(response.items, 0);
  });
}

bool EntryControl::IsOutstanding(const ServiceId& service,
                                 const ReleaseRequest& request) const {
  const auto state = movers_.find(service);
  if (!IsMover(BootNow()) || state == movers_.end() || !state->second.mover)
    return false;
  const auto outstanding = state->second.mover->OutstandingReleases();
  return std::find(outstanding.begin(), outstanding.end(), request) !=
         outstanding.end();
}

void EntryControl::SendReleases(const ServiceId& service, MoverState& state) {
  std::erase_if(state.releases,
                [](const auto& each) { return !each.second.in_progress(); });
  std::map<TargetId, std::size_t> in_flight;
  for (const auto& [request, release] : state.releases)
    ++in_flight[request.owner.id];
  for (const ReleaseRequest& request : state.mover->OutstandingReleases()) {
    std::size_t& of_owner = in_flight[request.owner.id];
    const auto owner = view_.targets.find(request.owner.id);
    const bool evacuated = owner != view_.targets.end() &&
                           view_.evacuations.contains(owner->second.zone);
    if (of_owner >= (evacuated ? kMaxEvacuationReleasesInFlight
                               : kMaxReleasesInFlight) ||
        state.releases.contains(request))
      continue;
    ++of_owner;
    SendRelease(
        service, request, "mover",
        [this, service, request] { return IsOutstanding(service, request); },
        [this, service, request, releasing = state.releases[request].Begin()](
            platform::ReleaseOutcome outcome, const std::string& handover) {
          if (outcome == platform::ReleaseOutcome::kUnknown)
            return RunAfter(kReleaseRetryInterval,
                            [releasing] { releasing.End(); });
          releasing.End();
          if (outcome == platform::ReleaseOutcome::kWithdrawn)
            return;
          MoverOf(service).OnReleased(request,
                                      KeepHandover(service, request, handover));
          ProcessChanges();
        });
  }
}

Handover EntryControl::KeepHandover(const ServiceId& service,
                                    const ReleaseRequest& request,
                                    const std::string& text) {
  const auto parsed = Handover::Parse(text);
  if (const auto* handover = std::get_if<Handover>(&parsed))
    return *handover;
  const char* fault = ToString(std::get<HandoverFault>(parsed));
  ++metrics_.Counter("figstall_handovers_refused_total",
                     fmt::format("reason=\"{}\"", fault));
  log_.Write(LogLevel::kWarning, "handover-refused",
             {{"service", service.value()},
              {"target", request.owner.id.value()},
              {"first", std::to_string(request.range.first)},
              {"last", std::to_string(request.range.last)},
              {"fence", std::to_string(request.fence)},
              {"reason", fault},
              {"bytes", std::to_string(text.size())},
              {"max_bytes", std::to_string(Handover::kMaxBytes)}});
  return {};
}

void EntryControl::ReleaseLeftRanges(Instant now) {
  const std::vector<VmId> zone_members = ZoneMembers();
  const auto due = granter_.TakeDueReleases(now, [&](const LeftRange& left) {
    if (left.moving && IsMover(now))
      return false;
    return left.unanswered ||
           (left.zone == settings_.zone &&
            IsZoneGranter(zone_members, left.release.owner.id));
  });
  for (const LeftRange& left : due) {
    const ReleaseRequest& request = left.release;
    SendRelease(
        left.service, request, "member",
        [this, request] { return granter_.AwaitsRelease(request); },
        [this, request](platform::ReleaseOutcome outcome, const std::string&) {
          granter_.OnReleaseOutcome(
              BootNow(), request,
              outcome == platform::ReleaseOutcome::kReleased ||
                  outcome == platform::ReleaseOutcome::kOwnerGone);
        });
  }
}

void EntryControl::SendRelease(const ServiceId& service,
                               const ReleaseRequest& request,
                               const char* sender,
                               std::function<bool()> may_send,
                               ReleaseHandler handler) {
  platform::SendRelease(
      *MakeOrderChannel(request.owner.id, request.address), request,
      kReleaseTimeout, std::move(may_send),
      [this, service, request, sender, handler = std::move(handler),
       requested_at = BootNow()](
          platform::ReleaseOutcome outcome, const std::string& handover,
          const TargetNotice& notice, AnswerProof proof) {
        notices_.OnAnswer(BootNow(), request.owner, notice, "release");
        static constexpr const char* kNames[] = {"released", "owner-gone",
                                                 "withdrawn", "unknown"};
        log_.Write(
            LogLevel::kInfo, "release",
            {{"service", service.value()},
             {"target", request.owner.id.value()},
             {"first", std::to_string(request.range.first)},
             {"last", std::to_string(request.range.last)},
             {"fence", std::to_string(request.fence)},
             {"sender", sender},
             {"outcome", kNames[static_cast<int>(outcome)]},
             {"proof", ToString(proof)},
             {"took_ms", std::to_string(ToMillis(BootNow() - requested_at))}});
        handler(outcome, handover);
      });
}

}  // namespace figstall
