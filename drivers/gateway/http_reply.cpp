#include "drivers/gateway/http_reply.h"

#include "drivers/gateway/answer_format.h"
#include "drivers/http/socket_stream.h"

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::RequestError;
using core::errors::RequestErrorBuilder;
using nlohmann::json;

constexpr int64_t MsPerSecond = 1000;
constexpr int StatusNotFound = 404;
constexpr int StatusTooLarge = 413;

RequestError libraryError(const httplib::Request &request, int status) {
  const http::SocketStream *connection = http::currentConnection();
  if (connection != nullptr && connection->timedOut())
    return RequestErrorBuilder(ErrorCode::RequestTimeout,
                               "the request didn't arrive in time")
        .rule("setting http.request_ms")
        .build();
  if (status == StatusNotFound)
    return RequestErrorBuilder(ErrorCode::NotFound,
                               "no such path: " + request.path)
        .rule("docs/API.md")
        .build();
  if (status == StatusTooLarge)
    return RequestErrorBuilder(ErrorCode::PayloadTooLarge,
                               "the request body is too large")
        .rule("setting http.max_body_bytes")
        .build();
  if (status >= 500)
    return RequestErrorBuilder(ErrorCode::Internal, "unexpected failure")
        .run(core::errors::RunState::Unknown)
        .build();
  return RequestErrorBuilder(ErrorCode::BadRequest, "malformed HTTP request")
      .rule("HTTP/1.1")
      .build();
}

} // namespace

void replyError(httplib::Response &response, const RequestError &error) {
  response.status = core::errors::httpStatus(error.Code);
  if (error.RetryAfterMs > 0) {
    const int64_t seconds =
        (error.RetryAfterMs + MsPerSecond - 1) / MsPerSecond;
    response.set_header("Retry-After", std::to_string(seconds));
  }
  response.set_content(errorBody(error), "application/json");
}

void replyJson(httplib::Response &response, int status, const json &object) {
  response.status = status;
  response.set_content(
      object.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
      "application/json");
}

void replyLibraryError(const httplib::Request &request,
                       httplib::Response &response) {
  if (!response.body.empty())
    return;
  replyError(response, libraryError(request, response.status));
}

} // namespace orioletally::drivers::gateway
