// The store's connections, and the faults of its answers.
#include "emulated_store_server.h"

#include <utility>

#include "emulator_scenario.h"
#include "platform/headers.h"

namespace figstall::detail {
namespace {

using boost::system::error_code;
using nlohmann::json;

constexpr int kUnavailable = 503;
// Share of the changes whose answer a store-lost-answers fault loses.
constexpr double kLostAnswerRatio = 0.5;
constexpr Duration kIdleTimeout = std::chrono::seconds(60);

}  // namespace

void EmulatedStoreServer::Listen(const std::vector<Endpoint>& addresses) {
  for (const Endpoint& address : addresses) {
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(address.address), address.port);
    auto& acceptor = acceptors_.emplace_back(io_);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    Accept(acceptors_.size() - 1);
  }
}

void EmulatedStoreServer::Reject(std::size_t entry, bool rejected) {
  if (rejected)
    rejected_entries_.insert(entry);
  else
    rejected_entries_.erase(entry);
}

void EmulatedStoreServer::RevokeLeasesOf(std::size_t entry) {
  for (const std::uint64_t lease : std::exchange(opened_leases_[entry], {}))
    store_.RevokeLease(BootNow(), lease);
}

void EmulatedStoreServer::Accept(std::size_t entry) {
  acceptors_[entry].async_accept(
      [this, entry](error_code error, boost::asio::ip::tcp::socket socket) {
        if (error)
          return;
        CallerConnection::Handlers handlers;
        handlers.on_request = [this, entry](const ResponseWriter& caller,
                                            const CallerRequest& request) {
          OnCall(entry, caller, request.message);
        };
        handlers.is_idempotent = [](const HttpRequest&) { return true; };
        handlers.on_closed = [this](const CallerConnection* closed) {
          std::erase_if(connections_, [closed](const auto& connection) {
            return connection.get() == closed;
          });
        };
        handlers.stopping = [] { return false; };
        CallerLimits limits;
        limits.idle_timeout = kIdleTimeout;
        const auto connection = std::make_shared<CallerConnection>(
            std::move(socket),
            std::make_shared<const CallerLimitsHistory>(limits),
            std::move(handlers));
        connections_.insert(connection);
        connection->Start();
        Accept(entry);
      });
}

void EmulatedStoreServer::OnCall(std::size_t entry,
                                 const ResponseWriter& caller,
                                 const HttpRequest& request) {
  ++calls_;
  if (fault_ == "store-silent" || fault_ == "store-restored" ||
      fault_ == "store-lapse")
    return;
  if (fault_ == "store-busy" || rejected_entries_.contains(entry))
    return SendResponse(caller, {kUnavailable, {}});
  const std::string target(View(request.target()));
  const std::size_t query_begin = target.find('?');
  const std::string method(View(request.method_string()));
  // The request takes effect, but its response is not sent.
  const bool response_lost =
      fault_ == "store-lost-answers" && method == "POST" &&
      std::bernoulli_distribution(kLostAnswerRatio)(random_);
  store_.HandleRequest(
      BootNow(), method, target.substr(0, query_begin),
      ParseQuery(query_begin == std::string::npos
                     ? ""
                     : target.substr(query_begin + 1)),
      json::parse(request.body(), nullptr, false),
      [this, entry, caller, response_lost,
       method](const EmulatedResponse& store_response) {
        // Only the answer to a lease's opening names both.
        const json& body = store_response.body;
        if (body.is_object() && body.contains("lease") &&
            body.contains("ttlS_time"))
          opened_leases_[entry].push_back(body.at("lease"));
        // A watch that was waiting when the entry began to be rejected.
        if (method == "GET" && rejected_entries_.contains(entry))
          SendResponse(caller, {kUnavailable, {}});
        else if (!response_lost)
          SendResponse(caller, store_response);
      });
}

void EmulatedStoreServer::SendResponse(
    const ResponseWriter& caller,
    const EmulatedResponse& store_response) const {
  HttpResponse response;
  response.result(static_cast<unsigned>(store_response.status));
  response.version(11);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.set(platform::kStoreEraHeader, std::to_string(store_.era()));
  if (!store_response.body.is_null())
    response.body() = store_response.body.dump();
  caller.Reply(std::move(response));
}

}  // namespace figstall::detail
