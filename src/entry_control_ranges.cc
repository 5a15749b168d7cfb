// Implements the grants and moves of key ranges.
#include <fmt/format.h>

#include <algorithm>

#include "figstall/entry_control.h"
#include "platform/target_orders.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::kMoverKey;
using detail::kTablesPrefix;
using platform::StoreStatus;

constexpr std::size_t kMaxQueuedOrders = 256;
// Members of a zone that grant the same range, by rank.
constexpr std::size_t kGrantersPerRange = 2;
// A release is answered once the work on its keys has ended.
constexpr Duration kReleaseLimit = std::chrono::milliseconds(2500);
// Longer than any grant lasts.
constexpr Duration kForgetAfter = std::chrono::seconds(60);
constexpr Duration kReleaseAgain = std::chrono::milliseconds(200);

}  // namespace

std::shared_ptr<HttpChannel> EntryControl::ChannelTo(const TargetId& owner,
                                                     const Endpoint& address) {
  auto& channel = channels_[{owner, address}];
  if (!channel) {
    channel = HttpChannel::Make(io_, address, kMaxQueuedOrders);
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
  // Rank of this member among those of its zone, by rendezvous hash.
  const auto weight = [&](const VmId& vm) {
    return std::hash<std::string>()(vm.value() + "/" + entry.owner.id.value());
  };
  const std::size_t mine = weight(settings_.vm);
  const auto ahead = static_cast<std::size_t>(std::count_if(
      zone_members.begin(), zone_members.end(),
      [&](const VmId& vm) { return vm != settings_.vm && weight(vm) > mine; }));
  return ahead < kGrantersPerRange;
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
  for (const GrantRequest& order : due) {
    const auto may_send = [this, order] {
      const Instant at = BootNow();
      return !resigned_ && tables_up_to_date_ && at < membership_valid_until_ &&
             granter_.TryBeginSend(at, order);
    };
    platform::SendGrant(
        *ChannelTo(order.owner.id, order.address), order,
        settings_.grants.call_timeout, may_send,
        [this, order](GrantOutcome outcome) {
          granter_.OnOutcome(BootNow(), order, outcome);
          static constexpr const char* kNames[] = {
              "granted", "refused", "not-there", "not-sent", "unknown"};
          const char* name = kNames[static_cast<int>(outcome)];
          ++metrics_.Counter("figstall_grants_total",
                             fmt::format("outcome=\"{}\"", name));
          if (outcome == GrantOutcome::kGranted)
            return;
          log_.Write(LogLevel::kInfo, "grant-failed",
                     {{"service", order.service.value()},
                      {"target", order.owner.id.value()},
                      {"first", std::to_string(order.range.first)},
                      {"last", std::to_string(order.range.last)},
                      {"fence", std::to_string(order.fence)},
                      {"outcome", name}});
        });
  }
}

void EntryControl::ReportInStore(Instant now) {
  if (reporting_ || resigned_ || !tables_up_to_date_ ||
      now >= membership_valid_until_)
    return;
  bool owed = false;
  for (const auto& [service, table] : granter_.tables()) {
    for (const RangeEntry& entry : table.entries) {
      owed = owed || (entry.phase == RangePhase::kAwaitingReports &&
                      entry.fence > reported_[service]);
    }
  }
  if (!owed)
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

void EntryControl::MergeGrantReport(Instant now,
                                    const VmId& vm,
                                    const std::string& incarnation,
                                    const GrantReport& report) {
  const auto found =
      reports_.find(detail::MemberIncarnationId(vm, incarnation));
  if (found == reports_.end())
    return;
  MemberReport& known = found->second;
  for (const auto& [service, fence] : report.seen_fence) {
    std::uint64_t& seen = known.seen_fence[service];
    seen = std::max(seen, fence);
  }
  // Datagrams may arrive late and in any order, so the latest time counts.
  std::erase_if(known.holds_until,
                [now](const auto& each) { return each.second <= now; });
  for (const auto& [owner, time] : report.holds_for) {
    Instant& until = known.holds_until[owner];
    until = std::max(until, now + settings_.grants.ClampRemainingHold(time));
  }
}

void EntryControl::SendReport(Instant now) {
  const bool due = now - reported_at_ >= timing_.report_interval ||
                   reported_changes_ != table_changes_;
  if (!due || resigned_ || !initial_read_done_)
    return;
  reported_at_ = now;
  reported_changes_ = table_changes_;
  LoadReport report = traffic_.MakeLoadReport(now, incarnation_);
  report.grants = MakeGrantReport(now);
  // Speeds change slowly and make up most of a report.
  if (now - speeds_published_at_ >= timing_.speed_report_interval)
    speeds_published_at_ = now;
  else
    report.targets.clear();
  if (IsMover(now)) {
    MergeGrantReport(now, settings_.vm, incarnation_, report.grants);
    return load_aggregator_.OnReport(now, std::move(report));
  }
  const auto mover = view_.members.find(mover_vm_);
  if (mover == view_.members.end() || mover->second.peers.port == 0)
    return;
  SendTo(mover->second.peers,
         std::make_shared<std::string>(EncodePeerDatagram(std::move(report))));
}

void EntryControl::SendTo(const Endpoint& peer,
                          const std::shared_ptr<std::string>& bytes) {
  peers_.async_send_to(
      boost::asio::buffer(*bytes),
      {boost::asio::ip::make_address(peer.address), peer.port},
      [this, bytes](boost::system::error_code error, std::size_t) {
        if (error)
          ++metrics_.Counter("figstall_datagrams_lost_total", "");
      });
}

void EntryControl::LimitHotKeys(Instant now) {
  if (!IsMover(now) || !view_.routes ||
      now - limited_at_ < timing_.report_interval)
    return;
  limited_at_ = now;
  HotKeyLimits order;
  order.mover = settings_.vm;
  for (const auto& [service, table] : view_.tables) {
    const std::vector<double>& heat = smoothed_load_[service].parts();
    AdmittedShares shares =
        LimitHotParts(table, heat, CapacitiesOf(now, service), view_.targets);
    if (!shares.empty())
      order.services[service] = std::move(shares);
  }
  const bool limiting = !order.services.empty();
  if (limiting != limiting_) {
    log_.Write(LogLevel::kInfo, limiting ? "hot-keys-limited" : "hot-keys-free",
               {{"services", std::to_string(order.services.size())}});
  }
  if (!limiting && !limiting_)
    return;
  limiting_ = limiting;
  const auto bytes = std::make_shared<std::string>(EncodePeerDatagram(order));
  for (const auto& [vm, member] : view_.members) {
    if (vm != settings_.vm && member.peers.port != 0)
      SendTo(member.peers, bytes);
  }
  view_.hot_key_limits = std::move(order);
  view_.hot_key_limits_until = now + timing_.hot_key_limits_duration;
}

void EntryControl::ReceiveReports() {
  peers_.async_receive_from(
      boost::asio::buffer(peer_buffer_), peer_from_,
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
                  load_aggregator_.OnReport(now, std::move(*report));
                  return {};
                }
                auto& order = std::get<HotKeyLimits>(datagram);
                if (order.mover != mover_vm_)
                  return {};
                view_.hot_key_limits = std::move(order);
                view_.hot_key_limits_until =
                    now + timing_.hot_key_limits_duration;
                return {};
              },
              [&](const Error& refused) {
                log_.Write(LogLevel::kWarning, "report-refused",
                           {{"findings", refused.message}});
              });
        }
        ReceiveReports();
      });
}

const std::map<TargetId, double>& EntryControl::CapacitiesOf(
    Instant now,
    const ServiceId& service) {
  MeasuredCapacities& known = capacities_[service];
  if (now - known.at >= timing_.capacity_update_interval) {
    known.at = now;
    known.of = load_aggregator_.Capacities(now, view_.targets, service);
  }
  return known.of;
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
        now, load_aggregator_.PartLoads(now, service, view_.members.size()));
  }
}

void EntryControl::MoveRanges(Instant now) {
  if (!IsMover(now) || !view_.routes)
    return;
  UpdateLoad(now);
  std::erase_if(reports_, [now](const auto& each) {
    return each.second.departed_at &&
           now - *each.second.departed_at > kForgetAfter;
  });
  for (const auto& [service, each] : view_.routes->state().services) {
    if (!each.keyed)
      continue;
    MoverState& state = movers_[service];
    if (!state.mover)
      state.mover = std::make_unique<RangeMover>(service, settings_.grants);
    SendReleases(service, state);
    if (state.writing || state.reading)
      continue;
    const RangeLoad load{smoothed_load_[service].parts()};
    const auto& capacity = CapacitiesOf(now, service);
    MoverInput view;
    view.now = now;
    view.directory = &view_.targets;
    view.members = &reports_;
    view.members_up_to_date = cursor_ >= state.revision;
    view.members_known_since = members_known_since_;
    view.capacity = &capacity;
    view.load = &load;
    const auto next = state.mover->Plan(view);
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
  state.writing = true;
  const std::string key = kTablesPrefix + service.value();
  store_.Write({{kMoverKey, mover_revision_}, {key, state.revision}},
               {{key, EncodeRangeTable(next), 0}}, {},
               [this, service, next, key](const StoreResponse& answer) {
                 RecordStoreCall(answer, "write-ranges");
                 MoverState& written = movers_[service];
                 written.writing = false;
                 log_.Write(LogLevel::kInfo, "ranges-written",
                            {{"service", service.value()},
                             {"fence", std::to_string(next.last_fence)},
                             {"entries", std::to_string(next.entries.size())},
                             {"outcome", ToString(answer.status)}});
                 if (answer.status == StoreStatus::kOk) {
                   ApplyUpdate(
                       {{key, EncodeRangeTable(next), answer.revision, false}},
                       0);
                   return ProcessChanges();
                 }
                 if (answer.status == StoreStatus::kConflict &&
                     std::none_of(answer.items.begin(), answer.items.end(),
                                  [this](const StoreItem& item) {
                                    return item.key == kMoverKey &&
                                           item.revision == mover_revision_;
                                  }))
                   StepDownAsMover("write-refused");
                 ReadTable(service);
               });
}

void EntryControl::ReadTable(const ServiceId& service) {
  movers_[service].reading = true;
  const std::string key = kTablesPrefix + service.value();
  store_.Get(key, [this, service](const StoreResponse& answer) {
    RecordStoreCall(answer, "read-ranges");
    const bool known = answer.status == StoreStatus::kOk ||
                       answer.status == StoreStatus::kNotFound;
    if (!known)
      return After(timing_.store_retry_interval,
                   [this, service] { ReadTable(service); });
    movers_[service].reading = false;
    ApplyUpdate(answer.items, 0);
  });
}

void EntryControl::SendReleases(const ServiceId& service, MoverState& state) {
  for (const ReleaseRequest& order : state.mover->OutstandingReleases()) {
    if (!state.releasing.insert(order).second)
      continue;
    platform::SendRelease(
        *ChannelTo(order.owner.id, order.address), order, kReleaseLimit,
        [this, service, order](platform::ReleaseOutcome outcome,
                               const std::string& handover) {
          MoverState& now = movers_[service];
          static constexpr const char* kNames[] = {"released", "owner-gone",
                                                   "unknown"};
          log_.Write(LogLevel::kInfo, "release",
                     {{"service", service.value()},
                      {"target", order.owner.id.value()},
                      {"first", std::to_string(order.range.first)},
                      {"last", std::to_string(order.range.last)},
                      {"fence", std::to_string(order.fence)},
                      {"outcome", kNames[static_cast<int>(outcome)]}});
          if (outcome == platform::ReleaseOutcome::kUnknown) {
            return After(kReleaseAgain, [this, service, order] {
              movers_[service].releasing.erase(order);
            });
          }
          now.releasing.erase(order);
          now.mover->OnReleased(order, handover);
          ProcessChanges();
        });
  }
}

}  // namespace figstall
