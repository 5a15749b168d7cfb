#include "figstall/caller_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace figstall {
namespace {

constexpr const char* kSource = "request";

// Returns the path and query sent to the target: the caller's without the
// leading "/v1".
std::string TargetPath(const ServerRequest& call) {
  return call.path.substr(3) + call.query;
}

std::int64_t ParseDeadline(const std::string& text,
                           const ServiceRecord& service,
                           Findings& findings) {
  if (text.empty())
    return ToMillis(service.default_deadline);
  std::int64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  const bool fully_parsed = error == std::errc() && end == last;
  if (!fully_parsed || value < 1 || value > ToMillis(service.max_deadline)) {
    findings.push_back(
        {kSource, kDeadlineHeader,
         fmt::format("\"{}\" is not a whole number of milliseconds from 1 to "
                     "{}",
                     text, ToMillis(service.max_deadline))});
  }
  return value;
}

}  // namespace

Result<Request> ParseCallerRequest(const ServerRequest& call,
                                   const Configuration& configuration,
                                   Instant now) {
  Findings findings;
  const std::vector<std::string> parts = PathParts(call.path);
  if (parts.size() < 3 || parts[0] != "v1") {
    findings.push_back(
        {kSource, "path",
         "\"" + call.path + "\" does not have the form /v1/SERVICE/KEY"});
    return Fail(ErrorCode::kInvalidInput, "bad request", std::move(findings));
  }
  Request request;
  request.service = ServiceId(parts[1]);
  request.key = parts[2];
  request.method = call.method;
  request.path = TargetPath(call);
  request.content_type = call.header("Content-Type");
  request.body = call.body;
  const ServiceRecord* service = configuration.FindService(request.service);
  if (!service) {
    return Fail(
        ErrorCode::kInvalidInput, "no such service",
        {{kSource, "path", "service \"" + parts[1] + "\" is not declared"}});
  }
  if (request.key.size() > kMaxKeyBytes)
    findings.push_back({kSource, "path",
                        fmt::format("the key has {} bytes; at most {} are "
                                    "accepted",
                                    request.key.size(), kMaxKeyBytes)});
  request.lane = service->lane;
  const auto& methods = service->repeatable_methods;
  request.idempotent =
      std::find(methods.begin(), methods.end(), call.method) != methods.end();
  request.deadline =
      now + std::chrono::milliseconds(ParseDeadline(
                call.header(kDeadlineHeader), *service, findings));
  const std::string id = call.header(kRequestIdHeader);
  if (!id.empty()) {
    request.id = RequestId::Parse(id);
    if (!request.id)
      findings.push_back({kSource, kRequestIdHeader,
                          "\"" + id +
                              "\" is not an id that a router issued; get one "
                              "by POST /figstall/request-ids"});
  }
  if (!findings.empty())
    return Fail(ErrorCode::kInvalidInput, "bad request", std::move(findings));
  return request;
}

ServerResponse ErrorResponse(Outcome outcome,
                             Reason reason,
                             const Findings& findings) {
  ServerResponse response;
  response.status = HttpStatusFor(outcome, reason);
  response.headers.emplace_back(kOutcomeHeader, ToString(outcome));
  response.headers.emplace_back(kReasonHeader, ToString(reason));
  nlohmann::json body = {{"outcome", ToString(outcome)},
                         {"reason", ToString(reason)},
                         {"findings", nlohmann::json::array()}};
  for (const Finding& finding : findings) {
    body["findings"].push_back(
        {{"place", finding.place}, {"message", finding.message}});
  }
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return response;
}

ServerResponse ResponseFor(const Answer& answer) {
  if (answer.outcome != Outcome::kAnswered)
    return ErrorResponse(answer.outcome, answer.reason, {});
  ServerResponse response;
  response.status = answer.status;
  response.content_type = answer.content_type;
  response.body = answer.body;
  response.headers.emplace_back(kOutcomeHeader, ToString(answer.outcome));
  if (answer.reason != Reason::kNone)
    response.headers.emplace_back(kReasonHeader, ToString(answer.reason));
  if (!answer.target.empty())
    response.headers.emplace_back("Figstall-Target", answer.target.value());
  return response;
}

}  // namespace figstall
