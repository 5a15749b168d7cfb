// The names of error codes in messages.
#include "figstall/error.h"

namespace figstall {

const char* ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidInput:
      return "invalid input";
    case ErrorCode::kUnreachable:
      return "unreachable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kProtocol:
      return "protocol error";
  }
  return "protocol error";
}

}  // namespace figstall
