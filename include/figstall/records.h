// The operators' versioned records for services, keys and VMs. Two schema
// versions stand side by side; both become the same value types.
#ifndef FIGSTALL_RECORDS_H_
#define FIGSTALL_RECORDS_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "figstall/error.h"
#include "figstall/partition.h"
#include "figstall/types.h"

namespace figstall {

// Which of a target's capacity a request competes for.
enum class Lane { kEnquiry, kOrder, kBulk };
inline constexpr int kLaneCount = 3;

const char* ToString(Lane lane);

struct ServiceRecord {
  ServiceId id;
  int schema = 0;
  // Power of two.
  std::uint32_t partitions = 0;
  // False: any target of the service may answer any key.
  bool exclusive = true;
  // True: targets are the fence; false: routers are.
  bool checks_grants = true;
  Lane lane = Lane::kEnquiry;
  // HTTP methods whose requests are idempotent and may be retried.
  std::vector<std::string> repeatable_methods;
  std::vector<HomeWeight> home_weights;
  // True: partitions are not moved to even out load.
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
  // Entry VMs: where callers, routers and stewards connect.
  Endpoint callers;
  Endpoint router;
  Endpoint steward;
  // Targets: where requests go, for which service, and how many at once.
  Endpoint http;
  ServiceId service;
  std::uint32_t slots = 1;
  std::uint32_t connections = 0;

  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

// What the operator knows about one key in advance.
struct KeyRecord {
  ServiceId service;
  std::string key;
  int schema = 0;
  // Expected load relative to an ordinary partition.
  double weight = 1.0;
  // True: the key's partition is not moved to even out load.
  bool frozen = false;

  friend bool operator==(const KeyRecord&, const KeyRecord&) = default;
};

struct RecordSet {
  std::vector<ServiceRecord> services;
  std::vector<VmRecord> vms;
  std::vector<KeyRecord> keys;

  friend bool operator==(const RecordSet&, const RecordSet&) = default;
};

// Checks `records`, a JSON array, against the schemas of their versions and
// against each other. All findings are collected; `source` is named in each.
RecordSet ParseRecords(const nlohmann::json& records,
                       const std::string& source,
                       const std::string& pointer,
                       Findings& findings);

// Parses "address:port"; the address must be an IP number.
Result<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace figstall

#endif  // FIGSTALL_RECORDS_H_
