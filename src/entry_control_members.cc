// Implements membership and the election of the mover.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "figstall/entry_control.h"
#include "store_keys.h"

namespace figstall {
namespace {

using detail::kMembersPrefix;
using detail::kMoverKey;
using detail::RunOf;
using nlohmann::json;
using platform::StoreStatus;

// Members try to become the mover at a moment drawn from this span, so that one
// of them is first.
constexpr Duration kCampaignSpread = std::chrono::milliseconds(350);
// Members that know one with more capacity let it go first by this.
constexpr Duration kOutrankedWait = std::chrono::milliseconds(500);

}  // namespace

void EntryControl::Join() {
  if (joining_ || resigned_)
    return;
  joining_ = true;
  member_written_ = false;
  tables_current_ = false;
  member_until_ = {};
  const Instant asked = BootNow();
  store_.OpenLease(
      timing_.membership, [this, asked](const StoreAnswer& answer) {
        NoteStore(answer, "open-lease");
        joining_ = false;
        if (answer.status != StoreStatus::kOk) {
          if (!read_once_)
            StartReading(ReadScope::kFirst);
          return TryAgain([this] { Join(); });
        }
        member_lease_ = answer.lease;
        member_until_ = asked + answer.time_to_live - timing_.lease_margin;
        keep_at_ = asked + timing_.membership_renewal;
        WriteMember(/*then_read=*/true);
      });
}

void EntryControl::WriteMember(bool then_read) {
  const Instant now = BootNow();
  const GrantReport report = MakeGrantReport(now);
  json holds = json::object();
  for (const auto& [owner, time] : report.holds_for)
    holds[owner.value()] = time.count();
  json seen = json::object();
  for (const auto& [service, fence] : report.seen_fence)
    seen[service.value()] = fence;
  const json value = {{"zone", settings_.zone.value()},
                      {"peers", settings_.peers.ToString()},
                      {"incarnation", incarnation_},
                      {"capacity", settings_.capacity},
                      {"seen_fence", seen},
                      {"holds_for_us", holds}};
  reporting_ = true;
  store_.Write(
      {},
      {{kMembersPrefix + settings_.vm.value(), value.dump(), member_lease_}},
      {},
      [this, then_read, told = report.seen_fence](const StoreAnswer& answer) {
        NoteStore(answer, "write-member");
        reporting_ = false;
        if (answer.status == StoreStatus::kOk) {
          reported_ = told;
          if (then_read) {
            member_written_ = true;
            log_.Write(LogLevel::kInfo, "joined",
                       {{"lease", std::to_string(member_lease_)},
                        {"incarnation", incarnation_}});
            StartReading(read_once_ ? ReadScope::kOwn : ReadScope::kFirst);
          }
          return;
        }
        if (answer.status == StoreStatus::kNotFound)
          return Join();
        if (then_read)
          TryAgain([this] { WriteMember(true); });
      });
}

void EntryControl::KeepMembership(Instant now) {
  if (keeping_ || joining_ || member_lease_ == 0 || now < keep_at_ || resigned_)
    return;
  keeping_ = true;
  const platform::LeaseId lease = member_lease_;
  store_.KeepLease(lease, [this, now, lease](const StoreAnswer& answer) {
    NoteStore(answer, "keep-member");
    keeping_ = false;
    if (lease != member_lease_)
      return;
    if (answer.status == StoreStatus::kOk) {
      member_until_ = std::max(member_until_,
                               now + timing_.membership - timing_.lease_margin);
      contact_.OnConfirmed(now);
      keep_at_ = now + (contact_.watching() ? timing_.reader_renewal
                                            : timing_.membership_renewal);
      return;
    }
    keep_at_ = BootNow() + contact_.ProbeDelay();
    if (answer.status != StoreStatus::kNotFound)
      return;
    log_.Write(LogLevel::kWarning, "membership-lost",
               {{"lease", std::to_string(lease)}});
    member_lease_ = 0;
    Join();
  });
}

void EntryControl::Resign() {
  resigned_ = true;
  log_.Write(LogLevel::kInfo, "resigning",
             {{"mover", IsMover(BootNow()) ? "yes" : "no"}});
  const auto ignore = [](const StoreAnswer&) {};
  if (mover_lease_ != 0)
    store_.EndLease(mover_lease_, ignore);
  if (member_lease_ != 0)
    store_.EndLease(member_lease_, ignore);
  mover_until_ = member_until_ = {};
}

void EntryControl::ApplyMember(const VmId& vm, const StoreItem& item) {
  const auto known = view_.members.find(vm);
  const Instant now = BootNow();
  const auto depart = [&] {
    reports_[RunOf(vm, known->second.incarnation)].departed = now;
  };
  if (item.deleted) {
    if (known == view_.members.end())
      return;
    depart();
    view_.members.erase(known);
    log_.Write(LogLevel::kInfo, "member-left", {{"vm", vm.value()}});
    return ViewChanged();
  }
  try {
    const json value = json::parse(item.value);
    EntryMember member{vm,
                       ZoneId(value.at("zone")),
                       {},
                       value.at("incarnation"),
                       value.value("capacity", 1.0)};
    const std::string peers = value.at("peers");
    member.peers = HandleError(
        [&]() -> Result<Endpoint> { return ParseEndpoint(peers); },
        [&](const Error& error) {
          log_.Write(LogLevel::kError, "member-without-address",
                     {{"vm", vm.value()}, {"findings", error.message}});
          return Endpoint{};
        });
    GrantReport report;
    for (const auto& [service, fence] : value.at("seen_fence").items())
      report.seen_fence[ServiceId(service)] = fence;
    for (const auto& [owner, time] : value.at("holds_for_us").items())
      report.holds_for[TargetId(owner)] = Duration(time.get<Duration::rep>());
    if (known != view_.members.end() &&
        known->second.incarnation != member.incarnation)
      depart();
    reports_[RunOf(vm, member.incarnation)].departed.reset();
    NoteReport(now, vm, member.incarnation, report);
    if (known != view_.members.end() && known->second == member)
      return;
    log_.Write(LogLevel::kInfo, "member-joined",
               {{"vm", vm.value()},
                {"zone", member.zone.value()},
                {"incarnation", member.incarnation}});
    view_.members[vm] = std::move(member);
    ViewChanged();
  } catch (const json::exception& error) {
    log_.Write(LogLevel::kError, "member-refused",
               {{"vm", vm.value()}, {"findings", error.what()}});
  }
}

void EntryControl::Campaign(Instant now) {
  if (mover_key_exists_ || campaigning_ || resigned_ || !tables_current_ ||
      contact_.lost() || now >= member_until_) {
    campaign_at_.reset();
    return;
  }
  if (!campaign_at_) {
    const bool outranked = std::any_of(
        view_.members.begin(), view_.members.end(), [this](const auto& each) {
          return each.second.capacity > settings_.capacity;
        });
    campaign_at_ =
        now + (outranked ? kOutrankedWait : Duration{0}) +
        Duration(static_cast<Duration::rep>(
            random_() % static_cast<std::uint64_t>(kCampaignSpread.count())));
  }
  if (now < *campaign_at_)
    return;
  campaign_at_.reset();
  campaigning_ = true;
  store_.OpenLease(timing_.mover, [this, now](const StoreAnswer& opened) {
    NoteStore(opened, "open-lease");
    if (opened.status != StoreStatus::kOk) {
      campaigning_ = false;
      return;
    }
    const platform::LeaseId lease = opened.lease;
    const Instant until = now + opened.time_to_live - timing_.lease_margin;
    store_.Write({{kMoverKey, 0}},
                 {{kMoverKey, RunOf(settings_.vm, incarnation_), lease}}, {},
                 [this, lease, until](const StoreAnswer& answer) {
                   NoteStore(answer, "write-mover");
                   campaigning_ = false;
                   if (answer.status == StoreStatus::kOk) {
                     mover_lease_ = lease;
                     mover_revision_ = answer.revision;
                     mover_until_ = until;
                     mover_key_exists_ = true;
                     keep_mover_at_ = BootNow() + timing_.mover_renewal;
                     log_.Write(
                         LogLevel::kInfo, "mover-elected",
                         {{"revision", std::to_string(answer.revision)}});
                     return;
                   }
                   if (answer.status == StoreStatus::kConflict)
                     mover_key_exists_ = true;
                   store_.EndLease(lease, [](const StoreAnswer&) {});
                 });
  });
}

void EntryControl::KeepMover(Instant now) {
  if (mover_lease_ == 0 || keeping_mover_ || now < keep_mover_at_)
    return;
  keeping_mover_ = true;
  const platform::LeaseId lease = mover_lease_;
  store_.KeepLease(lease, [this, now, lease](const StoreAnswer& answer) {
    NoteStore(answer, "keep-mover");
    keeping_mover_ = false;
    if (lease != mover_lease_)
      return;
    if (answer.status == StoreStatus::kOk) {
      mover_until_ =
          std::max(mover_until_, now + timing_.mover - timing_.lease_margin);
      keep_mover_at_ = now + timing_.mover_renewal;
      return;
    }
    keep_mover_at_ = BootNow() + timing_.retry;
    if (answer.status == StoreStatus::kNotFound)
      LoseMover("lease-ended");
  });
}

void EntryControl::LoseMover(const char* why) {
  log_.Write(LogLevel::kWarning, "mover-lost", {{"why", why}});
  mover_lease_ = 0;
  mover_until_ = {};
}

}  // namespace figstall
