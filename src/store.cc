// Consul requests of HttpStore, and the error codes that their failures map to.
#include "figstall/store.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "figstall/base64.h"
#include "figstall/json_bounds.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxIdleHandles = 4;
constexpr int kConflictStatus = 409;
constexpr int kNotFoundStatus = 404;

Result<json> ParseBody(const HttpClientResponse& response) {
  if (const auto exceeded = FindExceededBound(response.body, JsonBounds{}))
    return Fail(ErrorCode::kProtocol,
                "store: the response body has " + exceeded->ToString());
  json value = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded())
    return Fail(ErrorCode::kProtocol, "store: the response body is not JSON");
  return value;
}

}  // namespace

HttpStore::HttpStore(std::string base_url)
    : base_url_(std::move(base_url)), client_(kMaxIdleHandles) {}

Result<HttpClientResponse> HttpStore::Call(const std::string& method,
                                           const std::string& path,
                                           const std::string& body,
                                           Duration timeout) {
  HttpClientRequest request;
  request.method = method;
  request.url = base_url_ + path;
  request.body = body;
  request.timeout = timeout;
  // On a reused connection that the server has closed, the HTTP client would
  // send the request again; a write must not be sent twice.
  request.fresh_connection = method != "GET";
  HttpResult result = client_.Perform(request);
  if (result.failure == HttpFailure::kNotSent)
    return Fail(ErrorCode::kUnreachable, "store: " + result.error);
  if (result.failure != HttpFailure::kNone)
    return Fail(ErrorCode::kTimeout, "store: " + result.error);
  return std::move(result.response);
}

Result<std::optional<StoredValue>> HttpStore::Read(const std::string& key,
                                                   Duration timeout) {
  return Get("/v1/kv/" + key, timeout);
}

Result<std::optional<StoredValue>> HttpStore::Watch(const std::string& key,
                                                    std::uint64_t known_version,
                                                    Duration wait) {
  constexpr Duration kResponseMargin = std::chrono::seconds(1);
  const std::string path = fmt::format("/v1/kv/{}?index={}&wait={}ms", key,
                                       known_version, ToMillis(wait));
  return Get(path, wait + kResponseMargin);
}

Result<std::optional<StoredValue>> HttpStore::Get(const std::string& path,
                                                  Duration timeout) {
  BOOST_LEAF_AUTO(response, Call("GET", path, "", timeout));
  if (response.status == kNotFoundStatus)
    return std::optional<StoredValue>();
  if (response.status != 200)
    return Fail(ErrorCode::kUnreachable,
                fmt::format("store: status {}", response.status));
  BOOST_LEAF_AUTO(value, ParseBody(response));
  try {
    StoredValue stored;
    const json& entry = value.at(0);
    const auto decoded = DecodeBase64(entry.at("Value"));
    if (!decoded)
      return Fail(ErrorCode::kProtocol,
                  "store: the stored value is not valid Base64");
    stored.value = *decoded;
    stored.version = entry.at("ModifyIndex");
    return std::optional<StoredValue>(std::move(stored));
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kProtocol, std::string("store: ") + error.what());
  }
}

Result<std::uint64_t> HttpStore::Write(const std::vector<StoreWrite>& writes,
                                       Duration timeout) {
  json operations = json::array();
  for (const StoreWrite& write : writes) {
    operations.push_back({{"KV",
                           {{"Verb", "cas"},
                            {"Key", write.key},
                            {"Value", EncodeBase64(write.value)},
                            {"Index", write.expected_version}}}});
  }
  BOOST_LEAF_AUTO(response, Call("PUT", "/v1/txn", operations.dump(), timeout));
  if (response.status == kConflictStatus)
    return Fail(ErrorCode::kConflict,
                "store: another write changed a key first");
  if (response.status != 200)
    return Fail(ErrorCode::kTimeout,
                fmt::format("store: status {}", response.status));
  BOOST_LEAF_AUTO(value, ParseBody(response));
  try {
    return value.at("Results")
        .at(0)
        .at("KV")
        .at("ModifyIndex")
        .get<std::uint64_t>();
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kTimeout, std::string("store: ") + error.what());
  }
}

Result<bool> HttpStore::AcquireLease(const std::string& key,
                                     const std::string& holder,
                                     Duration time_to_live,
                                     Duration timeout) {
  if (session_.empty()) {
    const json session = {{"Name", holder},
                          {"TTL", fmt::format("{}ms", ToMillis(time_to_live))},
                          {"Behavior", "delete"},
                          {"LockDelay", "0s"}};
    BOOST_LEAF_AUTO(created,
                    Call("PUT", "/v1/session/create", session.dump(), timeout));
    BOOST_LEAF_AUTO(value, ParseBody(created));
    session_ = value.value("ID", "");
  } else {
    BOOST_LEAF_AUTO(renewed,
                    Call("PUT", "/v1/session/renew/" + session_, "", timeout));
    if (renewed.status == kNotFoundStatus) {
      session_.clear();
      return false;
    }
  }
  BOOST_LEAF_AUTO(
      acquired, Call("PUT", fmt::format("/v1/kv/{}?acquire={}", key, session_),
                     holder, timeout));
  if (acquired.status != 200)
    return Fail(ErrorCode::kUnreachable,
                fmt::format("store: status {}", acquired.status));
  return acquired.body == "true";
}

void HttpStore::ReleaseLease(const std::string& key, Duration timeout) {
  if (session_.empty())
    return;
  const std::string session = std::exchange(session_, "");
  const auto ignore = [](const Error&) { return 0; };
  HandleError(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(Call("PUT",
                              fmt::format("/v1/kv/{}?release={}", key, session),
                              "", timeout));
        BOOST_LEAF_CHECK(
            Call("PUT", "/v1/session/destroy/" + session, "", timeout));
        return 0;
      },
      ignore);
}

}  // namespace figstall
