// The relay over loopback: how fresh a listener may take its copy to be.
#include "figstall/store_relay.h"

#include <catch2/catch.hpp>

#include "figstall/clock.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

constexpr Revision kCursor = 12;

struct RelayFixture {
  RelayFixture() {
    boost::asio::ip::tcp::acceptor probe(
        io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    address = {"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    const auto state = [this] {
      RelayUpdate update;
      update.cursor = kCursor;
      update.age = age;
      return update;
    };
    sender = std::make_unique<RelayPublisher>(
        io, address, [state](Revision) { return state(); }, state);
    subscriber = std::make_unique<RelaySubscriber>(
        io, VmId("m1"),
        [this](const RelayUpdate& update) { updates.push_back(update); });
    subscriber->Subscribe(address, 0);
    RunUntil([this] { return !updates.empty(); });
  }

  template <typename Done>
  void RunUntil(Done done) {
    while (!done() && io.run_one() > 0) {
    }
  }

  boost::asio::io_context io;
  Endpoint address;
  Duration age = milliseconds(40);
  std::vector<RelayUpdate> updates;
  std::unique_ptr<RelayPublisher> sender;
  std::unique_ptr<RelaySubscriber> subscriber;
};

}  // namespace

// Load: caroni trouble-3 --seed 238191892675. The head of a zone ran eight
// times slower and told a desired state two seconds late, with the age that it
// had when it told; its listener answered by the old one.
TEST_CASE("freshness counts from the asking, not from the answer") {
  RelayFixture scene;
  CHECK_FALSE(scene.subscriber->confirmed_at());
  // The answer is long on its way.
  const Instant asked = BootNow() - std::chrono::seconds(2);
  scene.subscriber->Poll(asked);
  scene.RunUntil([&] { return scene.updates.size() > 1; });
  CHECK(scene.subscriber->confirmed_at() == asked - scene.age);
}

TEST_CASE("news does not confirm, and one question is asked at a time") {
  RelayFixture scene;
  RelayUpdate news;
  news.items = {{"a", "1", kCursor, false}};
  news.age = Duration{0};
  scene.sender->Publish(news);
  scene.RunUntil([&] { return scene.updates.size() > 1; });
  CHECK(scene.updates.back().items == news.items);
  CHECK_FALSE(scene.subscriber->confirmed_at());
  const Instant first = BootNow() - std::chrono::seconds(3);
  scene.subscriber->Poll(first);
  scene.subscriber->Poll(BootNow());
  scene.RunUntil([&] { return scene.subscriber->confirmed_at().has_value(); });
  CHECK(scene.subscriber->confirmed_at() == first - scene.age);
}

TEST_CASE("differences survive their form on the wire") {
  RelayFixture scene;
  RelayUpdate news;
  news.deltas = {{"a", 9, 7, {{1, 2, "x"}, {0, 0, std::string(1, '\0')}}}};
  scene.sender->Publish(news);
  scene.RunUntil([&] { return scene.updates.size() > 1; });
  CHECK(scene.updates.back().deltas == news.deltas);
}

}  // namespace figstall
