#ifndef ORIOLETALLY_CORE_ERRORS_REQUEST_ERROR_H
#define ORIOLETALLY_CORE_ERRORS_REQUEST_ERROR_H

#include <cstdint>
#include <string>
#include <string_view>

namespace orioletally::core::errors {

/// Tells a caller whether a failed request was executed by a backend server.
/// `Unknown` is the only answer when the submit was written and nothing that
/// proves the contrary came back.
enum class RunState { NotRun, Unknown, Ran };

/// Stable codes of the errors that callers and operators see.
enum class ErrorCode {
  BadRequest,
  Unauthorized,
  Forbidden,
  NotFound,
  RequestTimeout,
  Conflict,
  PreconditionFailed,
  PayloadTooLarge,
  PreconditionRequired,
  RateLimited,
  Overloaded,
  Draining,
  NoBackend,
  BackendFailed,
  DeadlineExceeded,
  PlatformUnavailable,
  CallerGone,
  Internal,
};

/// Returns the wire name of \p state, such as "not_run".
std::string_view runStateName(RunState state);

/// Returns the stable wire name of \p code, such as "no_backend".
std::string_view errorCodeName(ErrorCode code);

/// Returns the HTTP status that carries \p code.
int httpStatus(ErrorCode code);

/// The final answer of a request that was refused or given up on.
struct RequestError {
  ErrorCode Code = ErrorCode::Internal;
  std::string Message;
  RunState Run = RunState::NotRun;
  /// Names what decided: a setting, or a profile with its revision and limit.
  std::string Rule;
  /// Milliseconds after which a later try can help; 0 when none would.
  int64_t RetryAfterMs = 0;
};

/// A refusal before anything ran, with what decided it.
RequestError refusal(ErrorCode code, std::string message, std::string rule);

/// Builds a RequestError step by step; the code and message are required.
class RequestErrorBuilder {
public:
  RequestErrorBuilder(ErrorCode code, std::string message);

  RequestErrorBuilder &run(RunState state);
  RequestErrorBuilder &rule(std::string text);
  RequestErrorBuilder &retryAfterMs(int64_t ms);
  RequestError build() const;

private:
  RequestError Error;
};

} // namespace orioletally::core::errors

#endif
