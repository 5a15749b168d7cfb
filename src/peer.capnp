# Messages between members. Members send load reports to the elected mover in
# datagrams, several times per second. The reports are hints for load balancing,
# and the next one makes up for a lost one. Data read from the store is relayed
# over streams, where each message follows its length in four bytes, least
# significant byte first.
@0xb1c6a0f3d5e27914;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("figstall::wire");

struct PeerDatagram {
  union {
    report @0 :PeerReport;
    admission @1 :Admission;
    creditRequest @2 :CreditRequest;
    creditResponse @3 :CreditResponse;
  }
}

# Requests credits for sending to a target that limits its requests. One member
# issues the credits of a target.
struct CreditRequest {
  from @0 :Text;
  serial @1 :UInt64;
  target @2 :TargetNotice;
  # Zero if the sender only asks whether the receiver responds.
  wanted @3 :UInt32;
}

struct CreditResponse {
  from @0 :Text;
  serial @1 :UInt64;
  target @2 :TargetNotice;
  granted @3 :UInt32;
  # Time after which it is worth to ask again.
  backoffMicros @4 :UInt32;
}

# Sent by the mover to all members while the load of some keys exceeds the
# capacity of their owners: the share of requests admitted, by range
# of keys.
struct Admission {
  mover @0 :Text;
  services @1 :List(ServiceAdmission);
}

struct ServiceAdmission {
  service @0 :Text;
  # Of earlier versions, by 1024 equal parts of the key space: not sent, ignored.
  parts @1 :List(UInt16);
  shares @2 :List(UInt16);
  # Ranges of keys by their first and last keys, by ascending keys, and the
  # admitted share of each, in thousandths.
  firsts @3 :List(UInt16);
  lasts @4 :List(UInt16);
  rangeShares @5 :List(UInt16);
}

struct PeerReport {
  vm @0 :Text;
  incarnation @1 :Text;
  services @2 :List(ServiceHeat);
  targets @3 :List(TargetSpeed);
  grants @4 :GrantReport;
  # What targets said of themselves, as far as other members should know it.
  notices @5 :List(TargetNotice);
}

struct TargetNotice {
  target @0 :Text;
  # Start time of the target's incarnation, in milliseconds of its own clock.
  startedAtMillis @1 :Int64;
  leaving @2 :Bool;
  # Whether the target ever stated a limit. The fields below state the last one.
  limitKnown @3 :Bool;
  # Requests per second; negative if the target has no limit any more.
  limitPerSecond @4 :Float64;
  # Time since the target said so.
  limitAgeMicros @5 :UInt64;
  # How much longer the target warms up by what the sender itself learned, and
  # the requests per second that it tolerates meanwhile. Zero if the sender does
  # not know that it warms up.
  warmUpLeftMicros @6 :UInt64;
  warmUpPerSecond @7 :Float64;
}

# What the member has seen of moves, as the fencing token of the newest change
# of each service's table, and how long its grants to each owner may last.
struct GrantReport {
  services @0 :List(Text);
  seenFences @1 :List(UInt64);
  owners @2 :List(Text);
  # Microseconds from the sending of the report.
  holdsFor @3 :List(UInt64);
  # Whether the process has resigned: it sends no more grants.
  grantsEnded @4 :Bool;
}

struct ServiceHeat {
  service @0 :Text;
  # Requests observed since the process started, counted up to 1000.
  samples @1 :UInt32;
  # Of earlier versions, by 1024 equal parts of the key space: not sent, ignored.
  parts @2 :List(UInt16);
  busy @3 :List(UInt32);
  # Keys that have any load, and the load of each in busy microseconds per
  # second.
  keys @4 :List(UInt16);
  keyBusy @5 :List(UInt32);
}

struct TargetSpeed {
  target @0 :Text;
  # Mean work time per request without queueing, in microseconds.
  workMicros @1 :UInt32;
  # Number of recent requests that the mean is based on.
  samples @2 :Float32;
}

# Subscribes a member at its source: the source sends all changes after revision
# `cursor`, and then each later change.
struct RelaySubscribe {
  vm @0 :Text;
  cursor @1 :UInt64;
  # If nonzero, the subscriber only queries the age of the source's copy. The
  # update sent in response carries the same number.
  question @2 :UInt32;
}

struct RelayItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

# A delta of a long value, for a subscriber that holds the value as of
# `baseRevision`.
struct RelayDelta {
  key @0 :Text;
  revision @1 :UInt64;
  baseRevision @2 :UInt64;
  parts @3 :List(RelayDeltaPart);
}

# A range of bytes copied from the earlier value, followed by new text.
struct RelayDeltaPart {
  from @0 :UInt32;
  length @1 :UInt32;
  text @2 :Data;
}

struct RelayUpdate {
  items @0 :List(RelayItem);
  # All changes up to this revision have been sent; zero states nothing.
  cursor @1 :UInt64;
  # Time since the sender's copy was last confirmed against the store, in
  # milliseconds. The largest number means that it was never confirmed.
  ageMillis @2 :UInt32;
  # If true, keys that are not among the items do not exist.
  complete @3 :Bool;
  deltas @4 :List(RelayDelta);
  # Number of the age query that this update responds to; zero for published
  # changes.
  question @5 :UInt32;
  # Deletions up to this revision may be missing from the sender's copy without
  # a trace.
  deletionsFrom @6 :UInt64;
}
