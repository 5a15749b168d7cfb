// One valid revision of the operators' records, the check of changes between
// revisions, and a holder that replaces a revision only by a higher one.
#ifndef FIGSTALL_CONFIGURATION_H_
#define FIGSTALL_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "figstall/records.h"
#include "figstall/zone_plan.h"

namespace figstall {

// Key in the store that holds the document of the records in force.
inline constexpr const char* kConfigurationKey = "figstall/configuration";

// An immutable, checked set of records with its revision.
class Configuration {
 public:
  // Parses {"revision": N, "records": [...]}. Collects all findings in one
  // error; `source` is named in each.
  static Result<std::shared_ptr<const Configuration>> Parse(
      const std::string& text,
      const std::string& source);

  std::uint64_t revision() const { return revision_; }
  const std::string& text() const { return text_; }
  const RecordSet& records() const { return records_; }

  const ServiceRecord* FindService(const ServiceId& id) const;
  const VmRecord* FindVm(const VmId& id) const;
  // Home zone of each partition of an exclusive service.
  const ZoneId& HomeZoneOf(const ServiceRecord& service,
                           std::uint32_t partition) const;
  std::optional<RegionId> RegionOf(const ZoneId& zone) const;
  // Entry VMs of a zone that are not declared lost.
  std::vector<const VmRecord*> EntryVms(const ZoneId& zone) const;
  // Targets of a service, in all zones, that are not declared lost.
  std::vector<const VmRecord*> Targets(const ServiceId& service) const;

  // What the records say about `zone`, in the form its stewards use.
  ZonePlan PlanFor(const ZoneId& zone) const;

 private:
  Configuration() = default;

  std::uint64_t revision_ = 0;
  std::string text_;
  RecordSet records_;
  // Home zone of each partition, as an index into the service's home_weights.
  std::map<ServiceId, std::vector<std::uint16_t>> home_zones_;
};

// Returns a finding for each change between two record sets that is not
// allowed. An exclusive service keeps its number of partitions and its home
// zones, since changing them would move keys between zones without a handover.
// It also keeps its ownership and fence.
Findings CheckTransition(const RecordSet& from,
                         const RecordSet& to,
                         const std::string& source);

// Holds the configuration of the highest revision received. Thread-safe.
class LatestConfiguration {
 public:
  using Pointer = std::shared_ptr<const Configuration>;

  // Stores `next` if its revision is higher than the current one. Returns
  // whether `next` was stored.
  bool UpdateIfNewer(Pointer next);
  // Null until a configuration has been stored.
  Pointer Current() const;
  // Revision of the current configuration; 0 if there is none.
  std::uint64_t revision() const;

 private:
  mutable std::mutex mutex_;
  // Replaced only by a configuration of a higher revision.
  Pointer current_;
};

}  // namespace figstall

#endif  // FIGSTALL_CONFIGURATION_H_
