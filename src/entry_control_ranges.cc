// Implements grants, moves and load reports of key ranges for EntryControl.
#include <fmt/format.h>

#include <algorithm>

#include "figstall/entry_control.h"
#include "figstall/peer_datagram.h"
#include "platform/target_orders.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::kMoverKey;
using detail::kTablesPrefix;
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
    const auto may_send = [this, request] {
      const Instant at = BootNow();
      const RangeEntry* entry =
          view_.tables.at(request.service).Find(request.range.first);
      const bool is_granter =
          entry && (entry->zone == settings_.zone || IsMover(at));
      return !resigned_ && tables_up_to_date_ && at < membership_valid_until_ &&
             is_granter && granter_.TryBeginSend(at, request);
    };
    platform::SendGrant(
        *ChannelTo(request.owner.id, request.address), request,
        settings_.grant_timing.call_timeout, may_send,
        [this, request](GrantOutcome outcome, const TargetNotice& notice) {
          granter_.OnOutcome(BootNow(), request, outcome);
          notices_.OnAnswer(BootNow(), request.owner, notice, "grant");
          static constexpr const char* kNames[] = {
              "granted", "refused", "not-there", "not-sent", "unknown"};
          const char* name = kNames[static_cast<int>(outcome)];
          ++metrics_.Counter("figstall_grants_total",
                             fmt::format("outcome=\"{}\"", name));
          if (outcome == GrantOutcome::kGranted)
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

GrantReport EntryControl::MakeGrantReport(Instant now) const {
  GrantReport report;
  for (const auto& [service, table] : granter_.tables())
    report.seen_fence[service] = table.last_fence;
  for (const auto& [owner, until] : granter_.HoldExpiries(now))
    report.holds_for[owner] = until - now;
  return report;
}

std::vector<ReportedNotice> EntryControl::MakeNoticeReport(Instant now) const {
  std::vector<ReportedNotice> report;
  for (const TargetIncarnation& target : notices_.notices().Reportable()) {
    const auto listed = view_.targets.find(target.id);
    if (listed != view_.targets.end() && listed->second.incarnation == target)
      report.push_back({target, notices_.notices().SaidLeaving(target),
                        notices_.notices().StatementOf(now, target)});
  }
  return report;
}

void EntryControl::MergeGrantReport(Instant now,
                                    const VmId& vm,
                                    const std::string& incarnation,
                                    const GrantReport& report) {
  const auto found =
      member_reports_.find(detail::MemberIncarnationId(vm, incarnation));
  if (found == member_reports_.end())
    return;
  MemberReport& known = found->second;
  for (const auto& [service, fence] : report.seen_fence) {
    std::uint64_t& seen = known.seen_fence[service];
    seen = std::max(seen, fence);
  }
  // Datagrams may be delayed and reordered, so the latest expiry is kept.
  std::erase_if(known.holds_until,
                [now](const auto& each) { return each.second <= now; });
  for (const auto& [owner, remaining] : report.holds_for) {
    Instant& until = known.holds_until[owner];
    until = std::max(
        until, now + settings_.grant_timing.ClampRemainingHold(remaining));
  }
}

void EntryControl::SendReport(Instant now) {
  const bool due = now - load_reported_at_ >= timing_.report_interval ||
                   reported_table_changes_ != table_change_count_ ||
                   reported_notices_ != notices_.notices().changes();
  if (!due || resigned_ || !initial_read_done_)
    return;
  load_reported_at_ = now;
  reported_table_changes_ = table_change_count_;
  reported_notices_ = notices_.notices().changes();
  LoadReport report = traffic_.MakeLoadReport(now, incarnation_);
  report.grants = MakeGrantReport(now);
  report.notices = MakeNoticeReport(now);
  // Processing times change slowly and make up most of a report.
  if (now - processing_times_reported_at_ >=
      timing_.processing_time_report_interval)
    processing_times_reported_at_ = now;
  else
    report.targets.clear();
  if (IsMover(now)) {
    MergeGrantReport(now, settings_.vm, incarnation_, report.grants);
    return load_aggregator_.OnReport(now, std::move(report));
  }
  const auto mover = view_.members.find(mover_vm_);
  if (mover == view_.members.end() || mover->second.peer_endpoint.port == 0)
    return;
  SendDatagram(
      mover->second.peer_endpoint,
      std::make_shared<std::string>(EncodePeerDatagram(std::move(report))));
}

void EntryControl::SendDatagram(const Endpoint& peer,
                                const std::shared_ptr<std::string>& datagram) {
  peer_socket_.async_send_to(
      boost::asio::buffer(*datagram),
      {boost::asio::ip::make_address(peer.address), peer.port},
      [this, datagram](boost::system::error_code error, std::size_t) {
        if (error)
          ++metrics_.Counter("figstall_datagrams_lost_total", "");
      });
}

void EntryControl::SendCreditMessage(const VmId& to,
                                     const CreditMessage& message) {
  const auto member = view_.members.find(to);
  if (member == view_.members.end() || member->second.peer_endpoint.port == 0)
    return;
  SendDatagram(
      member->second.peer_endpoint,
      std::make_shared<std::string>(std::visit(
          [](const auto& each) { return EncodePeerDatagram(each); }, message)));
}

void EntryControl::AnswerCreditRequest(
    Instant now,
    const CreditRequest& request,
    const boost::asio::ip::udp::endpoint& sender) {
  const auto target = view_.targets.find(request.target.id);
  const CreditResponse response = credits_.OnRequest(
      now, request,
      target == view_.targets.end() ? ZoneId() : target->second.zone);
  ++metrics_.Counter(
      "figstall_credit_requests_total",
      response.granted > 0 ? "outcome=\"granted\"" : "outcome=\"refused\"");
  SendDatagram({sender.address().to_string(), sender.port()},
               std::make_shared<std::string>(EncodePeerDatagram(response)));
}

void EntryControl::LimitHotKeys(Instant now) {
  if (!IsMover(now) || !view_.routes ||
      now - hot_keys_checked_at_ < timing_.report_interval)
    return;
  hot_keys_checked_at_ = now;
  HotKeyLimits limits;
  limits.mover = settings_.vm;
  for (const auto& [service, table] : view_.tables) {
    AdmittedShares shares =
        ComputeAdmittedShares(table, smoothed_load_[service].load(),
                              TargetCapacities(now, service), view_.targets);
    if (!shares.empty())
      limits.services[service] = std::move(shares);
  }
  const bool limiting = !limits.services.empty();
  if (limiting != limiting_hot_keys_) {
    log_.Write(LogLevel::kInfo, limiting ? "hot-keys-limited" : "hot-keys-free",
               {{"services", std::to_string(limits.services.size())}});
  }
  if (!limiting && !limiting_hot_keys_)
    return;
  limiting_hot_keys_ = limiting;
  const auto datagram =
      std::make_shared<std::string>(EncodePeerDatagram(limits));
  for (const auto& [vm, member] : view_.members) {
    if (vm != settings_.vm && member.peer_endpoint.port != 0)
      SendDatagram(member.peer_endpoint, datagram);
  }
  view_.hot_key_limits = std::move(limits);
  view_.hot_key_limits_until = now + timing_.hot_key_limits_duration;
}

void EntryControl::ReceiveDatagrams() {
  peer_socket_.async_receive_from(
      boost::asio::buffer(peer_buffer_), peer_sender_,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (!error) {
          HandleError(
              [&]() -> Result<void> {
                BOOST_LEAF_AUTO(
                    datagram, DecodePeerDatagram({peer_buffer_.data(), size}));
                const Instant now = BootNow();
                if (auto* report = std::get_if<LoadReport>(&datagram)) {
                  MergeGrantReport(now, report->vm, report->incarnation,
                                   report->grants);
                  for (const ReportedNotice& notice : report->notices)
                    notices_.OnReport(now, report->vm, notice);
                  load_aggregator_.OnReport(now, std::move(*report));
                  return {};
                }
                if (const auto* request =
                        std::get_if<CreditRequest>(&datagram)) {
                  AnswerCreditRequest(now, *request, peer_sender_);
                  return {};
                }
                if (const auto* response =
                        std::get_if<CreditResponse>(&datagram)) {
                  credits_.OnResponse(now, *response);
                  traffic_.RetryWaiting();
                  return {};
                }
                auto& limits = std::get<HotKeyLimits>(datagram);
                if (limits.mover != mover_vm_)
                  return {};
                view_.hot_key_limits = std::move(limits);
                view_.hot_key_limits_until =
                    now + timing_.hot_key_limits_duration;
                return {};
              },
              [&](const Error& refused) {
                log_.Write(LogLevel::kWarning, "report-refused",
                           {{"findings", refused.message}});
              });
        }
        ReceiveDatagrams();
      });
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
    if (!state.mover)
      state.mover =
          std::make_unique<RangeMover>(service, settings_.grant_timing);
    SendReleases(service, state);
    if (state.write_in_progress || state.read_in_progress)
      continue;
    const RangeLoad& load = smoothed_load_[service].load();
    const auto capacity = LimitedCapacities(now, service);
    MoverInput input;
    input.now = now;
    input.directory = &view_.targets;
    input.members = &member_reports_;
    input.members_up_to_date = cursor_ >= state.revision;
    input.members_known_since = members_known_since_;
    input.mover_since = mover_since_;
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
  const std::string key = kTablesPrefix + service.value();
  store_.Write(
      {{kMoverKey, mover_key_revision_}, {key, state.revision}},
      {{key, EncodeRangeTable(next), 0}}, {},
      [this, service, next, key](const StoreResponse& response) {
        RecordStoreCall(response, "write-ranges");
        MoverState& current = movers_[service];
        current.write_in_progress = false;
        log_.Write(LogLevel::kInfo, "ranges-written",
                   {{"service", service.value()},
                    {"fence", std::to_string(next.last_fence)},
                    {"entries", std::to_string(next.entries.size())},
                    {"outcome", ToString(response.status)}});
        if (response.status == StoreStatus::kOk) {
          ApplyUpdate({{key, EncodeRangeTable(next), response.revision, false}},
                      0);
          return ProcessChanges();
        }
        if (response.status == StoreStatus::kConflict &&
            std::none_of(response.items.begin(), response.items.end(),
                         [this](const StoreItem& item) {
                           return item.key == kMoverKey &&
                                  item.revision == mover_key_revision_;
                         }))
          StepDownAsMover("write-refused");
        ReadTable(service);
      });
}

void EntryControl::ReadTable(const ServiceId& service) {
  movers_[service].read_in_progress = true;
  const std::string key = kTablesPrefix + service.value();
  store_.Get(key, [this, service](const StoreResponse& response) {
    RecordStoreCall(response, "read-ranges");
    const bool succeeded = response.status == StoreStatus::kOk ||
                           response.status == StoreStatus::kNotFound;
    if (!succeeded)
      return RunAfter(timing_.store_retry_interval,
                      [this, service] { ReadTable(service); });
    movers_[service].read_in_progress = false;
    ApplyUpdate(response.items, 0);
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
          current.mover->OnReleased(request, handover);
          ProcessChanges();
        });
  }
}

}  // namespace figstall
