// Checks what a caller sent and turns it into a Request.
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

// Takes /v1/SERVICE/KEY[/REST][?QUERY]. All faults are reported together.
Result<Request> ParseCallerRequest(const ServerRequest& call,
                                   const Configuration& configuration,
                                   Instant now);

// Tells a caller that nothing ran, why, and where the fault lies.
ServerResponse ErrorResponse(Outcome outcome,
                             Reason reason,
                             const Findings& findings);

// Tells a caller the outcome of a request.
ServerResponse ResponseFor(const Answer& answer);

}  // namespace figstall

#endif  // FIGSTALL_CALLER_REQUEST_H_
