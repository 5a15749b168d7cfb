// HTTP clients for requests to targets and to the platform. They use libcurl
// and reuse its handles.
#ifndef FIGSTALL_HTTP_CLIENT_H_
#define FIGSTALL_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "figstall/ring.h"
#include "figstall/types.h"

namespace figstall {

struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  // "Name: value" lines.
  std::vector<std::string> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);
  Duration connect_timeout = std::chrono::milliseconds(200);
  // If a reused connection closes before any part of a response arrives,
  // libcurl sends the request again without reporting it. A request that must
  // run at most once therefore needs a fresh connection.
  bool fresh_connection = false;
  // Name (in lower case) and value of a header that the response may echo. A
  // response that echoes another value belongs to another request.
  std::pair<std::string, std::string> expected_header;
};

struct HttpClientResponse {
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

enum class HttpFailure {
  kNone,
  // No byte of the request left this process.
  kNotSent,
  // Sent, but no complete response arrived before the timeout.
  kTimeout,
  // Sent, but the response was truncated, malformed or too large, or belonged
  // to another request.
  kInvalidResponse,
};

struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  HttpClientResponse response;
  std::string error;
  // The peer's host refused the connection: no process listens on the port.
  bool connection_refused = false;
};

// Largest response body accepted; a larger one is an invalid response.
inline constexpr std::size_t kMaxResponseBytes = 64'000'000;

// A client for blocking calls from any number of threads. It keeps up to
// `max_idle` idle handles, each with its open connection, for reuse.
class HttpClient {
 public:
  explicit HttpClient(std::size_t max_idle);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpResult Perform(const HttpClientRequest& request);

 private:
  class Handle;

  std::unique_ptr<Handle> AcquireHandle();
  void ReleaseHandle(std::unique_ptr<Handle> handle);

  const std::size_t max_idle_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Handle>> idle_;
};

// A client that runs many requests concurrently on one thread of its own, so
// that a target that does not respond delays no other target's requests.
class AsyncHttpClient {
 public:
  using Callback = std::function<void(const HttpResult&)>;

  AsyncHttpClient();
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  // Queues a request and calls `done` on the client's thread when it ends.
  // Returns false if the queue is full.
  bool Submit(HttpClientRequest request, Callback done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace figstall

#endif  // FIGSTALL_HTTP_CLIENT_H_
