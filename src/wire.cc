#include "figstall/wire.h"

#include <algorithm>
#include <type_traits>

namespace figstall {
namespace {

std::string Text(capnp::Text::Reader reader) {
  return std::string(reader.cStr(), reader.size());
}

std::string Bytes(capnp::Data::Reader reader) {
  return std::string(reinterpret_cast<const char*>(reader.begin()),
                     reader.size());
}

capnp::Data::Reader AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

void Write(const FencingToken& token, wire::Term::Builder builder) {
  builder.setEpoch(token.epoch);
  builder.setCount(token.count);
}

FencingToken Read(wire::Term::Reader reader) {
  return {reader.getEpoch(), reader.getCount()};
}

void Write(const Stamp& stamp, wire::Stamp::Builder builder) {
  builder.setIncarnation(stamp.incarnation);
  builder.setMicros(stamp.micros);
}

Stamp Read(wire::Stamp::Reader reader) {
  return {reader.getIncarnation(), reader.getMicros()};
}

void Write(const PartitionRow& row, wire::Row::Builder builder) {
  builder.setService(row.key.service.value());
  builder.setPartition(row.key.partition);
  Write(row.term, builder.initTerm());
  builder.setOwner(row.owner.value());
}

PartitionRow Read(wire::Row::Reader reader) {
  return {{ServiceId(Text(reader.getService())), reader.getPartition()},
          Read(reader.getTerm()),
          VmId(Text(reader.getOwner()))};
}

void Write(const LeaseEntry& entry, wire::LeaseEntry::Builder builder) {
  builder.setHolder(entry.holder.value());
  Write(entry.lease, builder.initLease());
}

LeaseEntry Read(wire::LeaseEntry::Reader reader) {
  return {VmId(Text(reader.getHolder())), Read(reader.getLease())};
}

template <typename T, typename ListBuilder>
void WriteList(const std::vector<T>& items, ListBuilder builder) {
  for (unsigned i = 0; i < items.size(); ++i)
    figstall::Write(items[i], builder[i]);
}

template <typename ListBuilder>
void WriteRows(const std::vector<PartitionRow>& rows, ListBuilder builder) {
  for (unsigned i = 0; i < rows.size(); ++i)
    Write(rows[i], builder[i]);
}

std::vector<PartitionRow> ReadRows(capnp::List<wire::Row>::Reader reader) {
  std::vector<PartitionRow> rows;
  rows.reserve(reader.size());
  for (const auto row : reader)
    rows.push_back(Read(row));
  return rows;
}

void WriteStatePush(const StatePush& push, wire::StatePush::Builder builder) {
  builder.setEpoch(push.epoch);
  builder.setChange(push.change);
  builder.setFull(push.full);
  builder.setBase(push.base);
  WriteList(push.roster, builder.initRoster(push.roster.size()));
  auto leases = builder.initLeases(push.leases.size());
  for (unsigned i = 0; i < push.leases.size(); ++i)
    Write(push.leases[i], leases[i]);
  WriteRows(push.rows, builder.initRows(push.rows.size()));
}

StatePush ReadStatePush(wire::StatePush::Reader reader) {
  StatePush push;
  push.epoch = reader.getEpoch();
  push.change = reader.getChange();
  push.full = reader.getFull();
  push.base = reader.getBase();
  for (const auto id : reader.getRoster())
    push.roster.push_back(figstall::Read(id));
  for (const auto entry : reader.getLeases())
    push.leases.push_back(Read(entry));
  push.rows = ReadRows(reader.getRows());
  return push;
}

// Writes the alternative that a peer message holds.
struct PeerWriter {
  wire::PeerMessage::Builder builder;

  void operator()(const JoinRequest&) { builder.setJoinRequest(); }
  void operator()(const Resignation&) { builder.setResignation(); }
  void operator()(const StepDown& m) { builder.setStepDown(m.epoch); }
  void operator()(const StepDownAck& m) { builder.setStepDownAck(m.epoch); }
  void operator()(const StatePush& m) {
    WriteStatePush(m, builder.initStatePush());
  }
  void operator()(const StatePushAck& m) {
    auto ack = builder.initStatePushAck();
    ack.setEpoch(m.epoch);
    ack.setChange(m.change);
  }
  void operator()(const SealRequest& m) {
    auto request = builder.initSealRequest();
    request.setEpoch(m.epoch);
    request.setHolder(m.holder.value());
    Write(m.lease, request.initLease());
    request.setInsist(m.insist);
  }
  void operator()(const SealReply& m) {
    auto reply = builder.initSealReply();
    reply.setEpoch(m.epoch);
    reply.setHolder(m.holder.value());
    Write(m.lease, reply.initLease());
    reply.setStopped(m.stopped);
    reply.setStampAgeMicros(m.stamp_age.count());
  }
};

SealRequest ReadSealRequest(wire::SealRequest::Reader reader) {
  return {reader.getEpoch(), VmId(Text(reader.getHolder())),
          Read(reader.getLease()), reader.getInsist()};
}

SealReply ReadSealReply(wire::SealReply::Reader reader) {
  return {reader.getEpoch(), VmId(Text(reader.getHolder())),
          Read(reader.getLease()), reader.getStopped(),
          Duration(reader.getStampAgeMicros())};
}

// Converts a number received from another process to an enum. A number above
// `last`, the greatest enumerator, becomes `last`.
template <typename Enum>
Enum ClampEnum(unsigned value, Enum last) {
  return static_cast<Enum>(std::min(value, static_cast<unsigned>(last)));
}

}  // namespace

void Write(const StewardId& id, wire::StewardId::Builder builder) {
  builder.setVm(id.vm.value());
  builder.setIncarnation(id.incarnation);
}

StewardId Read(wire::StewardId::Reader reader) {
  return {VmId(Text(reader.getVm())), reader.getIncarnation()};
}

void Write(const HolderOrder& order, wire::HolderOrder::Builder builder) {
  builder.setHolder(order.holder.value());
  builder.setEpoch(order.epoch);
  Write(order.lease, builder.initLease());
  builder.setOpen(order.open);
  builder.setWantReport(order.want_report);
  builder.setHasStamp(order.stamp.has_value());
  if (order.stamp)
    Write(*order.stamp, builder.initStamp());
  builder.setValidityMicros(order.validity.count());
  WriteRows(order.grants, builder.initGrants(order.grants.size()));
  WriteRows(order.revokes, builder.initRevokes(order.revokes.size()));
  WriteRows(order.hints, builder.initHints(order.hints.size()));
  builder.setChange(order.change);
}

HolderOrder Read(wire::HolderOrder::Reader reader) {
  HolderOrder order;
  order.holder = VmId(Text(reader.getHolder()));
  order.epoch = reader.getEpoch();
  order.lease = Read(reader.getLease());
  order.open = reader.getOpen();
  order.want_report = reader.getWantReport();
  if (reader.getHasStamp())
    order.stamp = Read(reader.getStamp());
  order.validity = Duration(reader.getValidityMicros());
  order.grants = ReadRows(reader.getGrants());
  order.revokes = ReadRows(reader.getRevokes());
  order.hints = ReadRows(reader.getHints());
  order.change = reader.getChange();
  return order;
}

void Write(const HolderStatus& status, wire::HolderStatus::Builder builder) {
  builder.setHolder(status.holder.value());
  builder.setIncarnation(status.incarnation);
  Write(status.stamp, builder.initStamp());
  Write(status.lease, builder.initLease());
  builder.setStanding(status.standing);
  builder.setEpoch(status.epoch);
  builder.setRefused(status.refused);
  auto draining = builder.initDraining(status.draining.size());
  for (unsigned i = 0; i < status.draining.size(); ++i) {
    draining[i].setService(status.draining[i].service.value());
    draining[i].setPartition(status.draining[i].partition);
  }
  builder.setHasReport(status.has_report);
  WriteRows(status.held, builder.initHeld(status.held.size()));
  builder.setChange(status.change);
}

HolderStatus Read(wire::HolderStatus::Reader reader) {
  HolderStatus status;
  status.holder = VmId(Text(reader.getHolder()));
  status.incarnation = reader.getIncarnation();
  status.stamp = Read(reader.getStamp());
  status.lease = Read(reader.getLease());
  status.standing = reader.getStanding();
  status.epoch = reader.getEpoch();
  status.refused = reader.getRefused();
  for (const auto key : reader.getDraining()) {
    status.draining.push_back(
        {ServiceId(Text(key.getService())), key.getPartition()});
  }
  status.has_report = reader.getHasReport();
  status.held = ReadRows(reader.getHeld());
  status.change = reader.getChange();
  return status;
}

void Write(const PeerMessage& message, wire::PeerMessage::Builder builder) {
  std::visit(PeerWriter{builder}, message);
}

PeerMessage Read(wire::PeerMessage::Reader reader) {
  switch (reader.which()) {
    case wire::PeerMessage::JOIN_REQUEST:
      return JoinRequest{};
    case wire::PeerMessage::STATE_PUSH:
      return ReadStatePush(reader.getStatePush());
    case wire::PeerMessage::STATE_PUSH_ACK: {
      const auto ack = reader.getStatePushAck();
      return StatePushAck{ack.getEpoch(), ack.getChange()};
    }
    case wire::PeerMessage::STEP_DOWN:
      return StepDown{reader.getStepDown()};
    case wire::PeerMessage::STEP_DOWN_ACK:
      return StepDownAck{reader.getStepDownAck()};
    case wire::PeerMessage::SEAL_REQUEST:
      return ReadSealRequest(reader.getSealRequest());
    case wire::PeerMessage::SEAL_REPLY:
      return ReadSealReply(reader.getSealReply());
    case wire::PeerMessage::RESIGNATION:
      return Resignation{};
  }
  return JoinRequest{};
}

void Write(const Request& request,
           Instant now,
           wire::Request::Builder builder) {
  builder.setService(request.service.value());
  builder.setKey(request.key);
  builder.setMethod(request.method);
  builder.setPath(request.path);
  builder.setContentType(request.content_type);
  builder.setBody(AsData(request.body));
  builder.setLane(static_cast<std::uint8_t>(request.lane));
  builder.setIdempotent(request.idempotent);
  builder.setRemainingMicros((request.deadline - now).count());
  if (request.id)
    builder.setId(request.id->ToString());
}

Request Read(wire::Request::Reader reader, Instant now) {
  Request request;
  request.service = ServiceId(Text(reader.getService()));
  request.key = Text(reader.getKey());
  request.method = Text(reader.getMethod());
  request.path = Text(reader.getPath());
  request.content_type = Text(reader.getContentType());
  request.body = Bytes(reader.getBody());
  request.lane = ClampEnum(reader.getLane(), Lane::kBulk);
  request.idempotent = reader.getIdempotent();
  request.deadline = now + Duration(reader.getRemainingMicros());
  if (reader.getId().size() > 0)
    request.id = RequestId::Parse(Text(reader.getId()));
  return request;
}

void Write(const Answer& answer, wire::Answer::Builder builder) {
  builder.setOutcome(static_cast<std::uint8_t>(answer.outcome));
  builder.setReason(static_cast<std::uint8_t>(answer.reason));
  builder.setStatus(static_cast<std::uint16_t>(answer.status));
  builder.setContentType(answer.content_type);
  builder.setBody(AsData(answer.body));
  builder.setTarget(answer.target.value());
  Write(answer.term, builder.initTerm());
}

Answer Read(wire::Answer::Reader reader) {
  Answer answer;
  answer.outcome = ClampEnum(reader.getOutcome(), Outcome::kUnknown);
  answer.reason = ClampEnum(reader.getReason(), Reason::kRepeat);
  answer.status = reader.getStatus();
  answer.content_type = Text(reader.getContentType());
  answer.body = Bytes(reader.getBody());
  answer.target = VmId(Text(reader.getTarget()));
  answer.term = Read(reader.getTerm());
  return answer;
}

}  // namespace figstall
