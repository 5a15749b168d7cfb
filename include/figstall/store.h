// The platform's key-value store, as figstall uses it: compare-and-swap, one
// kind of lease, and reads that wait for a change.
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
  // Rises with every write of the key.
  std::uint64_t version = 0;

  friend bool operator==(const StoredValue&, const StoredValue&) = default;
};

struct StoreWrite {
  std::string key;
  std::string value;
  // Zero: the key must not exist yet.
  std::uint64_t expected_version = 0;
};

// A store tells a write that lost a race (kConflict) from one whose answer was
// lost (kTimeout: it may have taken effect).
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

// The store over the HTTP interface that Consul publishes: key-value reads with
// blocking queries, transactions, and sessions as leases.
class HttpStore {
 public:
  explicit HttpStore(std::string base_url);

  Result<std::optional<StoredValue>> Read(const std::string& key,
                                          Duration timeout);
  // Waits until the key's version passes `known` or `wait` is over.
  Result<std::optional<StoredValue>> Watch(const std::string& key,
                                           std::uint64_t known,
                                           Duration wait);
  // Writes all or nothing; returns the version of the first key.
  Result<std::uint64_t> Write(const std::vector<StoreWrite>& writes,
                              Duration timeout);

  // Takes or renews the lease `key` for `holder`; false if another holds it.
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
