// Error handling for all modules: Boost.LEAF results that carry an Error.
#ifndef FIGSTALL_ERROR_H_
#define FIGSTALL_ERROR_H_

#include <boost/leaf.hpp>
#include <exception>
#include <string>

#include "figstall/findings.h"

namespace figstall {

template <typename T>
using Result = boost::leaf::result<T>;

enum class ErrorCode {
  kInvalidInput,
  kUnreachable,
  kTimeout,
  kConflict,
  kProtocol,
};

const char* ToString(ErrorCode code);

// Describes a failure. For invalid input, `findings` lists each fault and its
// place.
struct Error {
  ErrorCode code = ErrorCode::kProtocol;
  std::string message;
  Findings findings;
};

// Makes a failed result of any type.
inline boost::leaf::error_id Fail(ErrorCode code,
                                  std::string message,
                                  Findings findings = {}) {
  return boost::leaf::new_error(
      Error{code, std::move(message), std::move(findings)});
}

// Runs `try_block`; on failure, returns the result of `on_error` for the error.
// Exceptions are reported as errors with the code kProtocol.
template <typename TryBlock, typename OnError>
auto HandleError(TryBlock&& try_block, OnError&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<TryBlock>(try_block),
      [&](const Error& error) { return on_error(error); },
      [&](const std::exception& error) {
        return on_error(Error{ErrorCode::kProtocol, error.what(), {}});
      },
      [&] {
        return on_error(Error{ErrorCode::kProtocol, "unspecified error", {}});
      });
}

}  // namespace figstall

#endif  // FIGSTALL_ERROR_H_
