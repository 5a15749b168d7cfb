// Implements load_report.h. Datagrams are packed Cap'n Proto.
#include "figstall/load_report.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>

#include "peer.capnp.h"

namespace figstall {
namespace {

// Time in which an observation loses most of its weight in a member's report.
// It is short, since hot keys change within seconds.
constexpr double kReportDecaySeconds = 0.5;
// The same for the mover's average, SmoothedLoad.
constexpr double kSmoothingSeconds = 5;
// The average of a part is replaced by its newest load if the two differ by
// more than this factor and by more than this many busy seconds per second.
constexpr double kChangeFactor = 3;
constexpr double kMinLoadChange = 0.6;
// KeyLoad::Decay() does nothing if called again within this time.
constexpr double kMinDecaySeconds = 0.2;
// Limit of the request count in a report.
constexpr std::uint32_t kMaxSamples = 1000;
// Parts with less load, in busy seconds per second, are omitted from reports.
constexpr double kMinReportedLoad = 0.0005;
// Older reports are ignored.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(2500);
// Requests that all recent reports together must cover before load is
// estimated.
constexpr std::uint32_t kMinSamples = 120;
// A target's speed relative to the geometric mean of its service is clamped to
// these factors.
constexpr double kMinSpeedFactor = 0.15;
constexpr double kMaxSpeedFactor = 2.5;
// Requests of mean processing time that are added to each target's own samples.
constexpr double kPriorSamples = 4;
// A report is recent within this time.
constexpr Duration kRecentReportAge = std::chrono::milliseconds(1200);

void Write(const GrantReport& report, wire::GrantReport::Builder out) {
  const auto services = static_cast<unsigned>(report.seen_fence.size());
  auto names = out.initServices(services);
  auto fences = out.initSeenFences(services);
  unsigned index = 0;
  for (const auto& [service, fence] : report.seen_fence) {
    names.set(index, service.value());
    fences.set(index++, fence);
  }
  const auto owners = static_cast<unsigned>(report.holds_for.size());
  auto ids = out.initOwners(owners);
  auto times = out.initHoldsFor(owners);
  index = 0;
  for (const auto& [owner, time] : report.holds_for) {
    ids.set(index, owner.value());
    times.set(index++, static_cast<std::uint64_t>(time.count()));
  }
}

GrantReport Read(wire::GrantReport::Reader in) {
  GrantReport report;
  const auto names = in.getServices();
  const auto fences = in.getSeenFences();
  for (unsigned i = 0; i < std::min(names.size(), fences.size()); ++i)
    report.seen_fence[ServiceId(std::string(names[i]))] = fences[i];
  const auto ids = in.getOwners();
  const auto times = in.getHoldsFor();
  for (unsigned i = 0; i < std::min(ids.size(), times.size()); ++i)
    report.holds_for[TargetId(std::string(ids[i]))] =
        Duration(static_cast<Duration::rep>(times[i]));
  return report;
}

void Write(const LoadReport& report, wire::PeerReport::Builder root) {
  root.setVm(report.vm.value());
  root.setIncarnation(report.incarnation);
  auto services =
      root.initServices(static_cast<unsigned>(report.services.size()));
  unsigned index = 0;
  for (const auto& [service, key_load] : report.services) {
    auto out = services[index++];
    out.setService(service.value());
    out.setSamples(key_load.samples);
    auto parts = out.initParts(static_cast<unsigned>(key_load.parts.size()));
    auto busy = out.initBusy(static_cast<unsigned>(key_load.parts.size()));
    unsigned part_index = 0;
    for (const auto& [part, seconds] : key_load.parts) {
      parts.set(part_index, part);
      busy.set(part_index++, static_cast<std::uint32_t>(seconds * 1e6));
    }
  }
  auto targets = root.initTargets(static_cast<unsigned>(report.targets.size()));
  index = 0;
  for (const auto& [target, processing_time] : report.targets) {
    auto out = targets[index++];
    out.setTarget(target.value());
    out.setWorkMicros(static_cast<std::uint32_t>(processing_time.mean.count()));
    out.setSamples(static_cast<float>(processing_time.samples));
  }
  Write(report.grants, root.initGrants());
}

LoadReport Read(wire::PeerReport::Reader root) {
  LoadReport report;
  report.vm = VmId(root.getVm());
  report.incarnation = root.getIncarnation();
  report.grants = Read(root.getGrants());
  for (const auto service : root.getServices()) {
    KeyLoadReport& key_load =
        report.services[ServiceId(std::string(service.getService()))];
    key_load.samples = service.getSamples();
    const auto parts = service.getParts();
    const auto busy = service.getBusy();
    for (unsigned i = 0; i < std::min(parts.size(), busy.size()); ++i) {
      if (parts[i] < kLoadParts)
        key_load.parts[parts[i]] = busy[i] / 1e6;
    }
  }
  for (const auto target : root.getTargets())
    report.targets[TargetId(std::string(target.getTarget()))] = {
        Duration(target.getWorkMicros()), std::max(0.0F, target.getSamples())};
  return report;
}

void Write(const HotKeyLimits& limits, wire::Admission::Builder root) {
  root.setMover(limits.mover.value());
  auto services =
      root.initServices(static_cast<unsigned>(limits.services.size()));
  unsigned index = 0;
  for (const auto& [service, shares] : limits.services) {
    auto out = services[index++];
    out.setService(service.value());
    auto parts = out.initParts(static_cast<unsigned>(shares.size()));
    auto thousandths = out.initShares(static_cast<unsigned>(shares.size()));
    unsigned part_index = 0;
    for (const auto& [part, share] : shares) {
      parts.set(part_index, part);
      thousandths.set(part_index++, static_cast<std::uint16_t>(share * 1000));
    }
  }
}

HotKeyLimits Read(wire::Admission::Reader root) {
  HotKeyLimits limits;
  limits.mover = VmId(root.getMover());
  for (const auto service : root.getServices()) {
    AdmittedShares& shares =
        limits.services[ServiceId(std::string(service.getService()))];
    const auto parts = service.getParts();
    const auto thousandths = service.getShares();
    for (unsigned i = 0; i < std::min(parts.size(), thousandths.size()); ++i) {
      if (parts[i] < kLoadParts)
        shares[parts[i]] = thousandths[i] / 1000.0;
    }
  }
  return limits;
}

}  // namespace

void KeyLoad::Add(ShardKey key, Duration busy) {
  busy_since_decay_[key * kLoadParts / kKeySpaceSize] +=
      std::chrono::duration<double>(busy).count();
  samples_ = std::min(samples_ + 1, kMaxSamples);
}

void KeyLoad::Decay(Instant now) {
  if (!decayed_at_) {
    decayed_at_ = now;
    return;
  }
  const double elapsed =
      std::chrono::duration<double>(now - *decayed_at_).count();
  if (elapsed < kMinDecaySeconds)
    return;
  decayed_at_ = now;
  const double new_weight = 1 - std::exp(-elapsed / kReportDecaySeconds);
  // Until the average has its full weight, each observation counts by its share
  // of the weight so far.
  weight_ = weight_ + new_weight * (1 - weight_);
  const double step = new_weight / weight_;
  for (std::size_t part = 0; part < kLoadParts; ++part) {
    parts_[part] += step * (busy_since_decay_[part] / elapsed - parts_[part]);
    busy_since_decay_[part] = 0;
  }
}

void SmoothedLoad::Update(Instant now, const std::vector<double>& parts) {
  if (parts.empty())
    return;
  const double elapsed =
      std::chrono::duration<double>(now - updated_at_).count();
  updated_at_ = now;
  if (smoothed_.size() != parts.size()) {
    smoothed_ = parts;
    weight_ = 1 - std::exp(-kReportDecaySeconds / kSmoothingSeconds);
    return;
  }
  const double new_weight = 1 - std::exp(-elapsed / kSmoothingSeconds);
  weight_ += new_weight * (1 - weight_);
  const double step = new_weight / weight_;
  for (std::size_t part = 0; part < parts.size(); ++part) {
    double& smoothed = smoothed_[part];
    const auto [lower, higher] = std::minmax(smoothed, parts[part]);
    const bool changed =
        higher > kChangeFactor * lower && higher - lower > kMinLoadChange;
    smoothed =
        changed ? parts[part] : smoothed + step * (parts[part] - smoothed);
  }
}

KeyLoadReport MakeKeyLoadReport(const KeyLoad& load) {
  KeyLoadReport report;
  report.samples = load.samples();
  for (std::size_t part = 0; part < kLoadParts; ++part) {
    if (load.parts()[part] >= kMinReportedLoad)
      report.parts[static_cast<std::uint16_t>(part)] = load.parts()[part];
  }
  return report;
}

AdmittedShares LimitHotParts(const RangeTable& table,
                             const std::vector<double>& part_loads,
                             const std::map<TargetId, double>& capacities,
                             const TargetDirectory& directory) {
  std::map<TargetId, std::vector<std::uint16_t>> parts_of;
  for (std::size_t part = 0; part < part_loads.size(); ++part) {
    const auto middle_key = static_cast<ShardKey>(
        part * (kKeySpaceSize / kLoadParts) + kKeySpaceSize / kLoadParts / 2);
    if (const RangeEntry* entry = table.Find(middle_key))
      parts_of[entry->owner.id].push_back(static_cast<std::uint16_t>(part));
  }
  AdmittedShares shares;
  for (auto& [owner, parts] : parts_of) {
    const auto entry = directory.find(owner);
    if (entry == directory.end())
      continue;
    const auto known = capacities.find(owner);
    const double capacity =
        known != capacities.end() ? known->second : entry->second.slots;
    double total_load = 0;
    double hottest_load = 0;
    for (const std::uint16_t part : parts) {
      total_load += part_loads[part];
      hottest_load = std::max(hottest_load, part_loads[part]);
    }
    double admissible_load =
        capacity * (hottest_load > kHotKeyUtilization * capacity
                        ? kHotKeyUtilization
                        : kOverloadUtilization);
    if (total_load <= admissible_load)
      continue;
    // In order of load, so that each part with less load than its equal share
    // of what is left is admitted in full.
    std::sort(parts.begin(), parts.end(),
              [&](std::uint16_t a, std::uint16_t b) {
                return part_loads[a] < part_loads[b];
              });
    std::size_t parts_left = parts.size();
    for (const std::uint16_t part : parts) {
      const double max_part_load =
          admissible_load / static_cast<double>(parts_left);
      if (part_loads[part] > max_part_load)
        shares[part] = max_part_load / part_loads[part];
      admissible_load -= std::min(part_loads[part], max_part_load);
      --parts_left;
    }
  }
  return shares;
}

std::string EncodePeerDatagram(const PeerDatagram& datagram) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::PeerDatagram>();
  if (const auto* report = std::get_if<LoadReport>(&datagram))
    Write(*report, root.initReport());
  else
    Write(std::get<HotKeyLimits>(datagram), root.initAdmission());
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

Result<PeerDatagram> DecodePeerDatagram(std::string_view bytes) {
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(stream);
    const auto root = message.getRoot<wire::PeerDatagram>();
    if (root.isReport())
      return PeerDatagram(Read(root.getReport()));
    if (root.isAdmission())
      return PeerDatagram(Read(root.getAdmission()));
    return Fail(ErrorCode::kProtocol, "peer datagram has an unknown type");
  } catch (const kj::Exception& error) {
    return Fail(ErrorCode::kProtocol, std::string("invalid peer datagram: ") +
                                          error.getDescription().cStr());
  }
}

void LoadAggregator::OnReport(Instant now, LoadReport report) {
  Received& known = reports_[report.vm];
  if (report.targets.empty())
    report.targets = std::move(known.report.targets);
  known = {now, std::move(report)};
}

bool LoadAggregator::HasRecentReport(Instant now, const VmId& vm) const {
  const auto found = reports_.find(vm);
  return found != reports_.end() && now - found->second.at < kRecentReportAge;
}

std::vector<double> LoadAggregator::PartLoads(Instant now,
                                              const ServiceId& service,
                                              std::size_t members) const {
  std::vector<double> part_loads(kLoadParts);
  std::size_t reporting = 0;
  std::uint32_t samples = 0;
  for (const auto& [vm, received] : reports_) {
    if (now - received.at > kMaxReportAge)
      continue;
    ++reporting;
    const auto key_load = received.report.services.find(service);
    if (key_load == received.report.services.end())
      continue;
    samples += key_load->second.samples;
    for (const auto& [part, busy] : key_load->second.parts)
      part_loads[part] += busy;
  }
  if (samples < kMinSamples)
    return {};
  const double scale = static_cast<double>(std::max(members, reporting)) /
                       static_cast<double>(reporting);
  for (double& part : part_loads)
    part *= scale;
  return part_loads;
}

std::map<TargetId, double> LoadAggregator::Capacities(
    Instant now,
    const TargetDirectory& directory,
    const ServiceId& service) const {
  std::map<TargetId, ProcessingTime> sums;
  for (const auto& [vm, received] : reports_) {
    if (now - received.at > kMaxReportAge)
      continue;
    for (const auto& [target, processing_time] : received.report.targets) {
      const auto known = directory.find(target);
      if (known == directory.end() || known->second.service != service)
        continue;
      ProcessingTime& sum = sums[target];
      sum.mean += Scaled(processing_time.mean, processing_time.samples);
      sum.samples += processing_time.samples;
    }
  }
  std::map<TargetId, double> capacities;
  double total_time = 0;
  double samples = 0;
  for (const auto& [target, sum] : sums) {
    total_time += static_cast<double>(sum.mean.count());
    samples += sum.samples;
  }
  if (total_time <= 0 || samples <= 0)
    return capacities;
  // With few samples a target is taken to have nearly the mean speed.
  const double mean_time = total_time / samples;
  std::map<TargetId, double> estimates;
  double log_sum = 0;
  for (const auto& [target, sum] : sums) {
    const double processing_time =
        (static_cast<double>(sum.mean.count()) + kPriorSamples * mean_time) /
        (sum.samples + kPriorSamples);
    estimates[target] = processing_time;
    log_sum += std::log(std::max(1.0, processing_time));
  }
  const double geometric_mean =
      std::exp(log_sum / static_cast<double>(estimates.size()));
  for (const auto& [target, processing_time] : estimates) {
    const double speed =
        std::clamp(geometric_mean / std::max(1.0, processing_time),
                   kMinSpeedFactor, kMaxSpeedFactor);
    capacities[target] = directory.at(target).slots * speed;
  }
  return capacities;
}

}  // namespace figstall
