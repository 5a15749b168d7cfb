// Every message carries what its sender knows of the target's limit, so that
// the newest statement reaches the issuer and those who ask it.
#include "figstall/send_credits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace figstall {
namespace {

// An account that was not used for this long is dropped.
constexpr Duration kRetention = std::chrono::seconds(30);

// Each is a message to every member and a response. Many targets that warm up
// at once have entries in the store that say so.
constexpr std::size_t kMaxAnnouncementsPerSecond = 8;

Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace

std::uint32_t CreditBucket::Take(Instant now,
                                 double per_second,
                                 const CreditRequest& request,
                                 const CreditTiming& timing) {
  std::erase_if(last_grants_, [&](const auto& each) {
    return now - each.second.at >= timing.validity;
  });
  const auto last = last_grants_.find(request.from);
  if (last != last_grants_.end() && last->second.serial == request.serial)
    return last->second.granted;
  const double capacity =
      std::max(timing.min_burst, per_second * timing.burst_seconds);
  // A new issuer starts without tokens, since another one may have just issued
  // them.
  const double elapsed =
      refilled_at_ ? std::chrono::duration<double>(now - *refilled_at_).count()
                   : 0;
  refilled_at_ = now;
  tokens_ = std::min(capacity, tokens_ + per_second * elapsed);
  const auto granted = std::min<std::uint32_t>(
      request.wanted, static_cast<std::uint32_t>(std::floor(tokens_)));
  tokens_ -= granted;
  if (granted > 0)
    last_grants_[request.from] = {request.serial, granted, now};
  refused_ = granted > 0 ? 0 : refused_ + 1;
  return granted;
}

Duration CreditBucket::Backoff(double per_second,
                               const CreditTiming& timing) const {
  const double missing = static_cast<double>(refused_) - tokens_;
  return std::min(timing.max_backoff,
                  FromSeconds(std::max(0.0, missing) / per_second));
}

SendCredits::SendCredits(VmId self,
                         const TargetNotices& notices,
                         const WarmUpLimits& warm_ups,
                         Handlers handlers,
                         CreditTiming timing)
    : self_(std::move(self)),
      notices_(notices),
      warm_ups_(warm_ups),
      handlers_(std::move(handlers)),
      timing_(timing) {}

void SendCredits::SetMembers(std::map<VmId, ZoneId> members) {
  if (members == members_)
    return;
  members_ = std::move(members);
  rankings_.clear();
  std::erase_if(peers_, [this](const auto& each) {
    return !members_.contains(each.first);
  });
}

bool SendCredits::IsLimited(Instant now,
                            const TargetIncarnation& target) const {
  if (warm_ups_.IsWarmingUp(now, target))
    return true;
  const RateLimit* limit = notices_.LimitOf(target);
  return limit && limit->per_second;
}

std::optional<SendCredits::IssueRule> SendCredits::RuleOf(
    Instant now,
    const TargetIncarnation& target) const {
  const RateLimit* limit = notices_.LimitOf(target);
  const WarmUpIssue* warm_up = warm_ups_.IssueOf(now, target);
  if (!warm_up && (!limit || !limit->per_second))
    return std::nullopt;
  IssueRule rule{
      limit && limit->per_second ? *limit->per_second : warm_up->per_second,
      timing_};
  if (warm_up) {
    rule.per_second = std::min(rule.per_second, warm_up->per_second);
    rule.timing.validity = warm_up->validity;
    rule.timing.min_burst = warm_up->burst;
    rule.timing.burst_seconds = 0;
  }
  rule.per_second = std::max(rule.per_second, timing_.min_rate);
  return rule;
}

Duration SendCredits::ValidityOf(Instant now,
                                 const TargetIncarnation& target) const {
  const WarmUpIssue* warm_up = warm_ups_.IssueOf(now, target);
  return warm_up ? warm_up->validity : timing_.validity;
}

template <typename Message>
void SendCredits::MergeStatements(Instant now, const Message& message) {
  if (message.from == self_)
    return;
  if (message.limit)
    handlers_.on_limit(message.from, message.target,
                       {message.limit->per_second, now - message.limit->age});
  if (message.warm_up)
    handlers_.on_warm_up(message.from, message.target, *message.warm_up);
}

const std::vector<VmId>& SendCredits::Ranking(const TargetIncarnation& target,
                                              const ZoneId& target_zone) {
  std::vector<VmId>& vms = rankings_[{target, target_zone}];
  if (!vms.empty())
    return vms;
  struct Ranked {
    bool other_zone;
    std::uint64_t hash;
    VmId vm;
  };
  std::vector<Ranked> ranked;
  for (const auto& [vm, zone] : members_) {
    const std::string text = vm.value() + "/" + target.id.value();
    ranked.push_back(
        {zone != target_zone, XXH3_64bits(text.data(), text.size()), vm});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::tie(a.other_zone, a.hash, a.vm) <
           std::tie(b.other_zone, b.hash, b.vm);
  });
  for (const Ranked& each : ranked)
    vms.push_back(each.vm);
  if (vms.empty())
    vms.push_back(self_);
  return vms;
}

bool SendCredits::Responds(Instant now, const VmId& member) const {
  if (member == self_)
    return true;
  const auto peer = peers_.find(member);
  if (peer == peers_.end())
    return true;
  const Peer& known = peer->second;
  return known.unanswered < timing_.max_unanswered ||
         (known.unanswered == timing_.max_unanswered &&
          now - known.last_sent_at < timing_.resend_interval);
}

void SendCredits::SendRequest(Instant now,
                              const VmId& to,
                              CreditRequest request) {
  Peer& peer = peers_[to];
  const bool responded = peer.unanswered < timing_.max_unanswered;
  if (responded && now - peer.last_sent_at > timing_.unanswered_timeout)
    peer.unanswered = 0;
  // Requests for several targets at once count as one.
  if (now - peer.last_sent_at >= timing_.resend_interval ||
      peer.unanswered == 0)
    ++peer.unanswered;
  peer.last_sent_at = now;
  request.limit = notices_.StatementOf(now, request.target);
  request.warm_up = warm_ups_.StatementOf(now, request.target);
  handlers_.send(to, request);
}

void SendCredits::Probe(Instant now,
                        const VmId& member,
                        const TargetIncarnation& target,
                        Duration interval) {
  const auto peer = peers_.find(member);
  if (peer != peers_.end() && now - peer->second.last_sent_at < interval)
    return;
  CreditRequest request;
  request.from = self_;
  request.serial = ++last_serial_;
  request.target = target;
  SendRequest(now, member, request);
}

void SendCredits::AnnounceWarmUp(Instant now, const TargetIncarnation& target) {
  while (!announcements_.empty() &&
         now - announcements_.front() >= std::chrono::seconds(1))
    announcements_.pop_front();
  if (announcements_.size() >= kMaxAnnouncementsPerSecond)
    return;
  announcements_.push_back(now);
  for (const auto& [member, zone] : members_) {
    if (member != self_)
      Probe(now, member, target, Duration{0});
  }
}

VmId SendCredits::FindIssuer(Instant now,
                             const TargetIncarnation& target,
                             const ZoneId& target_zone) {
  const std::vector<VmId>& ranking = Ranking(target, target_zone);
  for (const VmId& member : ranking) {
    if (member == self_ ? issuing_ : Responds(now, member))
      return member;
    if (member != self_)
      Probe(now, member, target, timing_.probe_interval);
  }
  return ranking.front();
}

bool SendCredits::HasCredit(Instant now,
                            const TargetIncarnation& target) const {
  if (!IsLimited(now, target))
    return true;
  const auto account = accounts_.find(target);
  return account != accounts_.end() && !account->second.credits.empty() &&
         account->second.credits.back() > now &&
         account->second.warming_up == IsWarmingUp(now, target);
}

CreditState SendCredits::Check(Instant now,
                               const TargetIncarnation& target,
                               const ZoneId& target_zone) {
  if (!IsLimited(now, target))
    return CreditState::kAvailable;
  Account& account = accounts_[target];
  account.used_at = now;
  // A credit for a limit lasts longer than one for a warm-up may.
  if (account.warming_up != IsWarmingUp(now, target)) {
    account = Account{};
    account.used_at = now;
    account.warming_up = !account.warming_up;
  }
  const auto has_credit = [&] {
    while (!account.credits.empty() && account.credits.front() <= now) {
      account.next_wanted = 1;
      account.credits.pop_front();
    }
    return !account.credits.empty();
  };
  if (has_credit())
    return CreditState::kAvailable;
  if (now < account.refused_until)
    return CreditState::kRefused;
  if (!account.requested_at ||
      now - *account.last_sent_at >= timing_.resend_interval)
    Request(now, target, target_zone, account);
  // This member may be the issuer, or have learned that the limit has ended.
  if (has_credit() || !IsLimited(now, target))
    return CreditState::kAvailable;
  return now < account.refused_until ? CreditState::kRefused
                                     : CreditState::kPending;
}

void SendCredits::Request(Instant now,
                          const TargetIncarnation& target,
                          const ZoneId& target_zone,
                          Account& account) {
  if (!account.requested_at ||
      now - *account.requested_at >= ValidityOf(now, target)) {
    account.serial = ++last_serial_;
    account.wanted = account.next_wanted;
    account.requested_at = now;
  }
  account.last_sent_at = now;
  CreditRequest request;
  request.from = self_;
  request.serial = account.serial;
  request.target = target;
  request.wanted = account.wanted;
  const VmId issuer = FindIssuer(now, target, target_zone);
  if (issuer != account.issuer)
    handlers_.on_issuer(target, issuer);
  account.issuer = issuer;
  if (issuer == self_)
    return OnResponse(now, Issue(now, request));
  SendRequest(now, issuer, request);
}

Instant SendCredits::RefusedUntil(const TargetIncarnation& target) const {
  const auto account = accounts_.find(target);
  return account == accounts_.end() ? Instant{} : account->second.refused_until;
}

std::optional<Instant> SendCredits::Consume(Instant now,
                                            const TargetIncarnation& target) {
  const auto account = accounts_.find(target);
  if (account == accounts_.end() || account->second.credits.empty())
    return std::nullopt;
  const Instant expiry = account->second.credits.front();
  account->second.credits.pop_front();
  if (!account->second.credits.empty())
    return expiry;
  // More are requested at once only if all were used quickly; a credit that
  // expires unused is lost to the other members.
  const bool quickly = now - *account->second.last_sent_at < timing_.quick_use;
  account->second.next_wanted =
      quickly ? std::min(2 * account->second.next_wanted, timing_.max_wanted)
              : 1;
  return expiry;
}

bool SendCredits::MaySendDelayed(Instant now,
                                 const TargetIncarnation& target,
                                 const ZoneId& target_zone,
                                 std::optional<Instant>& credit_until) {
  if (!IsWarmingUp(now, target) || (credit_until && now < *credit_until))
    return true;
  if (Check(now, target, target_zone) != CreditState::kAvailable)
    return false;
  credit_until = Consume(now, target);
  return true;
}

CreditResponse SendCredits::Issue(Instant now, const CreditRequest& request) {
  CreditResponse response;
  response.from = self_;
  response.serial = request.serial;
  response.target = request.target;
  response.limit = notices_.StatementOf(now, request.target);
  response.warm_up = warm_ups_.StatementOf(now, request.target);
  const auto rule = RuleOf(now, request.target);
  if (!rule) {
    response.granted = request.wanted;
    return response;
  }
  CreditBucket& bucket = buckets_[request.target];
  response.granted = bucket.Take(now, rule->per_second, request, rule->timing);
  if (response.granted == 0)
    response.backoff = bucket.Backoff(rule->per_second, rule->timing);
  return response;
}

CreditResponse SendCredits::OnRequest(Instant now,
                                      const CreditRequest& request,
                                      const ZoneId& target_zone) {
  MergeStatements(now, request);
  CreditResponse response;
  response.from = self_;
  response.serial = request.serial;
  response.target = request.target;
  if (request.wanted == 0)
    return response;
  for (const VmId& member : Ranking(request.target, target_zone)) {
    if (member == self_ && issuing_)
      return Issue(now, request);
    if (member != self_ && Responds(now, member)) {
      Probe(now, member, request.target, timing_.resend_interval);
      break;
    }
    if (member != self_)
      Probe(now, member, request.target, timing_.probe_interval);
  }
  response.backoff = timing_.resend_interval;
  return response;
}

void SendCredits::OnResponse(Instant now, const CreditResponse& response) {
  const auto peer = peers_.find(response.from);
  if (peer != peers_.end())
    peer->second.unanswered = 0;
  MergeStatements(now, response);
  const auto account = accounts_.find(response.target);
  if (account == accounts_.end())
    return;
  if (!account->second.requested_at ||
      account->second.serial != response.serial)
    return;
  const Instant expiry =
      *account->second.requested_at + ValidityOf(now, response.target);
  account->second.requested_at.reset();
  if (expiry <= now)
    return;
  const std::uint32_t granted = std::min(response.granted, timing_.max_wanted);
  granted_ += granted;
  for (std::uint32_t i = 0; i < granted; ++i)
    account->second.credits.push_back(expiry);
  if (granted > 0)
    return;
  account->second.next_wanted = 1;
  account->second.refused_until =
      now + std::min(response.backoff, timing_.max_backoff);
}

void SendCredits::Prune(Instant now) {
  std::erase_if(accounts_, [&](const auto& each) {
    return now - each.second.used_at > kRetention;
  });
  std::erase_if(buckets_,
                [&](const auto& each) { return !IsLimited(now, each.first); });
  std::erase_if(rankings_, [&](const auto& each) {
    return !IsLimited(now, each.first.first);
  });
}

}  // namespace figstall
