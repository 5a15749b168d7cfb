// A router's links to the targets of its own zone: connections, the router's
// share of each target's budget, and what the router itself sees of their
// health.
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

// One target as this router sees it.
class PooledTarget {
 public:
  PooledTarget(const VmRecord& record, std::uint32_t connections);

  const VmId& id() const { return id_; }
  const Endpoint& endpoint() const { return endpoint_; }
  HttpClient& client() { return client_; }
  AdmissionGate& gate() { return gate_; }

  // A target that could not be reached is left alone for a moment.
  bool Ejected(Instant now) const;
  void OnUnreachable(Instant now);
  void OnAnswer(Duration latency);

  // Requests in flight times smoothed latency: less is better.
  double Burden() const;
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

  // Links of unchanged targets, and so their connections, are kept.
  void SetConfiguration(const Configuration& configuration);

  PooledTargetPtr Find(const VmId& target) const;

  // The less burdened of two targets of a shared service drawn at random from
  // those that are neither leaving nor suspect (Mitzenmacher 2001).
  PooledTargetPtr PickShared(Instant now,
                             const ServiceId& service,
                             std::uint64_t draw) const;

 private:
  struct Entry {
    VmRecord record;
    PooledTargetPtr link;
  };

  const ZoneId zone_;
  mutable std::mutex mutex_;
  std::map<VmId, Entry> entries_;
  std::map<ServiceId, std::vector<PooledTargetPtr>> usable_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_POOL_H_
