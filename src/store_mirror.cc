// A map of the newest item of each key, with a bounded number of tombstones for
// deleted keys. A subscriber whose revision is older than a dropped tombstone
// receives the complete copy.
#include "figstall/store_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace figstall {
namespace {

// Number of deletions that are remembered, so that a late update with an older
// value does not restore the key. Beyond it the older half is dropped.
constexpr std::size_t kMaxDeletions = 4096;

}  // namespace

std::vector<StoreItem> NewestOfEachKey(const std::vector<StoreItem>& items) {
  std::map<std::string_view, Revision> newest_revisions;
  for (const StoreItem& item : items) {
    Revision& revision = newest_revisions[item.key];
    revision = std::max(revision, item.revision);
  }
  std::vector<StoreItem> newest_items;
  for (const StoreItem& item : items) {
    if (item.revision == newest_revisions.at(item.key))
      newest_items.push_back(item);
  }
  return newest_items;
}

bool StoreMirror::Put(const StoreItem& item) {
  if (item.revision <= snapshot_through_)
    return false;
  StoreItem& known = items_[item.key];
  if (item.revision <= known.revision)
    return false;
  if (item.deleted && !known.deleted)
    ++deletion_count_;
  if (!item.deleted && known.deleted)
    --deletion_count_;
  known = item;
  if (deletion_count_ > kMaxDeletions)
    DropOldDeletions();
  return true;
}

Revision StoreMirror::KnownThrough(const std::string& key) const {
  const StoreItem* known = Find(key);
  return std::max(snapshot_through_, known ? known->revision : 0);
}

const StoreItem* StoreMirror::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

void StoreMirror::DropOldDeletions() {
  std::vector<Revision> revisions;
  for (const auto& [key, item] : items_) {
    if (item.deleted)
      revisions.push_back(item.revision);
  }
  const auto median =
      revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), median, revisions.end());
  dropped_through_ = std::max(dropped_through_, *median);
  deletion_count_ -= std::erase_if(items_, [this](const auto& entry) {
    return entry.second.deleted && entry.second.revision <= dropped_through_;
  });
}

std::vector<StoreItem> StoreMirror::InferDeletions(
    const std::vector<StoreItem>& items,
    const std::string& prefix,
    Revision revision) const {
  std::set<std::string> present_keys;
  for (const StoreItem& item : items)
    present_keys.insert(item.key);
  std::vector<StoreItem> deletions;
  for (const auto& [key, item] : items_) {
    if (!item.deleted && item.revision < revision && key.starts_with(prefix) &&
        !present_keys.contains(key))
      deletions.push_back({key, "", revision, true});
  }
  return deletions;
}

void StoreMirror::OnSnapshot(Revision revision) {
  snapshot_through_ = std::max(snapshot_through_, revision);
  OnDeletionsMissed(revision);
}

void StoreMirror::OnDeletionsMissed(Revision revision) {
  dropped_through_ = std::max(dropped_through_, revision);
}

MirrorChanges StoreMirror::ChangesSince(Revision revision,
                                        Revision cursor) const {
  MirrorChanges changes;
  changes.complete = revision < dropped_through_ || revision == 0;
  for (const auto& [key, item] : items_) {
    const bool included = changes.complete
                              ? !item.deleted || item.revision > cursor
                              : item.revision > revision;
    if (included)
      changes.items.push_back(item);
  }
  return changes;
}

}  // namespace figstall
