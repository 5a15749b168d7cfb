// Issues request ids, records their uses and drops the oldest entries.
#include "figstall/at_most_once_registry.h"

#include <utility>

namespace figstall {

AtMostOnceRegistry::AtMostOnceRegistry(VmId router,
                                       std::uint64_t incarnation,
                                       Limits limits)
    : router_(std::move(router)), incarnation_(incarnation), limits_(limits) {}

RequestId AtMostOnceRegistry::Issue(Instant now) {
  Expire(now);
  if (entries_.size() >= limits_.entries)
    DropOldest();
  Entry entry;
  entry.issued_at = now;
  entries_.push_back(std::move(entry));
  return {router_, incarnation_, next_++};
}

AtMostOnceDecision AtMostOnceRegistry::Begin(Instant now,
                                             const RequestId& id,
                                             std::uint64_t digest) {
  if (id.router != router_ || id.incarnation != incarnation_)
    return {AtMostOnceVerdict::kOtherIssuer, {}};
  Expire(now);
  if (id.sequence >= next_ || id.sequence == 0)
    return {AtMostOnceVerdict::kNeverIssued, {}};
  if (id.sequence < first_kept_)
    return {AtMostOnceVerdict::kExpired, {}};
  Entry& entry = entries_[id.sequence - first_kept_];
  const bool first_use = entry.state == State::kIssued && entry.digest == 0;
  if (!first_use && entry.digest != digest)
    return {AtMostOnceVerdict::kReused, {}};
  entry.digest = digest;
  switch (entry.state) {
    case State::kIssued:
      entry.state = State::kRunning;
      return {AtMostOnceVerdict::kRun, {}};
    case State::kRunning:
      return {AtMostOnceVerdict::kInProgress, {}};
    case State::kAnswered:
      return {AtMostOnceVerdict::kRepeat, entry.answer};
    case State::kUnknown:
      return {AtMostOnceVerdict::kExpired, {}};
  }
  return {AtMostOnceVerdict::kExpired, {}};
}

void AtMostOnceRegistry::Finish(Instant,
                                const RequestId& id,
                                const Answer& answer) {
  const bool issued_here =
      id.router == router_ && id.incarnation == incarnation_;
  if (!issued_here || id.sequence < first_kept_ || id.sequence >= next_)
    return;
  Entry& entry = entries_[id.sequence - first_kept_];
  if (entry.state != State::kRunning)
    return;
  switch (answer.outcome) {
    case Outcome::kNotRun:
      entry.state = State::kIssued;
      return;
    case Outcome::kUnknown:
      entry.state = State::kUnknown;
      return;
    case Outcome::kAnswered:
      entry.state = State::kAnswered;
      entry.answer = answer;
      answer_bytes_ += answer.body.size();
      TrimAnswers();
      return;
  }
}

bool AtMostOnceRegistry::KnownNotRun(const RequestId& id) const {
  const bool issued_here =
      id.router == router_ && id.incarnation == incarnation_;
  const bool stored = id.sequence >= first_kept_ && id.sequence < next_;
  return issued_here && stored &&
         entries_[id.sequence - first_kept_].state == State::kIssued;
}

void AtMostOnceRegistry::Expire(Instant now) {
  while (!entries_.empty() &&
         now - entries_.front().issued_at >= limits_.lifetime)
    DropOldest();
}

void AtMostOnceRegistry::DropOldest() {
  answer_bytes_ -= entries_.front().answer.body.size();
  entries_.pop_front();
  ++first_kept_;
}

void AtMostOnceRegistry::TrimAnswers() {
  if (first_answer_ < first_kept_)
    first_answer_ = first_kept_;
  while (answer_bytes_ > limits_.answer_bytes && first_answer_ < next_) {
    Entry& entry = entries_[first_answer_ - first_kept_];
    ++first_answer_;
    if (entry.state != State::kAnswered)
      continue;
    answer_bytes_ -= entry.answer.body.size();
    entry.answer = Answer{};
    entry.state = State::kUnknown;
  }
}

}  // namespace figstall
