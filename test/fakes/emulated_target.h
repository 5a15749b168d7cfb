// A target as the emulator serves it: it has slots and a queue, holds key
// ranges under fencing tokens and fails on command.
#ifndef FIGSTALL_TEST_FAKES_EMULATED_TARGET_H_
#define FIGSTALL_TEST_FAKES_EMULATED_TARGET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "early_responder.h"
#include "figstall/caller_connection.h"
#include "figstall/range_table.h"
#include "notice_checker.h"

namespace figstall::detail {

// Records what the targets ran, refused and held, and which of it violates a
// guarantee of figstall: a request that is not idempotent runs at most once,
// and never after its caller was told that it did not run; a key has one holder
// at a time, and moves to another target under a higher token only; and a
// caller gets the response to its own request.
class EmulatorChecker {
 public:
  struct RequestRecord {
    int count = 0;
    bool idempotent = false;
    bool refused = false;
    bool broken_off = false;
  };

  void OnRun(const std::string& request_id, bool idempotent);
  // Records a response which says that the request has not run and never will.
  void OnRefused(const std::string& request_id, bool idempotent);
  void OnRangeGranted(const std::string& target,
                      const KeyRange& range,
                      std::uint64_t token,
                      Instant from,
                      Instant until);
  // The target, asked at `requested_at`, has ended its work on the range.
  void OnReleased(const std::string& target,
                  const KeyRange& range,
                  Instant requested_at);
  void OnTargetCrash(const std::string& target) { range_leases_.erase(target); }
  void OnWrongResponse(const std::string& request_id,
                       const std::string& problem);
  // The target broke its response off after so much of it that no other one can
  // replace it.
  void OnBrokenOff(const std::string& request_id) {
    request_records_[request_id].broken_off = true;
  }
  // The connection of a request closed without an answer before its deadline.
  // `excused_if_not_run`: whether its entry may close connections.
  void OnCut(const std::string& request_id, bool excused_if_not_run);

  const std::vector<std::string>& violations() const { return violations_; }
  // How many grants gave a range to another target than its previous holder.
  std::uint64_t owner_changes() const { return owner_changes_; }

 private:
  // The grant of a key with the highest token.
  struct NewestGrant {
    std::uint64_t token = 0;
    std::string target;
  };
  struct RangeLease {
    KeyRange range;
    Instant granted_at;
    Instant valid_until;
  };

  // By request id.
  std::map<std::string, RequestRecord> request_records_;
  // By target id.
  std::map<std::string, std::vector<RangeLease>> range_leases_;
  // By key.
  std::vector<NewestGrant> newest_grants_ =
      std::vector<NewestGrant>(kKeySpaceSize);
  // Target id by the first key of the granted range.
  std::map<ShardKey, std::string> last_holder_by_first_key_;
  std::uint64_t owner_changes_ = 0;
  std::vector<std::string> violations_;
};

struct EmulatedTargetOptions {
  std::string service;
  std::string zone;
  Endpoint address;
  std::uint32_t slots = 4;
  std::uint32_t queue_capacity = 16;
  // A request takes a random time of 0.7 to 1.4 times this.
  Duration nominal_work_time = std::chrono::milliseconds(20);
  std::size_t response_bytes = 2'000;
  bool keyed = false;
  // Of each incarnation but the first, and the requests that it tolerates in
  // any second meanwhile.
  Duration warm_up_time{0};
  double max_warm_up_requests = 0;
  // The target responds to a request before it has read its body, without a
  // length. Requests need a Content-Length.
  bool responds_early = false;
  // The test serves the target's address itself; only the target's entry in the
  // store is emulated.
  bool external = false;
};

class EmulatedTarget {
 public:
  EmulatedTarget(boost::asio::io_context& io,
                 EmulatedTargetOptions options,
                 EmulatorChecker& checker,
                 NoticeChecker& notice_checker,
                 std::uint64_t seed);
  ~EmulatedTarget();

  // Starts a new incarnation, under a new id or that of the previous one.
  void Start(bool keep_id = false);
  // Stops the target and closes all its connections at once.
  void Crash();
  void SetDraining() { draining_ = true; }
  bool draining() const { return draining_; }
  // Whether releases are neither carried out nor answered.
  void SetIgnoresReleases(bool ignores) { ignores_releases_ = ignores; }
  // While silent, the target accepts requests and sends no response.
  void SetSilent(bool silent) { silent_ = silent; }
  // While stopped, the target handles nothing that arrives; running and queued
  // work goes on. Afterwards it handles what has arrived, in random order as
  // its connections have none. That includes grants and releases whose sender
  // has reset its connection meanwhile, which the kernel delivers all the same.
  void SetStopped(bool stopped);
  // Keeps the accept queue full or empties it, so that new connections open
  // only once the kernel sends their SYN again. Open ones are served.
  void SetAcceptsLate(bool late);
  // Closes the connection instead of responding, or within the response, for
  // this share of the requests.
  void SetAbortRatio(double ratio) { abort_ratio_ = ratio; }
  // The target's answers say that it leaves. Its entry in the store does not.
  void SayLeaving() { said_.leaving = true; }
  // The target's answers name this limit in requests per second, or none.
  void SayLimit(std::optional<double> limit) { said_.limit = limit; }
  // The target warms up once more.
  void WarmUp();
  // The target rejects all requests and asks for a pause of this length.
  void RejectFor(std::optional<Duration> pause) { rejects_for_ = pause; }
  // The target's handovers are texts that are hard or impossible to keep.
  void SetSpoilsHandovers(bool spoils) { spoils_handovers_ = spoils; }
  // The target's answers carry notices with invalid values.
  void SayInvalidNotices(bool invalid) { says_invalid_ = invalid; }

  bool running() const { return acceptor_ != nullptr || options_.external; }
  const std::string& id() const { return id_; }
  const EmulatedTargetOptions& options() const { return options_; }
  // The target's entry in the store, as JSON.
  std::string StoreEntry() const;
  std::uint64_t requests_run() const { return requests_run_; }

 private:
  struct Work;
  // A request that arrived while the target was stopped.
  struct HeldRequest;
  // A release that is answered once no more work on its range is running.
  struct PendingRelease;
  using Caller = ResponseWriter;
  using Connection = std::shared_ptr<CallerConnection>;

  void Accept();
  void OnRequest(const Caller& caller, const HttpRequest& request);
  void Hold(const Caller& caller, const HttpRequest& request);
  // The response to a request of which the head has arrived.
  std::optional<EarlyResponse> RespondToHead(const HttpFields& head);
  void OnGrant(const Caller& caller, const HttpRequest& request);
  void OnRelease(const Caller& caller, const HttpRequest& request);
  void Enqueue(const Caller& caller, const HttpRequest& request);
  void StartWork(const std::shared_ptr<Work>& work);
  void StartNext();
  void FinishWork(const std::shared_ptr<Work>& work);
  void AnswerReleases();
  // What the target hands over with a released range.
  std::string MakeHandover();
  void BreakOff(const Caller& caller, HttpResponse response);
  void SendResponse(const Caller& caller,
                    int status,
                    bool not_run,
                    const std::string& request_id,
                    const std::string& handover = "");
  // Adds the notices to an answer, and tells the checker about it if it answers
  // a caller's request.
  void AddNotices(HttpResponse& response, const std::string& request_id);
  bool HoldsKey(ShardKey key) const;
  Duration WarmUpLeft() const {
    return std::max(Duration{0}, warm_up_until_ - BootNow());
  }

  boost::asio::io_context& io_;
  const EmulatedTargetOptions options_;
  EmulatorChecker& checker_;
  NoticeChecker& notice_checker_;
  std::mt19937_64 random_;
  std::string id_;
  std::int64_t started_at_ms_ = 0;
  std::uint64_t incarnation_ = 0;
  bool draining_ = false;
  bool silent_ = false;
  bool ignores_releases_ = false;
  bool stopped_ = false;
  double abort_ratio_ = 0;
  SaidNotices said_;
  std::optional<Duration> rejects_for_;
  Instant warm_up_until_{};
  bool says_invalid_ = false;
  bool spoils_handovers_ = false;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  // Connections of this process that fill the accept queue.
  std::vector<boost::asio::ip::tcp::socket> queue_fillers_;
  std::set<Connection> connections_;
  std::set<std::shared_ptr<Work>> in_flight_;
  std::deque<std::shared_ptr<Work>> queued_;
  std::vector<PendingRelease> pending_releases_;
  std::vector<std::shared_ptr<HeldRequest>> held_requests_;
  // By key: the highest fencing token received, and the end of the lease on the
  // key.
  std::vector<std::uint64_t> highest_token_ =
      std::vector<std::uint64_t>(kKeySpaceSize);
  std::vector<Instant> held_until_ = std::vector<Instant>(kKeySpaceSize);
  std::uint64_t requests_run_ = 0;
};

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATED_TARGET_H_
