// Stand-in for the platform: a store with the key-value, transaction and
// session calls of Consul's published HTTP interface, and a VM list. It keeps
// everything in memory and fails on command.
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
  ServerResponse OnHttp(const ServerRequest& call) {
    if (call.path == "/standin/fault")
      return SetFault(call);
    if (call.path == "/standin/vms")
      return SetVms(call);
    if (call.path == "/standin/calls")
      return Json(json{{"reads", reads_}, {"writes", writes_}});
    return UnderFault(call);
  }

 private:
  struct Entry {
    std::string value;
    std::uint64_t index = 0;
    std::string session;
  };
  struct Session {
    Millis time_to_live{0};
    Clock::time_point expires;
  };

  static ServerResponse Json(const json& body, int status = 200) {
    return {status, "application/json", {}, body.dump()};
  }
  static ServerResponse Failed() { return {500, "text/plain", {}, "fault\n"}; }

  ServerResponse SetFault(const ServerRequest& call) {
    const json fault = json::parse(call.body);
    const std::lock_guard lock(mutex_);
    fault_mode_ = fault.value("mode", "ok");
    delay_ = Millis(fault.value("delay_ms", 0));
    return Json(json::object());
  }

  ServerResponse SetVms(const ServerRequest& call) {
    const std::lock_guard lock(mutex_);
    vms_ = json::array();
    for (const json& name : json::parse(call.body))
      vms_.push_back({{"name", name}});
    ++list_version_;
    return Json(json::object());
  }

  ServerResponse UnderFault(const ServerRequest& call) {
    std::string mode;
    Millis delay{0};
    {
      const std::lock_guard lock(mutex_);
      mode = fault_mode_;
      delay = delay_;
    }
    if (delay > Millis(0))
      std::this_thread::sleep_for(delay);
    if (call.path == "/v1/vms")
      return ListVms();
    if (mode == "down")
      return Failed();
    const ServerResponse reply = Dispatch(call);
    const bool lost = mode == "lost-answers" && call.method == "PUT";
    return lost ? Failed() : reply;
  }

  ServerResponse ListVms() {
    const std::lock_guard lock(mutex_);
    return Json(json{{"version", list_version_}, {"vms", vms_}});
  }

  ServerResponse Dispatch(const ServerRequest& call) {
    std::unique_lock lock(mutex_);
    ExpireSessions();
    if (call.path.starts_with("/v1/kv/")) {
      const std::string key = call.path.substr(7);
      if (call.method == "GET")
        return Get(key, call, lock);
      return Put(key, call);
    }
    ++writes_;
    if (call.path == "/v1/txn")
      return Transact(call);
    if (call.path == "/v1/session/create")
      return CreateSession(call);
    if (call.path.starts_with("/v1/session/renew/"))
      return RenewSession(call.path.substr(18));
    if (call.path.starts_with("/v1/session/destroy/")) {
      DestroySession(call.path.substr(20));
      return Json(true);
    }
    return {404, "text/plain", {}, "no such call\n"};
  }

  ServerResponse Get(const std::string& key,
                     const ServerRequest& call,
                     std::unique_lock<std::mutex>& lock) {
    ++reads_;
    const std::uint64_t known =
        std::strtoull(call.parameter("index").c_str(), nullptr, 10);
    if (known > 0) {
      changed_.wait_for(
          lock, ParseMillis(call.parameter("wait"), Millis(0)), [&] {
            const auto entry = entries_.find(key);
            return fault_mode_ == "down" ||
                   (entry != entries_.end() && entry->second.index > known);
          });
    }
    const auto entry = entries_.find(key);
    if (entry == entries_.end())
      return {404, "text/plain", {}, ""};
    ServerResponse reply =
        Json(json::array({{{"Key", key},
                           {"Value", EncodeBase64(entry->second.value)},
                           {"ModifyIndex", entry->second.index},
                           {"Session", entry->second.session}}}));
    reply.headers.emplace_back("X-Consul-Index",
                               std::to_string(entry->second.index));
    return reply;
  }

  // Acquires or releases a key for a session.
  ServerResponse Put(const std::string& key, const ServerRequest& call) {
    ++writes_;
    const std::string acquire = call.parameter("acquire");
    const std::string release = call.parameter("release");
    Entry& entry = entries_[key];
    if (!release.empty()) {
      const bool held = entry.session == release;
      if (held)
        entries_.erase(key);
      return Json(held);
    }
    if (!sessions_.contains(acquire))
      return Json(false);
    const bool mine = entry.session.empty() || entry.session == acquire;
    if (mine) {
      entry.session = acquire;
      Store(entry, call.body);
    }
    return Json(mine);
  }

  ServerResponse Transact(const ServerRequest& call) {
    const json operations = json::parse(call.body);
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
      Store(entry, DecodeBase64(kv.at("Value")).value_or(""));
      results.push_back(
          {{"KV", {{"Key", kv.at("Key")}, {"ModifyIndex", entry.index}}}});
    }
    return Json(json{{"Results", results}, {"Errors", nullptr}});
  }

  ServerResponse CreateSession(const ServerRequest& call) {
    const json wanted = json::parse(call.body);
    const std::string id = fmt::format("session-{}", ++next_session_);
    Session session;
    session.time_to_live = ParseMillis(wanted.value("TTL", ""), Millis(10'000));
    session.expires = Clock::now() + session.time_to_live;
    sessions_[id] = session;
    return Json(json{{"ID", id}});
  }

  ServerResponse RenewSession(const std::string& id) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end())
      return {404, "text/plain", {}, ""};
    session->second.expires = Clock::now() + session->second.time_to_live;
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
      if (session.expires <= Clock::now())
        expired.push_back(id);
    }
    for (const std::string& id : expired)
      DestroySession(id);
  }

  void Store(Entry& entry, const std::string& value) {
    entry.value = value;
    entry.index = ++index_;
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Session> sessions_;
  std::uint64_t index_ = 0;
  std::uint64_t next_session_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::string fault_mode_ = "ok";
  Millis delay_{0};
  json vms_ = json::array();
  std::uint64_t list_version_ = 0;
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
    HttpServer server(
        listen, HttpServerLimits{},
        [&](const ServerRequest& call) { return standin.OnHttp(call); });
    detail::WaitForStopSignal(signals);
    return 0;
  });
}
