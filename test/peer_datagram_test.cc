// Encoding of the datagrams between members.
#include "figstall/peer_datagram.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "packed_zeros.h"

namespace figstall {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("accounts");

// Returns the datagram after encoding and decoding.
template <typename Message>
Message Decoded(const Message& message) {
  return HandleError(
      [&]() -> Result<Message> {
        BOOST_LEAF_AUTO(datagram,
                        DecodePeerDatagram(EncodePeerDatagram(message)));
        return std::get<Message>(datagram);
      },
      [](const Error& error) -> Message {
        FAIL(error.message);
        return {};
      });
}

}  // namespace

TEST_CASE("a load report is equal after encoding and decoding") {
  LoadReport report;
  report.vm = VmId("m1");
  report.incarnation = "a";
  report.services[kService] = {100, {{17, 0.25}}};
  report.targets[TargetId("t1")] = {milliseconds(80), 12};
  report.grants.seen_fence[kService] = 12;
  report.grants.holds_for[TargetId("t2")] = milliseconds(1500);
  report.grants.grants_ended = true;
  report.notices = {
      {{TargetId("t1"), 1786139964622}, true, {}},
      {{TargetId("t2"), 5}, false, LimitStatement{3.8, milliseconds(70)}},
      {{TargetId("t3"), 6}, false, LimitStatement{{}, milliseconds(90)}}};
  CHECK(Decoded(report) == report);
}

// Guards against a datagram that takes a thousand times its length of memory.
TEST_CASE("a datagram that is unpacked without end is rejected") {
  constexpr std::uint32_t kWords = 1'000'000;
  const std::string bytes = PackedZeros(kWords);
  REQUIRE(bytes.size() < 10'000);
  const bool rejected = HandleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodePeerDatagram(bytes));
        return false;
      },
      [](const Error&) { return true; });
  CHECK(rejected);
}

TEST_CASE("bytes that are not a report are rejected or name no member") {
  for (const std::string& bytes :
       {std::string(), std::string("GET / HTTP/1.1"), std::string(64, '\xff'),
        std::string(64, '\0')}) {
    const std::string member = HandleError(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(datagram, DecodePeerDatagram(bytes));
          return std::get<LoadReport>(datagram).vm.value();
        },
        [](const Error&) { return std::string(); });
    CHECK(member.empty());
  }
}

TEST_CASE("hot key limits are equal after encoding and decoding") {
  const HotKeyLimits limits{VmId("m1"),
                            {{kService, {{{3, 3}, 0.25}, {{900, 950}, 0.5}}}}};
  CHECK(Decoded(limits) == limits);
}

TEST_CASE("messages about credits are equal after encoding and decoding") {
  const CreditRequest request{VmId("m1"),
                              7,
                              {TargetId("t1"), 5},
                              2,
                              LimitStatement{3.8, milliseconds(40)}};
  CHECK(Decoded(request) == request);
  const CreditResponse response{
      VmId("m2"),          7,
      {TargetId("t1"), 5}, 1,
      milliseconds(260),   LimitStatement{{}, milliseconds(1)}};
  CHECK(Decoded(response) == response);
  CreditRequest warming_up = request;
  warming_up.warm_up = WarmUpStatement{milliseconds(1200), 4.5};
  CHECK(Decoded(warming_up) == warming_up);
  // Guards against a damaged statement that limits a target for good.
  for (const WarmUpStatement& damaged :
       {WarmUpStatement{std::chrono::hours(25), 4.5},
        WarmUpStatement{milliseconds(1), -1},
        WarmUpStatement{milliseconds(1), std::nan("")}}) {
    warming_up.warm_up = damaged;
    CHECK(Decoded(warming_up) == request);
  }
}

}  // namespace figstall
