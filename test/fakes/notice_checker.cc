// Requests are matched to entries by their id, since all entries connect from
// one address.
#include "notice_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace figstall::detail {
namespace {

constexpr Duration kWarmUpWindow = std::chrono::seconds(1);
constexpr Duration kLimitWindow = std::chrono::seconds(4);
// Time that an entry has to act on an answer. Source: the users' rules.
constexpr Duration kReactionTime = std::chrono::milliseconds(500);
// Time in which entries learn of what the store has acknowledged.
constexpr Duration kTimeToLearn = std::chrono::seconds(2);
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitSlack = 5;
constexpr int kMaxArrivalsInPause = 2;

}  // namespace

void NoticeChecker::OnRequestSent(const std::string& request_id,
                                  std::size_t entry,
                                  Instant now) {
  requests_[request_id] = {entry, now, "", {}};
}

void NoticeChecker::OnArrival(const std::string& target_id,
                              const std::string& zone,
                              const std::string& request_id,
                              Instant now) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end())
    return;
  const SentRequest& request = found->second;
  CheckEvacuation(target_id, zone, request_id, request.entry, now);
  Target& target = targets_[target_id];
  CheckWarmUp(target_id, target, now);
  const auto leaving = target.told_leaving.find(request.entry);
  if (leaving != target.told_leaving.end() &&
      request.sent_at > leaving->second + bounds_.drain)
    violations_.push_back(fmt::format(
        "request {} reached {} {} ms after entry {} had passed on that it "
        "leaves",
        request_id, target_id, ToMillis(now - leaving->second), request.entry));
  if (target.listed_leaving_at && !store_disturbed_ &&
      !disturbed_entries_.contains(request.entry) &&
      now > *target.listed_leaving_at + bounds_.drain)
    violations_.push_back(
        fmt::format("request {} from entry {} reached {} {} ms after the store "
                    "acknowledged that it leaves",
                    request_id, request.entry, target_id,
                    ToMillis(now - *target.listed_leaving_at)));
  const auto pause = target.pauses.find(request.entry);
  if (pause != target.pauses.end() && now >= pause->second.from &&
      now < pause->second.until &&
      ++pause->second.arrivals > kMaxArrivalsInPause)
    violations_.push_back(
        fmt::format("request {} reached {} from entry {} {} ms before the end "
                    "of its Retry-After",
                    request_id, target_id, request.entry,
                    ToMillis(pause->second.until - now)));
  const auto told = target.told_limit.find(request.entry);
  if (target.limited_since && told != target.told_limit.end() &&
      now >= told->second + kReactionTime &&
      now >= *target.limited_since + bounds_.stability) {
    target.counted_arrivals.push_back(now);
    CheckLimit(target_id, target, now);
  }
}

void NoticeChecker::OnEntryRejected(std::size_t entry,
                                    Instant now,
                                    bool rejected) {
  rejected_until_[entry] = rejected ? Instant::max() : now + kTimeToLearn;
}

void NoticeChecker::OnStoreAvailable(Instant now, bool available) {
  store_available_ = available;
  for (auto& [zone, at] : evacuated_at_) {
    if (available && at == Instant::max())
      at = now;
    else if (!available && now - at < kTimeToLearn)
      at = Instant::max();
  }
}

void NoticeChecker::CheckEvacuation(const std::string& target_id,
                                    const std::string& zone,
                                    const std::string& request_id,
                                    std::size_t entry,
                                    Instant now) {
  const auto evacuated = evacuated_at_.find(zone);
  const auto rejected = rejected_until_.find(entry);
  if (evacuated == evacuated_at_.end() || evacuated->second > now ||
      disturbed_entries_.contains(entry) ||
      (rejected != rejected_until_.end() && now < rejected->second))
    return;
  const Duration age = now - evacuated->second;
  latest_evacuated_arrival_ = std::max(latest_evacuated_arrival_, age);
  if (age > bounds_.evacuation)
    violations_.push_back(
        fmt::format("request {} from entry {} reached {} {} ms after the store "
                    "acknowledged the evacuation of {}",
                    request_id, entry, target_id, ToMillis(age), zone));
}

void NoticeChecker::OnWarmUp(const std::string& target,
                             Instant until,
                             double max_requests) {
  targets_[target].warm_up_until = until;
  targets_[target].max_warm_up_requests = max_requests;
}

// No entry is excused: the rule holds whatever an entry was told.
void NoticeChecker::CheckWarmUp(const std::string& id,
                                Target& target,
                                Instant now) {
  target.arrivals.push_back(now);
  while (now - target.arrivals.front() >= kWarmUpWindow)
    target.arrivals.pop_front();
  if (now >= target.warm_up_until)
    return;
  most_in_warm_up_ = std::max(most_in_warm_up_, target.arrivals.size());
  if (static_cast<double>(target.arrivals.size()) > target.max_warm_up_requests)
    violations_.push_back(
        fmt::format("{} warms up and got {} requests in 1 s, allowed {:.2f}",
                    id, target.arrivals.size(), target.max_warm_up_requests));
}

void NoticeChecker::CheckLimit(const std::string& id,
                               Target& target,
                               Instant now) {
  while (now - target.counted_arrivals.front() > kLimitWindow)
    target.counted_arrivals.pop_front();
  while (target.limits.size() > 1 &&
         now - target.limits[1].first > kLimitWindow)
    target.limits.pop_front();
  double limit = 0;
  for (const auto& [from, per_second] : target.limits)
    limit = std::max(limit, per_second);
  const double allowed =
      kLimitTolerance * limit *
          std::chrono::duration<double>(kLimitWindow).count() +
      kLimitSlack;
  const auto count = static_cast<double>(target.counted_arrivals.size());
  highest_limit_use_ = std::max(highest_limit_use_, count / allowed);
  if (count <= allowed || target.limit_broken)
    return;
  target.limit_broken = true;
  violations_.push_back(fmt::format(
      "{} named a limit of {} a second and got {} requests in 4 s from entries "
      "that it had told, allowed {:.0f}",
      id, limit, count, allowed));
}

void NoticeChecker::OnAnswered(const std::string& target_id,
                               const std::string& request_id,
                               const SaidNotices& said,
                               Instant now) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end())
    return;
  found->second.answered_by = target_id;
  found->second.said = said;
  Target& target = targets_[target_id];
  if (said.retry_after && !Excused(found->second.entry, now)) {
    Pause& pause = target.pauses[found->second.entry];
    const Instant until = now + *said.retry_after;
    if (now >= pause.until)
      pause = {now + kReactionTime, until, 0};
    pause.until = std::max(pause.until, until);
  }
  if (!said.limit) {
    target.limited_since.reset();
    target.told_limit.clear();
    target.limits.clear();
    target.counted_arrivals.clear();
    target.limit_broken = false;
    return;
  }
  target.limited_since = target.limited_since.value_or(now);
  if (target.limits.empty() || target.limits.back().second != *said.limit)
    target.limits.emplace_back(now, *said.limit);
}

void NoticeChecker::OnPassedOn(const std::string& request_id, Instant now) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end() || found->second.answered_by.empty() ||
      Excused(found->second.entry, now))
    return;
  Target& target = targets_[found->second.answered_by];
  if (found->second.said.leaving)
    target.told_leaving.try_emplace(found->second.entry, now);
  if (found->second.said.limit)
    target.told_limit.try_emplace(found->second.entry, now);
}

void NoticeChecker::ExcuseEntry(std::size_t entry, Instant until) {
  OnEntryDisturbed(entry);
  excused_until_[entry] = std::max(excused_until_[entry], until);
  for (auto& [id, target] : targets_) {
    target.told_leaving.erase(entry);
    target.told_limit.erase(entry);
    target.pauses.erase(entry);
  }
}

bool NoticeChecker::Excused(std::size_t entry, Instant now) const {
  const auto found = excused_until_.find(entry);
  return found != excused_until_.end() && now < found->second;
}

}  // namespace figstall::detail
