// Implements the copy of the store.
#include "figstall/store_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace figstall {
namespace {

// Deletions that are remembered, so that a late word of an older value does not
// bring it back.
constexpr std::size_t kMostDeletions = 4096;

}  // namespace

std::vector<StoreItem> NewestOfEachKey(const std::vector<StoreItem>& items) {
  std::map<std::string_view, Revision> newest;
  for (const StoreItem& item : items) {
    Revision& revision = newest[item.key];
    revision = std::max(revision, item.revision);
  }
  std::vector<StoreItem> kept;
  for (const StoreItem& item : items) {
    if (item.revision == newest.at(item.key))
      kept.push_back(item);
  }
  return kept;
}

bool StoreMirror::Put(const StoreItem& item) {
  StoreItem& known = items_[item.key];
  if (item.revision <= known.revision)
    return false;
  if (item.deleted && !known.deleted)
    ++deleted_;
  if (!item.deleted && known.deleted)
    --deleted_;
  known = item;
  if (deleted_ > kMostDeletions)
    DropOldDeletions();
  return true;
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
  const auto middle =
      revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  dropped_ = std::max(dropped_, *middle);
  deleted_ -= std::erase_if(items_, [this](const auto& each) {
    return each.second.deleted && each.second.revision <= dropped_;
  });
}

std::vector<StoreItem> StoreMirror::InferDeletions(
    const std::vector<StoreItem>& items,
    const std::string& prefix,
    Revision revision) const {
  std::set<std::string> present;
  for (const StoreItem& item : items)
    present.insert(item.key);
  std::vector<StoreItem> gone;
  for (const auto& [key, item] : items_) {
    if (!item.deleted && item.revision < revision && key.starts_with(prefix) &&
        !present.contains(key))
      gone.push_back({key, "", revision, true});
  }
  return gone;
}

MirrorChanges StoreMirror::ChangesSince(Revision revision) const {
  MirrorChanges changes;
  changes.complete = revision < dropped_ || revision == 0;
  for (const auto& [key, item] : items_) {
    const bool wanted =
        changes.complete ? !item.deleted : item.revision > revision;
    if (wanted)
      changes.items.push_back(item);
  }
  return changes;
}

}  // namespace figstall
