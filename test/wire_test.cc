// Guards against a field that a codec omits or misreads: each message and
// document must equal the original after it has been written and read back.
#include <capnp/message.h>

#include <catch2/catch.hpp>

#include "figstall/holder_json.h"
#include "figstall/wire.h"
#include "figstall/zone_document.h"

namespace figstall {
namespace {

HolderOrder SampleOrder() {
  HolderOrder order;
  order.holder = VmId("t1");
  order.epoch = 3;
  order.lease = {3, 4};
  order.open = true;
  order.want_report = true;
  order.stamp = Stamp{5, -6};
  order.validity = Duration(600);
  order.grants = {{{ServiceId("s"), 1}, {3, 5}, VmId("t1")}};
  order.revokes = {{{ServiceId("s"), 2}, {3, 6}, VmId("t2")}};
  order.change = 9;
  return order;
}

HolderStatus SampleStatus() {
  HolderStatus status;
  status.holder = VmId("t1");
  status.incarnation = 2;
  status.stamp = {2, 77};
  status.lease = {3, 4};
  status.standing = true;
  status.epoch = 3;
  status.refused = true;
  status.draining = {{ServiceId("s"), 2}};
  status.has_report = true;
  status.held = {{{ServiceId("s"), 1}, {3, 5}, VmId("t1")}};
  status.change = 8;
  return status;
}

template <typename Wire, typename Message>
auto RoundTrip(const Message& message) {
  capnp::MallocMessageBuilder builder;
  Write(message, builder.initRoot<Wire>());
  return Read(builder.getRoot<Wire>().asReader());
}

}  // namespace

TEST_CASE("orders and statuses round-trip through JSON and Cap'n Proto") {
  HolderOrder order = SampleOrder();
  const auto value_of = [](const auto& result) { return *result; };
  CHECK(value_of(ParseOrder(SerializeOrder(order))) == order);
  order.hints = order.grants;
  CHECK(RoundTrip<wire::HolderOrder>(order) == order);
  const HolderStatus status = SampleStatus();
  CHECK(value_of(ParseStatus(SerializeStatus(status))) == status);
  CHECK(RoundTrip<wire::HolderStatus>(status) == status);
}

TEST_CASE("messages between stewards round-trip through Cap'n Proto") {
  StatePush push;
  push.epoch = 1;
  push.change = 2;
  push.full = true;
  push.base = 1;
  push.roster = {{VmId("e1"), 7}};
  push.leases = {{VmId("t1"), {1, 2}}};
  push.rows = SampleOrder().grants;
  for (const PeerMessage& message :
       {PeerMessage(JoinRequest{}), PeerMessage(push),
        PeerMessage(StatePushAck{1, 2}), PeerMessage(StepDown{3}),
        PeerMessage(StepDownAck{3}),
        PeerMessage(SealRequest{1, VmId("t1"), {1, 2}, true}),
        PeerMessage(SealReply{1, VmId("t1"), {1, 2}, true, Duration(5)}),
        PeerMessage(Resignation{})})
    CHECK(RoundTrip<wire::PeerMessage>(message) == message);
}

TEST_CASE("a zone document round-trips through JSON") {
  ZoneDocument document;
  document.epoch = 4;
  document.leader = {VmId("e1"), 7};
  document.roster = {{VmId("e1"), 7}, {VmId("e2"), 8}};
  document.unsealed = {{{VmId("e2"), 8}, 3}};
  document.rows = {{{ServiceId("s"), 1}, {3, 5}, VmId("t1")},
                   {{ServiceId("s"), 2}, {3, 6}, VmId("t1")}};
  document.list_version = 12;
  CHECK(*ParseZoneDocument(SerializeZoneDocument(document)) == document);
  CHECK_FALSE(ParseZoneDocument("{\"schema\": 2}"));
}

}  // namespace figstall
