// The value that an availability zone keeps in the platform's store: its
// leader, its admitted stewards and the owner of each partition.
#ifndef FIGSTALL_ZONE_DOCUMENT_H_
#define FIGSTALL_ZONE_DOCUMENT_H_

#include <string>
#include <vector>

#include "figstall/error.h"
#include "figstall/messages.h"

namespace figstall {

// An earlier leader that has not acknowledged a later epoch and is not known to
// have terminated.
struct UnsealedLeader {
  StewardId id;
  Epoch epoch = 0;

  friend auto operator<=>(const UnsealedLeader&,
                          const UnsealedLeader&) = default;
};

// The document is written only by compare-and-swap and always as a whole.
struct ZoneDocument {
  // The epoch only rises. The steward that writes an epoch first is its
  // only leader.
  Epoch epoch = 0;
  StewardId leader;
  std::vector<StewardId> roster;
  std::vector<UnsealedLeader> unsealed;
  std::vector<PartitionRow> rows;
  // Version of the VM list against which the roster was last checked. A roster
  // member whose VM is missing from this or a later list has terminated.
  std::uint64_t list_version = 0;

  friend bool operator==(const ZoneDocument&, const ZoneDocument&) = default;
};

// Returns the document as JSON.
std::string SerializeZoneDocument(const ZoneDocument& document);

// Parses a document from JSON. For malformed JSON, the error
// gives the line and column; for a missing field or one of the wrong type, it
// holds the JSON library's message.
Result<ZoneDocument> ParseZoneDocument(const std::string& text);

}  // namespace figstall

#endif  // FIGSTALL_ZONE_DOCUMENT_H_
