# Messages between members. Load reports go to the elected mover by datagram,
# several times a second: hints for the balance, a lost one is made good by the
# next. What was read of the store is relayed by stream, each message behind its
# length in four bytes, least significant first.
@0xb1c6a0f3d5e27914;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("figstall::wire");

struct PeerDatagram {
  union {
    report @0 :PeerReport;
    admission @1 :Admission;
  }
}

# From the mover to all members, while keys are hotter than their owners can
# bear: what share of the requests for a part of the key space is let through.
struct Admission {
  mover @0 :Text;
  services @1 :List(ServiceAdmission);
}

struct ServiceAdmission {
  service @0 :Text;
  parts @1 :List(UInt16);
  # Thousandths.
  shares @2 :List(UInt16);
}

struct PeerReport {
  vm @0 :Text;
  incarnation @1 :Text;
  services @2 :List(ServiceHeat);
  targets @3 :List(TargetSpeed);
  grants @4 :GrantReport;
}

# What the member knows of moves, and how long its grants may last.
struct GrantReport {
  services @0 :List(Text);
  seenFences @1 :List(UInt64);
  owners @2 :List(Text);
  # Microseconds from the sending of the report.
  holdsFor @3 :List(UInt64);
}

struct ServiceHeat {
  service @0 :Text;
  # Requests seen since the process started, at most a thousand.
  samples @1 :UInt32;
  # Parts of the key space with any load, and busy microseconds per second there.
  parts @2 :List(UInt16);
  busy @3 :List(UInt32);
}

struct TargetSpeed {
  target @0 :Text;
  # Mean time of work on a request without queueing, in microseconds.
  workMicros @1 :UInt32;
  # Recent requests that it was learned from.
  samples @2 :Float32;
}

# A member asks its source for all that changed after a revision, and to be told
# from then on.
struct RelaySubscribe {
  vm @0 :Text;
  cursor @1 :UInt64;
  # Not zero: a listener only asks how old the source's copy is.
  question @2 :UInt32;
}

struct RelayItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

# A change of a long value, for a listener that has it as of `baseRevision`.
struct RelayDelta {
  key @0 :Text;
  revision @1 :UInt64;
  baseRevision @2 :UInt64;
  parts @3 :List(RelayDeltaPart);
}

# A stretch of the earlier value, followed by new text.
struct RelayDeltaPart {
  from @0 :UInt32;
  length @1 :UInt32;
  text @2 :Data;
}

struct RelayUpdate {
  items @0 :List(RelayItem);
  # All changes up to here have been told.
  cursor @1 :UInt64;
  # How long ago the store's state was last confirmed, in milliseconds; the
  # largest number means never.
  ageMillis @2 :UInt32;
  # Keys that are not among the items do not exist.
  complete @3 :Bool;
  deltas @4 :List(RelayDelta);
  # The question that this answers, or zero.
  question @5 :UInt32;
}
