// The targets of a router's own zone: connections to them, the router's share
// of each target's connection limit, and the load and health that the router
// observes.
#ifndef FIGSTALL_TARGET_POOL_H_
#define FIGSTALL_TARGET_POOL_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "figstall/admission_gate.h"
#include "figstall/configuration.h"
#include "figstall/http_client.h"

namespace figstall {

// One target, with this router's connections to it and observations of it.
class PooledTarget {
 public:
  PooledTarget(const VmRecord& record, std::uint32_t connections);

  const VmId& id() const { return id_; }
  const Endpoint& endpoint() const { return endpoint_; }
  HttpClient& client() { return client_; }
  AdmissionGate& gate() { return gate_; }

  // An unreachable target is ejected for a short time: it is sent no requests.
  bool Ejected(Instant now) const;
  void OnUnreachable(Instant now);
  void OnAnswer(Duration latency);

  // One more than the requests in flight, times the smoothed latency in
  // seconds; lower is better.
  double Load() const;
  std::atomic<std::uint32_t>& in_flight() { return in_flight_; }

 private:
  const VmId id_;
  const Endpoint endpoint_;
  HttpClient client_;
  AdmissionGate gate_;
  std::atomic<std::uint32_t> in_flight_ = 0;
  std::atomic<std::int64_t> ejected_until_us_ = 0;
  std::atomic<double> smoothed_seconds_ = 1e-3;
};

class TargetPool {
 public:
  using PooledTargetPtr = std::shared_ptr<PooledTarget>;

  explicit TargetPool(ZoneId zone) : zone_(std::move(zone)) {}

  // Keeps the connections of targets whose endpoint and connection limit did
  // not change.
  void SetConfiguration(const Configuration& configuration);

  PooledTargetPtr Find(const VmId& target) const;

  // Returns the less loaded of two targets of a shared service, or null if
  // there is none. `draw` selects the two at random among the targets that are
  // neither leaving nor ejected (Mitzenmacher 2001).
  PooledTargetPtr PickShared(Instant now,
                             const ServiceId& service,
                             std::uint64_t draw) const;

 private:
  struct Entry {
    VmRecord record;
    PooledTargetPtr target;
  };

  const ZoneId zone_;
  mutable std::mutex mutex_;
  std::map<VmId, Entry> entries_;
  std::map<ServiceId, std::vector<PooledTargetPtr>> usable_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_POOL_H_
