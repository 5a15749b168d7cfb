// A stand-in for the platform: a store with the key-value, transaction and
// session calls of Consul's published HTTP interface, and a VM list. All state
// is in memory, and faults can be injected over HTTP.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "figstall/base64.h"
#include "figstall/http_server.h"
#include "process.h"

namespace figstall {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr const char* kUsage =
    R"(platform-standin: the platform's store and VM list, in memory.

Usage:
  platform-standin --listen=ADDRESS

Faults: POST /standin/fault {"mode": "ok" | "down" | "lost-answers",
"delay_ms": N}. VM list: PUT /standin/vms ["name", ...].
)";

Millis ParseMillis(const std::string& text, Millis fallback) {
  if (text.empty())
    return fallback;
  const long value = std::strtol(text.c_str(), nullptr, 10);
  const bool in_millis = text.ends_with("ms");
  return in_millis ? Millis(value) : Millis(value * 1000);
}

class PlatformStandin {
 public:
  ServerResponse HandleRequest(const ServerRequest& request) {
    if (request.path == "/standin/fault")
      return SetFault(request);
    if (request.path == "/standin/vms")
      return SetVms(request);
    if (request.path == "/standin/calls")
      return Json(json{{"reads", reads_}, {"writes", writes_}});
    return HandleWithFault(request);
  }

 private:
  struct Entry {
    std::string value;
    std::uint64_t index = 0;
    std::string session;
  };
  struct Session {
    Millis time_to_live{0};
    Clock::time_point expires_at;
  };

  static ServerResponse Json(const json& body, int status = 200) {
    return {status, "application/json", {}, body.dump()};
  }
  static ServerResponse FaultResponse() {
    return {500, "text/plain", {}, "fault\n"};
  }

  ServerResponse SetFault(const ServerRequest& request) {
    const json fault = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    fault_mode_ = fault.value("mode", "ok");
    delay_ = Millis(fault.value("delay_ms", 0));
    return Json(json::object());
  }

  ServerResponse SetVms(const ServerRequest& request) {
    const std::lock_guard lock(mutex_);
    vms_ = json::array();
    for (const json& name : json::parse(request.body))
      vms_.push_back({{"name", name}});
    ++vm_list_version_;
    return Json(json::object());
  }

  ServerResponse HandleWithFault(const ServerRequest& request) {
    std::string mode;
    Millis delay{0};
    {
      const std::lock_guard lock(mutex_);
      mode = fault_mode_;
      delay = delay_;
    }
    if (delay > Millis(0))
      std::this_thread::sleep_for(delay);
    if (request.path == "/v1/vms")
      return ListVms();
    if (mode == "down")
      return FaultResponse();
    const ServerResponse response = Dispatch(request);
    const bool response_lost =
        mode == "lost-answers" && request.method == "PUT";
    return response_lost ? FaultResponse() : response;
  }

  ServerResponse ListVms() {
    const std::lock_guard lock(mutex_);
    return Json(json{{"version", vm_list_version_}, {"vms", vms_}});
  }

  ServerResponse Dispatch(const ServerRequest& request) {
    std::unique_lock lock(mutex_);
    ExpireSessions();
    if (request.path.starts_with("/v1/kv/")) {
      const std::string key = request.path.substr(7);
      if (request.method == "GET")
        return Get(key, request, lock);
      return Put(key, request);
    }
    ++writes_;
    if (request.path == "/v1/txn")
      return Transact(request);
    if (request.path == "/v1/session/create")
      return CreateSession(request);
    if (request.path.starts_with("/v1/session/renew/"))
      return RenewSession(request.path.substr(18));
    if (request.path.starts_with("/v1/session/destroy/")) {
      DestroySession(request.path.substr(20));
      return Json(true);
    }
    return {404, "text/plain", {}, "unknown path\n"};
  }

  ServerResponse Get(const std::string& key,
                     const ServerRequest& request,
                     std::unique_lock<std::mutex>& lock) {
    ++reads_;
    const std::uint64_t known_index =
        std::strtoull(request.parameter("index").c_str(), nullptr, 10);
    if (known_index > 0) {
      state_changed_.wait_for(
          lock, ParseMillis(request.parameter("wait"), Millis(0)), [&] {
            const auto entry = entries_.find(key);
            return fault_mode_ == "down" || (entry != entries_.end() &&
                                             entry->second.index > known_index);
          });
    }
    const auto entry = entries_.find(key);
    if (entry == entries_.end())
      return {404, "text/plain", {}, ""};
    ServerResponse response =
        Json(json::array({{{"Key", key},
                           {"Value", EncodeBase64(entry->second.value)},
                           {"ModifyIndex", entry->second.index},
                           {"Session", entry->second.session}}}));
    response.headers.emplace_back("X-Consul-Index",
                                  std::to_string(entry->second.index));
    return response;
  }

  // Acquires or releases a key for a session. A released key is deleted.
  ServerResponse Put(const std::string& key, const ServerRequest& request) {
    ++writes_;
    const std::string acquire = request.parameter("acquire");
    const std::string release = request.parameter("release");
    Entry& entry = entries_[key];
    if (!release.empty()) {
      const bool released = entry.session == release;
      if (released)
        entries_.erase(key);
      return Json(released);
    }
    if (!sessions_.contains(acquire))
      return Json(false);
    const bool acquired = entry.session.empty() || entry.session == acquire;
    if (acquired) {
      entry.session = acquire;
      SetValue(entry, request.body);
    }
    return Json(acquired);
  }

  ServerResponse Transact(const ServerRequest& request) {
    const json operations = json::parse(request.body);
    for (const json& operation : operations) {
      const json& kv = operation.at("KV");
      const auto entry = entries_.find(kv.at("Key").get<std::string>());
      const std::uint64_t index =
          entry == entries_.end() ? 0 : entry->second.index;
      if (index != kv.at("Index").get<std::uint64_t>())
        return Json(json{{"Errors", json::array({"index is stale"})}}, 409);
    }
    json results = json::array();
    for (const json& operation : operations) {
      const json& kv = operation.at("KV");
      Entry& entry = entries_[kv.at("Key")];
      SetValue(entry, DecodeBase64(kv.at("Value")).value_or(""));
      results.push_back(
          {{"KV", {{"Key", kv.at("Key")}, {"ModifyIndex", entry.index}}}});
    }
    return Json(json{{"Results", results}, {"Errors", nullptr}});
  }

  ServerResponse CreateSession(const ServerRequest& request) {
    const json options = json::parse(request.body);
    const std::string id = fmt::format("session-{}", ++last_session_number_);
    Session session;
    session.time_to_live =
        ParseMillis(options.value("TTL", ""), Millis(10'000));
    session.expires_at = Clock::now() + session.time_to_live;
    sessions_[id] = session;
    return Json(json{{"ID", id}});
  }

  ServerResponse RenewSession(const std::string& id) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end())
      return {404, "text/plain", {}, ""};
    session->second.expires_at = Clock::now() + session->second.time_to_live;
    return Json(json::array());
  }

  void DestroySession(const std::string& id) {
    sessions_.erase(id);
    std::erase_if(entries_, [&](const auto& entry) {
      return entry.second.session == id;
    });
  }

  void ExpireSessions() {
    std::vector<std::string> expired;
    for (const auto& [id, session] : sessions_) {
      if (session.expires_at <= Clock::now())
        expired.push_back(id);
    }
    for (const std::string& id : expired)
      DestroySession(id);
  }

  void SetValue(Entry& entry, const std::string& value) {
    entry.value = value;
    entry.index = ++last_index_;
    state_changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable state_changed_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Session> sessions_;
  std::uint64_t last_index_ = 0;
  std::uint64_t last_session_number_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::string fault_mode_ = "ok";
  Millis delay_{0};
  json vms_ = json::array();
  std::uint64_t vm_list_version_ = 0;
};

}  // namespace
}  // namespace figstall

int main(int argc, char** argv) {
  using namespace figstall;
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  return detail::RunProgram([&]() -> Result<int> {
    BOOST_LEAF_AUTO(listen, ParseEndpoint(arguments.at("--listen").asString()));
    const sigset_t signals = detail::BlockStopSignals();
    PlatformStandin standin;
    HttpServer server(listen, HttpServerLimits{},
                      [&](const ServerRequest& request) {
                        return standin.HandleRequest(request);
                      });
    detail::WaitForStopSignal(signals);
    return 0;
  });
}
