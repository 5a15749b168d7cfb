// One accepted revision of the operators' records, and the rule that a process
// only ever moves to a higher revision.
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

// Store key under which the records in force are kept.
inline constexpr const char* kConfigurationKey = "figstall/configuration";

class Configuration {
 public:
  // Parses {"revision": N, "records": [...]}; reports every finding at once.
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

  ZonePlan PlanFor(const ZoneId& zone) const;

 private:
  Configuration() = default;

  std::uint64_t revision_ = 0;
  std::string text_;
  RecordSet records_;
  std::map<ServiceId, std::vector<std::uint16_t>> home_zones_;
};

// Findings about going from one record set to the next: an exclusive service
// keeps its partitions and homes, since changing them would move keys between
// zones without a hand-over.
Findings CheckTransition(const RecordSet& from,
                         const RecordSet& to,
                         const std::string& source);

// Holds the highest revision seen; safe to use from several threads.
class LatestConfiguration {
 public:
  using Pointer = std::shared_ptr<const Configuration>;

  // Takes the revision over unless one as high is held. Returns whether it did.
  bool UpdateIfNewer(Pointer next);
  Pointer Current() const;
  // Zero if none is held.
  std::uint64_t revision() const;

 private:
  mutable std::mutex mutex_;
  // Revisions only rise.
  Pointer current_;
};

}  // namespace figstall

#endif  // FIGSTALL_CONFIGURATION_H_
