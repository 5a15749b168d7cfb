// Conversions between the typed messages and their Cap'n Proto encoding.
#ifndef FIGSTALL_WIRE_H_
#define FIGSTALL_WIRE_H_

#include "figstall/messages.h"
#include "figstall/request.h"
#include "wire.capnp.h"

namespace figstall {

void Write(const HolderOrder& order, wire::HolderOrder::Builder builder);
HolderOrder Read(wire::HolderOrder::Reader reader);

void Write(const HolderStatus& status, wire::HolderStatus::Builder builder);
HolderStatus Read(wire::HolderStatus::Reader reader);

void Write(const StewardId& id, wire::StewardId::Builder builder);
StewardId Read(wire::StewardId::Reader reader);

void Write(const PeerMessage& message, wire::PeerMessage::Builder builder);
PeerMessage Read(wire::PeerMessage::Reader reader);

// The deadline is encoded as the time remaining at `now`.
void Write(const Request& request, Instant now, wire::Request::Builder builder);
Request Read(wire::Request::Reader reader, Instant now);

void Write(const Answer& answer, wire::Answer::Builder builder);
Answer Read(wire::Answer::Reader reader);

}  // namespace figstall

#endif  // FIGSTALL_WIRE_H_
