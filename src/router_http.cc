// The HTTP endpoints of a router, and the log lines and metrics of its
// requests.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "figstall/caller_request.h"
#include "figstall/clock.h"
#include "figstall/router_node.h"

namespace figstall {

namespace {

using nlohmann::json;

}  // namespace

// --- HTTP
// ----------------------------------------------------------------------

ServerResponse RouterNode::OnHttp(const ServerRequest& call) {
  if (call.path == "/figstall/live")
    return {200, "text/plain", {}, "live\n"};
  if (call.path == "/figstall/ready")
    return ReadyReply();
  if (call.path == "/figstall/metrics")
    return {200, "text/plain; version=0.0.4", {}, metrics_.Expose()};
  if (call.path == "/figstall/status")
    return Status();
  if (call.path == "/figstall/explain")
    return Explain(call);
  if (call.path == "/figstall/request-ids" && call.method == "POST")
    return IssueRequestId();
  return OnCallerRequest(call);
}

ServerResponse RouterNode::ReadyReply() const {
  if (ready())
    return {200, "text/plain", {}, "ready\n"};
  return {503,
          "text/plain",
          {},
          draining_ ? "stopping\n" : "some owners are not known yet\n"};
}

ServerResponse RouterNode::IssueRequestId() {
  if (refusing_)
    return ErrorResponse(Outcome::kNotRun, Reason::kStopping, {});
  const std::lock_guard lock(once_mutex_);
  const RequestId id = at_most_once_.Issue(BootNow());
  return {
      200, "application/json", {}, json{{"id", id.ToString()}}.dump() + "\n"};
}

ServerResponse RouterNode::OnCallerRequest(const ServerRequest& call) {
  const Instant arrived = BootNow();
  const auto configuration = configuration_.Current();
  if (!configuration)
    return ErrorResponse(Outcome::kNotRun, Reason::kNoConfiguration, {});
  return HandleError(
      [&]() -> Result<ServerResponse> {
        BOOST_LEAF_AUTO(request,
                        ParseCallerRequest(call, *configuration, arrived));
        const bool needs_id = !request.idempotent && !request.id;
        if (needs_id) {
          const std::lock_guard lock(once_mutex_);
          request.id = at_most_once_.Issue(arrived);
        }
        ServerResponse response = ResponseFor(Serve(request, Arrival::kCaller));
        if (request.id)
          response.headers.emplace_back(kRequestIdHeader,
                                        request.id->ToString());
        return response;
      },
      [&](const Error& error) {
        const bool no_service = error.message == "no such service";
        const Reason reason =
            no_service ? Reason::kNoSuchService : Reason::kBadRequest;
        const std::string place =
            error.findings.empty() ? "" : error.findings.front().ToString();
        log_.Write(LogLevel::kInfo, "route",
                   {{"outcome", ToString(Outcome::kNotRun)},
                    {"reason", ToString(reason)},
                    {"place", place}});
        return ErrorResponse(Outcome::kNotRun, reason, error.findings);
      });
}

ServerResponse RouterNode::Explain(const ServerRequest& call) const {
  const auto configuration = configuration_.Current();
  const ServiceId id(call.parameter("service"));
  const std::string key = call.parameter("key");
  const ServiceRecord* service =
      configuration ? configuration->FindService(id) : nullptr;
  if (!service || key.empty()) {
    return ErrorResponse(
        Outcome::kNotRun, Reason::kBadRequest,
        {{"request", "query", "needs a declared service and a key"}});
  }
  const std::uint32_t partition = PartitionOf(key, service->partitions);
  json body = {
      {"service", id.value()},          {"key", key},
      {"partition", partition},         {"revision", configuration->revision()},
      {"router", settings_.vm.value()}, {"zone", settings_.zone.value()}};
  if (!service->exclusive) {
    body["why"] = "shared service: any live target may answer";
    return {200, "application/json", {}, body.dump() + "\n"};
  }
  const RouteDecision decision = routes_.Decide(BootNow(), id, partition);
  body["home"] = configuration->HomeZoneOf(*service, partition).value();
  switch (decision.kind) {
    case RouteKind::kOwner:
      body["owner"] = routes_.TargetVmId(decision.target).value();
      body["term"] = decision.term.ToString();
      body["why"] = "granted by the zone's leader under this term";
      break;
    case RouteKind::kOtherZone:
      body["why"] = "the home zone's routers know the owner";
      break;
    case RouteKind::kNoOwner:
      body["why"] = "no owner is known, or the partition is being moved";
      break;
  }
  return {200, "application/json", {}, body.dump() + "\n"};
}

ServerResponse RouterNode::Status() const {
  const auto configuration = configuration_.Current();
  json body = {{"vm", settings_.vm.value()},
               {"zone", settings_.zone.value()},
               {"incarnation", incarnation_},
               {"ready", ready()},
               {"in_flight", in_flight_.load()},
               {"revision", configuration_.revision()},
               {"log_lines_dropped", log_.dropped()},
               {"owners", json::object()}};
  if (!configuration)
    return {200, "application/json", {}, body.dump() + "\n"};
  for (const ServiceRecord& service : configuration->records().services) {
    if (!service.exclusive)
      continue;
    std::map<std::string, int> owners;
    for (std::uint32_t p = 0; p < service.partitions; ++p) {
      const RouteDecision decision = routes_.Decide(BootNow(), service.id, p);
      if (decision.kind == RouteKind::kOtherZone)
        continue;
      ++owners[routes_.TargetVmId(decision.target).value()];
    }
    body["owners"][service.id.value()] = owners;
  }
  return {200, "application/json", {}, body.dump() + "\n"};
}

// --- Logging and metrics
// -----------------------------------------------------------

void RouterNode::LogAnswer(const Request& request,
                           Arrival arrival,
                           const Answer& answer,
                           Duration latency) {
  const char* arrived = arrival == Arrival::kCaller      ? "caller"
                        : arrival == Arrival::kForIssuer ? "for-issuer"
                                                         : "for-target";
  metrics_
      .Counter("figstall_requests_total",
               fmt::format("service=\"{}\",arrival=\"{}\",outcome=\"{}\","
                           "reason=\"{}\"",
                           request.service.value(), arrived,
                           ToString(answer.outcome), ToString(answer.reason)))
      .fetch_add(1);
  metrics_
      .Latency("figstall_request_seconds",
               fmt::format("lane=\"{}\",arrival=\"{}\"", ToString(request.lane),
                           arrived))
      .Record(latency);
  if (!log_.Enabled(LogLevel::kInfo))
    return;
  const auto configuration = configuration_.Current();
  const ServiceRecord* service =
      configuration ? configuration->FindService(request.service) : nullptr;
  const std::string partition =
      service ? std::to_string(PartitionOf(request.key, service->partitions))
              : "";
  log_.Write(LogLevel::kInfo, "route",
             {{"arrival", arrived},
              {"id", request.id ? request.id->ToString() : "-"},
              {"service", request.service.value()},
              {"partition", partition},
              {"target", answer.target.value()},
              {"term", answer.term.ToString()},
              {"outcome", ToString(answer.outcome)},
              {"reason", ToString(answer.reason)},
              {"status", std::to_string(answer.status)},
              {"took_us", std::to_string(latency.count())}});
}

}  // namespace figstall
