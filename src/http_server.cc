// Translates between ulfius and the server's own types. Options that ulfius
// does not offer are passed to libmicrohttpd directly.
#include "figstall/http_server.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <ulfius.h>

#include <atomic>
#include <stdexcept>
#include <utility>

namespace figstall {
namespace {

std::string FindValue(const struct _u_map* map, const char* name) {
  const char* value = u_map_get_case(map, name);
  return value ? value : "";
}

ServerRequest MakeServerRequest(const struct _u_request* request) {
  ServerRequest call;
  call.method = request->http_verb ? request->http_verb : "";
  const std::string url = request->http_url ? request->http_url : "";
  const std::size_t query_begin = url.find('?');
  call.path = url.substr(0, query_begin);
  if (query_begin != std::string::npos)
    call.query = url.substr(query_begin);
  call.header = [request](const char* name) {
    return FindValue(request->map_header, name);
  };
  call.parameter = [request](const char* name) {
    return FindValue(request->map_url, name);
  };
  if (request->binary_body) {
    call.body.assign(static_cast<const char*>(request->binary_body),
                     request->binary_body_length);
  }
  return call;
}

void FillResponse(const ServerResponse& server_response,
                  struct _u_response* response) {
  // ulfius rejects an empty body, so the status is set separately.
  response->status = server_response.status;
  if (!server_response.body.empty()) {
    ulfius_set_binary_body_response(response, response->status,
                                    server_response.body.data(),
                                    server_response.body.size());
  }
  u_map_put(response->map_header, "Content-Type",
            server_response.content_type.c_str());
  for (const auto& [name, value] : server_response.headers)
    u_map_put(response->map_header, name.c_str(), value.c_str());
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(const Endpoint& listen, HttpServerLimits limits, Handler handler)
      : handler_(std::move(handler)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(listen.port);
    inet_pton(AF_INET, listen.address.c_str(), &address.sin_addr);
    if (ulfius_init_instance(&instance_, listen.port, &address, nullptr) !=
        U_OK)
      throw std::runtime_error("cannot initialize the HTTP server on " +
                               listen.ToString());
    instance_.max_post_body_size = limits.max_body_bytes;
    instance_.timeout = limits.idle_seconds;
    instance_.check_utf8 = 0;
    ulfius_set_default_endpoint(&instance_, &Impl::OnCall, this);
    MHD_OptionItem options[] = {
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(limits.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         static_cast<intptr_t>(limits.idle_seconds), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(limits.header_bytes), nullptr},
        {MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024, nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<intptr_t>(&Impl::OnCompleted), this},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&Impl::OnUri),
         this},
        {MHD_OPTION_END, 0, nullptr}};
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                           MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    if (ulfius_start_framework_with_mhd_options(&instance_, flags, options) !=
        U_OK) {
      ulfius_clean_instance(&instance_);
      throw std::runtime_error("cannot listen on " + listen.ToString());
    }
  }

  std::uint32_t open_calls() const { return open_calls_; }

  ~Impl() {
    ulfius_stop_framework(&instance_);
    ulfius_clean_instance(&instance_);
  }

 private:
  static int OnCall(const struct _u_request* request,
                    struct _u_response* response,
                    void* context) {
    const auto* self = static_cast<const Impl*>(context);
    FillResponse(self->handler_(MakeServerRequest(request)), response);
    return U_CALLBACK_COMPLETE;
  }

  // libmicrohttpd calls OnUri when it has read the URI of a request, and
  // OnCompleted when the response is written or the connection is lost. Both
  // count open requests and then call the ulfius callbacks that they replace.
  static void* OnUri(void* context, const char* uri, MHD_Connection*) {
    ++static_cast<Impl*>(context)->open_calls_;
    return ulfius_uri_logger(nullptr, uri);
  }

  static void OnCompleted(void* context,
                          MHD_Connection* connection,
                          void** request,
                          MHD_RequestTerminationCode code) {
    mhd_request_completed(nullptr, connection, request, code);
    --static_cast<Impl*>(context)->open_calls_;
  }

  const Handler handler_;
  std::atomic<std::uint32_t> open_calls_ = 0;
  struct _u_instance instance_ {};
};

HttpServer::HttpServer(const Endpoint& listen,
                       HttpServerLimits limits,
                       Handler handler)
    : impl_(std::make_unique<Impl>(listen, limits, std::move(handler))) {}

HttpServer::~HttpServer() = default;

std::uint32_t HttpServer::open_calls() const {
  return impl_->open_calls();
}

std::vector<std::string> PathParts(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < path.size()) {
    std::size_t end = path.find('/', begin);
    if (end == std::string::npos)
      end = path.size();
    if (end > begin) {
      int length = 0;
      char* decoded = curl_easy_unescape(
          nullptr, path.data() + begin, static_cast<int>(end - begin), &length);
      parts.emplace_back(decoded, static_cast<std::size_t>(length));
      curl_free(decoded);
    }
    begin = end + 1;
  }
  return parts;
}

}  // namespace figstall
