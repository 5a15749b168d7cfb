// Text form of request ids, names of outcomes and reasons, and the HTTP status
// of each reason.
#include "figstall/request.h"

#include <fmt/format.h>

#include <charconv>

namespace figstall {
namespace {

bool ParseNumber(const std::string& text, int base, std::uint64_t& value) {
  const char* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value, base);
  return error == std::errc() && end == text_end && !text.empty();
}

}  // namespace

std::string RequestId::ToString() const {
  return fmt::format("{}.{:x}.{}", router.value(), incarnation, sequence);
}

std::optional<RequestId> RequestId::Parse(const std::string& text) {
  const std::size_t last_dot = text.rfind('.');
  if (last_dot == std::string::npos || last_dot == 0)
    return std::nullopt;
  const std::size_t first_dot = text.rfind('.', last_dot - 1);
  if (first_dot == std::string::npos || first_dot == 0)
    return std::nullopt;
  RequestId id;
  id.router = VmId(text.substr(0, first_dot));
  if (!ParseNumber(text.substr(first_dot + 1, last_dot - first_dot - 1), 16,
                   id.incarnation))
    return std::nullopt;
  if (!ParseNumber(text.substr(last_dot + 1), 10, id.sequence))
    return std::nullopt;
  return id;
}

const char* ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kBadRequest:
      return "bad-request";
    case Reason::kNoSuchService:
      return "no-such-service";
    case Reason::kNoConfiguration:
      return "no-configuration";
    case Reason::kNoOwner:
      return "no-owner";
    case Reason::kNoTarget:
      return "no-target";
    case Reason::kTargetRefused:
      return "target-refused";
    case Reason::kTargetUnreachable:
      return "target-unreachable";
    case Reason::kTargetSilent:
      return "target-silent";
    case Reason::kAnswerBroken:
      return "answer-broken";
    case Reason::kZoneUnreachable:
      return "zone-unreachable";
    case Reason::kOverloaded:
      return "overloaded";
    case Reason::kLinkBudget:
      return "link-budget";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kStopping:
      return "stopping";
    case Reason::kNotReady:
      return "not-ready";
    case Reason::kIssuerLost:
      return "issuer-lost";
    case Reason::kIdExpired:
      return "id-expired";
    case Reason::kIdNeverIssued:
      return "id-never-issued";
    case Reason::kIdInProgress:
      return "id-in-progress";
    case Reason::kIdReused:
      return "id-reused";
    case Reason::kRepeat:
      return "repeat";
  }
  return "none";
}

Answer NotRun(Reason reason) {
  Answer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  return answer;
}

Answer Unknown(Reason reason) {
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.reason = reason;
  return answer;
}

int HttpStatusFor(Outcome outcome, Reason reason) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kUnprocessable = 422;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  constexpr int kGatewayTimeout = 504;
  if (outcome == Outcome::kUnknown)
    return kGatewayTimeout;
  switch (reason) {
    case Reason::kBadRequest:
    case Reason::kIdNeverIssued:
      return kBadRequest;
    case Reason::kNoSuchService:
      return kNotFound;
    case Reason::kIdReused:
      return kUnprocessable;
    case Reason::kOverloaded:
    case Reason::kLinkBudget:
      return kTooManyRequests;
    default:
      return kUnavailable;
  }
}

}  // namespace figstall
