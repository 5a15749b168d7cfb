// An HTTP server for callers, operators and the platform's balancer, based on
// ulfius.
#ifndef FIGSTALL_HTTP_SERVER_H_
#define FIGSTALL_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "figstall/records.h"

namespace figstall {

struct ServerRequest {
  std::string method;
  // The path without the query, still percent-encoded.
  std::string path;
  // The query including its question mark, or empty.
  std::string query;
  std::function<std::string(const char* name)> header;
  std::function<std::string(const char* name)> parameter;
  std::string body;
};

struct ServerResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct HttpServerLimits {
  std::size_t max_body_bytes = 8'000'000;
  // Memory for the headers of one connection; larger headers are rejected.
  std::size_t header_bytes = 32'768;
  unsigned max_connections = 4'096;
  // A connection that sends nothing for this long is closed.
  unsigned idle_seconds = 15;
};

// Serves from construction to destruction. Each connection has a thread of its
// own, which calls `handler`.
class HttpServer {
 public:
  using Handler = std::function<ServerResponse(const ServerRequest&)>;

  // Throws std::runtime_error if the server cannot listen on the address.
  HttpServer(const Endpoint& listen, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The number of requests whose response is not yet completely written.
  std::uint32_t open_calls() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Splits a path at its slashes and percent-decodes each part. Empty parts are
// left out.
std::vector<std::string> PathParts(const std::string& path);

}  // namespace figstall

#endif  // FIGSTALL_HTTP_SERVER_H_
