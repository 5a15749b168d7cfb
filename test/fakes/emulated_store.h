// The platform's store as the emulator serves it: keys, leases, watches and
// conditional writes, able to fail on command. State only; no sockets.
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

struct EmulatedReply {
  int status = 200;
  nlohmann::json body;
};

class EmulatedStore {
 public:
  using Reply = std::function<void(EmulatedReply)>;
  using Query = std::map<std::string, std::string>;

  // Answers at once, or for a watch once something changed or its time is up.
  void Call(Instant now,
            const std::string& method,
            const std::string& path,
            const Query& query,
            const nlohmann::json& body,
            Reply reply);
  // Ends leases and watches whose time is up.
  void Tick(Instant now);
  // Drops the history: watches that ask for older changes are told so.
  void Compact();
  // A write by operators or targets, outside of the calls.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Whether the key was last written under a lease that still stands.
  std::optional<std::string> Get(const std::string& key) const;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
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
  struct OpenWatch {
    std::string prefix;
    std::uint64_t after = 0;
    Instant until;
    Reply reply;
  };

  EmulatedReply Range(const Query& query) const;
  EmulatedReply Txn(const nlohmann::json& body);
  EmulatedReply OpenLease(Instant now, const nlohmann::json& body);
  nlohmann::json Show(const std::string& key, const Item& item) const;
  void Set(const std::string& key, std::string value, std::uint64_t lease);
  void Delete(const std::string& key);
  void EndLease(std::uint64_t lease);
  nlohmann::json EventsAfter(const std::string& prefix,
                             std::uint64_t after) const;
  void WakeWatches(Instant now);

  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> history_;
  // Changes up to here are not in the history any more.
  std::uint64_t compacted_revision_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  std::vector<OpenWatch> watches_;
};

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATED_STORE_H_
