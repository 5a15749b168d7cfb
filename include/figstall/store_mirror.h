// A copy of what was read of the store, by key, with deletions remembered, so
// that news from several sources can arrive in any order and be told on.
#ifndef FIGSTALL_STORE_MIRROR_H_
#define FIGSTALL_STORE_MIRROR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figstall {

using Revision = std::uint64_t;

struct StoreItem {
  std::string key;
  std::string value;
  // Of the last change, or of the deletion.
  Revision revision = 0;
  bool deleted = false;

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// What changed after a revision.
struct MirrorChanges {
  std::vector<StoreItem> items;
  // Deletions that long ago were forgotten: keys that are not among the items
  // do not exist.
  bool complete = false;
};

// The items without those that another one of the same key supersedes. What is
// told on then starts from what listeners have.
std::vector<StoreItem> NewestOfEachKey(const std::vector<StoreItem>& items);

class StoreMirror {
 public:
  // False if something as new was known of the key.
  bool Put(const StoreItem& item);
  // Null if nothing is known of the key; deleted items are known.
  const StoreItem* Find(const std::string& key) const;
  // Deletions of what is known, older than `revision` and not among `items`,
  // which are all that there was below `prefix` at `revision`.
  std::vector<StoreItem> InferDeletions(const std::vector<StoreItem>& items,
                                        const std::string& prefix,
                                        Revision revision) const;
  MirrorChanges ChangesSince(Revision revision) const;

 private:
  void DropOldDeletions();

  // Deleted items stay as such until they are dropped.
  std::map<std::string, StoreItem> items_;
  std::size_t deleted_ = 0;
  // Deletions up to here may have been dropped.
  Revision dropped_ = 0;
};

}  // namespace figstall

#endif  // FIGSTALL_STORE_MIRROR_H_
