// The operators' versioned records for services, keys and VMs. A document may
// mix records of two schema versions; both are parsed into the same types.
#ifndef FIGSTALL_RECORDS_H_
#define FIGSTALL_RECORDS_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "figstall/error.h"
#include "figstall/partition.h"
#include "figstall/types.h"

namespace figstall {

// Class of a service's requests. Admission reserves and limits a target's slots
// for each class.
enum class Lane { kEnquiry, kOrder, kBulk };
inline constexpr int kLaneCount = 3;

const char* ToString(Lane lane);

struct ServiceRecord {
  ServiceId id;
  int schema = 0;
  // Number of partitions; a power of two.
  std::uint32_t partitions = 0;
  // False: any target of the service may serve any key.
  bool exclusive = true;
  // True: targets check leases and fencing tokens; false: routers do.
  bool checks_grants = true;
  Lane lane = Lane::kEnquiry;
  // HTTP methods whose requests are idempotent, so that they may be retried.
  std::vector<std::string> repeatable_methods;
  std::vector<HomeWeight> home_weights;
  // True: partitions are not moved to balance load.
  bool frozen = false;
  Duration default_deadline{0};
  Duration max_deadline{0};

  friend bool operator==(const ServiceRecord&, const ServiceRecord&) = default;
};

enum class VmRole { kEntry, kTarget };
enum class VmState { kJoining, kLeaving, kLost };

const char* ToString(VmRole role);
const char* ToString(VmState state);

// An IP address and port, as in "127.0.0.1:8080".
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  std::string ToString() const { return address + ":" + std::to_string(port); }
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

struct VmRecord {
  VmId id;
  int schema = 0;
  ZoneId zone;
  RegionId region;
  VmRole role = VmRole::kTarget;
  VmState state = VmState::kJoining;
  // Endpoints of an entry VM: for callers, of its router and of its steward.
  Endpoint callers;
  Endpoint router;
  Endpoint steward;
  // For a target: the endpoint for requests, the service it belongs to, and the
  // numbers of requests at once and of connections that it takes.
  Endpoint http;
  ServiceId service;
  std::uint32_t slots = 1;
  std::uint32_t connections = 0;

  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

// The expected load and placement of one key.
struct KeyRecord {
  ServiceId service;
  std::string key;
  int schema = 0;
  // Expected load, added to that of the key's partition. A partition without
  // key records has load 1.
  double weight = 1.0;
  // True: the key's partition is not moved to balance load.
  bool frozen = false;

  friend bool operator==(const KeyRecord&, const KeyRecord&) = default;
};

struct RecordSet {
  std::vector<ServiceRecord> services;
  std::vector<VmRecord> vms;
  std::vector<KeyRecord> keys;

  friend bool operator==(const RecordSet&, const RecordSet&) = default;
};

// Parses `records`, a JSON array found at `pointer` of `source`. Each record is
// checked against the schema of its version and against the other records. All
// findings are added to `findings`; each names `source`.
RecordSet ParseRecords(const nlohmann::json& records,
                       const std::string& source,
                       const std::string& pointer,
                       Findings& findings);

// Parses "address:port"; the address must be an IPv4 address.
Result<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace figstall

#endif  // FIGSTALL_RECORDS_H_
