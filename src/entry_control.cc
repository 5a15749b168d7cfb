// Implements reading, watching and relaying the store. Membership and the
// election are in entry_control_members.cc, grants and moves of key ranges in
// entry_control_ranges.cc, datagrams between members in entry_control_peers.cc.
#include "figstall/entry_control.h"

#include <fmt/format.h>

#include "platform/decode.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::kMembersPrefix;
using detail::kMoverKey;
using detail::kOwnPrefix;
using detail::kTablesPrefix;
using platform::StoreStatus;

// Prefix of all keys. A member uses everything in the store, so that one watch
// is enough.
constexpr char kAllKeysPrefix[] = "";

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
                           Log& log,
                           Metrics& metrics)
    : io_(io),
      settings_(settings),
      incarnation_(std::move(incarnation)),
      view_(view),
      traffic_(traffic),
      notices_(notices),
      credits_(credits),
      log_(log),
      metrics_(metrics),
      store_(io, settings.store, timing_.store_call_timeout),
      random_(std::hash<std::string>()(incarnation_ + settings.vm.value())),
      copy_({[this](const StoreItem& item) { return Apply(item); },
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
  view_.regions = settings.regions;
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
  store_.List(kMoverKey, "", /*allow_stale=*/true,
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

void EntryControl::StartRead(ReadScope scope) {
  if (store_read_in_progress_)
    return;
  store_read_in_progress_ = true;
  const auto read = std::make_shared<StoreRead>();
  read->scope = scope;
  read->started_as_member = member_written_;
  if (scope == ReadScope::kFull) {
    read->sections = {{kAllKeysPrefix, false, {}, 0}};
  } else {
    read->sections = {{kOwnPrefix, false, {}, 0}};
    if (scope == ReadScope::kInitial) {
      for (const char* prefix :
           {platform::kTargetsPrefix, platform::kDesiredStateKey})
        read->sections.push_back({prefix, true, {}, 0});
    }
  }
  ReadPage(read, "");
}

void EntryControl::ReadPage(const std::shared_ptr<StoreRead>& read,
                            const std::string& after) {
  const StoreSection& requested = read->sections[read->section_index];
  store_.List(requested.prefix, after, requested.allow_stale,
              [this, read](const StoreResponse& response) {
                RecordStoreCall(response, "list");
                if (response.status != StoreStatus::kOk) {
                  store_read_in_progress_ = false;
                  return RetryWhenStoreReachable(
                      [this, scope = read->scope] { StartRead(scope); });
                }
                StoreSection& section = read->sections[read->section_index];
                if (section.revision == 0)
                  section.revision = response.revision;
                section.items.insert(section.items.end(),
                                     response.items.begin(),
                                     response.items.end());
                if (response.more && !response.items.empty())
                  return ReadPage(read, response.items.back().key);
                if (++read->section_index < read->sections.size())
                  return ReadPage(read, "");
                store_read_in_progress_ = false;
                ApplyRead(*read);
              });
}

void EntryControl::ApplyRead(const StoreRead& read) {
  if (!initial_read_done_)
    members_known_since_ = BootNow();
  copy_.ApplyRead(read.sections, read.scope != ReadScope::kMemberKeys);
  view_.last_update_at = BootNow();
  tables_up_to_date_ = read.started_as_member && member_written_;
  source_confirmed_at_ = BootNow();
  initial_read_done_ = true;
  log_.Write(LogLevel::kInfo, "store-read",
             {{"targets", std::to_string(view_.targets.size())},
              {"members", std::to_string(view_.members.size())},
              {"revision", std::to_string(copy_.cursor())}});
  if (member_written_ && !read.started_as_member)
    StartRead(ReadScope::kMemberKeys);
}

void EntryControl::LogRelayGap(const ItemDelta& delta, Revision known) {
  log_.Write(LogLevel::kWarning, "relay-gap",
             {{"key", delta.key},
              {"revision", std::to_string(delta.revision)},
              {"base", std::to_string(delta.base)},
              {"known", std::to_string(known)}});
}

EntryControl::RelaySource EntryControl::ChooseRelaySource() const {
  // Prefers members with a higher capacity, because watching and relaying take
  // processor time and bandwidth; among equal members the mover, because it
  // writes most changes.
  const auto outranks = [this](const EntryMember* candidate,
                               const EntryMember* best) {
    if (!best)
      return true;
    const auto rank = [this](const EntryMember& member) {
      const bool is_mover = mover_key_exists_ && member.vm == mover_vm_;
      return std::pair(member.capacity_cores, is_mover);
    };
    return rank(*candidate) > rank(*best);
  };
  const EntryMember* root = nullptr;
  const EntryMember* region_relay = nullptr;
  const EntryMember* zone_relay = nullptr;
  for (const auto& [vm, member] : view_.members) {
    if (outranks(&member, root))
      root = &member;
    const auto region = view_.regions.find(member.zone);
    if (region != view_.regions.end() && region->second == settings_.region &&
        outranks(&member, region_relay))
      region_relay = &member;
    if (member.zone == settings_.zone && outranks(&member, zone_relay))
      zone_relay = &member;
  }
  RelaySource source;
  const auto subscribe_to = [&](const EntryMember* member, int level) {
    source.member = member;
    source.relay_timeout =
        timing_.relay_timeout + level * timing_.relay_timeout_per_level;
  };
  if (!root || root->vm == settings_.vm || !region_relay)
    return source;
  if (region_relay->vm == settings_.vm)
    subscribe_to(root, 0);
  else if (!zone_relay || zone_relay->vm == settings_.vm)
    subscribe_to(region_relay, 1);
  else
    subscribe_to(zone_relay, 2);
  return source;
}

std::optional<Duration> EntryControl::Staleness(Instant now) const {
  const auto confirmed =
      std::max(connectivity_.confirmed_at(), subscriber_.confirmed_at());
  return confirmed ? std::optional(now - *confirmed) : std::nullopt;
}

void EntryControl::MaintainSubscription(Instant now) {
  if (!initial_read_done_ || resigned_)
    return;
  const RelaySource source = ChooseRelaySource();
  if (source.member) {
    if (subscriber_.Subscribe(source.member->peer_endpoint,
                              copy_.SubscribeFrom())) {
      log_.Write(LogLevel::kInfo, "relay-subscribed",
                 {{"source", source.member->vm.value()},
                  {"from", std::to_string(copy_.SubscribeFrom())}});
      copy_.OnSubscribed();
    }
    if (now - relay_polled_at_ >=
        RelayPollInterval(now - source_confirmed_at_)) {
      relay_polled_at_ = now;
      subscriber_.Poll(now);
    }
    const auto confirmed = subscriber_.confirmed_at();
    if (confirmed && now - *confirmed < timing_.relay_timeout)
      source_confirmed_at_ = std::max(source_confirmed_at_, *confirmed);
  } else {
    subscriber_.Stop();
  }
  if (connectivity_.WatchMayBeStale())
    CancelWatch();
  // Waits for a source that was just chosen, or lost, to confirm its copy
  // before this member watches the store itself.
  if (!connectivity_.watching() && !connectivity_.lost() &&
      !store_read_in_progress_ && now >= next_watch_at_ &&
      (!source.member || now - source_confirmed_at_ >= source.relay_timeout)) {
    if (source.member)
      log_.Write(
          LogLevel::kInfo, "relay-stale",
          {{"source", source.member->vm.value()},
           {"age_ms", std::to_string(ToMillis(now - source_confirmed_at_))}});
    Watch();
  }
}

Duration EntryControl::RelayPollInterval(Duration age) const {
  return age >= timing_.relay_alert_age && age < timing_.relay_alert_end_age
             ? timing_.relay_alert_poll_interval
             : timing_.relay_poll_interval;
}

void EntryControl::Watch() {
  const Instant now = BootNow();
  connectivity_.OnWatchSent(now);
  // A copy that is not confirmed is to be confirmed at once, for those that
  // wait for it.
  const auto age = Staleness(now);
  const bool confirmed = age && *age < timing_.relay_timeout;
  membership_renewal_due_at_ =
      std::min(membership_renewal_due_at_,
               confirmed ? now + timing_.watcher_renewal_interval : now);
  store_.Watch(
      kAllKeysPrefix, copy_.cursor(), timing_.watch_timeout,
      [this, generation = ++watch_generation_](const StoreResponse& response) {
        if (generation == watch_generation_)
          OnWatchResponse(response);
      });
}

void EntryControl::CancelWatch() {
  log_.Write(LogLevel::kInfo, "watch-given-up",
             {{"cursor", std::to_string(copy_.cursor())}});
  ++watch_generation_;
  connectivity_.OnWatchEnded(/*answered=*/false);
  store_.CancelWatch();
  next_watch_at_ = BootNow();
}

void EntryControl::OnWatchResponse(const StoreResponse& response) {
  RecordStoreCall(response, "watch");
  next_watch_at_ = BootNow() + timing_.watch_interval;
  connectivity_.OnWatchEnded(response.status == StoreStatus::kOk);
  if (response.status == StoreStatus::kOk) {
    copy_.ApplyChanges(response.items, response.revision);
    view_.last_update_at = BootNow();
    return ProcessChanges();
  }
  if (response.status == StoreStatus::kCompacted) {
    log_.Write(LogLevel::kWarning, "watch-history-gone", {});
    return StartRead(ReadScope::kFull);
  }
  next_watch_at_ = BootNow() + timing_.store_retry_interval;
}

void EntryControl::OnRelayUpdate(const RelayUpdate& update) {
  if (!copy_.ApplyRelayUpdate(update)) {
    log_.Write(LogLevel::kInfo, "relay-renewed",
               {{"cursor", std::to_string(copy_.cursor())},
                {"publisher", std::to_string(update.cursor)}});
    subscriber_.Stop();
  }
  view_.last_update_at = BootNow();
  if (view_changed_)
    ProcessChanges();
}

bool EntryControl::Apply(const StoreItem& item) {
  if (StartsWith(item.key, platform::kTargetsPrefix))
    return ApplyTarget(
        item.key.substr(std::string_view(platform::kTargetsPrefix).size()),
        item);
  if (item.key == platform::kDesiredStateKey)
    ApplyDesiredState(item);
  else if (StartsWith(item.key, kMembersPrefix))
    ApplyMember(VmId(item.key.substr(std::string_view(kMembersPrefix).size())),
                item);
  else if (StartsWith(item.key, kTablesPrefix))
    ApplyTable(
        ServiceId(item.key.substr(std::string_view(kTablesPrefix).size())),
        item);
  else if (item.key == kMoverKey)
    ApplyMover(item);
  return true;
}

void EntryControl::ApplyMover(const StoreItem& item) {
  mover_key_exists_ = !item.deleted;
  mover_vm_ = VmId(item.value.substr(0, item.value.find('#')));
  if (item.deleted && IsMover(BootNow()))
    StepDownAsMover("key-removed");
}

void EntryControl::ApplyDesiredState(const StoreItem& item) {
  if (item.deleted)
    return;
  HandleError(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(state, platform::DecodeDesiredState(item.value));
        const std::uint64_t known =
            view_.routes ? view_.routes->state().version : 0;
        if (view_.routes && state.version <= known)
          return {};
        log_.Write(LogLevel::kInfo, "desired-state-in-force",
                   {{"version", std::to_string(state.version)},
                    {"earlier", std::to_string(known)},
                    {"revision", std::to_string(item.revision)},
                    {"routes", std::to_string(state.routes.size())}});
        view_.routes = std::make_shared<const RouteIndex>(std::move(state));
        MarkViewChanged();
        return {};
      },
      [&](const Error& error) {
        log_.Write(LogLevel::kError, "desired-state-refused",
                   {{"revision", std::to_string(item.revision)},
                    {"findings", Describe(error)}});
      });
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
              {"revision", std::to_string(revision)}});
}

bool EntryControl::ApplyTarget(const std::string& id, const StoreItem& item) {
  const TargetId target(id);
  if (item.deleted) {
    const auto known = view_.targets.find(target);
    if (known != view_.targets.end())
      absence_.OnEntryRemoved(BootNow(), target, known->second.leaving);
    return true;
  }
  return HandleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(entry, platform::DecodeTargetEntry(id, item.value));
        const bool was_absent = absence_.OnEntryPresent(target);
        const bool listed_otherwise = notices_.notices().OnListed(
            BootNow(), entry.incarnation, entry.leaving);
        // An entry may still say ready after the target's answers said that it
        // leaves.
        entry.leaving =
            notices_.notices().LeavingSince(entry.incarnation).has_value();
        const auto known = view_.targets.find(target);
        // Subscribers may not have heard yet what this member knew before.
        if (known != view_.targets.end() && known->second == entry)
          return was_absent || listed_otherwise;
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
        return true;
      },
      [&](const Error& error) {
        log_.Write(LogLevel::kWarning, "target-entry-refused",
                   {{"target", id},
                    {"revision", std::to_string(item.revision)},
                    {"findings", Describe(error)}});
        return true;
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
        if (!state.mover)
          state.mover =
              std::make_unique<RangeMover>(service, settings_.grant_timing);
        state.mover->OnTable(table, BootNow());
        granter_.OnTable(service, table);
        ++table_change_count_;
        log_.Write(LogLevel::kInfo, "ranges-changed",
                   {{"service", service.value()},
                    {"revision", std::to_string(item.revision)},
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
  if (view_changed_) {
    view_changed_ = false;
    grants_check_due_ = true;
    std::map<VmId, ZoneId> members;
    for (const auto& [vm, member] : view_.members)
      members[vm] = member.zone;
    credits_.SetMembers(std::move(members));
    traffic_.OnViewChanged();
  }
  const Instant now = BootNow();
  MoveRanges(now);
  if (!grants_check_due_ &&
      now - grants_checked_at_ < timing_.grant_check_interval)
    return;
  grants_check_due_ = false;
  grants_checked_at_ = now;
  SendGrants(now);
}

void EntryControl::Tick(Instant now) {
  RenewMembership(now);
  MaintainSubscription(now);
  RemoveAbsentTargets(now);
  MarkLeavingTargets();
  RenewMoverLease(now);
  Campaign(now);
  ProcessChanges();
  LimitHotKeys(now);
  SendReport(now);
  ReportToStore(now);
}

}  // namespace figstall
