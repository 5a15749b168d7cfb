// Validates callers' HTTP requests, converts them to Request, and builds the
// HTTP responses to them.
#ifndef FIGSTALL_CALLER_REQUEST_H_
#define FIGSTALL_CALLER_REQUEST_H_

#include "figstall/configuration.h"
#include "figstall/http_server.h"
#include "figstall/request.h"

namespace figstall {

inline constexpr const char* kDeadlineHeader = "Figstall-Deadline-Ms";
inline constexpr const char* kRequestIdHeader = "Figstall-Request-Id";
inline constexpr const char* kOutcomeHeader = "Figstall-Outcome";
inline constexpr const char* kReasonHeader = "Figstall-Reason";
inline constexpr std::size_t kMaxKeyBytes = 512;

// Parses a request to /v1/SERVICE/KEY[/REST][?QUERY]. Invalid fields are
// reported together, in one list of findings.
Result<Request> ParseCallerRequest(const ServerRequest& call,
                                   const Configuration& configuration,
                                   Instant now);

// Returns the HTTP response for a request without an answer from a target: its
// outcome, the reason, and the place of each fault in the request.
ServerResponse ErrorResponse(Outcome outcome,
                             Reason reason,
                             const Findings& findings);

// Returns the HTTP response that reports the outcome of a request.
ServerResponse ResponseFor(const Answer& answer);

}  // namespace figstall

#endif  // FIGSTALL_CALLER_REQUEST_H_
