// The platform's store as the emulator serves it: keys, leases, watches and
// conditional writes. The history can be compacted on command, which fails
// watches. On command the store returns to an older copy of itself. The class
// holds only state and opens no sockets; the emulator
// injects all other faults of the store.
#ifndef FIGSTALL_TEST_FAKES_EMULATED_STORE_H_
#define FIGSTALL_TEST_FAKES_EMULATED_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "figstall/types.h"

namespace figstall::detail {

struct EmulatedResponse {
  int status = 200;
  nlohmann::json body;
};

class EmulatedStore {
 public:
  using ResponseHandler = std::function<void(EmulatedResponse)>;
  using Query = std::map<std::string, std::string>;

  // Handles a request of the store's HTTP interface. `respond` is called before
  // this returns, except for a watch: there it is called once a key under the
  // prefix has changed or the watch's wait time is over.
  void HandleRequest(Instant now,
                     const std::string& method,
                     const std::string& path,
                     const Query& query,
                     const nlohmann::json& body,
                     ResponseHandler respond);
  // Ends the leases that have expired and completes the watches whose wait time
  // is over.
  void Tick(Instant now);
  // Drops the history of changes. Pending watches, and new ones that ask for
  // changes that were dropped, get status 410.
  void Compact();
  // Returns to the copy of `age` ago, or to the oldest one: what was written
  // since is lost, and so are all leases with their keys. Revisions are given
  // out again, in a new era.
  void Restore(Instant now, Duration age);
  // Ends a lease at once, with the keys under it.
  void RevokeLease(Instant now, std::uint64_t lease);
  // Ends all leases, as an outage may.
  void EndAllLeases();
  // Counts the restored copies, from 1.
  std::uint64_t era() const { return era_; }
  // Put and Remove act for operators and targets, without a request.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The value of the key; empty if the key does not exist.
  std::optional<std::string> Get(const std::string& key) const;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created_revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Instant expires_at;
    Duration time_to_live{0};
  };
  struct Change {
    std::uint64_t revision = 0;
    nlohmann::json event;
    std::string key;
  };
  struct Copy {
    Instant at;
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
  };
  struct PendingWatch {
    std::string prefix;
    std::uint64_t after_revision = 0;
    Instant deadline;
    ResponseHandler respond;
  };

  EmulatedResponse Range(const Query& query) const;
  EmulatedResponse ApplyTransaction(const nlohmann::json& body);
  EmulatedResponse OpenLease(Instant now, const nlohmann::json& body);
  nlohmann::json ItemToJson(const std::string& key, const Item& item) const;
  void SetItem(const std::string& key, std::string value, std::uint64_t lease);
  void DeleteItem(const std::string& key);
  void EndLease(std::uint64_t lease);
  nlohmann::json EventsAfter(const std::string& prefix,
                             std::uint64_t after_revision) const;
  void CompleteWatches(Instant now);

  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> history_;
  // The history no longer holds the changes up to this revision.
  std::uint64_t compacted_revision_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_id_ = 1;
  std::vector<PendingWatch> watches_;
  std::uint64_t era_ = 1;
  // Ascending by time.
  std::deque<Copy> copies_;
};

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATED_STORE_H_
