// Implements the emulated store.
#include "emulated_store.h"

#include <algorithm>

#include "figstall/base64.h"

namespace figstall::detail {
namespace {

using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kForbidden = 403;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kHistory = 100'000;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string At(const EmulatedStore::Query& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

std::uint64_t NumberAt(const EmulatedStore::Query& query,
                       const std::string& name) {
  const std::string text = At(query, name);
  return text.empty() ? 0 : std::stoull(text);
}

bool IsOperators(const std::string& key) {
  return StartsWith(key, "op/") || StartsWith(key, "servers/");
}

}  // namespace

json EmulatedStore::Show(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void EmulatedStore::Set(const std::string& key,
                        std::string value,
                        std::uint64_t lease) {
  Item& item = items_[key];
  if (item.created == 0)
    item.created = revision_;
  item.value = std::move(value);
  item.revision = revision_;
  item.lease = lease;
  history_.push_back({revision_, Show(key, item), key});
  if (history_.size() > kHistory)
    history_.pop_front();
}

void EmulatedStore::Delete(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  history_.push_back(
      {revision_,
       {{"key", key}, {"revision", revision_}, {"deleted", true}},
       key});
}

void EmulatedStore::Put(const std::string& key, const std::string& value) {
  ++revision_;
  Set(key, value, 0);
}

void EmulatedStore::Remove(const std::string& key) {
  ++revision_;
  Delete(key);
}

std::optional<std::string> EmulatedStore::Get(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end())
    return std::nullopt;
  return found->second.value;
}

EmulatedReply EmulatedStore::Range(const Query& query) const {
  const std::string prefix = At(query, "prefix");
  const std::string after = At(query, "after");
  json items = json::array();
  bool more = false;
  for (auto item = items_.upper_bound(after); item != items_.end(); ++item) {
    if (!StartsWith(item->first, prefix))
      continue;
    more = items.size() == kPageItems;
    if (more)
      break;
    items.push_back(Show(item->first, item->second));
  }
  return {200,
          {{"items", items}, {"hasMore", more}, {"currentRev", revision_}}};
}

EmulatedReply EmulatedStore::Txn(const json& body) {
  for (const json& put : body.at("puts")) {
    if (IsOperators(put.at("key")))
      return {kForbidden, {}};
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease))
      return {kNotFound, {}};
  }
  json current = json::array();
  bool holds = true;
  for (const json& condition : body.at("expectedRev")) {
    const std::string key = condition.at("key");
    const auto item = items_.find(key);
    const std::uint64_t revision =
        item == items_.end() ? 0 : item->second.revision;
    holds = holds && revision == condition.at("revision");
    if (item != items_.end())
      current.push_back(Show(key, item->second));
  }
  if (!holds)
    return {kPreconditionFailed,
            {{"items", current}, {"currentRev", revision_}}};
  ++revision_;
  for (const json& put : body.at("puts"))
    Set(put.at("key"),
        DecodeBase64(put.at("value").get<std::string>()).value_or(""),
        put.value("lease", std::uint64_t{0}));
  for (const json& key : body.at("remove"))
    Delete(key);
  return {200, {{"revision", revision_}}};
}

EmulatedReply EmulatedStore::OpenLease(Instant now, const json& body) {
  const double seconds = body.at("ttlS_time");
  const Duration time(static_cast<Duration::rep>(seconds * 1e6));
  const std::uint64_t lease = next_lease_++;
  leases_[lease] = {now + time, time};
  return {200, {{"lease", lease}, {"ttlS_time", seconds}}};
}

void EmulatedStore::EndLease(std::uint64_t lease) {
  if (leases_.erase(lease) == 0)
    return;
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease)
      keys.push_back(key);
  }
  if (keys.empty())
    return;
  ++revision_;
  for (const std::string& key : keys)
    Delete(key);
}

json EmulatedStore::EventsAfter(const std::string& prefix,
                                std::uint64_t after) const {
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision > after && StartsWith(change.key, prefix))
      events.push_back(change.event);
  }
  return events;
}

void EmulatedStore::Call(Instant now,
                         const std::string& method,
                         const std::string& path,
                         const Query& query,
                         const json& body,
                         Reply reply) {
  const std::size_t slash = path.rfind('/');
  const std::uint64_t number =
      slash > 0 ? std::strtoull(path.c_str() + slash + 1, nullptr, 10) : 0;
  if (method == "GET" && path == "/kv-key") {
    const auto item = items_.find(At(query, "key"));
    if (item == items_.end())
      return reply({kNotFound, {{"currentRev", revision_}}});
    json shown = Show(item->first, item->second);
    shown["currentRev"] = revision_;
    return reply({200, shown});
  }
  if (method == "GET" && path == "/kv-range")
    return reply(Range(query));
  if (method == "GET" && path == "/kv-watch") {
    if (NumberAt(query, "after") < compacted_revision_)
      return reply({kGone, {}});
    watches_.push_back(
        {At(query, "prefix"), NumberAt(query, "after"),
         now + std::chrono::milliseconds(NumberAt(query, "waitMs")),
         std::move(reply)});
    return WakeWatches(now);
  }
  if (method == "POST" && path == "/kv-txn") {
    reply(Txn(body));
  } else if (method == "POST" && path == "/kv-lease") {
    reply(OpenLease(now, body));
  } else if (method == "POST" && StartsWith(path, "/kv-keep/")) {
    const auto lease = leases_.find(number);
    if (lease == leases_.end())
      return reply({kNotFound, {}});
    lease->second.expires_at = now + lease->second.time_to_live;
    reply({200,
           {{"ttlS_time",
             std::chrono::duration<double>(lease->second.time_to_live)
                 .count()}}});
  } else if (method == "DELETE" && StartsWith(path, "/kv-lease-end/")) {
    EndLease(number);
    reply({200, {}});
  } else {
    reply({kNotFound, {}});
  }
  WakeWatches(now);
}

void EmulatedStore::WakeWatches(Instant now) {
  std::vector<OpenWatch> waiting = std::move(watches_);
  watches_.clear();
  for (OpenWatch& each : waiting) {
    json events = EventsAfter(each.prefix, each.after);
    if (events.empty() && now < each.until) {
      watches_.push_back(std::move(each));
      continue;
    }
    each.reply({200, {{"events", events}, {"currentRev", revision_}}});
  }
}

void EmulatedStore::Tick(Instant now) {
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now)
      ended.push_back(id);
  }
  for (const std::uint64_t id : ended)
    EndLease(id);
  WakeWatches(now);
}

void EmulatedStore::Compact() {
  history_.clear();
  compacted_revision_ = revision_;
  std::vector<OpenWatch> waiting = std::move(watches_);
  watches_.clear();
  for (OpenWatch& each : waiting)
    each.reply({kGone, {}});
}

}  // namespace figstall::detail
