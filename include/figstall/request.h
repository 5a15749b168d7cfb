// Requests of callers, their ids, their three possible outcomes, and the
// reasons that are given to callers and written to logs.
#ifndef FIGSTALL_REQUEST_H_
#define FIGSTALL_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "figstall/records.h"
#include "figstall/types.h"

namespace figstall {

// Identifies one request that must run at most once. A router issues the id and
// alone decides whether the request may run.
struct RequestId {
  VmId router;
  // Incarnation of the router process that issued the id.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  std::string ToString() const;
  static std::optional<RequestId> Parse(const std::string& text);
  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

enum class Outcome {
  // The target's complete answer was received.
  kAnswered,
  // The request did not run anywhere.
  kNotRun,
  // The request may have run, but its answer was not received.
  kUnknown,
};

enum class Reason {
  kNone,
  kBadRequest,
  kNoSuchService,
  kNoConfiguration,
  kNoOwner,
  kNoTarget,
  kTargetRefused,
  kTargetUnreachable,
  kTargetSilent,
  kAnswerBroken,
  kZoneUnreachable,
  kOverloaded,
  kLinkBudget,
  kDeadline,
  kStopping,
  kNotReady,
  kIssuerLost,
  kIdExpired,
  kIdNeverIssued,
  kIdInProgress,
  kIdReused,
  kRepeat,
};

const char* ToString(Outcome outcome);
const char* ToString(Reason reason);

// A caller's request after validation.
struct Request {
  ServiceId service;
  std::string key;
  std::string method;
  // Path and query as sent to the target.
  std::string path;
  std::string content_type;
  std::string body;
  Lane lane = Lane::kEnquiry;
  bool idempotent = false;
  Instant deadline{};
  std::optional<RequestId> id;

  friend bool operator==(const Request&, const Request&) = default;
};

struct Answer {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  // HTTP status of the target; meaningful only if the outcome is kAnswered.
  int status = 0;
  std::string content_type;
  std::string body;
  // The target of the last attempt and the fencing token that was sent to it,
  // for the log.
  VmId target;
  FencingToken term;

  friend bool operator==(const Answer&, const Answer&) = default;
};

// Return an answer with the outcome kNotRun or kUnknown and the given reason.
Answer NotRun(Reason reason);
Answer Unknown(Reason reason);

// HTTP status that is sent to the caller if the outcome is not kAnswered.
int HttpStatusFor(Outcome outcome, Reason reason);

}  // namespace figstall

#endif  // FIGSTALL_REQUEST_H_
