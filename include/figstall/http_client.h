// HTTP towards targets and the platform, by libcurl with handles kept open.
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
  // libcurl silently sends again on a kept connection that closed before any
  // answer came; requests that must run at most once need a fresh one.
  bool fresh_connection = false;
  // Name (lower case) and value of a header that the answer may echo; an answer
  // that echoes another value is not this request's.
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
  // Sent, but no whole answer came in time.
  kTimeout,
  // Sent, but the answer was cut off, garbled or too large.
  kInvalidResponse,
};

struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  HttpClientResponse response;
  std::string error;
  // The other side's machine refused the connection: no process listens there.
  bool connection_refused = false;
};

// Largest answer that is taken over; a larger one counts as broken.
inline constexpr std::size_t kMaxResponseBytes = 64'000'000;

// Blocking calls from any number of threads; keeps idle handles, and with them
// their connections, up to a bound.
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

// Many calls at once from one thread of its own, so that one silent target
// delays no other.
class AsyncHttpClient {
 public:
  using Callback = std::function<void(const HttpResult&)>;

  AsyncHttpClient();
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  // Calls `done` on the fan-out's thread; false if the ring is full.
  bool Submit(HttpClientRequest request, Callback done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace figstall

#endif  // FIGSTALL_HTTP_CLIENT_H_
