// A member's copy of the store, kept current by readings, by watches and by
// updates of another member's copy, and published to the members that subscribe
// to it. Performs no I/O.
#ifndef FIGSTALL_STORE_COPY_H_
#define FIGSTALL_STORE_COPY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figstall/store_mirror.h"
#include "figstall/text_delta.h"
#include "figstall/types.h"

namespace figstall {

// A change of a long value, for subscribers that hold it at revision `base`.
struct ItemDelta {
  std::string key;
  Revision revision = 0;
  Revision base = 0;
  std::vector<DeltaPart> parts;

  friend bool operator==(const ItemDelta&, const ItemDelta&) = default;
};

struct RelayUpdate {
  std::vector<StoreItem> items;
  std::vector<ItemDelta> deltas;
  // All changes up to this revision have been published; zero makes no such
  // statement.
  Revision cursor = 0;
  // The publisher knows the deletions after this revision. Keys that were
  // deleted before may be missing from its copy without a trace.
  Revision deletions_from = 0;
  // Time since the publisher's copy was last confirmed as current; empty if it
  // never was.
  std::optional<Duration> age;
  // The poll that this update answers; zero for an update that answers none.
  std::uint32_t poll_id = 0;
  // True for a snapshot: keys that are not among the items do not exist.
  bool complete = false;

  friend bool operator==(const RelayUpdate&, const RelayUpdate&) = default;
};

// What the store returned for the keys below a prefix.
struct StoreSection {
  std::string prefix;
  // The read may return an old state, as of `revision`.
  bool allow_stale = false;
  std::vector<StoreItem> items;
  // Store revision of the section's first page.
  Revision revision = 0;
};

enum class ItemOutcome {
  kChanged,
  // Changes nothing that other members need.
  kUnchanged,
  // Cannot be used. An older item of the same key may still be.
  kRefused,
};

class StoreCopy {
 public:
  struct Handlers {
    // Takes an item that is newer than the copy's. An older one follows if the
    // newest that arrived is refused. `same_value` tells that the key's last
    // item was not refused and had the same value.
    std::function<ItemOutcome(const StoreItem&, bool same_value)> apply;
    std::function<bool()> has_subscribers;
    std::function<void(const RelayUpdate&)> publish;
    // The base revision of `delta` is not the one that the copy has, `known`.
    std::function<void(const ItemDelta& delta, Revision known)> on_gap;
  };

  explicit StoreCopy(Handlers handlers) : handlers_(std::move(handlers)) {}

  // The copy has all changes up to this revision that change something.
  Revision cursor() const { return cursor_; }
  const StoreItem* Find(const std::string& key) const {
    return mirror_.Find(key);
  }

  // With the items the copy has all changes up to `cursor`; zero makes no such
  // statement.
  void ApplyChanges(const std::vector<StoreItem>& items, Revision cursor);
  // A reading of the store. `covers_all_keys` is true if its sections together
  // hold all keys.
  void ApplyRead(const std::vector<StoreSection>& sections,
                 bool covers_all_keys);

  // The revision from which to subscribe to another member's copy.
  Revision SubscribeFrom() const { return resubscribe_from_.value_or(cursor_); }
  // This member has subscribed from SubscribeFrom(). The next update is the
  // publisher's answer.
  void OnSubscribed();
  // Returns false if updates are missing and this member has to subscribe
  // again.
  [[nodiscard]] bool ApplyRelayUpdate(const RelayUpdate& update);

  // An update without changes, the answer to a poll.
  RelayUpdate Position() const;
  // The answer to a subscription.
  RelayUpdate ChangesSince(Revision revision) const;

 private:
  void Apply(const std::vector<StoreItem>& items, Revision cursor);
  // Applies the newest usable one of the items of the key of `refused` that are
  // older than it and newer than `known_through`. Returns null if there is
  // none.
  const StoreItem* ApplyOlder(const std::vector<StoreItem>& items,
                              const StoreItem& refused,
                              Revision known_through);
  // A publisher publishes what changes its own copy. That brings this copy up
  // to the update's cursor only if it had nothing that the publisher's copy
  // lacked before: the publisher may not know that such a key was deleted
  // since.
  bool MayLackChanges(const RelayUpdate& update) const;
  // Returns the change of a long value as a delta from the copy's value, or
  // nullopt if the item is to be published in full.
  std::optional<ItemDelta> MakeItemDelta(const StoreItem& item) const;
  // Appends the item that results from `delta`, unless the copy already has
  // that revision or a newer one. Returns false if the copy does not have the
  // base revision of `delta`.
  bool ExpandDelta(const ItemDelta& delta, std::vector<StoreItem>& items);

  // Whether the copy has the item's value already and it was not refused.
  bool HasUsableValue(const StoreItem& item) const;

  const Handlers handlers_;
  StoreMirror mirror_;
  // Keys whose newest item was refused.
  std::set<std::string> refused_keys_;
  Revision cursor_ = 0;
  // Newest section of a reading of all keys. Keys that were deleted up to it
  // may be missing from the copy without a trace.
  Revision consistent_from_ = 0;
  // Newest revision of any item, also beyond the cursor.
  Revision newest_ = 0;
  // Changes up to this revision may be in the copy that did not come from the
  // publisher.
  Revision ahead_through_ = 0;
  std::optional<Revision> resubscribe_from_;
  // The publisher's cursor in its last update; empty until it has answered the
  // subscription.
  std::optional<Revision> publisher_cursor_;
};

}  // namespace figstall

#endif  // FIGSTALL_STORE_COPY_H_
