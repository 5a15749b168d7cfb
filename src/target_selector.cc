// A key has one owner; a service without keys leaves the choice to
// PickTarget().
#include "figstall/target_selector.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <vector>

#include "figstall/clock.h"
#include "figstall/region_rules.h"

namespace figstall {
namespace {

// A leaving owner may receive requests for the drain duration. This process
// uses only this fraction of it, since it may have learned late that the owner
// is leaving.
constexpr double kLeavingOwnerShare = 0.5;
// About the time for which a credit for a target that warms up is valid.
constexpr Duration kWarmUpRequestInterval = std::chrono::milliseconds(300);

void Record(const TargetQuery& query,
            const TargetClient& client,
            const TargetChoice& checked) {
  if (query.trace)
    query.trace->verdicts[client.entry().incarnation.id] = {
        client.entry().incarnation, checked.reason, checked.available_at};
}

}  // namespace

std::string_view ToString(Unavailability reason) {
  switch (reason) {
    case Unavailability::kNone:
      return "";
    case Unavailability::kNoOwner:
      return "no-owner";
    case Unavailability::kOtherOwner:
      return "other-owner";
    case Unavailability::kGone:
      return "gone";
    case Unavailability::kLeaving:
      return "leaving";
    case Unavailability::kPaused:
      return "paused";
    case Unavailability::kAwaitingCredit:
      return "awaiting-credit";
    case Unavailability::kRateLimited:
      return "rate-limited";
    case Unavailability::kNoCapacity:
      return "no-capacity";
    case Unavailability::kOpensSlowly:
      return "opens-slowly";
    case Unavailability::kOutsideRegions:
      return "outside-regions";
    case Unavailability::kEvacuated:
      return "evacuated";
    case Unavailability::kWarmingUp:
      return "warming-up";
    case Unavailability::kYieldsToPriority:
      return "yields-to-priority";
    case Unavailability::kLinkBusy:
      return "link-busy";
    case Unavailability::kStandstill:
      return "standstill";
  }
  return "";
}

void TargetSelector::OnViewChanged() {
  for (const auto& [id, entry] : view_.targets) {
    auto& client = clients_[id];
    if (!client || client->entry().incarnation != entry.incarnation ||
        client->entry().address != entry.address)
      client = std::make_unique<TargetClient>(io_, entry);
    else
      client->SetEntry(entry);
  }
  std::erase_if(clients_, [this](const auto& item) {
    return !view_.targets.contains(item.first);
  });
}

TargetClient* TargetSelector::Find(const TargetId& id) const {
  const auto found = clients_.find(id);
  return found == clients_.end() ? nullptr : found->second.get();
}

Distance TargetSelector::DistanceTo(const ZoneId& zone) const {
  if (zone == settings_.zone)
    return Distance::kSameZone;
  const auto region = view_.regions.find(zone);
  return region != view_.regions.end() && region->second == settings_.region
             ? Distance::kSameRegion
             : Distance::kOtherRegion;
}

RegionLink* TargetSelector::LinkTo(const ZoneId& zone) const {
  const auto region = view_.regions.find(zone);
  if (region == view_.regions.end() || region->second == settings_.region)
    return nullptr;
  return &region_links_[region->second];
}

std::uint64_t TargetSelector::Affinity(const TargetClient& client) const {
  if (!client.load().StatesLoad())
    return 0;
  const std::string& vm = settings_.vm.value();
  const std::string& target = client.entry().incarnation.id.value();
  return XXH3_64bits_withSeed(target.data(), target.size(),
                              XXH3_64bits(vm.data(), vm.size()));
}

std::uint32_t TargetSelector::RouterCount() const {
  return view_.member_counts.total();
}

std::size_t TargetSelector::TargetCount(const ServiceId& service) const {
  return static_cast<std::size_t>(std::count_if(
      clients_.begin(), clients_.end(), [&service](const auto& each) {
        return each.second->entry().service == service;
      }));
}

bool TargetSelector::Yields(Instant now,
                            const TargetQuery& query,
                            const TargetClient& client) const {
  const TargetEntry& entry = client.entry();
  return query.reserved &&
         !client.load().LeavesRoom(now, entry.slots,
                                   SharingRouters(entry, query.key.has_value()),
                                   *query.reserved, query.mean_latency);
}

std::uint32_t TargetSelector::SharingRouters(const TargetEntry& entry,
                                             bool keyed) const {
  if (keyed)
    return RouterCount();
  return view_.member_counts.InZone(entry.zone);
}

const RangeEntry* TargetSelector::OwnerEntry(const ServiceId& service,
                                             ShardKey key) const {
  const auto table = view_.tables.find(service);
  const RangeEntry* entry =
      table == view_.tables.end() ? nullptr : table->second.Find(key);
  return entry && entry->phase == RangePhase::kSettled ? entry : nullptr;
}

bool TargetSelector::InAllowedRegion(const TargetQuery& query,
                                     const TargetEntry& entry) const {
  if (!query.allowed_regions.restricted())
    return true;
  const auto region = view_.regions.find(entry.zone);
  return region != view_.regions.end() &&
         query.allowed_regions.Allows(region->second);
}

bool TargetSelector::IsOutsideRegions(const TargetQuery& query) const {
  if (!query.allowed_regions.restricted())
    return false;
  if (query.allowed_regions.none())
    return true;
  if (query.key) {
    const RangeEntry* range = OwnerEntry(query.service, *query.key);
    const TargetClient* owner = range ? Find(range->owner.id) : nullptr;
    return owner && !InAllowedRegion(query, owner->entry());
  }
  bool any_outside = false;
  for (const auto& [id, client] : clients_) {
    if (client->entry().service != query.service)
      continue;
    if (InAllowedRegion(query, client->entry()))
      return false;
    any_outside = true;
  }
  return any_outside;
}

TargetChoice TargetSelector::Choose(Instant now, const TargetQuery& query) {
  const TargetChoice choice =
      IsOutsideRegions(query)
          ? TargetChoice{nullptr, Unavailability::kOutsideRegions, {}}
      : query.key ? ChooseOwner(now, query)
                  : ChooseUnkeyed(now, query);
  if (query.trace)
    CompleteTrace(now, query);
  return choice;
}

Unavailability TargetSelector::CheckTarget(Instant now,
                                           const TargetQuery& query,
                                           const TargetEntry& entry) const {
  if (!MayReceive(view_.evacuations, entry.zone, query.key.has_value(), now))
    return Unavailability::kEvacuated;
  const auto leaving_since = notices_.LeavingSince(entry.incarnation);
  if (query.key) {
    const RangeEntry* range = OwnerEntry(query.service, *query.key);
    if (!range)
      return Unavailability::kNoOwner;
    if (range->owner.id != entry.incarnation.id)
      return Unavailability::kOtherOwner;
  }
  if (!InAllowedRegion(query, entry))
    return Unavailability::kOutsideRegions;
  if (query.key) {
    // Moving the key may take longer than a leaving owner may receive requests.
    if (leaving_since && now - *leaving_since > Scaled(settings_.drain_duration,
                                                       kLeavingOwnerShare))
      return Unavailability::kLeaving;
  } else if (leaving_since) {
    return Unavailability::kLeaving;
  }
  return notices_.RetryNotBefore(now, entry.incarnation)
             ? Unavailability::kPaused
             : Unavailability::kNone;
}

Unavailability TargetSelector::CheckChosen(Instant now,
                                           const TargetQuery& query,
                                           const TargetIncarnation& target,
                                           const Endpoint& address) const {
  const TargetClient* client = Find(target.id);
  if (!client || client->entry().incarnation != target ||
      client->entry().address != address)
    return Unavailability::kGone;
  return CheckTarget(now, query, client->entry());
}

TargetChoice TargetSelector::CheckNotices(Instant now,
                                          const TargetQuery& query,
                                          TargetClient& client) {
  const TargetChoice checked = CheckUntraced(now, query, client);
  Record(query, client, checked);
  return checked;
}

void TargetSelector::CompleteTrace(Instant now, const TargetQuery& query) {
  for (const auto& [id, client] : clients_) {
    const TargetEntry& entry = client->entry();
    if (entry.service != query.service)
      continue;
    if (!query.trace->verdicts.contains(id))
      CheckNotices(now, query, *client);
    // PickTarget() leaves such targets out.
    if (query.trace->verdicts[id].reason == Unavailability::kNone &&
        !client->load().HasSpareCapacity(
            now, entry.slots, SharingRouters(entry, query.key.has_value())))
      Record(query, *client, {nullptr, Unavailability::kNoCapacity, {}});
  }
}

TargetChoice TargetSelector::CheckUntraced(Instant now,
                                           const TargetQuery& query,
                                           TargetClient& client) {
  const TargetEntry& entry = client.entry();
  const Unavailability reason = CheckTarget(now, query, entry);
  if (reason == Unavailability::kPaused)
    return {nullptr, reason, notices_.RetryNotBefore(now, entry.incarnation)};
  if (reason != Unavailability::kNone)
    return {nullptr, reason, {}};
  if (client.OpensSlowly(now))
    return {nullptr, Unavailability::kOpensSlowly, {}};
  if (RegionLink* link = query.bulk ? LinkTo(entry.zone) : nullptr) {
    if (const auto blocked_until = link->BlockedUntil(now)) {
      if (!query.trace)
        link->OnHeldBack(now);
      return {nullptr, Unavailability::kLinkBusy, blocked_until};
    }
  }
  switch (query.trace ? credits_.Peek(now, entry.incarnation)
                      : credits_.Check(now, entry.incarnation, entry.zone)) {
    case CreditState::kAvailable:
      break;
    case CreditState::kPending:
      return {nullptr, Unavailability::kAwaitingCredit, {}};
    case CreditState::kRefused:
      return {nullptr,
              credits_.IsWarmingUp(now, entry.incarnation)
                  ? Unavailability::kWarmingUp
                  : Unavailability::kRateLimited,
              credits_.RefusedUntil(entry.incarnation)};
  }
  return {&client, Unavailability::kNone, {}};
}

TargetChoice TargetSelector::ChooseOwner(Instant now,
                                         const TargetQuery& query) {
  const RangeEntry* entry = OwnerEntry(query.service, *query.key);
  TargetClient* client = entry ? Find(entry->owner.id) : nullptr;
  if (!client)
    return {nullptr, Unavailability::kNoOwner, {}};
  const Unavailability reason = CheckTarget(now, query, client->entry());
  // Before credits are requested, which would expire unused.
  if (reason == Unavailability::kNone &&
      !client->load().HasSpareCapacity(now, client->entry().slots,
                                       SharingRouters(client->entry(), true)))
    return {nullptr, Unavailability::kNoCapacity,
            client->load().HasRoomAt(now, query.mean_latency)};
  if (reason == Unavailability::kNone && Yields(now, query, *client))
    return {nullptr, Unavailability::kYieldsToPriority, {}};
  return CheckNotices(now, query, *client);
}

bool TargetSelector::Queues(Instant now, const Candidate& candidate) {
  return candidate.load->QueueingFactor(now, candidate.entry->slots,
                                        candidate.sharing_routers) > 1;
}

template <typename Consider>
void TargetSelector::ConsiderWarmingUp(
    Instant now,
    const std::vector<TargetClient*>& targets,
    Consider consider) {
  bool found = false;
  for (TargetClient* client : targets) {
    if (credits_.HasCredit(now, client->entry().incarnation))
      found = consider(*client) == Unavailability::kNone || found;
  }
  // Credits are requested for one target at a time, since those that are not
  // used expire, and for the same one for a while.
  const auto turn = static_cast<std::size_t>(now.time_since_epoch() /
                                             kWarmUpRequestInterval) +
                    std::hash<std::string>()(settings_.vm.value());
  for (std::size_t i = 0; i < targets.size() && !found; ++i) {
    const Unavailability reason =
        consider(*targets[(turn + i) % targets.size()]);
    found = reason == Unavailability::kNone ||
            reason == Unavailability::kAwaitingCredit;
  }
}

TargetChoice TargetSelector::ChooseUnkeyed(Instant now,
                                           const TargetQuery& query) {
  std::vector<Candidate> candidates;
  // Of the targets that want no requests now, the one that may get some first.
  TargetChoice first_available{nullptr, Unavailability::kNoCapacity, {}};
  bool yields = false;
  const auto consider = [&](TargetClient& client) {
    // Before credits are requested, which would expire unused.
    if (Yields(now, query, client)) {
      yields = true;
      Record(query, client, {nullptr, Unavailability::kYieldsToPriority, {}});
      return Unavailability::kYieldsToPriority;
    }
    const TargetChoice checked = CheckNotices(now, query, client);
    // It is no candidate at any time, so there is no waiting for it.
    if (checked.reason == Unavailability::kOutsideRegions)
      return checked.reason;
    const TargetEntry& entry = client.entry();
    if (checked.client) {
      candidates.push_back({&entry, &client.load(), DistanceTo(entry.zone),
                            SharingRouters(entry, false), client.Connected(now),
                            Affinity(client)});
    } else if (first_available.reason == Unavailability::kNoCapacity ||
               checked.available_at < first_available.available_at) {
      first_available = checked;
    }
    return checked.reason;
  };
  std::vector<TargetClient*> warming_up;
  std::vector<TargetClient*> warming_up_elsewhere;
  bool warming_up_in_region = false;
  const auto pick = [&] {
    // Large responses stay in the region also while its targets warm up.
    if (query.bulk && warming_up_in_region) {
      std::erase_if(candidates, [](const Candidate& each) {
        return each.distance == Distance::kOtherRegion;
      });
    }
    return PickTarget(candidates,
                      SelectionOptions{query.bulk, query.mean_latency,
                                       query.latency_objective,
                                       query.request_rate, RouterCount()},
                      now, query.random);
  };
  // Credits of a target in another zone are left to the members there unless no
  // other target may get the request.
  std::vector<TargetClient*> limited_elsewhere;
  bool evacuated = false;
  bool outside_evacuation = false;
  for (const auto& [id, client] : clients_) {
    const TargetEntry& entry = client->entry();
    if (entry.service != query.service)
      continue;
    // Not considered, so that the reasons of other targets prevail.
    if (!MayReceive(view_.evacuations, entry.zone, false, now)) {
      evacuated = true;
      continue;
    }
    outside_evacuation = true;
    if (query.tried_targets.contains(id) ||
        notices_.LeavingSince(entry.incarnation))
      continue;
    if (credits_.IsWarmingUp(now, entry.incarnation)) {
      warming_up_in_region = warming_up_in_region ||
                             DistanceTo(entry.zone) != Distance::kOtherRegion;
      (entry.zone == settings_.zone ? warming_up : warming_up_elsewhere)
          .push_back(client.get());
    } else if (entry.zone == settings_.zone ||
               credits_.HasCredit(now, entry.incarnation)) {
      consider(*client);
    } else {
      limited_elsewhere.push_back(client.get());
    }
  }
  const Candidate* best = pick();
  if (!best && !limited_elsewhere.empty()) {
    for (TargetClient* client : limited_elsewhere)
      consider(*client);
    best = pick();
  }
  // Targets that warm up take what would wait for a slot at all others.
  if (!warming_up.empty() && (!best || Queues(now, *best))) {
    ConsiderWarmingUp(now, warming_up, consider);
    best = pick();
  }
  if (!best && !warming_up_elsewhere.empty()) {
    ConsiderWarmingUp(now, warming_up_elsewhere, consider);
    best = pick();
  }
  if (best)
    return {Find(best->entry->incarnation.id), Unavailability::kNone, {}};
  if (yields)
    return {nullptr, Unavailability::kYieldsToPriority, {}};
  if (!candidates.empty())
    return {nullptr, Unavailability::kNoCapacity, {}};
  if (evacuated && !outside_evacuation)
    return {nullptr, Unavailability::kEvacuated, {}};
  return first_available;
}

std::string TargetSelector::DescribeOutside(const TargetQuery& query) const {
  const std::string allowed = ToString(query.allowed_regions);
  const RangeEntry* range =
      query.key ? OwnerEntry(query.service, *query.key) : nullptr;
  const TargetClient* owner = range ? Find(range->owner.id) : nullptr;
  if (!owner)
    return fmt::format("no target of {} is in an allowed region, allowed: {}",
                       query.service.value(), allowed);
  return fmt::format("owner {} in zone {} is outside the allowed regions, {}",
                     range->owner.id.value(), owner->entry().zone.value(),
                     allowed);
}

std::string TargetSelector::Explain(Instant now,
                                    const TargetQuery& query,
                                    const TargetChoice& choice) const {
  const std::int64_t pause_ms =
      choice.available_at ? ToMillis(*choice.available_at - now) : 0;
  if (choice.reason == Unavailability::kStandstill)
    return "this process stood still and reads first what arrived meanwhile";
  if (choice.reason == Unavailability::kOutsideRegions)
    return DescribeOutside(query);
  if (choice.reason == Unavailability::kYieldsToPriority)
    return fmt::format("targets of {} leave room for more urgent requests only",
                       query.service.value());
  const char* limited_text =
      "limits its requests, and this router has no credit for another one";
  const char* warming_up_text =
      "is warming up, and this router has no credit for another request";
  if (!query.key) {
    if (choice.reason == Unavailability::kEvacuated)
      return fmt::format("all zones with targets of {} are evacuated",
                         query.service.value());
    if (choice.reason == Unavailability::kRateLimited)
      return fmt::format("each target of {} {}", query.service.value(),
                         limited_text);
    if (choice.reason == Unavailability::kWarmingUp)
      return fmt::format("each target of {} {}", query.service.value(),
                         warming_up_text);
    if (choice.reason == Unavailability::kPaused)
      return fmt::format("all targets of {} want no requests for {} ms",
                         query.service.value(), pause_ms);
    return fmt::format("no target of {} has spare capacity, {} already tried",
                       query.service.value(), query.tried_targets.size());
  }
  const auto table = view_.tables.find(query.service);
  const RangeEntry* entry =
      table == view_.tables.end() ? nullptr : table->second.Find(*query.key);
  if (!entry)
    return "key has no owner yet";
  const std::string& owner = entry->owner.id.value();
  if (entry->phase != RangePhase::kSettled)
    return fmt::format("key is moving away from owner {}, fencing token {}",
                       owner, entry->fence);
  const TargetClient* client = Find(entry->owner.id);
  if (!client)
    return fmt::format("owner {} left the directory", owner);
  if (choice.reason == Unavailability::kEvacuated)
    return fmt::format("zone {} of owner {} is evacuated, fencing token {}",
                       client->entry().zone.value(), owner, entry->fence);
  if (choice.reason == Unavailability::kPaused)
    return fmt::format("owner {} wants no requests for {} ms, fencing token {}",
                       owner, pause_ms, entry->fence);
  if (choice.reason == Unavailability::kLinkBusy)
    return fmt::format(
        "large responses of owner {} would queue between the regions, fencing "
        "token {}",
        owner, entry->fence);
  if (choice.reason == Unavailability::kOpensSlowly)
    return fmt::format(
        "a connection to owner {} takes long to open, fencing token {}", owner,
        entry->fence);
  if (choice.reason == Unavailability::kWarmingUp)
    return fmt::format("owner {} {}, fencing token {}", owner, warming_up_text,
                       entry->fence);
  if (choice.reason == Unavailability::kRateLimited ||
      choice.reason == Unavailability::kAwaitingCredit)
    return fmt::format("owner {} {}, fencing token {}", owner, limited_text,
                       entry->fence);
  if (notices_.LeavingSince(client->entry().incarnation))
    return fmt::format("owner {} is leaving, fencing token {}", owner,
                       entry->fence);
  return fmt::format(
      "owner {} has {} of this router's requests in flight, fencing token {}",
      owner, client->load().in_flight(), entry->fence);
}

}  // namespace figstall
