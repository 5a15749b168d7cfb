// Requests of callers, the three outcomes they may have, and the reasons that
// callers and logs are given.
#ifndef FIGSTALL_REQUEST_H_
#define FIGSTALL_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "figstall/records.h"
#include "figstall/types.h"

namespace figstall {

// Names one request that must run at most once. figstall issues ids, so that
// the issuing router alone decides whether one may run.
struct RequestId {
  VmId router;
  // The run of the router process that issued the id.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  std::string ToString() const;
  static std::optional<RequestId> Parse(const std::string& text);
  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

enum class Outcome {
  // The target's own answer, whole.
  kAnswered,
  // The request did not run anywhere.
  kNotRun,
  // The request may have run; its answer is lost.
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

// What a caller sent, once checked.
struct Request {
  ServiceId service;
  std::string key;
  std::string method;
  // Path and query that the target sees.
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
  // HTTP status of the target; meaningful only if answered.
  int status = 0;
  std::string content_type;
  std::string body;
  // Where the request was last sent, for the log.
  VmId target;
  FencingToken term;

  friend bool operator==(const Answer&, const Answer&) = default;
};

// Answers of requests that were refused, or whose fate is not known.
Answer NotRun(Reason reason);
Answer Unknown(Reason reason);

// HTTP status that tells a caller about an outcome that is not an answer.
int HttpStatusFor(Outcome outcome, Reason reason);

}  // namespace figstall

#endif  // FIGSTALL_REQUEST_H_
