// Datagrams are packed Cap'n Proto. Lists that belong together are cut to the
// shortest one.
#include "figstall/peer_datagram.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>

#include "peer.capnp.h"

namespace figstall {
namespace {

// Older statements are taken for damaged ones.
constexpr std::uint64_t kMaxLimitAgeMicros = 24ULL * 3600 * 1'000'000;
// The same for warm-ups that end later.
constexpr std::uint64_t kMaxWarmUpLeftMicros = kMaxLimitAgeMicros;

// Words of eight bytes of a datagram when it is unpacked, sixteen times its
// longest packed form.
constexpr std::uint64_t kMaxDatagramWords = 131'072;

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
  out.setGrantsEnded(report.grants_ended);
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
  report.grants_ended = in.getGrantsEnded();
  return report;
}

void Write(const TargetIncarnation& target,
           bool leaving,
           const std::optional<LimitStatement>& limit,
           const std::optional<WarmUpStatement>& warm_up,
           wire::TargetNotice::Builder out) {
  out.setTarget(target.id.value());
  out.setStartedAtMillis(target.started_at_ms);
  out.setLeaving(leaving);
  if (warm_up) {
    out.setWarmUpLeftMicros(static_cast<std::uint64_t>(warm_up->left.count()));
    out.setWarmUpPerSecond(warm_up->per_second);
  }
  out.setLimitKnown(limit.has_value());
  if (!limit)
    return;
  out.setLimitPerSecond(limit->per_second.value_or(-1));
  out.setLimitAgeMicros(static_cast<std::uint64_t>(limit->age.count()));
}

// Returns no statement that is out of range, since it is damaged.
std::optional<LimitStatement> ReadLimit(wire::TargetNotice::Reader in) {
  if (!in.getLimitKnown() || !std::isfinite(in.getLimitPerSecond()) ||
      in.getLimitAgeMicros() > kMaxLimitAgeMicros)
    return std::nullopt;
  LimitStatement limit;
  if (in.getLimitPerSecond() >= 0)
    limit.per_second = in.getLimitPerSecond();
  limit.age = Duration(static_cast<Duration::rep>(in.getLimitAgeMicros()));
  return limit;
}

std::optional<WarmUpStatement> ReadWarmUp(wire::TargetNotice::Reader in) {
  const std::uint64_t left = in.getWarmUpLeftMicros();
  const double per_second = in.getWarmUpPerSecond();
  if (left == 0 || left > kMaxWarmUpLeftMicros || !std::isfinite(per_second) ||
      per_second <= 0)
    return std::nullopt;
  return WarmUpStatement{Duration(static_cast<Duration::rep>(left)),
                         per_second};
}

TargetIncarnation ReadTarget(wire::TargetNotice::Reader in) {
  return {TargetId(std::string(in.getTarget())), in.getStartedAtMillis()};
}

void Write(const CreditRequest& request, wire::CreditRequest::Builder out) {
  out.setFrom(request.from.value());
  out.setSerial(request.serial);
  out.setWanted(request.wanted);
  Write(request.target, /*leaving=*/false, request.limit, request.warm_up,
        out.initTarget());
}

CreditRequest Read(wire::CreditRequest::Reader in) {
  return {VmId(std::string(in.getFrom())), in.getSerial(),
          ReadTarget(in.getTarget()),      in.getWanted(),
          ReadLimit(in.getTarget()),       ReadWarmUp(in.getTarget())};
}

void Write(const CreditResponse& response, wire::CreditResponse::Builder out) {
  out.setFrom(response.from.value());
  out.setSerial(response.serial);
  out.setGranted(response.granted);
  out.setBackoffMicros(static_cast<std::uint32_t>(response.backoff.count()));
  Write(response.target, /*leaving=*/false, response.limit, response.warm_up,
        out.initTarget());
}

CreditResponse Read(wire::CreditResponse::Reader in) {
  return {VmId(std::string(in.getFrom())), in.getSerial(),
          ReadTarget(in.getTarget()),      in.getGranted(),
          Duration(in.getBackoffMicros()), ReadLimit(in.getTarget()),
          ReadWarmUp(in.getTarget())};
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
    Write(notice.target, notice.leaving, notice.limit, notice.warm_up,
          notices[index++]);
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
    report.notices.push_back({ReadTarget(notice), notice.getLeaving(),
                              ReadLimit(notice), ReadWarmUp(notice)});
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

std::string EncodePeerDatagram(const PeerDatagram& datagram) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::PeerDatagram>();
  if (const auto* report = std::get_if<LoadReport>(&datagram))
    Write(*report, root.initReport());
  else if (const auto* request = std::get_if<CreditRequest>(&datagram))
    Write(*request, root.initCreditRequest());
  else if (const auto* response = std::get_if<CreditResponse>(&datagram))
    Write(*response, root.initCreditResponse());
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
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxDatagramWords;
    capnp::PackedMessageReader message(stream, options);
    const auto root = message.getRoot<wire::PeerDatagram>();
    if (root.isReport())
      return PeerDatagram(Read(root.getReport()));
    if (root.isAdmission())
      return PeerDatagram(Read(root.getAdmission()));
    if (root.isCreditRequest())
      return PeerDatagram(Read(root.getCreditRequest()));
    if (root.isCreditResponse())
      return PeerDatagram(Read(root.getCreditResponse()));
    return Fail(ErrorCode::kProtocol, "peer datagram has an unknown type");
  } catch (const kj::Exception& error) {
    return Fail(ErrorCode::kProtocol, std::string("invalid peer datagram: ") +
                                          error.getDescription().cStr());
  }
}

}  // namespace figstall
