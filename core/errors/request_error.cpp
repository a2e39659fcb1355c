#include "core/errors/request_error.h"

#include <array>
#include <utility>

namespace orioletally::core::errors {

namespace {

struct CodeRow {
  ErrorCode Code;
  std::string_view Name;
  int Status;
};

constexpr std::array<CodeRow, 21> CodeTable = {{
    {ErrorCode::BadRequest, "bad_request", 400},
    {ErrorCode::Unauthorized, "unauthorized", 401},
    {ErrorCode::Forbidden, "forbidden", 403},
    {ErrorCode::NotFound, "not_found", 404},
    {ErrorCode::RequestTimeout, "request_timeout", 408},
    {ErrorCode::Conflict, "conflict", 409},
    {ErrorCode::PreconditionFailed, "precondition_failed", 412},
    {ErrorCode::PayloadTooLarge, "payload_too_large", 413},
    {ErrorCode::PreconditionRequired, "precondition_required", 428},
    {ErrorCode::RateLimited, "rate_limited", 429},
    {ErrorCode::Overloaded, "overloaded", 503},
    {ErrorCode::Draining, "draining", 503},
    {ErrorCode::NoBackend, "no_backend", 503},
    {ErrorCode::BackendFailed, "backend_failed", 503},
    {ErrorCode::DeadlineExceeded, "deadline_exceeded", 504},
    {ErrorCode::PlatformUnavailable, "platform_unavailable", 503},
    {ErrorCode::PromptQuarantined, "prompt_quarantined", 503},
    {ErrorCode::CallQuarantined, "call_quarantined", 503},
    {ErrorCode::MemoryFull, "memory_full", 503},
    {ErrorCode::CallerGone, "caller_gone", 499},
    {ErrorCode::Internal, "internal", 500},
}};

const CodeRow &row(ErrorCode code) {
  for (const CodeRow &it : CodeTable)
    if (it.Code == code)
      return it;
  return CodeTable.back();
}

} // namespace

std::string_view runStateName(RunState state) {
  switch (state) {
  case RunState::NotRun:
    return "not_run";
  case RunState::Unknown:
    return "unknown";
  case RunState::Ran:
    return "ran";
  }
  return "unknown";
}

std::string_view errorCodeName(ErrorCode code) { return row(code).Name; }

int httpStatus(ErrorCode code) { return row(code).Status; }

RequestError refusal(ErrorCode code, std::string message, std::string rule) {
  return RequestErrorBuilder(code, std::move(message))
      .rule(std::move(rule))
      .build();
}

RequestErrorBuilder::RequestErrorBuilder(ErrorCode code, std::string message) {
  Error.Code = code;
  Error.Message = std::move(message);
}

RequestErrorBuilder &RequestErrorBuilder::run(RunState state) {
  Error.Run = state;
  return *this;
}

RequestErrorBuilder &RequestErrorBuilder::rule(std::string text) {
  Error.Rule = std::move(text);
  return *this;
}

RequestErrorBuilder &RequestErrorBuilder::retryAfterMs(int64_t ms) {
  Error.RetryAfterMs = ms;
  return *this;
}

RequestError RequestErrorBuilder::build() const { return Error; }

} // namespace orioletally::core::errors
