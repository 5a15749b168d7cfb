// What an operator is told of where a request would be sent, and why. The
// answer comes from the code that chooses targets.
#ifndef FIGSTALL_REQUEST_EXPLANATION_H_
#define FIGSTALL_REQUEST_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figstall/desired_state.h"
#include "figstall/target_entry.h"
#include "figstall/types.h"

namespace figstall {

// Where the entry's operator endpoint explains; the parameters host, path, key
// and account describe the request.
inline constexpr char kExplainPath[] = "/explain";

struct RequestDescription {
  std::string host;
  std::string path;
  std::string key;
  std::vector<AccountId> accounts;

  friend bool operator==(const RequestDescription&,
                         const RequestDescription&) = default;
};

// Why one target of a service would get the request, or not.
struct TargetExplanation {
  TargetId target;
  ZoneId zone;
  bool chosen = false;
  // What rules the target out. Empty if it may get the request now, but another
  // one is preferred.
  std::string reason;
  // Time until the reason ends, if that is known.
  std::optional<Duration> available_in;
  // Age of what the reason rests on; none if nothing was heard of the target.
  std::optional<Duration> information_age;

  friend bool operator==(const TargetExplanation&,
                         const TargetExplanation&) = default;
};

struct ServiceExplanation {
  ServiceId service;
  double weight = 1;
  // Share of the requests for the key that the limits on hot keys admit.
  double admitted_share = 1;
  // Empty if no target would get the request now.
  TargetId chosen;
  // Why no target would get it, as in the log, or empty.
  std::string reason;
  std::string detail;
  std::vector<TargetExplanation> targets;

  friend bool operator==(const ServiceExplanation&,
                         const ServiceExplanation&) = default;
};

struct RequestExplanation {
  VmId entry;
  // Of the desired state; 0 without one.
  std::uint64_t version = 0;
  // Since the last update from the store or from another member.
  Duration view_age{0};
  std::string route;
  // Of the route and the accounts together, as text.
  std::string allowed_regions;
  // Why the request would be refused whatever its service, or empty.
  std::string reason;
  // All among which the route distributes its requests.
  std::vector<ServiceExplanation> services;

  friend bool operator==(const RequestExplanation&,
                         const RequestExplanation&) = default;
};

std::string ToJson(const RequestExplanation& explanation);
// A table of the JSON form, for operators.
std::string ExplanationTable(const std::string& explanation_json);

}  // namespace figstall

#endif  // FIGSTALL_REQUEST_EXPLANATION_H_
