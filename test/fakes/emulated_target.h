// A target as the emulator serves it: slots, a queue, key ranges held under
// fencing tokens, and faults on command.
#ifndef FIGSTALL_TEST_FAKES_EMULATED_TARGET_H_
#define FIGSTALL_TEST_FAKES_EMULATED_TARGET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "figstall/caller_connection.h"
#include "figstall/range_table.h"

namespace figstall::detail {

// What the emulator has seen, and what of it breaks a promise.
class EmulatorChecker {
 public:
  struct RequestRecord {
    int count = 0;
    bool idempotent = false;
    bool refused = false;
  };

  void OnRun(const std::string& request, bool idempotent);
  // A caller was told that the request has not run and never will.
  void OnRefused(const std::string& request, bool idempotent);
  void OnRangeGranted(const std::string& target,
                      const KeyRange& range,
                      Instant from,
                      Instant until);
  void OnRelease(const std::string& target, const KeyRange& range);
  void OnGone(const std::string& target) { range_leases_.erase(target); }
  void OnWrongAnswer(const std::string& request, const std::string& what);

  const std::vector<std::string>& violations() const { return violations_; }
  // Holders of ranges that were another's before.
  std::uint64_t owner_changes() const { return owner_changes_; }

 private:
  struct RangeLease {
    KeyRange range;
    Instant valid_until;
  };

  std::map<std::string, RequestRecord> runs_;
  std::map<std::string, std::vector<RangeLease>> range_leases_;
  std::map<ShardKey, std::string> last_holder_;
  std::uint64_t owner_changes_ = 0;
  std::vector<std::string> violations_;
};

struct EmulatedTargetOptions {
  std::string service;
  std::string zone;
  Endpoint address;
  std::uint32_t slots = 4;
  std::uint32_t queue = 16;
  // Mean time of work; each request draws around it.
  Duration work = std::chrono::milliseconds(20);
  std::size_t answer_bytes = 2'000;
  bool keyed = false;
};

class EmulatedTarget {
 public:
  EmulatedTarget(boost::asio::io_context& io,
                 EmulatedTargetOptions options,
                 EmulatorChecker& ledger,
                 std::uint64_t seed);
  ~EmulatedTarget();

  // Starts another life, under a new id.
  void Start();
  // Ends at once, with all connections.
  void Crash();
  void SetLeaving() { leaving_ = true; }
  // Takes requests and says nothing.
  void SetSilent(bool silent) { silent_ = silent; }
  // Breaks off this share of its answers.
  void SetAbortRatio(double share) { abort_ratio_ = share; }

  bool up() const { return acceptor_ != nullptr; }
  const std::string& id() const { return id_; }
  const EmulatedTargetOptions& options() const { return options_; }
  // Its entry in the store.
  std::string StoreEntry() const;
  std::uint64_t runs() const { return runs_; }

 private:
  struct Work;
  using Caller = ResponseWriter;
  using Connection = std::shared_ptr<CallerConnection>;

  void Accept();
  void OnRequest(const Caller& caller, const HttpRequest& request);
  void OnGrant(const Caller& caller, const HttpRequest& request);
  void OnRelease(const Caller& caller, const HttpRequest& request);
  void Enqueue(const Caller& caller, const HttpRequest& request);
  void StartWork(const std::shared_ptr<Work>& work);
  void StartNext();
  void FinishWork(const std::shared_ptr<Work>& work);
  void Reply(const Caller& caller,
             int status,
             bool not_run,
             const std::string& request_id);
  bool Holds(ShardKey key) const;

  boost::asio::io_context& io_;
  const EmulatedTargetOptions options_;
  EmulatorChecker& ledger_;
  std::mt19937_64 random_;
  std::string id_;
  std::int64_t born_ms_ = 0;
  std::uint64_t incarnation_ = 0;
  bool leaving_ = false;
  bool silent_ = false;
  double abort_ratio_ = 0;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::set<Connection> callers_;
  std::set<std::shared_ptr<Work>> in_flight_;
  std::deque<std::shared_ptr<Work>> queued_;
  // By key: highest token seen, and until when it is held.
  std::vector<std::uint64_t> highest_token_ =
      std::vector<std::uint64_t>(kKeySpaceSize);
  std::vector<Instant> held_until_ = std::vector<Instant>(kKeySpaceSize);
  std::uint64_t runs_ = 0;
};

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATED_TARGET_H_
