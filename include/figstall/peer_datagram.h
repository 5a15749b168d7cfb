// Datagrams between members: reports to the elected mover, its limits for hot
// keys, and requests for credits with their responses.
#ifndef FIGSTALL_PEER_DATAGRAM_H_
#define FIGSTALL_PEER_DATAGRAM_H_

#include <string>
#include <string_view>
#include <variant>

#include "figstall/error.h"
#include "figstall/hot_key_limits.h"
#include "figstall/load_report.h"
#include "figstall/send_credits.h"

namespace figstall {

using PeerDatagram =
    std::variant<LoadReport, HotKeyLimits, CreditRequest, CreditResponse>;

std::string EncodePeerDatagram(const PeerDatagram& datagram);
// Fails if the bytes are not a datagram of a known type.
Result<PeerDatagram> DecodePeerDatagram(std::string_view bytes);

}  // namespace figstall

#endif  // FIGSTALL_PEER_DATAGRAM_H_
