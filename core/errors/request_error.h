#ifndef ORIOLETALLY_CORE_ERRORS_REQUEST_ERROR_H
#define ORIOLETALLY_CORE_ERRORS_REQUEST_ERROR_H

#include <cstdint>
#include <string>
#include <string_view>

namespace orioletally::core::errors {

/// Whether a backend server executed a failed request. `Unknown` applies when
/// the request was sent and no answer proves that it did or didn't run.
enum class RunState { NotRun, Unknown, Ran };

/// Stable codes of the errors that callers and operators receive.
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
  PromptQuarantined,
  CallQuarantined,
  MemoryFull,
  CallerGone,
  Internal,
};

/// Returns the wire name of \p state, such as "not_run".
std::string_view runStateName(RunState state);

/// Returns the stable wire name of \p code, such as "no_backend".
std::string_view errorCodeName(ErrorCode code);

/// Returns the HTTP status that carries \p code.
int httpStatus(ErrorCode code);

/// The final answer to a request that was refused or that failed.
struct RequestError {
  ErrorCode Code = ErrorCode::Internal;
  std::string Message;
  RunState Run = RunState::NotRun;
  /// The rule behind the error: a setting, or a profile with its revision and
  /// field.
  std::string Rule;
  /// Time after which a retry may succeed, in milliseconds; 0 if none would.
  int64_t RetryAfterMs = 0;
};

/// Returns the error of a request that was refused before it was sent to any
/// backend server; \p rule is the rule that refused it.
RequestError refusal(ErrorCode code, std::string message, std::string rule);

/// Builds a RequestError; only the code and the message are required.
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
