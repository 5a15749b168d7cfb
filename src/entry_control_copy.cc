// Implements for EntryControl how its copy of the store is kept current:
// readings, watches, and updates of the member that it follows.
#include <algorithm>

#include "figstall/entry_control.h"
#include "platform/decode.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::kOwnPrefix;
using platform::StoreStatus;

// Prefix of all keys. A member uses everything in the store, so that one watch
// is enough.
constexpr char kAllKeysPrefix[] = "";

}  // namespace

void EntryControl::StartRead(ReadScope scope) {
  if (store_read_.in_progress())
    return;
  const auto read = std::make_shared<StoreRead>();
  read->scope = scope;
  read->started_as_member = member_written_;
  read->started_at = BootNow();
  if (scope == ReadScope::kFull) {
    read->sections = {{kAllKeysPrefix, false, {}, 0}};
  } else {
    read->sections = {{kOwnPrefix, false, {}, 0}};
    if (scope == ReadScope::kInitial) {
      for (const char* prefix :
           {platform::kTargetsPrefix, platform::kDesiredStateKey})
        read->sections.push_back({prefix, true, {}, 0});
      // In its current state: the limit counts from the acknowledgement.
      if (evacuations_)
        read->sections.push_back({platform::kEvacuationsPrefix, false, {}, 0});
    }
  }
  ReadPage(read, "", store_read_.Begin());
}

void EntryControl::ReadPage(const std::shared_ptr<StoreRead>& read,
                            const std::string& after,
                            PendingOperation::Handle reading) {
  const StoreSection& requested = read->sections[read->section_index];
  store_.List(requested.prefix, after, requested.allow_stale,
              [this, read,
               reading = std::move(reading)](const StoreResponse& response) {
                RecordStoreCall(response, "list");
                if (!read->era)
                  read->era = response.era;
                // All pages must be of the store's current era.
                if (response.status != StoreStatus::kOk ||
                    response.era != era_ || read->era != era_) {
                  reading.End();
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
                  return ReadPage(read, response.items.back().key, reading);
                if (++read->section_index < read->sections.size())
                  return ReadPage(read, "", reading);
                reading.End();
                ApplyRead(*read);
              });
}

void EntryControl::ApplyRead(const StoreRead& read) {
  if (!initial_read_done_)
    members_known_since_ = BootNow();
  change_source_ = "read";
  copy_.ApplyRead(read.sections, read.scope != ReadScope::kMemberKeys);
  view_.last_update_at = BootNow();
  OnTablesConfirmed(read.started_at);
  tables_up_to_date_ = read.started_as_member && member_written_;
  source_confirmed_at_ = BootNow();
  initial_read_done_ = true;
  log_.Write(LogLevel::kInfo, "store-read",
             {{"targets", std::to_string(view_.targets.size())},
              {"members", std::to_string(view_.members.size())},
              {"revision", RevisionText(copy_.cursor())}});
  if (member_written_ && !read.started_as_member)
    StartRead(ReadScope::kMemberKeys);
}

void EntryControl::LogRelayGap(const ItemDelta& delta, Revision known) {
  log_.Write(LogLevel::kWarning, "relay-gap",
             {{"key", delta.key},
              {"revision", RevisionText(delta.revision)},
              {"base", RevisionText(delta.base)},
              {"known", RevisionText(known)}});
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
    // Its record had no valid address.
    if (member.peer_endpoint.port == 0)
      continue;
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

std::optional<Instant> EntryControl::confirmed_at() const {
  return std::max(connectivity_.confirmed_at(), subscriber_.confirmed_at());
}

std::optional<Duration> EntryControl::Staleness(Instant now) const {
  const auto confirmed = confirmed_at();
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
                  {"from", RevisionText(copy_.SubscribeFrom())}});
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
      !store_read_.in_progress() && now >= next_watch_at_ &&
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
  // The store has no changes after a revision of an earlier era.
  if (EraOf(copy_.cursor()) != era_)
    return StartRead(ReadScope::kFull);
  const Instant now = BootNow();
  connectivity_.OnWatchSent(now);
  // A copy that is not confirmed is to be confirmed at once, for those that
  // wait for it.
  const auto age = Staleness(now);
  const bool confirmed = age && *age < timing_.relay_timeout;
  membership_renewal_due_at_ =
      std::min(membership_renewal_due_at_,
               confirmed ? now + timing_.watcher_renewal_interval : now);
  store_.Watch(kAllKeysPrefix, copy_.cursor(), timing_.watch_timeout,
               [this, now, generation = ++watch_generation_](
                   const StoreResponse& response) {
                 if (generation == watch_generation_)
                   OnWatchResponse(response, now);
               });
}

void EntryControl::CancelWatch() {
  log_.Write(LogLevel::kInfo, "watch-given-up",
             {{"cursor", RevisionText(copy_.cursor())}});
  ++watch_generation_;
  connectivity_.OnWatchEnded(/*answered=*/false);
  store_.CancelWatch();
  next_watch_at_ = BootNow();
}

void EntryControl::OnWatchResponse(const StoreResponse& response,
                                   Instant requested_at) {
  RecordStoreCall(response, "watch");
  next_watch_at_ = BootNow() + timing_.watch_interval;
  connectivity_.OnWatchEnded(response.status == StoreStatus::kOk);
  if (response.era && EraOf(copy_.cursor()) != *response.era)
    return;
  if (response.status == StoreStatus::kOk) {
    change_source_ = "watch";
    copy_.ApplyChanges(response.items, response.revision);
    view_.last_update_at = BootNow();
    OnTablesConfirmed(requested_at);
    return ProcessChanges();
  }
  if (response.status == StoreStatus::kCompacted) {
    log_.Write(LogLevel::kWarning, "watch-history-gone", {});
    return StartRead(ReadScope::kFull);
  }
  next_watch_at_ = BootNow() + timing_.store_retry_interval;
}

void EntryControl::OnRelayUpdate(const RelayUpdate& update) {
  Revision newest = update.cursor;
  for (const StoreItem& item : update.items)
    newest = std::max(newest, item.revision);
  NoteEra(EraOf(newest), "relay");
  change_source_ = "relay";
  if (!copy_.ApplyRelayUpdate(update)) {
    log_.Write(LogLevel::kInfo, "relay-renewed",
               {{"cursor", RevisionText(copy_.cursor())},
                {"publisher", RevisionText(update.cursor)}});
    subscriber_.Stop();
  }
  view_.last_update_at = BootNow();
  if (view_changed_)
    ProcessChanges();
}

}  // namespace figstall
