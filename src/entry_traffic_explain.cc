// Explains for EntryTraffic where a request would be sent. Takes the steps of
// Exchange::Start() without their effects: no request is counted, no credit is
// asked for, and the turn of a service among several is not taken.
#include "figstall/clock.h"
#include "figstall/entry_traffic.h"
#include "figstall/region_rules.h"
#include "parse_number.h"

namespace figstall {
namespace {

// Age of what a verdict rests on.
std::optional<Duration> AgeOf(Instant now,
                              const TargetVerdict& verdict,
                              const TargetNotices& notices,
                              const TargetLoad& load,
                              Duration view_age) {
  std::optional<Instant> since;
  switch (verdict.reason) {
    case Unavailability::kLeaving:
      since = notices.LeavingSince(verdict.target);
      break;
    case Unavailability::kAwaitingCredit:
    case Unavailability::kRateLimited:
      if (const RateLimit* limit = notices.LimitOf(verdict.target))
        since = limit->stated_at;
      break;
    case Unavailability::kNone:
    case Unavailability::kPaused:
    case Unavailability::kNoCapacity:
    case Unavailability::kOpensSlowly:
    case Unavailability::kYieldsToPriority:
      since = load.answered_at();
      break;
    default:
      return view_age;
  }
  return since ? std::optional(now - *since) : std::nullopt;
}

}  // namespace

RequestExplanation EntryTraffic::Explain(Instant now,
                                         const RequestDescription& request) {
  RequestExplanation explanation;
  explanation.entry = settings_.vm;
  explanation.view_age = now - view_.last_update_at;
  if (!view_.routes) {
    explanation.reason = "no-desired-state";
    return explanation;
  }
  explanation.version = view_.routes->state().version;
  const IngressRoute* route = view_.routes->Find(request.host, request.path);
  if (!route) {
    explanation.reason = "no-route";
    return explanation;
  }
  const AllowedRegions regions =
      RegionsForRequest(view_.routes->state(), route, request.accounts);
  explanation.route = route->name;
  explanation.allowed_regions = ToString(regions);
  if (shutdown_deadline_ && now + route->request_timeout > *shutdown_deadline_)
    explanation.reason = "stopping";
  else if (!standstill_.MaySend(now))
    explanation.reason = ToString(Unavailability::kStandstill);
  for (const WeightedService& part : route->services)
    explanation.services.push_back(
        ExplainService(now, *route, part, request, regions));
  return explanation;
}

ServiceExplanation EntryTraffic::ExplainService(
    Instant now,
    const IngressRoute& route,
    const WeightedService& part,
    const RequestDescription& request,
    const AllowedRegions& regions) {
  ServiceExplanation explanation;
  explanation.service = part.service;
  explanation.weight = part.weight;
  TargetQuery query;
  query.service = part.service;
  query.bulk = route.bulk;
  query.latency_objective = route.latency_objective;
  query.mean_latency = MeanLatency(part.service);
  query.allowed_regions = regions;
  if (const auto rate = request_rates_.find(part.service);
      rate != request_rates_.end())
    query.request_rate = rate->second.At(now);
  query.reserved = priority_.ReservedAtTarget(
      now, part.service, route.priority, query.mean_latency,
      targets_.RouterCount(), targets_.TargetCount(part.service));
  SelectionTrace trace;
  query.trace = &trace;
  const TargetService* service = view_.routes->FindService(part.service);
  if (service && service->keyed) {
    query.key = detail::ParseNumber<ShardKey>(request.key);
    if (!query.key) {
      explanation.reason = "no-key";
      explanation.detail = "the service needs a key from 0 to 65535";
      return explanation;
    }
    explanation.admitted_share = AdmittedShare(now, part.service, *query.key);
  }
  const TargetChoice choice = targets_.Choose(now, query);
  if (choice.client) {
    explanation.chosen = choice.client->entry().incarnation.id;
  } else {
    explanation.reason = ToString(choice.reason);
    explanation.detail = targets_.Explain(now, query, choice);
  }
  for (const auto& [id, verdict] : trace.verdicts) {
    const TargetClient& client = *targets_.Find(id);
    TargetExplanation target;
    target.target = id;
    target.zone = client.entry().zone;
    target.chosen = choice.client == &client;
    target.reason = ToString(verdict.reason);
    if (verdict.available_at)
      target.available_in = *verdict.available_at - now;
    target.information_age = AgeOf(now, verdict, notices_.notices(),
                                   client.load(), now - view_.last_update_at);
    explanation.targets.push_back(std::move(target));
  }
  return explanation;
}

}  // namespace figstall
