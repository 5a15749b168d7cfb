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
// Keys with less load, in busy seconds per second, are omitted from reports.
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
    auto keys = out.initKeys(static_cast<unsigned>(key_load.keys.size()));
    auto busy = out.initKeyBusy(static_cast<unsigned>(key_load.keys.size()));
    unsigned key_index = 0;
    for (const auto& [key, seconds] : key_load.keys) {
      keys.set(key_index, key);
      busy.set(key_index++, static_cast<std::uint32_t>(seconds * 1e6));
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
  auto notices = root.initNotices(static_cast<unsigned>(report.notices.size()));
  index = 0;
  for (const ReportedNotice& notice : report.notices) {
    auto out = notices[index++];
    out.setTarget(notice.target.id.value());
    out.setStartedAtMillis(notice.target.started_at_ms);
    out.setLeaving(notice.leaving);
  }
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
    const auto keys = service.getKeys();
    const auto busy = service.getKeyBusy();
    for (unsigned i = 0; i < std::min(keys.size(), busy.size()); ++i)
      key_load.keys[keys[i]] = busy[i] / 1e6;
  }
  for (const auto target : root.getTargets())
    report.targets[TargetId(std::string(target.getTarget()))] = {
        Duration(target.getWorkMicros()), std::max(0.0F, target.getSamples())};
  for (const auto notice : root.getNotices()) {
    report.notices.push_back({{TargetId(std::string(notice.getTarget())),
                               notice.getStartedAtMillis()},
                              notice.getLeaving()});
  }
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
    const auto count = static_cast<unsigned>(shares.size());
    auto firsts = out.initFirsts(count);
    auto lasts = out.initLasts(count);
    auto thousandths = out.initRangeShares(count);
    for (unsigned i = 0; i < count; ++i) {
      firsts.set(i, shares[i].range.first);
      lasts.set(i, shares[i].range.last);
      thousandths.set(i, static_cast<std::uint16_t>(shares[i].share * 1000));
    }
  }
}

HotKeyLimits Read(wire::Admission::Reader root) {
  HotKeyLimits limits;
  limits.mover = VmId(root.getMover());
  for (const auto service : root.getServices()) {
    AdmittedShares& shares =
        limits.services[ServiceId(std::string(service.getService()))];
    const auto firsts = service.getFirsts();
    const auto lasts = service.getLasts();
    const auto thousandths = service.getRangeShares();
    const unsigned count =
        std::min({firsts.size(), lasts.size(), thousandths.size()});
    for (unsigned i = 0; i < count; ++i) {
      if (firsts[i] <= lasts[i] &&
          (shares.empty() || shares.back().range.last < firsts[i]))
        shares.push_back({{firsts[i], lasts[i]}, thousandths[i] / 1000.0});
    }
  }
  return limits;
}

}  // namespace

void KeyLoad::Add(ShardKey key, Duration busy) {
  busy_since_decay_[key] += std::chrono::duration<double>(busy).count();
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
  for (auto& [key, load] : keys_)
    load -= step * load;
  for (const auto& [key, busy] : busy_since_decay_)
    keys_[key] += step * busy / elapsed;
  busy_since_decay_.clear();
  std::erase_if(
      keys_, [](const auto& each) { return each.second < kMinReportedLoad; });
}

void SmoothedLoad::Update(Instant now, const std::vector<double>& parts) {
  if (parts.empty())
    return;
  const double elapsed =
      std::chrono::duration<double>(now - updated_at_).count();
  updated_at_ = now;
  if (smoothed_.parts().size() != parts.size()) {
    smoothed_ = RangeLoad(parts);
    weight_ = 1 - std::exp(-kReportDecaySeconds / kSmoothingSeconds);
    return;
  }
  const double new_weight = 1 - std::exp(-elapsed / kSmoothingSeconds);
  weight_ += new_weight * (1 - weight_);
  const double step = new_weight / weight_;
  std::vector<double> next = smoothed_.parts();
  for (std::size_t part = 0; part < parts.size(); ++part) {
    double& smoothed = next[part];
    const auto [lower, higher] = std::minmax(smoothed, parts[part]);
    const bool changed =
        higher > kChangeFactor * lower && higher - lower > kMinLoadChange;
    smoothed =
        changed ? parts[part] : smoothed + step * (parts[part] - smoothed);
  }
  smoothed_ = RangeLoad(std::move(next));
}

KeyLoadReport MakeKeyLoadReport(const KeyLoad& load) {
  KeyLoadReport report;
  report.samples = load.samples();
  report.keys = load.keys();
  return report;
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

std::vector<double> LoadAggregator::KeyLoads(Instant now,
                                             const ServiceId& service,
                                             std::size_t members) const {
  std::vector<double> key_loads(kKeySpaceSize);
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
    for (const auto& [key, busy] : key_load->second.keys)
      key_loads[key] += busy;
  }
  if (samples < kMinSamples)
    return {};
  const double scale = static_cast<double>(std::max(members, reporting)) /
                       static_cast<double>(reporting);
  for (double& load : key_loads)
    load *= scale;
  return key_loads;
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
