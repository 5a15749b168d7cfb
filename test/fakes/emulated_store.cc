// Requests, leases, watches and the change history of the emulated store.
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
constexpr std::size_t kMaxItemsPerPage = 500;
constexpr std::size_t kMaxHistorySize = 100'000;
constexpr Duration kCopyInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxCopies = 60;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string QueryValue(const EmulatedStore::Query& query,
                       const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

std::uint64_t QueryNumber(const EmulatedStore::Query& query,
                          const std::string& name) {
  const std::string text = QueryValue(query, name);
  return text.empty() ? 0 : std::stoull(text);
}

bool IsOperatorKey(const std::string& key) {
  return StartsWith(key, "op/") || StartsWith(key, "servers/");
}

}  // namespace

json EmulatedStore::ItemToJson(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"created", item.created_revision},
          {"lease", item.lease}};
}

void EmulatedStore::SetItem(const std::string& key,
                            std::string value,
                            std::uint64_t lease) {
  Item& item = items_[key];
  if (item.created_revision == 0)
    item.created_revision = revision_;
  item.value = std::move(value);
  item.revision = revision_;
  item.lease = lease;
  history_.push_back({revision_, ItemToJson(key, item), key});
  if (history_.size() > kMaxHistorySize)
    history_.pop_front();
}

void EmulatedStore::DeleteItem(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  history_.push_back(
      {revision_,
       {{"key", key}, {"revision", revision_}, {"deleted", true}},
       key});
}

void EmulatedStore::RevokeLease(Instant now, std::uint64_t lease) {
  EndLease(lease);
  CompleteWatches(now);
}

void EmulatedStore::Put(const std::string& key, const std::string& value) {
  ++revision_;
  SetItem(key, value, 0);
}

void EmulatedStore::Remove(const std::string& key) {
  ++revision_;
  DeleteItem(key);
}

std::optional<std::string> EmulatedStore::Get(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end())
    return std::nullopt;
  return found->second.value;
}

EmulatedResponse EmulatedStore::Range(const Query& query) const {
  const std::string prefix = QueryValue(query, "prefix");
  const std::string after = QueryValue(query, "after");
  json items = json::array();
  bool more = false;
  for (auto item = items_.upper_bound(after); item != items_.end(); ++item) {
    if (!StartsWith(item->first, prefix))
      continue;
    more = items.size() == kMaxItemsPerPage;
    if (more)
      break;
    items.push_back(ItemToJson(item->first, item->second));
  }
  return {200,
          {{"items", items}, {"hasMore", more}, {"currentRev", revision_}}};
}

EmulatedResponse EmulatedStore::ApplyTransaction(const json& body) {
  for (const json& put : body.at("puts")) {
    if (IsOperatorKey(put.at("key")))
      return {kForbidden, {}};
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease))
      return {kNotFound, {}};
  }
  json current = json::array();
  bool conditions_hold = true;
  for (const json& condition : body.at("expectedRev")) {
    const std::string key = condition.at("key");
    const auto item = items_.find(key);
    const std::uint64_t revision =
        item == items_.end() ? 0 : item->second.revision;
    conditions_hold = conditions_hold && revision == condition.at("revision");
    if (item != items_.end())
      current.push_back(ItemToJson(key, item->second));
  }
  if (!conditions_hold)
    return {kPreconditionFailed,
            {{"items", current}, {"currentRev", revision_}}};
  ++revision_;
  for (const json& put : body.at("puts"))
    SetItem(put.at("key"),
            DecodeBase64(put.at("value").get<std::string>()).value_or(""),
            put.value("lease", std::uint64_t{0}));
  for (const json& key : body.at("remove"))
    DeleteItem(key);
  return {200, {{"revision", revision_}}};
}

EmulatedResponse EmulatedStore::OpenLease(Instant now, const json& body) {
  const double seconds = body.at("ttlS_time");
  const Duration time_to_live(static_cast<Duration::rep>(seconds * 1e6));
  const std::uint64_t lease = next_lease_id_++;
  leases_[lease] = {now + time_to_live, time_to_live};
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
    DeleteItem(key);
}

json EmulatedStore::EventsAfter(const std::string& prefix,
                                std::uint64_t after_revision) const {
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision > after_revision && StartsWith(change.key, prefix))
      events.push_back(change.event);
  }
  return events;
}

void EmulatedStore::HandleRequest(Instant now,
                                  const std::string& method,
                                  const std::string& path,
                                  const Query& query,
                                  const json& body,
                                  ResponseHandler respond) {
  const std::size_t slash = path.rfind('/');
  const std::uint64_t lease_id =
      slash > 0 ? std::strtoull(path.c_str() + slash + 1, nullptr, 10) : 0;
  if (method == "GET" && path == "/kv-key") {
    const auto item = items_.find(QueryValue(query, "key"));
    if (item == items_.end())
      return respond({kNotFound, {{"currentRev", revision_}}});
    json item_json = ItemToJson(item->first, item->second);
    item_json["currentRev"] = revision_;
    return respond({200, item_json});
  }
  if (method == "GET" && path == "/kv-range")
    return respond(Range(query));
  if (method == "GET" && path == "/kv-watch") {
    if (QueryNumber(query, "after") < compacted_revision_ ||
        QueryNumber(query, "after") > revision_)
      return respond({kGone, {}});
    watches_.push_back(
        {QueryValue(query, "prefix"), QueryNumber(query, "after"),
         now + std::chrono::milliseconds(QueryNumber(query, "waitMs")),
         std::move(respond)});
    return CompleteWatches(now);
  }
  if (method == "POST" && path == "/kv-txn") {
    respond(ApplyTransaction(body));
  } else if (method == "POST" && path == "/kv-lease") {
    respond(OpenLease(now, body));
  } else if (method == "POST" && StartsWith(path, "/kv-keep/")) {
    const auto lease = leases_.find(lease_id);
    if (lease == leases_.end())
      return respond({kNotFound, {}});
    lease->second.expires_at = now + lease->second.time_to_live;
    respond({200,
             {{"ttlS_time",
               std::chrono::duration<double>(lease->second.time_to_live)
                   .count()}}});
  } else if (method == "DELETE" && StartsWith(path, "/kv-lease-end/")) {
    EndLease(lease_id);
    respond({200, {}});
  } else {
    respond({kNotFound, {}});
  }
  CompleteWatches(now);
}

void EmulatedStore::CompleteWatches(Instant now) {
  std::vector<PendingWatch> pending = std::move(watches_);
  watches_.clear();
  for (PendingWatch& watch : pending) {
    json events = EventsAfter(watch.prefix, watch.after_revision);
    if (events.empty() && now < watch.deadline) {
      watches_.push_back(std::move(watch));
      continue;
    }
    watch.respond({200, {{"events", events}, {"currentRev", revision_}}});
  }
}

void EmulatedStore::Tick(Instant now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now)
      expired.push_back(id);
  }
  for (const std::uint64_t id : expired)
    EndLease(id);
  CompleteWatches(now);
  if (copies_.empty() || now - copies_.back().at >= kCopyInterval)
    copies_.push_back({now, items_, revision_});
  if (copies_.size() > kMaxCopies)
    copies_.pop_front();
}

void EmulatedStore::EndAllLeases() {
  while (!leases_.empty())
    EndLease(leases_.begin()->first);
}

void EmulatedStore::Restore(Instant now, Duration age) {
  while (copies_.size() > 1 && copies_.back().at > now - age)
    copies_.pop_back();
  if (!copies_.empty()) {
    items_ = copies_.back().items;
    revision_ = copies_.back().revision;
  }
  std::erase_if(items_,
                [](const auto& each) { return each.second.lease != 0; });
  leases_.clear();
  ++era_;
  Compact();
}

void EmulatedStore::Compact() {
  history_.clear();
  compacted_revision_ = revision_;
  std::vector<PendingWatch> pending = std::move(watches_);
  watches_.clear();
  for (PendingWatch& watch : pending)
    watch.respond({kGone, {}});
}

}  // namespace figstall::detail
