// Only the newest item of each key is applied and published, and of a long
// value only what changed.
#include "figstall/store_copy.h"

#include <algorithm>

namespace figstall {
namespace {

// Changes of values of at least this size are published as deltas.
constexpr std::size_t kMinDeltaValueBytes = 2048;

}  // namespace

void StoreCopy::ApplyRead(const std::vector<StoreSection>& sections,
                          bool covers_all_keys) {
  std::vector<StoreItem> items;
  // Continues from the revision of the oldest section, so that no change is
  // missed.
  Revision cursor = sections.front().revision;
  Revision newest = 0;
  for (const StoreSection& section : sections) {
    const auto deletions =
        mirror_.InferDeletions(section.items, section.prefix, section.revision);
    items.insert(items.end(), deletions.begin(), deletions.end());
    items.insert(items.end(), section.items.begin(), section.items.end());
    cursor = std::min(cursor, section.revision);
    newest = std::max(newest, section.revision);
  }
  ahead_through_ = std::max(ahead_through_, newest);
  if (!covers_all_keys) {
    // A part of the keys brings the copy up to no revision. Changes after the
    // cursor follow one by one, also deletions.
    return Apply(items, 0);
  }
  consistent_from_ = std::max(consistent_from_, newest);
  mirror_.OnDeletionsMissed(cursor);
  Apply(items, cursor);
  mirror_.OnSnapshot(cursor);
}

void StoreCopy::ApplyChanges(const std::vector<StoreItem>& items,
                             Revision cursor) {
  ahead_through_ = std::max(ahead_through_, cursor);
  Apply(items, cursor);
}

void StoreCopy::Apply(const std::vector<StoreItem>& items, Revision cursor) {
  RelayUpdate update;
  for (const StoreItem& item : NewestOfEachKey(items)) {
    std::optional<ItemDelta> delta = MakeItemDelta(item);
    newest_ = std::max(newest_, item.revision);
    const Revision known_through = mirror_.KnownThrough(item.key);
    const bool same_value = HasUsableValue(item);
    if (!mirror_.Put(item))
      continue;
    const ItemOutcome outcome = handlers_.apply(item, same_value);
    if (outcome == ItemOutcome::kRefused)
      refused_keys_.insert(item.key);
    else
      refused_keys_.erase(item.key);
    if (outcome == ItemOutcome::kUnchanged)
      continue;
    if (outcome == ItemOutcome::kRefused) {
      const StoreItem* usable = ApplyOlder(items, item, known_through);
      if (usable)
        update.items.push_back(*usable);
    }
    if (delta)
      update.deltas.push_back(std::move(*delta));
    else
      update.items.push_back(item);
  }
  cursor_ = std::max(cursor_, cursor);
  newest_ = std::max(newest_, cursor);
  // An advanced cursor alone is not published; subscribers get it when they
  // poll.
  if (update.items.empty() && update.deltas.empty())
    return;
  const RelayUpdate position = Position();
  update.cursor = position.cursor;
  update.deletions_from = position.deletions_from;
  handlers_.publish(update);
}

bool StoreCopy::HasUsableValue(const StoreItem& item) const {
  const StoreItem* known = mirror_.Find(item.key);
  return known && !known->deleted && !item.deleted &&
         known->value == item.value && !refused_keys_.contains(item.key);
}

const StoreItem* StoreCopy::ApplyOlder(const std::vector<StoreItem>& items,
                                       const StoreItem& refused,
                                       Revision known_through) {
  std::vector<const StoreItem*> older;
  for (const StoreItem& item : items) {
    if (item.key == refused.key && item.revision < refused.revision &&
        item.revision > known_through)
      older.push_back(&item);
  }
  std::sort(older.begin(), older.end(),
            [](const StoreItem* a, const StoreItem* b) {
              return a->revision > b->revision;
            });
  for (const StoreItem* item : older) {
    if (handlers_.apply(*item, /*same_value=*/false) != ItemOutcome::kRefused)
      return item;
  }
  return nullptr;
}

std::optional<ItemDelta> StoreCopy::MakeItemDelta(const StoreItem& item) const {
  if (item.deleted || item.value.size() < kMinDeltaValueBytes ||
      !handlers_.has_subscribers())
    return std::nullopt;
  const StoreItem* known = mirror_.Find(item.key);
  if (!known || known->deleted || known->revision >= item.revision)
    return std::nullopt;
  return ItemDelta{item.key, item.revision, known->revision,
                   MakeDelta(known->value, item.value)};
}

bool StoreCopy::ExpandDelta(const ItemDelta& delta,
                            std::vector<StoreItem>& items) {
  const StoreItem* known = mirror_.Find(delta.key);
  if (known && known->revision >= delta.revision)
    return true;
  std::optional<std::string> value;
  if (known && known->revision == delta.base)
    value = ApplyDelta(known->value, delta.parts);
  if (value) {
    items.push_back({delta.key, std::move(*value), delta.revision, false});
    return true;
  }
  const Revision revision = known ? known->revision : 0;
  handlers_.on_gap(delta, revision);
  resubscribe_from_ = std::min(SubscribeFrom(), revision);
  return false;
}

void StoreCopy::OnSubscribed() {
  resubscribe_from_.reset();
  publisher_cursor_.reset();
  ahead_through_ = newest_;
}

bool StoreCopy::MayLackChanges(const RelayUpdate& update) const {
  return publisher_cursor_ && *publisher_cursor_ < ahead_through_ &&
         update.cursor > cursor_;
}

bool StoreCopy::ApplyRelayUpdate(const RelayUpdate& update) {
  std::vector<StoreItem> items = update.items;
  bool all_expanded = true;
  for (const ItemDelta& delta : update.deltas)
    all_expanded = ExpandDelta(delta, items) && all_expanded;
  if (!all_expanded || MayLackChanges(update)) {
    // The answer to a new subscription has the missing items in full.
    Apply(items, 0);
    return false;
  }
  publisher_cursor_ = update.cursor;
  mirror_.OnDeletionsMissed(update.deletions_from);
  if (update.complete)
    ApplyRead({{"", false, items, update.cursor}}, /*covers_all_keys=*/true);
  else
    Apply(items, update.cursor);
  return true;
}

RelayUpdate StoreCopy::ChangesSince(Revision revision) const {
  MirrorChanges changes = mirror_.ChangesSince(revision, cursor_);
  RelayUpdate update = Position();
  update.items = std::move(changes.items);
  update.complete = changes.complete;
  return update;
}

RelayUpdate StoreCopy::Position() const {
  RelayUpdate position;
  // No cursor while the copy has some keys as of a later revision.
  if (cursor_ >= consistent_from_)
    position.cursor = cursor_;
  position.deletions_from = mirror_.deletions_from();
  return position;
}

}  // namespace figstall
