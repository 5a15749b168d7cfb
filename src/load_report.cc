// Loads are exponential moving averages, on each member over half a second and
// on the mover over seconds.
#include "figstall/load_report.h"

#include <algorithm>
#include <cmath>

namespace figstall {
namespace {

// Time in which an observation loses most of its weight in a member's report.
// It is short, since hot keys change within seconds.
constexpr double kReportDecaySeconds = 0.5;
// The same for the mover's average, SmoothedLoad.
constexpr double kSmoothingSeconds = 5;
// The average of a part is replaced by its newest load if the two differ by
// more than this factor, by more than this many busy seconds per second, and by
// more than what this many requests add to the newest load as they arrive. With
// requests of 100 ms or less the last two are the same. Without the last one,
// each single request of 350 ms for a rarely used key replaced the key's
// average, which made the load of a whole service up to four times too high.
constexpr double kChangeFactor = 3;
constexpr double kMinLoadChange = 0.6;
constexpr double kMinRequestsRise = 4;
// Less than for a rise, so that a rise by chance is soon undone.
constexpr double kMinRequestsFall = 1;
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

void SmoothedLoad::Update(Instant now,
                          const std::vector<double>& parts,
                          Duration request_time) {
  if (parts.empty())
    return;
  const double load_of_request =
      std::chrono::duration<double>(request_time).count() / kReportDecaySeconds;
  const double min_rise =
      std::max(kMinLoadChange, kMinRequestsRise * load_of_request);
  const double min_fall =
      std::max(kMinLoadChange, kMinRequestsFall * load_of_request);
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
        higher > kChangeFactor * lower &&
        higher - lower > (parts[part] > smoothed ? min_rise : min_fall);
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
  std::uint32_t samples = 0;
  for (const auto& [vm, received] : reports_) {
    if (now - received.at > kMaxReportAge)
      continue;
    const auto key_load = received.report.services.find(service);
    if (key_load == received.report.services.end())
      continue;
    samples += key_load->second.samples;
    for (const auto& [key, busy] : key_load->second.keys)
      key_loads[key] += busy;
  }
  if (samples < kMinSamples)
    return {};
  const double scale = ExtrapolationFactor(now, members);
  for (double& load : key_loads)
    load *= scale;
  return key_loads;
}

double LoadAggregator::ExtrapolationFactor(Instant now,
                                           std::size_t members) const {
  const auto reporting = static_cast<std::size_t>(
      std::count_if(reports_.begin(), reports_.end(), [now](const auto& each) {
        return now - each.second.at <= kMaxReportAge;
      }));
  return reporting == 0 ? 1
                        : static_cast<double>(std::max(members, reporting)) /
                              static_cast<double>(reporting);
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
