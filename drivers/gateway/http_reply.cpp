#include "drivers/gateway/http_reply.h"

#include "drivers/gateway/answer_format.h"

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::RequestError;
using core::errors::RequestErrorBuilder;
using nlohmann::json;

constexpr int64_t MsPerSecond = 1000;

RequestError faultError(http::HttpFault fault, const std::string &path) {
  switch (fault) {
  case http::HttpFault::TimedOut:
    return RequestErrorBuilder(ErrorCode::RequestTimeout,
                               "the request wasn't received in time")
        .rule("setting http.request_ms")
        .build();
  case http::HttpFault::NoRoute:
    return RequestErrorBuilder(ErrorCode::NotFound, "no such path: " + path)
        .rule("docs/API.md")
        .build();
  case http::HttpFault::TooLarge:
    return RequestErrorBuilder(ErrorCode::PayloadTooLarge,
                               "the request body is too large")
        .rule("setting http.max_body_bytes")
        .build();
  case http::HttpFault::HandlerFailed:
    return RequestErrorBuilder(ErrorCode::Internal,
                               "unexpected failure while handling the request")
        .run(core::errors::RunState::Unknown)
        .build();
  case http::HttpFault::Malformed:
    break;
  }
  return RequestErrorBuilder(ErrorCode::BadRequest, "malformed HTTP request")
      .rule("HTTP/1.1")
      .build();
}

} // namespace

void replyError(http::HttpResponse &response, const RequestError &error) {
  response.Status = core::errors::httpStatus(error.Code);
  if (error.RetryAfterMs > 0) {
    const int64_t seconds =
        (error.RetryAfterMs + MsPerSecond - 1) / MsPerSecond;
    response.setHeader("Retry-After", std::to_string(seconds));
  }
  response.setContent(errorBody(error), "application/json");
}

void replyJson(http::HttpResponse &response, int status, const json &object) {
  response.Status = status;
  response.setContent(
      object.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
      "application/json");
}

http::HttpResponse jsonFaultResponse(http::HttpFault fault,
                                     const std::string &path) {
  http::HttpResponse response;
  replyError(response, faultError(fault, path));
  return response;
}

} // namespace orioletally::drivers::gateway
