// Checks in the emulator that entries act on what targets say of themselves.
// The bounds are those of the users' rules DRAIN, BUDGET and LIMIT.
#ifndef FIGSTALL_TEST_FAKES_NOTICE_CHECKER_H_
#define FIGSTALL_TEST_FAKES_NOTICE_CHECKER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figstall/types.h"

namespace figstall::detail {

// What an emulated target says in its answers.
struct SaidNotices {
  bool leaving = false;
  // Requests per second.
  std::optional<double> limit;
  // Of a 503.
  std::optional<Duration> retry_after;
};

struct NoticeBounds {
  // Requests that callers sent to an entry later than this after the entry
  // passed on that a target leaves must not reach the target. None may reach it
  // later than this after the store acknowledged that it leaves, unless the
  // store or the entry was disturbed in this run.
  Duration drain = std::chrono::seconds(2);
  // A limit applies from this time after the target first named it.
  Duration stability = std::chrono::seconds(3);
  // No request may reach a target later than this after the store acknowledged
  // that its zone is evacuated.
  Duration evacuation = std::chrono::seconds(5);
};

class NoticeChecker {
 public:
  explicit NoticeChecker(NoticeBounds bounds = {}) : bounds_(bounds) {}

  // A caller sends a request to the entry with this index.
  void OnRequestSent(const std::string& request_id,
                     std::size_t entry,
                     Instant now);
  // A new incarnation under this id has said nothing yet.
  void OnTargetStarted(const std::string& target) { targets_.erase(target); }
  // From now until then the target tolerates this many requests in any second,
  // from all entries together.
  void OnWarmUp(const std::string& target, Instant until, double max_requests);
  // The store acknowledged an entry of the target that says that it leaves.
  void OnListedLeaving(const std::string& target, Instant now) {
    targets_[target].listed_leaving_at = now;
  }
  // The store acknowledged the evacuation of the zone, or its end. An entry
  // that is disturbed in this run is not bound.
  void OnEvacuated(const std::string& zone, Instant now) {
    evacuated_at_.try_emplace(zone, store_available_ ? now : Instant::max());
  }
  void OnEvacuationEnded(const std::string& zone) { evacuated_at_.erase(zone); }
  // The store begins or ceases to turn the entry away, which may then not learn
  // of evacuations.
  void OnEntryRejected(std::size_t entry, Instant now, bool rejected);
  // A disturbance of the store begins or ends. Entries may not know what was
  // acknowledged right before or in it, so that this counts from its end.
  void OnStoreAvailable(Instant now, bool available);
  // From now on, what the store acknowledges binds no entry, or not this one.
  void OnStoreDisturbed() { store_disturbed_ = true; }
  void OnEntryDisturbed(std::size_t entry) { disturbed_entries_.insert(entry); }
  // The request reaches a target in the zone.
  void OnArrival(const std::string& target,
                 const std::string& zone,
                 const std::string& request_id,
                 Instant now);
  // The target answers the request, and `said` is in the answer's head.
  void OnAnswered(const std::string& target,
                  const std::string& request_id,
                  const SaidNotices& said,
                  Instant now);
  // The entry passed the target's answer to this request on.
  void OnPassedOn(const std::string& request_id, Instant now);
  // The entry restarts, is frozen or cut off until then. What it was told until
  // then does not bind it.
  void ExcuseEntry(std::size_t entry, Instant until);
  bool Excused(std::size_t entry, Instant now) const;

  const std::vector<std::string>& violations() const { return violations_; }
  // Longest time from an evacuation to a request that reached the zone, from an
  // entry that is not disturbed.
  Duration latest_evacuated_arrival() const {
    return latest_evacuated_arrival_;
  }
  // Highest number of counted requests in 4 s, as a share of what the target's
  // limit allows.
  double highest_limit_use() const { return highest_limit_use_; }
  // Highest number of requests to a target that warms up in one second.
  std::size_t most_in_warm_up() const { return most_in_warm_up_; }

 private:
  struct SentRequest {
    std::size_t entry = 0;
    Instant sent_at;
    // What the last target that answered it said.
    std::string answered_by;
    SaidNotices said;
  };
  struct Pause {
    Instant from;
    Instant until;
    int arrivals = 0;
  };
  struct Target {
    // By entry: when it passed on that the target leaves, or a limit.
    std::map<std::size_t, Instant> told_leaving;
    std::optional<Instant> listed_leaving_at;
    std::map<std::size_t, Instant> told_limit;
    std::map<std::size_t, Pause> pauses;
    std::optional<Instant> limited_since;
    // Limits in the order in which the target named them, and since when each
    // applies. Only those that applied within the last window are kept.
    std::deque<std::pair<Instant, double>> limits;
    std::deque<Instant> counted_arrivals;
    bool limit_broken = false;
    Instant warm_up_until{};
    double max_warm_up_requests = 0;
    // Of the last second.
    std::deque<Instant> arrivals;
  };

  void CheckEvacuation(const std::string& target_id,
                       const std::string& zone,
                       const std::string& request_id,
                       std::size_t entry,
                       Instant now);
  void CheckLimit(const std::string& id, Target& target, Instant now);
  void CheckWarmUp(const std::string& id, Target& target, Instant now);

  const NoticeBounds bounds_;
  std::map<std::string, SentRequest> requests_;
  std::map<std::string, Target> targets_;
  std::map<std::size_t, Instant> excused_until_;
  // By entry that the store turns away: until when it may not have learned of
  // evacuations.
  std::map<std::size_t, Instant> rejected_until_;
  bool store_available_ = true;
  std::map<std::string, Instant> evacuated_at_;
  Duration latest_evacuated_arrival_{0};
  bool store_disturbed_ = false;
  std::set<std::size_t> disturbed_entries_;
  std::vector<std::string> violations_;
  std::size_t most_in_warm_up_ = 0;
  double highest_limit_use_ = 0;
};

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_NOTICE_CHECKER_H_
