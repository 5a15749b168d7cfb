// Keeps a copy of the store by key. Deletions are remembered, so that updates
// from several sources can arrive in any order and be passed on to subscribers.
#ifndef FIGSTALL_STORE_MIRROR_H_
#define FIGSTALL_STORE_MIRROR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "figstall/revision.h"

namespace figstall {

struct StoreItem {
  std::string key;
  std::string value;
  // Revision of the last change, or of the deletion.
  Revision revision = 0;
  bool deleted = false;

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// The changes after a revision.
struct MirrorChanges {
  std::vector<StoreItem> items;
  // True if the items are a snapshot: keys that are not among them do not
  // exist at its cursor. It replaces changes when deletions since the revision
  // may be missing, and when the revision is zero.
  bool complete = false;
};

// Returns the items without those that a newer one of the same key supersedes.
// Deltas made for the result thus have a base that subscribers hold.
std::vector<StoreItem> NewestOfEachKey(const std::vector<StoreItem>& items);

class StoreMirror {
 public:
  // Stores the item. Returns false, and changes nothing, if the key is known at
  // the same or a newer revision, or a snapshot told what it was later.
  bool Put(const StoreItem& item);
  // Put() takes only later revisions of the key.
  Revision KnownThrough(const std::string& key) const;
  // Null if the key is unknown. Remembered deletions are found as items.
  const StoreItem* Find(const std::string& key) const;
  // `items` is a snapshot of all keys below `prefix` at `revision`. Returns
  // deletions of the known keys below `prefix` that are older than `revision`
  // and not in the snapshot.
  std::vector<StoreItem> InferDeletions(const std::vector<StoreItem>& items,
                                        const std::string& prefix,
                                        Revision revision) const;
  // The items that were put, last those of a snapshot, are all that existed at
  // `revision`. Which keys were deleted before it is not known.
  void OnSnapshot(Revision revision);
  // Deletions up to `revision` may be unknown.
  void OnDeletionsMissed(Revision revision);
  Revision deletions_from() const { return dropped_through_; }
  // `cursor` is the revision up to which the mirror has all changes. It may
  // have later ones.
  MirrorChanges ChangesSince(Revision revision, Revision cursor) const;

 private:
  void DropOldDeletions();

  // Deleted items stay, marked as deleted, until they are dropped.
  std::map<std::string, StoreItem> items_;
  std::size_t deletion_count_ = 0;
  // The items are those that existed at this revision, and later changes.
  Revision snapshot_through_ = 0;
  // Deletions up to this revision may have been dropped or never known.
  Revision dropped_through_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_STORE_MIRROR_H_
