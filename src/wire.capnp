# Messages between figstall's own processes. Run support/generate_wire.sh after
# every change and commit the files that it generates.
@0xd5b1f0a37c3e49aa;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("figstall::wire");

struct Term {
  epoch @0 :UInt64;
  count @1 :UInt64;
}

struct StewardId {
  vm @0 :Text;
  incarnation @1 :UInt64;
}

struct Row {
  service @0 :Text;
  partition @1 :UInt32;
  term @2 :Term;
  owner @3 :Text;
}

struct PartitionKey {
  service @0 :Text;
  partition @1 :UInt32;
}

struct Stamp {
  incarnation @0 :UInt64;
  micros @1 :Int64;
}

struct HolderOrder {
  holder @0 :Text;
  epoch @1 :UInt64;
  lease @2 :Term;
  open @3 :Bool;
  wantReport @4 :Bool;
  hasStamp @5 :Bool;
  stamp @6 :Stamp;
  validityMicros @7 :Int64;
  grants @8 :List(Row);
  revokes @9 :List(Row);
  hints @10 :List(Row);
  change @11 :UInt64;
}

struct HolderStatus {
  holder @0 :Text;
  incarnation @1 :UInt64;
  stamp @2 :Stamp;
  lease @3 :Term;
  standing @4 :Bool;
  epoch @5 :UInt64;
  refused @6 :Bool;
  draining @7 :List(PartitionKey);
  hasReport @8 :Bool;
  held @9 :List(Row);
  change @10 :UInt64;
}

struct LeaseEntry {
  holder @0 :Text;
  lease @1 :Term;
}

struct StatePush {
  epoch @0 :UInt64;
  change @1 :UInt64;
  full @2 :Bool;
  base @3 :UInt64;
  roster @4 :List(StewardId);
  leases @5 :List(LeaseEntry);
  rows @6 :List(Row);
}

struct SealRequest {
  epoch @0 :UInt64;
  holder @1 :Text;
  lease @2 :Term;
  insist @3 :Bool;
}

struct SealReply {
  epoch @0 :UInt64;
  holder @1 :Text;
  lease @2 :Term;
  stopped @3 :Bool;
  stampAgeMicros @4 :Int64;
}

struct Acknowledgement {
  epoch @0 :UInt64;
  change @1 :UInt64;
}

struct PeerMessage {
  union {
    joinRequest @0 :Void;
    statePush @1 :StatePush;
    statePushAck @2 :Acknowledgement;
    stepDown @3 :UInt64;
    stepDownAck @4 :UInt64;
    sealRequest @5 :SealRequest;
    sealReply @6 :SealReply;
    resignation @7 :Void;
  }
}

# Served by every steward.
interface StewardPeer {
  deliver @0 (from :StewardId, message :PeerMessage);
  # Offers the configuration records in force, as the zone's leader read them,
  # and returns the revision held. An empty text only queries that revision.
  offerConfiguration @1 (revision :UInt64, text :Data) -> (held :UInt64);
}

struct Request {
  service @0 :Text;
  key @1 :Text;
  method @2 :Text;
  path @3 :Text;
  contentType @4 :Text;
  body @5 :Data;
  lane @6 :UInt8;
  idempotent @7 :Bool;
  # Time remaining until the deadline. It is sent as a duration because the
  # clocks of two VMs are never compared.
  remainingMicros @8 :Int64;
  id @9 :Text;
}

struct Answer {
  outcome @0 :UInt8;
  reason @1 :UInt8;
  status @2 :UInt16;
  contentType @3 :Text;
  body @4 :Data;
  target @5 :Text;
  term @6 :Term;
}

# Served by every router.
interface RouterPeer {
  order @0 (order :HolderOrder) -> (status :HolderStatus);
  offerConfiguration @1 (revision :UInt64, text :Data) -> (held :UInt64);
  # Runs a request at this router. With `asIssuer` the router first looks up the
  # request's id. Otherwise the calling router has done so, and the request goes
  # directly to its target.
  forward @2 (request :Request, asIssuer :Bool) -> (answer :Answer);
}
