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
  for (const StoreSection& section : sections) {
    const auto deletions =
        mirror_.InferDeletions(section.items, section.prefix, section.revision);
    items.insert(items.end(), deletions.begin(), deletions.end());
    items.insert(items.end(), section.items.begin(), section.items.end());
    cursor = std::min(cursor, section.revision);
  }
  // A part of the keys brings the copy up to no revision. Changes after the
  // cursor follow one by one, also deletions.
  const Revision complete_until = covers_all_keys ? cursor : 0;
  mirror_.OnSnapshot(complete_until);
  ApplyChanges(items, complete_until);
}

void StoreCopy::ApplyChanges(const std::vector<StoreItem>& items,
                             Revision cursor) {
  RelayUpdate update;
  for (const StoreItem& item : NewestOfEachKey(items)) {
    std::optional<ItemDelta> delta = MakeItemDelta(item);
    if (!mirror_.Put(item) || !handlers_.apply(item))
      continue;
    if (delta)
      update.deltas.push_back(std::move(*delta));
    else
      update.items.push_back(item);
  }
  cursor_ = std::max(cursor_, cursor);
  // An advanced cursor alone is not published; subscribers get it when they
  // poll.
  if (update.items.empty() && update.deltas.empty())
    return;
  update.cursor = cursor_;
  handlers_.publish(update);
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

bool StoreCopy::ApplyRelayUpdate(const RelayUpdate& update) {
  std::vector<StoreItem> items = update.items;
  bool all_expanded = true;
  for (const ItemDelta& delta : update.deltas)
    all_expanded = ExpandDelta(delta, items) && all_expanded;
  if (!all_expanded) {
    // Subscribing again from an earlier revision makes the publisher send the
    // missing items in full.
    ApplyChanges(items, 0);
    return false;
  }
  if (update.complete)
    ApplyRead({{"", false, items, update.cursor}}, /*covers_all_keys=*/true);
  else
    ApplyChanges(items, update.cursor);
  return true;
}

RelayUpdate StoreCopy::ChangesSince(Revision revision) const {
  MirrorChanges changes = mirror_.ChangesSince(revision);
  RelayUpdate update;
  update.items = std::move(changes.items);
  update.complete = changes.complete;
  update.cursor = cursor_;
  return update;
}

}  // namespace figstall
