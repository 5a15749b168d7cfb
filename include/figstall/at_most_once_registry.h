// At most one run per request id: the memory of the router that issued it.
#ifndef FIGSTALL_AT_MOST_ONCE_REGISTRY_H_
#define FIGSTALL_AT_MOST_ONCE_REGISTRY_H_

#include <deque>
#include <map>
#include <string>

#include "figstall/request.h"

namespace figstall {

enum class AtMostOnceVerdict {
  // First use: run it, then call Finish.
  kRun,
  // Ran already; `answer` is the first answer.
  kRepeat,
  // Another use of the id is running now; its outcome is not known yet.
  kInProgress,
  // The id may have run, but the answer is not kept any more.
  kExpired,
  // Issued by another router, or by an earlier run of this one.
  kOtherIssuer,
  kNeverIssued,
  // The id was used before with another request.
  kReused,
};

struct AtMostOnceDecision {
  AtMostOnceVerdict verdict = AtMostOnceVerdict::kNeverIssued;
  Answer answer;
};

// Aggregate over the ids of one router run. An id runs again only if its last
// run ended as not run; whatever is forgotten counts as "may have run".
//
//   RequestId id = registry.Issue(now);
//   if (registry.Begin(now, id, digest).verdict == AtMostOnceVerdict::kRun)
//     registry.Finish(now, id, Run());
class AtMostOnceRegistry {
 public:
  struct Limits {
    Duration lifetime = std::chrono::minutes(10);
    std::size_t entries = 100'000;
    // Bytes of answers kept; the oldest answers are dropped first.
    std::size_t answer_bytes = 32'000'000;
  };

  AtMostOnceRegistry(VmId router, std::uint64_t incarnation, Limits limits);

  RequestId Issue(Instant now);
  // `digest` identifies the request's content.
  AtMostOnceDecision Begin(Instant now,
                           const RequestId& id,
                           std::uint64_t digest);
  void Finish(Instant now, const RequestId& id, const Answer& answer);

  // True only if this registry can tell that no use of the id has run.
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
  // Ids below first_kept_ were forgotten; ids from next_ on were never issued.
  std::uint64_t first_kept_ = 1;
  std::uint64_t next_ = 1;
  std::deque<Entry> entries_;
  std::size_t answer_bytes_ = 0;
  // Sequence from which answers are still kept.
  std::uint64_t first_answer_ = 1;
};

}  // namespace figstall

#endif  // FIGSTALL_AT_MOST_ONCE_REGISTRY_H_
