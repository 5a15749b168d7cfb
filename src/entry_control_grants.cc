// Implements grants of key ranges for EntryControl, and the confirmation of the
// tables that they wait for.
#include <fmt/format.h>

#include <algorithm>

#include "figstall/entry_control.h"
#include "platform/target_orders.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::TablesPrefix;
using platform::StoreStatus;

constexpr std::size_t kMaxQueuedRequests = 256;
// Number of members of a zone that grant the same range. The members with the
// highest rank grant it.
constexpr std::size_t kGrantersPerRange = 2;

}  // namespace

std::shared_ptr<HttpChannel> EntryControl::MakeOrderChannel(
    const TargetId& target,
    const Endpoint& address) {
  auto channel = HttpChannel::Make(io_, address, kMaxQueuedRequests);
  channel->LimitDelivery();
  channel->SetLimitHandler([this, target](const ExceededLimit& limit) {
    log_.Write(LogLevel::kWarning, "response-over-limit",
               {{"target", target.value()},
                {"source", "order"},
                {"place", limit.place},
                {"limit", limit.bound()}});
    ++metrics_.Counter("figstall_responses_over_limit_total",
                       fmt::format("place=\"{}\"", limit.place));
  });
  channel->SetStrayBytesHandler([this, target](StrayBytes where) {
    OnStrayBytes(target.value(), where);
  });
  return channel;
}

HttpChannel& EntryControl::GrantChannelTo(const TargetId& owner,
                                          const Endpoint& address) {
  auto& channel = grant_channels_[{owner, address}];
  if (!channel) {
    channel = MakeOrderChannel(owner, address);
    channel->SetDisconnectHandler(
        [this, owner] { granter_.OnConnectionLost(BootNow(), owner); });
  }
  return *channel;
}

void EntryControl::OnStrayBytes(const std::string& target, StrayBytes where) {
  const char* peer = target.empty() ? "store" : "target";
  ++metrics_.Counter(
      "figstall_stray_bytes_total",
      fmt::format("peer=\"{}\",where=\"{}\"", peer, ToString(where)));
  log_.Write(LogLevel::kInfo, "stray-bytes",
             {{"peer", peer}, {"target", target}, {"where", ToString(where)}});
}

std::vector<VmId> EntryControl::ZoneMembers() const {
  std::vector<VmId> members;
  for (const auto& [vm, member] : view_.members) {
    if (member.zone == settings_.zone)
      members.push_back(vm);
  }
  return members;
}

bool EntryControl::MayGrant(Instant now, const RangeEntry& entry) const {
  return !resigned_ && tables_up_to_date_ && now < membership_valid_until_ &&
         (entry.zone == settings_.zone || IsMover(now));
}

bool EntryControl::ShouldGrant(Instant now,
                               const std::vector<VmId>& zone_members,
                               const ServiceId& service,
                               const RangeEntry& entry) const {
  if (!MayGrant(now, entry))
    return false;
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
  return IsZoneGranter(zone_members, entry.owner.id);
}

bool EntryControl::IsZoneGranter(const std::vector<VmId>& zone_members,
                                 const TargetId& owner) const {
  // Ranks the members of this zone by rendezvous hash.
  const auto hash_of = [&](const VmId& vm) {
    return std::hash<std::string>()(vm.value() + "/" + owner.value());
  };
  const std::size_t own_hash = hash_of(settings_.vm);
  const auto members_ranked_higher = static_cast<std::size_t>(std::count_if(
      zone_members.begin(), zone_members.end(), [&](const VmId& vm) {
        return vm != settings_.vm && hash_of(vm) > own_hash;
      }));
  return members_ranked_higher < kGrantersPerRange;
}

void EntryControl::SendGrants(Instant now) {
  const std::vector<VmId> zone_members = ZoneMembers();
  const auto due = granter_.TakeDueGrants(
      now, view_.targets,
      [&](const ServiceId& service, const RangeEntry& entry) {
        return ShouldGrant(now, zone_members, service, entry);
      });
  for (const GrantRequest& request : due) {
    duties_.Run(now, "grant/" + request.owner.id.value(),
                [&] { SendGrant(now, request); });
  }
}

void EntryControl::SendGrant(Instant now, const GrantRequest& request) {
  const auto may_send = [this, request](Instant connected_at) {
    const Instant at = BootNow();
    const RangeEntry* entry =
        view_.tables.at(request.service).Find(request.range.first);
    if (!entry || !MayGrant(at, *entry))
      return false;
    const SendDecision decision =
        granter_.TryBeginSend(at, request, connected_at);
    if (decision == SendDecision::kAwaitConfirmation)
      LogAwaitedConfirmation(at, request, connected_at);
    if (decision == SendDecision::kSend)
      LogFirstGrant(at, request, connected_at);
    return decision == SendDecision::kSend;
  };
  platform::SendGrant(
      GrantChannelTo(request.owner.id, request.address), request,
      settings_.grant_timing.call_timeout, may_send,
      [this, request, queued_at = now](
          GrantOutcome outcome, const TargetNotice& notice, AnswerProof proof) {
        OnGrantOutcome(request, queued_at, outcome, notice, proof);
      });
}

void EntryControl::OnGrantOutcome(const GrantRequest& request,
                                  Instant queued_at,
                                  GrantOutcome outcome,
                                  const TargetNotice& notice,
                                  AnswerProof proof) {
  const Instant now = BootNow();
  granter_.OnOutcome(now, request, outcome, proof);
  notices_.OnAnswer(now, request.owner, notice, "grant");
  static constexpr const char* kNames[] = {"granted",  "refused",   "not-there",
                                           "not-sent", "withdrawn", "unknown"};
  const char* name = kNames[static_cast<int>(outcome)];
  ++metrics_.Counter("figstall_grants_total",
                     fmt::format("outcome=\"{}\"", name));
  if (outcome == GrantOutcome::kGranted || outcome == GrantOutcome::kWithdrawn)
    return;
  log_.Write(LogLevel::kInfo, "grant-failed",
             {{"service", request.service.value()},
              {"target", request.owner.id.value()},
              {"first", std::to_string(request.range.first)},
              {"last", std::to_string(request.range.last)},
              {"fence", std::to_string(request.fence)},
              {"outcome", name},
              {"took_ms", std::to_string(ToMillis(now - queued_at))},
              {"hold_left_ms",
               std::to_string(HoldLeftMillis(now, request.owner.id))}});
}

std::int64_t EntryControl::HoldLeftMillis(Instant now,
                                          const TargetId& owner) const {
  return ToMillis(granter_.HoldExpiry(now, owner).value_or(now) - now);
}

void EntryControl::LogFirstGrant(Instant now,
                                 const GrantRequest& request,
                                 Instant connected_at) {
  std::uint64_t& logged =
      logged_grants_[{request.service, request.range.first}];
  if (logged == request.fence)
    return;
  logged = request.fence;
  log_.Write(
      LogLevel::kInfo, "range-granted",
      {{"service", request.service.value()},
       {"target", request.owner.id.value()},
       {"born", std::to_string(request.owner.started_at_ms)},
       {"first", std::to_string(request.range.first)},
       {"last", std::to_string(request.range.last)},
       {"fence", std::to_string(request.fence)},
       {"hold_ms", std::to_string(ToMillis(request.hold_duration))},
       {"connected_ms_ago", std::to_string(ToMillis(now - connected_at))}});
}

void EntryControl::LogStoppedGrants(Instant now,
                                    const ServiceId& service,
                                    const RangeTable& next) {
  const auto known = view_.tables.find(service);
  if (known == view_.tables.end())
    return;
  for (const RangeEntry& entry : next.entries) {
    const RangeEntry* earlier = known->second.Find(entry.range.first);
    if (entry.phase == RangePhase::kSettled || !earlier ||
        earlier->phase != RangePhase::kSettled ||
        !granter_.HoldExpiry(now, earlier->owner.id))
      continue;
    log_.Write(LogLevel::kInfo, "grants-stopped",
               {{"service", service.value()},
                {"target", earlier->owner.id.value()},
                {"first", std::to_string(entry.range.first)},
                {"last", std::to_string(entry.range.last)},
                {"fence", std::to_string(earlier->fence)},
                {"moving_fence", std::to_string(entry.fence)},
                {"hold_left_ms",
                 std::to_string(HoldLeftMillis(now, earlier->owner.id))}});
  }
}

void EntryControl::LogGrantingState(Instant now) {
  const bool granting =
      !resigned_ && tables_up_to_date_ && now < membership_valid_until_;
  if (granting == granting_)
    return;
  granting_ = granting;
  Instant held_until = now;
  for (const auto& [owner, until] : granter_.HoldExpiries(now))
    held_until = std::max(held_until, until);
  log_.Write(LogLevel::kInfo, granting ? "granting-began" : "granting-ended",
             {{"lease", std::to_string(member_lease_)},
              {"hold_left_ms", std::to_string(ToMillis(held_until - now))}});
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
  if (table_confirmation_.in_progress() || connectivity_.lost() ||
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
  next_table_confirmation_at_ = now + timing_.table_confirmation_interval;
  ReadTables("", table_confirmation_.Begin());
}

void EntryControl::ReadTables(const std::string& after,
                              PendingOperation::Handle confirming) {
  const std::string prefix = TablesPrefix(*era_);
  store_.List(
      prefix, after, /*allow_stale=*/false,
      [this, prefix, requested_at = BootNow(), era = era_,
       confirming = std::move(confirming)](const StoreResponse& response) {
        RecordStoreCall(response, "confirm-ranges");
        if (response.status != StoreStatus::kOk || response.era != era_ ||
            era != era_)
          return confirming.End();
        copy_.ApplyChanges(response.items, 0);
        for (const StoreItem& item : response.items) {
          const ServiceId service(item.key.substr(prefix.size()));
          if (movers_[service].revision >= item.revision)
            granter_.OnTableConfirmed(service, requested_at);
        }
        if (response.more && !response.items.empty())
          return ReadTables(response.items.back().key, confirming);
        confirming.End();
        grants_check_due_ = true;
        ProcessChanges();
      });
}

void EntryControl::ReportToStore(Instant now) {
  if (member_write_.in_progress() || resigned_ || !tables_up_to_date_ ||
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

}  // namespace figstall
