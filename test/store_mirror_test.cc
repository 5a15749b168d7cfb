// The copy of the store: news in any order, and what is told on.
#include <catch2/catch.hpp>

#include "figstall/store_mirror.h"

namespace figstall {

TEST_CASE("a late word of an older value brings nothing back") {
  StoreMirror mirror;
  CHECK(mirror.Put({"a", "1", 5, false}));
  CHECK(mirror.Put({"a", "", 7, true}));
  CHECK_FALSE(mirror.Put({"a", "1", 5, false}));
  CHECK_FALSE(mirror.Put({"a", "2", 6, false}));
  CHECK(mirror.Put({"a", "3", 8, false}));
}

TEST_CASE("a listener is told deletions after its revision") {
  StoreMirror mirror;
  mirror.Put({"a", "1", 5, false});
  mirror.Put({"b", "1", 6, false});
  mirror.Put({"a", "", 7, true});
  const MirrorChanges changes = mirror.ChangesSince(6);
  CHECK_FALSE(changes.complete);
  CHECK(changes.items == std::vector<StoreItem>{{"a", "", 7, true}});
}

TEST_CASE("a listener that knows nothing is told all that exists") {
  StoreMirror mirror;
  mirror.Put({"a", "1", 5, false});
  mirror.Put({"b", "1", 6, false});
  mirror.Put({"a", "", 7, true});
  const MirrorChanges changes = mirror.ChangesSince(0);
  CHECK(changes.complete);
  CHECK(changes.items == std::vector<StoreItem>{{"b", "1", 6, false}});
}

// Load: umurage scale-2, compaction of the store while a target leaves. A
// reader that read everything anew did not tell its listeners what was missing.
TEST_CASE("what a full reading lacks becomes deletions that can be told on") {
  StoreMirror mirror;
  mirror.Put({"servers/a", "1", 5, false});
  mirror.Put({"servers/b", "1", 6, false});
  mirror.Put({"servers/c", "1", 12, false});
  const auto gone =
      mirror.InferDeletions({{"servers/b", "1", 6, false}}, "", 10);
  CHECK(gone == std::vector<StoreItem>{{"servers/a", "", 10, true}});
  for (const StoreItem& item : gone)
    CHECK(mirror.Put(item));
  CHECK(mirror.ChangesSince(9).items ==
        std::vector<StoreItem>{{"servers/a", "", 10, true},
                               {"servers/c", "1", 12, false}});
}

TEST_CASE("deletions that were forgotten make the next word complete") {
  StoreMirror mirror;
  Revision revision = 0;
  for (int i = 0; i < 5'000; ++i) {
    const std::string key = "k" + std::to_string(i);
    mirror.Put({key, "1", ++revision, false});
    mirror.Put({key, "", ++revision, true});
  }
  mirror.Put({"kept", "1", ++revision, false});
  const MirrorChanges old = mirror.ChangesSince(1);
  CHECK(old.complete);
  CHECK(old.items.size() == 1);
  CHECK_FALSE(mirror.ChangesSince(revision - 2).complete);
}

TEST_CASE("a reading of some keys says nothing of others") {
  StoreMirror mirror;
  mirror.Put({"servers/a", "1", 5, false});
  mirror.Put({"own/a", "1", 6, false});
  const auto gone = mirror.InferDeletions({}, "own/", 10);
  REQUIRE(gone.size() == 1);
  CHECK(gone.front().key == "own/a");
}

// Load: umurage hunt-cdc3-11. After a cut the reader got 40 changes of a table
// and two desired states at once; each was told as a difference to the one
// before, which its listeners did not have, and one of them stayed on an old
// version.
TEST_CASE("of several changes of a key only the newest is told") {
  const std::vector<StoreItem> kept = NewestOfEachKey({{"a", "1", 5, false},
                                                       {"b", "1", 6, false},
                                                       {"a", "2", 7, false},
                                                       {"a", "", 8, true}});
  CHECK(kept ==
        std::vector<StoreItem>{{"b", "1", 6, false}, {"a", "", 8, true}});
}

}  // namespace figstall
