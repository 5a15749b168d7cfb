// Implements reports of load.
#include "figstall/load_report.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>

#include "peer.capnp.h"

namespace figstall {
namespace {

// Time in which an observation loses most of its weight in a member's report;
// short, since hot keys change within seconds.
constexpr double kFadeSeconds = 0.5;
// The same for the mover's average.
constexpr double kSteadySeconds = 5;
// A part whose load differs from its average by this factor, and by this many
// busy seconds a second, has changed.
constexpr double kChangeFactor = 3;
constexpr double kLeastChange = 0.6;
constexpr double kLeastSpan = 0.2;
constexpr std::uint32_t kMostSamples = 1000;
// Load that is told at all, in busy seconds per second.
constexpr double kLeastTold = 0.0005;
// Reports older than this count no more.
constexpr Duration kReportAge = std::chrono::milliseconds(2500);
// Requests that all members together must have seen before load is believed.
constexpr std::uint32_t kEnoughSamples = 120;
// A target's measured speed counts within these factors of the usual one.
constexpr double kLeastSpeed = 0.15;
constexpr double kMostSpeed = 2.5;
// Answers of usual speed that are assumed of each target beside its own.
constexpr double kAssumedSamples = 4;
// A member that reported within this time is heard.
constexpr Duration kHeard = std::chrono::milliseconds(1200);

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
  for (const auto& [service, heat] : report.services) {
    auto out = services[index++];
    out.setService(service.value());
    out.setSamples(heat.samples);
    auto parts = out.initParts(static_cast<unsigned>(heat.parts.size()));
    auto busy = out.initBusy(static_cast<unsigned>(heat.parts.size()));
    unsigned place = 0;
    for (const auto& [part, seconds] : heat.parts) {
      parts.set(place, part);
      busy.set(place++, static_cast<std::uint32_t>(seconds * 1e6));
    }
  }
  auto targets = root.initTargets(static_cast<unsigned>(report.targets.size()));
  index = 0;
  for (const auto& [target, work] : report.targets) {
    auto out = targets[index++];
    out.setTarget(target.value());
    out.setWorkMicros(static_cast<std::uint32_t>(work.mean.count()));
    out.setSamples(static_cast<float>(work.samples));
  }
  Write(report.grants, root.initGrants());
}

LoadReport Read(wire::PeerReport::Reader root) {
  LoadReport report;
  report.vm = VmId(root.getVm());
  report.incarnation = root.getIncarnation();
  report.grants = Read(root.getGrants());
  for (const auto service : root.getServices()) {
    KeyLoadReport& heat =
        report.services[ServiceId(std::string(service.getService()))];
    heat.samples = service.getSamples();
    const auto parts = service.getParts();
    const auto busy = service.getBusy();
    for (unsigned i = 0; i < std::min(parts.size(), busy.size()); ++i) {
      if (parts[i] < kLoadParts)
        heat.parts[parts[i]] = busy[i] / 1e6;
    }
  }
  for (const auto target : root.getTargets())
    report.targets[TargetId(std::string(target.getTarget()))] = {
        Duration(target.getWorkMicros()), std::max(0.0F, target.getSamples())};
  return report;
}

void Write(const HotKeyLimits& order, wire::Admission::Builder root) {
  root.setMover(order.mover.value());
  auto services =
      root.initServices(static_cast<unsigned>(order.services.size()));
  unsigned index = 0;
  for (const auto& [service, shares] : order.services) {
    auto out = services[index++];
    out.setService(service.value());
    auto parts = out.initParts(static_cast<unsigned>(shares.size()));
    auto thousandths = out.initShares(static_cast<unsigned>(shares.size()));
    unsigned place = 0;
    for (const auto& [part, share] : shares) {
      parts.set(place, part);
      thousandths.set(place++, static_cast<std::uint16_t>(share * 1000));
    }
  }
}

HotKeyLimits Read(wire::Admission::Reader root) {
  HotKeyLimits order;
  order.mover = VmId(root.getMover());
  for (const auto service : root.getServices()) {
    AdmittedShares& shares =
        order.services[ServiceId(std::string(service.getService()))];
    const auto parts = service.getParts();
    const auto thousandths = service.getShares();
    for (unsigned i = 0; i < std::min(parts.size(), thousandths.size()); ++i) {
      if (parts[i] < kLoadParts)
        shares[parts[i]] = thousandths[i] / 1000.0;
    }
  }
  return order;
}

}  // namespace

void KeyLoad::Add(ShardKey key, Duration busy) {
  recent_[key * kLoadParts / kKeySpaceSize] +=
      std::chrono::duration<double>(busy).count();
  samples_ = std::min(samples_ + 1, kMostSamples);
}

void KeyLoad::Decay(Instant now) {
  if (!faded_at_) {
    faded_at_ = now;
    return;
  }
  const double span = std::chrono::duration<double>(now - *faded_at_).count();
  if (span < kLeastSpan)
    return;
  faded_at_ = now;
  const double fresh = 1 - std::exp(-span / kFadeSeconds);
  // Until the average is full, each observation counts by its share of it.
  weight_ = weight_ + fresh * (1 - weight_);
  const double step = fresh / weight_;
  for (std::size_t part = 0; part < kLoadParts; ++part) {
    parts_[part] += step * (recent_[part] / span - parts_[part]);
    recent_[part] = 0;
  }
}

void SmoothedLoad::Update(Instant now, const std::vector<double>& parts) {
  if (parts.empty())
    return;
  const double span = std::chrono::duration<double>(now - updated_at_).count();
  updated_at_ = now;
  if (steady_.size() != parts.size()) {
    steady_ = parts;
    weight_ = 1 - std::exp(-kFadeSeconds / kSteadySeconds);
    return;
  }
  const double fresh = 1 - std::exp(-span / kSteadySeconds);
  weight_ += fresh * (1 - weight_);
  const double step = fresh / weight_;
  for (std::size_t part = 0; part < parts.size(); ++part) {
    double& steady = steady_[part];
    const auto [less, more] = std::minmax(steady, parts[part]);
    const bool changed =
        more > kChangeFactor * less && more - less > kLeastChange;
    steady = changed ? parts[part] : steady + step * (parts[part] - steady);
  }
}

KeyLoadReport MakeKeyLoadReport(const KeyLoad& heat) {
  KeyLoadReport report;
  report.samples = heat.samples();
  for (std::size_t part = 0; part < kLoadParts; ++part) {
    if (heat.parts()[part] >= kLeastTold)
      report.parts[static_cast<std::uint16_t>(part)] = heat.parts()[part];
  }
  return report;
}

AdmittedShares LimitHotParts(const RangeTable& table,
                             const std::vector<double>& heat,
                             const std::map<TargetId, double>& capacities,
                             const TargetDirectory& directory) {
  std::map<TargetId, std::vector<std::uint16_t>> parts_of;
  for (std::size_t part = 0; part < heat.size(); ++part) {
    const auto middle = static_cast<ShardKey>(
        part * (kKeySpaceSize / kLoadParts) + kKeySpaceSize / kLoadParts / 2);
    if (const RangeEntry* entry = table.Find(middle))
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
    double load = 0;
    double hottest = 0;
    for (const std::uint16_t part : parts) {
      load += heat[part];
      hottest = std::max(hottest, heat[part]);
    }
    double room = capacity * (hottest > kHotKeyUtilization * capacity
                                  ? kHotKeyUtilization
                                  : kOverloadUtilization);
    if (load <= room)
      continue;
    // Parts in order of heat: each cooler than the level fits in full.
    std::sort(
        parts.begin(), parts.end(),
        [&](std::uint16_t a, std::uint16_t b) { return heat[a] < heat[b]; });
    std::size_t left = parts.size();
    for (const std::uint16_t part : parts) {
      const double level = room / static_cast<double>(left);
      if (heat[part] > level)
        shares[part] = level / heat[part];
      room -= std::min(heat[part], level);
      --left;
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
    return Fail(ErrorCode::kProtocol, "datagram of an unknown kind");
  } catch (const kj::Exception& error) {
    return Fail(ErrorCode::kProtocol, std::string("invalid datagram: ") +
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
  return found != reports_.end() && now - found->second.at < kHeard;
}

std::vector<double> LoadAggregator::PartLoads(Instant now,
                                              const ServiceId& service,
                                              std::size_t members) const {
  std::vector<double> sum(kLoadParts);
  std::size_t heard = 0;
  std::uint32_t samples = 0;
  for (const auto& [vm, received] : reports_) {
    if (now - received.at > kReportAge)
      continue;
    ++heard;
    const auto heat = received.report.services.find(service);
    if (heat == received.report.services.end())
      continue;
    samples += heat->second.samples;
    for (const auto& [part, busy] : heat->second.parts)
      sum[part] += busy;
  }
  if (samples < kEnoughSamples)
    return {};
  const double scale = static_cast<double>(std::max(members, heard)) /
                       static_cast<double>(heard);
  for (double& part : sum)
    part *= scale;
  return sum;
}

std::map<TargetId, double> LoadAggregator::Capacities(
    Instant now,
    const TargetDirectory& directory,
    const ServiceId& service) const {
  std::map<TargetId, ProcessingTime> sums;
  for (const auto& [vm, received] : reports_) {
    if (now - received.at > kReportAge)
      continue;
    for (const auto& [target, work] : received.report.targets) {
      const auto known = directory.find(target);
      if (known == directory.end() || known->second.service != service)
        continue;
      ProcessingTime& sum = sums[target];
      sum.mean += Scaled(work.mean, work.samples);
      sum.samples += work.samples;
    }
  }
  std::map<TargetId, double> capacities;
  double all = 0;
  double samples = 0;
  for (const auto& [target, sum] : sums) {
    all += static_cast<double>(sum.mean.count());
    samples += sum.samples;
  }
  if (all <= 0 || samples <= 0)
    return capacities;
  // Until a target has answered often enough, it counts as one of mean speed.
  const double usual = all / samples;
  std::map<TargetId, double> works;
  double logs = 0;
  for (const auto& [target, sum] : sums) {
    const double work =
        (static_cast<double>(sum.mean.count()) + kAssumedSamples * usual) /
        (sum.samples + kAssumedSamples);
    works[target] = work;
    logs += std::log(std::max(1.0, work));
  }
  const double middle = std::exp(logs / static_cast<double>(works.size()));
  for (const auto& [target, work] : works) {
    const double speed =
        std::clamp(middle / std::max(1.0, work), kLeastSpeed, kMostSpeed);
    capacities[target] = directory.at(target).slots * speed;
  }
  return capacities;
}

}  // namespace figstall
