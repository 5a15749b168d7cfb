// The one value that an availability zone keeps in the platform's store: who
// leads, who is admitted, and who owns which partition.
#ifndef FIGSTALL_ZONE_DOCUMENT_H_
#define FIGSTALL_ZONE_DOCUMENT_H_

#include <string>
#include <vector>

#include "figstall/error.h"
#include "figstall/messages.h"

namespace figstall {

// An earlier leader that has neither acknowledged a later epoch nor is gone.
struct UnsealedLeader {
  StewardId id;
  Epoch epoch = 0;

  friend auto operator<=>(const UnsealedLeader&,
                          const UnsealedLeader&) = default;
};

// Written only by compare-and-swap, always as a whole.
struct ZoneDocument {
  // Only rises; the writer of an epoch is its one leader.
  Epoch epoch = 0;
  StewardId leader;
  std::vector<StewardId> roster;
  std::vector<UnsealedLeader> unsealed;
  std::vector<PartitionRow> rows;
  // Version of the VM list by which the roster was last checked. A roster VM
  // missing from this or a later list is gone.
  std::uint64_t list_version = 0;

  friend bool operator==(const ZoneDocument&, const ZoneDocument&) = default;
};

// Renders the document as JSON.
std::string SerializeZoneDocument(const ZoneDocument& document);

// Parses a document; the error names the JSON pointer at fault.
Result<ZoneDocument> ParseZoneDocument(const std::string& text);

}  // namespace figstall

#endif  // FIGSTALL_ZONE_DOCUMENT_H_
