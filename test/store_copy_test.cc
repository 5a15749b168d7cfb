// StoreCopy: copies that follow the store and one another, while members are
// started again, are cut off, read everything anew and change their publishers.
#include "figstall/store_copy.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "iteration_factor.h"

namespace figstall {
namespace {

constexpr int kMembers = 5;
constexpr int kKeys = 6;
constexpr int kStepsPerRun = 400;
// FIGSTALL_WALKS multiplies it for a longer search.
constexpr int kRuns = 200;
// Long enough to be published as a delta.
constexpr std::size_t kLongValueBytes = 2100;

// What matters of a value; the rest changes without telling anything new.
std::string Relevant(const StoreItem& item) {
  return item.deleted ? "deleted" : item.value.substr(0, item.value.find('#'));
}

// The platform's store: all changes, of which it may have dropped the oldest.
class ModelStore {
 public:
  void Change(std::mt19937& random) {
    StoreItem item;
    item.key = Key(random() % kKeys);
    item.revision = ++revision_;
    item.deleted = random() % 3 == 0 && current_.contains(item.key);
    if (item.deleted) {
      current_.erase(item.key);
    } else {
      item.value = "v" + std::to_string(random() % 3) + "#" +
                   std::to_string(item.revision);
      if (item.key == Key(0))
        item.value += "}" + std::string(kLongValueBytes, 'x');
      current_[item.key] = item;
    }
    history_.push_back(item);
  }
  void DropHistory() { dropped_through_ = revision_; }

  static std::string Key(std::size_t number) {
    return (number % 2 == 0 ? "members/" : "targets/") + std::to_string(number);
  }
  Revision revision() const { return revision_; }
  bool HasHistorySince(Revision revision) const {
    return revision >= dropped_through_;
  }
  std::vector<StoreItem> Events(Revision after) const {
    std::vector<StoreItem> events;
    for (const StoreItem& item : history_) {
      if (item.revision > after)
        events.push_back(item);
    }
    return events;
  }
  // The keys below `prefix` as of a revision.
  StoreSection Read(const std::string& prefix, Revision as_of) const {
    std::map<std::string, StoreItem> items;
    for (const StoreItem& item : history_) {
      if (item.revision <= as_of && item.key.starts_with(prefix))
        items[item.key] = item;
    }
    StoreSection section{prefix, false, {}, as_of};
    for (const auto& [key, item] : items) {
      if (!item.deleted)
        section.items.push_back(item);
    }
    return section;
  }
  // What the key told at `since` and at any time later.
  std::set<std::string> RelevantSince(const std::string& key,
                                      Revision since) const {
    std::set<std::string> values;
    std::string at_start = "deleted";
    for (const StoreItem& item : history_) {
      if (item.key != key)
        continue;
      if (item.revision <= since)
        at_start = Relevant(item);
      else
        values.insert(Relevant(item));
    }
    values.insert(at_start);
    return values;
  }

 private:
  std::vector<StoreItem> history_;
  std::map<std::string, StoreItem> current_;
  Revision revision_ = 1;
  Revision dropped_through_ = 0;
};

struct Member {
  std::unique_ptr<StoreCopy> copy;
  std::map<std::string, std::string> view;
  // The member that it subscribes to, and what has not arrived yet.
  std::optional<std::size_t> publisher;
  std::deque<RelayUpdate> in_flight;
  // Revision after which a watch waits for events.
  std::optional<Revision> watch;
  bool has_read = false;
};

// Members of which each may watch the store, read it and follow another one.
class RelayModel {
 public:
  explicit RelayModel(std::uint32_t seed) : random_(seed), members_(kMembers) {
    for (std::size_t member = 0; member < kMembers; ++member)
      Start(member);
  }

  void Step() {
    const std::size_t chosen = random_() % kMembers;
    Member& member = members_[chosen];
    switch (random_() % 16) {
      case 0:
        return Start(chosen);
      case 1:
        return Read(member);
      case 2:
        return Subscribe(chosen);
      case 3:
        return store_.DropHistory();
      case 4:
        // The member watches for itself, whether or not it follows another one.
        member.watch = member.copy->cursor();
        return;
      case 5:
      case 6:
        return AnswerWatch(member);
      case 7:
        return Poll(member);
      case 8:
        member.publisher.reset();
        member.in_flight.clear();
        return;
      case 9:
      case 10:
      case 11:
        return store_.Change(random_);
      default:
        return Deliver(chosen);
    }
  }

  // Returns a key of which a copy has a state from before its cursor.
  std::string FindMissingChange() const {
    for (const Member& member : members_) {
      for (std::size_t number = 0; number < kKeys; ++number) {
        const std::string key = ModelStore::Key(number);
        const Revision cursor = member.copy->cursor();
        const StoreItem* known = member.copy->Find(key);
        const std::string relevant = known ? Relevant(*known) : "deleted";
        if (cursor > 0 && !store_.RelevantSince(key, cursor).contains(relevant))
          return fmt::format("{} is {}, cursor {}", key, relevant, cursor);
      }
    }
    return "";
  }

 private:
  void Start(std::size_t number) {
    Member& member = members_[number];
    member = Member{};
    StoreCopy::Handlers handlers;
    handlers.apply = [this, number](const StoreItem& item, bool) {
      std::string& known = members_[number].view[item.key];
      const bool changed = known != Relevant(item);
      known = Relevant(item);
      // All changes but those of a target's heartbeat matter to others.
      return changed || item.deleted || !item.key.starts_with("targets/")
                 ? ItemOutcome::kChanged
                 : ItemOutcome::kUnchanged;
    };
    handlers.has_subscribers = [] { return true; };
    handlers.publish = [this, number](const RelayUpdate& update) {
      for (Member& subscriber : members_) {
        if (subscriber.publisher == number)
          subscriber.in_flight.push_back(update);
      }
    };
    handlers.on_gap = [](const ItemDelta&, Revision) {};
    member.copy = std::make_unique<StoreCopy>(std::move(handlers));
    for (Member& subscriber : members_) {
      if (subscriber.publisher == number) {
        subscriber.publisher.reset();
        subscriber.in_flight.clear();
      }
    }
  }

  // Members' keys as they are, the others as they were a moment ago, as after a
  // start; or all keys; or members' keys alone.
  void Read(Member& member) {
    const Revision now = store_.revision();
    const Revision stale = std::max<Revision>(
        member.copy->cursor(), now - std::min<Revision>(now, random_() % 4));
    const unsigned scope = member.has_read ? random_() % 3 : 0;
    if (scope == 0)
      member.copy->ApplyRead({store_.Read("members/", now),
                              store_.Read("targets/", std::min(now, stale))},
                             /*covers_all_keys=*/true);
    else if (scope == 1)
      member.copy->ApplyRead({store_.Read("", now)}, /*covers_all_keys=*/true);
    else
      member.copy->ApplyRead({store_.Read("members/", now)},
                             /*covers_all_keys=*/false);
    member.has_read = true;
  }

  void AnswerWatch(Member& member) {
    if (!member.watch || !member.has_read)
      return;
    const Revision after = *member.watch;
    member.watch.reset();
    if (store_.HasHistorySince(after))
      member.copy->ApplyChanges(store_.Events(after), store_.revision());
    else
      Read(member);
  }

  void Subscribe(std::size_t number) {
    Member& member = members_[number];
    if (!member.has_read)
      return;
    member.publisher = (number + 1 + random_() % (kMembers - 1)) % kMembers;
    // The answer is the first message of a new connection.
    member.in_flight = {members_[*member.publisher].copy->ChangesSince(
        member.copy->SubscribeFrom())};
    member.copy->OnSubscribed();
  }

  void Poll(Member& member) {
    if (!member.publisher)
      return;
    member.in_flight.push_back(members_[*member.publisher].copy->Position());
  }

  void Deliver(std::size_t number) {
    Member& member = members_[number];
    if (member.in_flight.empty())
      return;
    const RelayUpdate update = member.in_flight.front();
    member.in_flight.pop_front();
    if (!member.copy->ApplyRelayUpdate(update)) {
      member.publisher.reset();
      member.in_flight.clear();
    }
  }

  std::mt19937 random_;
  ModelStore store_;
  std::vector<Member> members_;
};

// A copy whose items all matter to other members, and what it published.
struct RecordingCopy {
  std::vector<RelayUpdate> published;
  std::map<std::string, std::string> view;
  StoreCopy copy{
      {[this](const StoreItem& item, bool) {
         std::string& known = view[item.key];
         const bool changed = known != Relevant(item);
         known = Relevant(item);
         return changed ? ItemOutcome::kChanged : ItemOutcome::kUnchanged;
       },
       [] { return true; },
       [this](const RelayUpdate& update) { published.push_back(update); },
       [](const ItemDelta&, Revision) {}}};

  bool Has(const std::string& key) const {
    const StoreItem* item = copy.Find(key);
    return item && !item->deleted;
  }
  void Follow(RecordingCopy& publisher) {
    REQUIRE(copy.ApplyRelayUpdate(
        publisher.copy.ChangesSince(copy.SubscribeFrom())));
  }
  // Subscribes again if updates are missing.
  void Receive(RecordingCopy& publisher, const RelayUpdate& update) {
    if (copy.ApplyRelayUpdate(update))
      return;
    copy.OnSubscribed();
    Follow(publisher);
  }
};

const StoreItem kTarget{"targets/a", "ready", 10, false};

}  // namespace

// Guards against a subscriber that keeps the entry of a target that left while
// its publisher, started again, had not read the store yet.
TEST_CASE("a copy that follows a member from before its first reading") {
  RecordingCopy publisher;
  RecordingCopy subscriber;
  subscriber.copy.ApplyRead({{"", false, {kTarget}, 20}}, true);
  subscriber.copy.OnSubscribed();
  subscriber.Follow(publisher);
  // The entry was removed at 25.
  publisher.copy.ApplyRead(
      {{"", false, {{"targets/b", "ready", 27, false}}, 30}}, true);
  REQUIRE(publisher.published.size() == 1);
  subscriber.Receive(publisher, publisher.published.front());
  CHECK(subscriber.copy.cursor() == 30);
  CHECK(subscriber.Has("targets/b"));
  CHECK_FALSE(subscriber.Has("targets/a"));
}

// Guards against a subscriber that keeps the entry of a target that its
// publisher never knew, since it was behind and then read everything anew.
TEST_CASE("a copy that is ahead of a member that reads everything anew") {
  RecordingCopy publisher;
  publisher.copy.ApplyRead({{"", false, {}, 5}}, true);
  RecordingCopy subscriber;
  subscriber.copy.ApplyRead({{"", false, {kTarget}, 20}}, true);
  subscriber.copy.OnSubscribed();
  subscriber.Follow(publisher);
  publisher.copy.ApplyRead(
      {{"", false, {{"targets/b", "ready", 27, false}}, 30}}, true);
  subscriber.Receive(publisher, publisher.published.back());
  CHECK(subscriber.copy.cursor() == 30);
  CHECK_FALSE(subscriber.Has("targets/a"));
}

// Guards against a subscriber that lacks a target whose entry expired and came
// back: it heard of the removal itself, its publisher of both together.
TEST_CASE("a copy that is ahead of a member that publishes no change") {
  RecordingCopy publisher;
  publisher.copy.ApplyRead({{"", false, {kTarget}, 15}}, true);
  RecordingCopy subscriber;
  subscriber.copy.ApplyRead({{"", false, {kTarget}, 15}}, true);
  subscriber.copy.OnSubscribed();
  subscriber.Follow(publisher);
  const StoreItem removed{"targets/a", "", 20, true};
  subscriber.copy.ApplyChanges({removed}, 20);
  publisher.published.clear();
  publisher.copy.ApplyChanges({removed, {"targets/a", "ready", 25, false}}, 25);
  REQUIRE(publisher.published.empty());
  subscriber.Receive(publisher, publisher.copy.Position());
  CHECK(subscriber.copy.cursor() == 25);
  CHECK(subscriber.Has("targets/a"));
}

// Guards against a copy that takes itself for current without a change, such as
// the entry of a target that left (DRAIN 17 on caroni-gateway-grown): the
// publisher was started again, or was behind and read the store anew.
TEST_CASE("a copy has every change up to its cursor in random runs") {
  for (int seed = 1; seed <= kRuns * IterationFactor("FIGSTALL_WALKS");
       ++seed) {
    RelayModel model(static_cast<std::uint32_t>(seed));
    for (int step = 0; step < kStepsPerRun; ++step) {
      model.Step();
      const std::string missing = model.FindMissingChange();
      INFO("seed " << seed << ", step " << step << ": " << missing);
      REQUIRE(missing.empty());
    }
  }
}

// Guards against CONFIG: a store that was restored from an older copy gives out
// its revisions again, and a copy took its changes for old ones.
TEST_CASE("a copy follows a store whose revisions went back in a new era") {
  RecordingCopy publisher;
  publisher.copy.ApplyRead(
      {{"",
        false,
        {{"op/config", "v9", MakeRevision(1, 90), false}, kTarget},
        MakeRevision(1, 100)}},
      true);
  RecordingCopy subscriber;
  subscriber.copy.OnSubscribed();
  subscriber.Follow(publisher);
  CHECK(subscriber.Has("targets/a"));
  publisher.copy.ApplyRead({{"",
                             false,
                             {{"op/config", "v7", MakeRevision(2, 70), false}},
                             MakeRevision(2, 80)}},
                           true);
  publisher.copy.ApplyChanges(
      {{"op/config", "v10", MakeRevision(2, 81), false}}, MakeRevision(2, 81));
  for (const RelayUpdate& update : publisher.published)
    subscriber.Receive(publisher, update);
  // Late news of the earlier era change nothing.
  subscriber.copy.ApplyChanges(
      {{"op/config", "v9", MakeRevision(1, 99), false}}, MakeRevision(1, 99));
  CHECK(subscriber.copy.cursor() == MakeRevision(2, 81));
  CHECK(subscriber.copy.Find("op/config")->value == "v10");
  CHECK_FALSE(subscriber.Has("targets/a"));
}

namespace {

// A copy whose items are versions of one document, of which "bad" ones cannot
// be used.
struct VersionedCopy {
  std::vector<std::string> decoded;
  std::string in_force;
  std::vector<RelayUpdate> published;
  StoreCopy copy{
      {[this](const StoreItem& item, bool same_value) {
         const std::string name = item.value.substr(0, item.value.find('x'));
         if (same_value)
           return ItemOutcome::kChanged;
         decoded.push_back(name);
         if (item.value.starts_with("bad"))
           return ItemOutcome::kRefused;
         in_force = name;
         return ItemOutcome::kChanged;
       },
       [] { return true; },
       [this](const RelayUpdate& update) { published.push_back(update); },
       [](const ItemDelta&, Revision) {}}};
};

StoreItem Version(Revision revision, const std::string& value) {
  return {"document", value, revision, false};
}

}  // namespace

// Guards against a loop that stands still over versions that a newer one, which
// arrived with them, replaces.
TEST_CASE("of several versions that arrive together the newest is decoded") {
  VersionedCopy member;
  SECTION("in the answer to a watch") {
    member.copy.ApplyChanges(
        {Version(3, "v3"), Version(4, "v4"), Version(5, "v5")}, 5);
  }
  SECTION("in an update of another member") {
    RelayUpdate update;
    update.items = {Version(4, "v4"), Version(5, "v5"), Version(3, "v3")};
    update.cursor = 5;
    REQUIRE(member.copy.ApplyRelayUpdate(update));
  }
  SECTION("in two sections of a reading") {
    member.copy.ApplyRead({{"", false, {Version(3, "v3")}, 3},
                           {"doc", true, {Version(5, "v5")}, 5}},
                          /*covers_all_keys=*/true);
  }
  CHECK(member.decoded == std::vector<std::string>{"v5"});
  CHECK(member.in_force == "v5");
}

// Guards against a member that stays behind the others, since the newest of the
// versions that arrived together can't be used.
TEST_CASE("a version is used if the newer ones with it are refused") {
  VersionedCopy publisher;
  VersionedCopy subscriber;
  const std::string long_value(kLongValueBytes, 'x');
  for (VersionedCopy* each : {&publisher, &subscriber})
    each->copy.ApplyRead({{"", false, {Version(2, "v2" + long_value)}, 2}},
                         /*covers_all_keys=*/true);
  publisher.published.clear();
  publisher.decoded.clear();
  publisher.copy.ApplyChanges(
      {Version(3, "v3" + long_value), Version(4, "v4" + long_value),
       Version(5, "bad" + long_value), Version(6, "bad" + long_value)},
      6);
  CHECK(publisher.in_force == "v4");
  CHECK(publisher.decoded == std::vector<std::string>{"bad", "bad", "v4"});
  CHECK(publisher.copy.Find("document")->revision == 6);
  REQUIRE(publisher.published.size() == 1);
  REQUIRE(subscriber.copy.ApplyRelayUpdate(publisher.published.front()));
  CHECK(subscriber.in_force == "v4");
  CHECK(subscriber.copy.Find("document")->revision == 6);
  // What was known before is not used anew.
  publisher.decoded.clear();
  publisher.copy.ApplyChanges(
      {Version(4, "v4" + long_value), Version(7, "bad" + long_value)}, 7);
  CHECK(publisher.decoded == std::vector<std::string>{"bad"});
}

// Guards against a loop that stands still after the store came back, over
// values that did not change.
TEST_CASE("a value that is read anew in a new era is not decoded again") {
  VersionedCopy member;
  const auto read = [&](const std::string& value, Revision revision) {
    member.decoded.clear();
    member.copy.ApplyRead({{"", false, {Version(revision, value)}, revision}},
                          /*covers_all_keys=*/true);
  };
  const std::vector<std::string> nothing;
  read("v2", MakeRevision(1, 50));
  read("v2", MakeRevision(2, 40));
  CHECK(member.decoded == nothing);
  CHECK(member.copy.Find("document")->revision == MakeRevision(2, 40));
  REQUIRE(member.published.size() == 2);
  read("v3", MakeRevision(3, 40));
  CHECK(member.decoded == std::vector<std::string>{"v3"});
  // A refused value is refused anew, so that an older one with it is used.
  read("bad", MakeRevision(4, 40));
  member.copy.ApplyChanges(
      {Version(MakeRevision(4, 41), "v4"), Version(MakeRevision(4, 42), "bad")},
      MakeRevision(4, 42));
  CHECK(member.in_force == "v4");
  // Nor is it known after the key was removed.
  read("v4", MakeRevision(5, 40));
  member.decoded.clear();
  member.copy.ApplyChanges({{"document", "", MakeRevision(5, 41), true}},
                           MakeRevision(5, 41));
  read("v4", MakeRevision(5, 42));
  CHECK(member.decoded == std::vector<std::string>{"v4"});
}

}  // namespace figstall
