// Client of the platform's key-value store: compare-and-swap writes, leases,
// and reads that wait for a change.
#ifndef FIGSTALL_STORE_H_
#define FIGSTALL_STORE_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figstall/error.h"
#include "figstall/http_client.h"

namespace figstall {

struct StoredValue {
  std::string value;
  // Increases with every write of the key.
  std::uint64_t version = 0;

  friend bool operator==(const StoredValue&, const StoredValue&) = default;
};

struct StoreWrite {
  std::string key;
  std::string value;
  // Zero means that the key must not exist yet.
  std::uint64_t expected_version = 0;
};

// A failed write returns kConflict if another write changed a key first. It
// returns kTimeout if the outcome is unknown: the write may have taken effect.
template <typename S>
concept Store = requires(S store,
                         const std::string& text,
                         const std::vector<StoreWrite>& writes,
                         std::uint64_t version,
                         Duration wait) {
  {
    store.Read(text, wait)
    } -> std::same_as<Result<std::optional<StoredValue>>>;
  { store.Write(writes, wait) } -> std::same_as<Result<std::uint64_t>>;
};

// A Store that uses Consul's HTTP interface: key-value reads with blocking
// queries, transactions, and sessions as leases.
class HttpStore {
 public:
  explicit HttpStore(std::string base_url);

  Result<std::optional<StoredValue>> Read(const std::string& key,
                                          Duration timeout);
  // Waits until the key's version exceeds `known_version`, at most for `wait`.
  Result<std::optional<StoredValue>> Watch(const std::string& key,
                                           std::uint64_t known_version,
                                           Duration wait);
  // Writes all or nothing; returns the version of the first key.
  Result<std::uint64_t> Write(const std::vector<StoreWrite>& writes,
                              Duration timeout);

  // Acquires or renews the lease `key` for `holder`. Returns false if another
  // holder has it, or if the session behind it has expired.
  Result<bool> AcquireLease(const std::string& key,
                            const std::string& holder,
                            Duration time_to_live,
                            Duration timeout);
  void ReleaseLease(const std::string& key, Duration timeout);

 private:
  Result<std::optional<StoredValue>> Get(const std::string& path,
                                         Duration timeout);
  Result<HttpClientResponse> Call(const std::string& method,
                                  const std::string& path,
                                  const std::string& body,
                                  Duration timeout);

  const std::string base_url_;
  HttpClient client_;
  std::string session_;
};

static_assert(Store<HttpStore>);

}  // namespace figstall

#endif  // FIGSTALL_STORE_H_
