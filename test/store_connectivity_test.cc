// What is believed of the contact with the store.
#include "figstall/store_connectivity.h"

#include <catch2/catch.hpp>

namespace figstall {
namespace {

Instant At(int ms) {
  return Instant{} + std::chrono::milliseconds(ms);
}

}  // namespace

// Load: umurage mix 945827172438, the region's reader is cut from the store for
// 4 s while desired states change. Its watch went on waiting on a connection
// that never said another word, and it answered 404 two seconds after its
// return.
TEST_CASE(
    "a watch that waited through a cut is given up when the store answers") {
  StoreConnectivity contact;
  contact.OnWatchSent(At(1000));
  contact.OnAnswered();
  CHECK_FALSE(contact.WatchMayBeStale());
  CHECK(contact.OnFailed(At(2000)));
  CHECK_FALSE(contact.WatchMayBeStale());
  CHECK(contact.OnAnswered());
  CHECK(contact.WatchMayBeStale());
  contact.OnWatchSent(At(5001));
  CHECK_FALSE(contact.WatchMayBeStale());
}

// Load: the same day. Listeners were told that the reader's copy was fresh
// until it had noticed its own cut, a second later than they might have.
TEST_CASE("a reader's copy ages from what the store last answered") {
  StoreConnectivity contact;
  contact.OnWatchSent(At(1000));
  contact.OnConfirmed(At(1400));
  CHECK(contact.confirmed_at() == At(1400));
  contact.OnFailed(At(2300));
  CHECK(contact.confirmed_at() == At(1400));
  // Renewals are answered again, and the watch is still the old one.
  contact.OnAnswered();
  contact.OnConfirmed(At(5000));
  CHECK(contact.confirmed_at() == At(1400));
  contact.OnWatchSent(At(5010));
  contact.OnConfirmed(At(5400));
  CHECK(contact.confirmed_at() == At(5400));
}

TEST_CASE("an answered watch confirms the copy as of its sending") {
  StoreConnectivity contact;
  contact.OnConfirmed(At(900));
  CHECK_FALSE(contact.confirmed_at());
  contact.OnWatchSent(At(1000));
  contact.OnWatchEnded(true);
  CHECK(contact.confirmed_at() == At(1000));
  contact.OnWatchSent(At(1500));
  contact.OnWatchEnded(false);
  CHECK(contact.confirmed_at() == At(1000));
}

// Load: platform_down on 195 members. Each watched the store for itself again
// and again, 700 full calls a second; a lost store is asked by renewals alone.
TEST_CASE("a lost store is asked seldom, and as before once it answers") {
  StoreConnectivity contact;
  contact.OnFailed(At(0));
  CHECK(contact.lost());
  CHECK(contact.ProbeDelay() == std::chrono::milliseconds(250));
  Instant now = At(0);
  int probes = 0;
  for (; now < At(5000); now += contact.ProbeDelay()) {
    contact.OnFailed(now);
    ++probes;
  }
  CHECK(probes <= 12);
  contact.OnAnswered();
  CHECK_FALSE(contact.lost());
  CHECK(contact.ProbeDelay() == std::chrono::milliseconds(250));
}

}  // namespace figstall
