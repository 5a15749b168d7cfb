// Records the request ids that a router issued, so that the request of each id
// runs at most once.
#ifndef FIGSTALL_AT_MOST_ONCE_REGISTRY_H_
#define FIGSTALL_AT_MOST_ONCE_REGISTRY_H_

#include <deque>
#include <map>
#include <string>

#include "figstall/request.h"

namespace figstall {

enum class AtMostOnceVerdict {
  // Run the request, then call Finish: no earlier use of the id has run.
  kRun,
  // The request ran already; `answer` is its answer.
  kRepeat,
  // The request is running now; its outcome is not known yet.
  kInProgress,
  // The request may have run, but its id or its answer is not stored.
  kExpired,
  // Issued by another router, or by an earlier incarnation of this one.
  kOtherIssuer,
  kNeverIssued,
  // The id was used before for a request with other content.
  kReused,
};

struct AtMostOnceDecision {
  AtMostOnceVerdict verdict = AtMostOnceVerdict::kNeverIssued;
  Answer answer;
};

// The ids of one router incarnation. An id may be used again only if its last
// use ended as not run; an id or answer that was dropped counts as "may have
// run".
//
//   RequestId id = registry.Issue(now);
//   if (registry.Begin(now, id, digest).verdict == AtMostOnceVerdict::kRun)
//     registry.Finish(now, id, Run());
class AtMostOnceRegistry {
 public:
  struct Limits {
    Duration lifetime = std::chrono::minutes(10);
    std::size_t entries = 100'000;
    // Bytes of answer bodies stored; the oldest answers are dropped first.
    std::size_t answer_bytes = 32'000'000;
  };

  AtMostOnceRegistry(VmId router, std::uint64_t incarnation, Limits limits);

  RequestId Issue(Instant now);
  // `digest` identifies the request's content.
  AtMostOnceDecision Begin(Instant now,
                           const RequestId& id,
                           std::uint64_t digest);
  void Finish(Instant now, const RequestId& id, const Answer& answer);

  // True only if the id is stored here and no use of it has run or is running.
  bool KnownNotRun(const RequestId& id) const;

  std::size_t size() const { return entries_.size(); }

 private:
  enum class State { kIssued, kRunning, kAnswered, kUnknown };

  struct Entry {
    State state = State::kIssued;
    Instant issued_at{};
    std::uint64_t digest = 0;
    Answer answer;
  };

  void Expire(Instant now);
  void DropOldest();
  void TrimAnswers();

  const VmId router_;
  const std::uint64_t incarnation_;
  const Limits limits_;
  // Sequences below first_kept_ were dropped; sequences from next_ on were
  // never issued.
  std::uint64_t first_kept_ = 1;
  std::uint64_t next_ = 1;
  std::deque<Entry> entries_;
  std::size_t answer_bytes_ = 0;
  // Answers of sequences below this one were dropped.
  std::uint64_t first_answer_ = 1;
};

}  // namespace figstall

#endif  // FIGSTALL_AT_MOST_ONCE_REGISTRY_H_
