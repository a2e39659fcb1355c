#include "drivers/backend/http_service_client.h"

#include "drivers/http/http_exchange.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace leaf = boost::leaf;

namespace orioletally::drivers::backend {

namespace {

using core::backends::BackendError;
using core::backends::ServiceAnswer;
using core::backends::ServiceCall;

constexpr int64_t MsPerSecond = 1000;

} // namespace

leaf::result<ServiceAnswer>
HttpServiceClient::call(const std::string &address, const ServiceCall &call,
                        absl::Duration connectTimeout, absl::Duration timeout) {
  http::ExchangeRequest request;
  request.Address = address;
  request.Method = "POST";
  request.Path = fmt::format("/{}", call.Path);
  request.Body = call.Body;
  request.ConnectTimeout = connectTimeout;
  if (!call.ContentType.empty())
    request.ContentType = call.ContentType;
  request.Headers.emplace("X-Request-Id", call.RequestId);
  if (!call.IdempotencyKey.empty())
    request.Headers.emplace("Idempotency-Key", call.IdempotencyKey);

  ServiceAnswer answer;
  const http::ExchangeResult result =
      http::runExchange(std::move(request), timeout, answer.Body);
  if (!result.Complete)
    return leaf::new_error(BackendError{result.Error, result.Written});
  answer.Status = result.Status;
  answer.ContentType = http::headerOf(result.Headers, "Content-Type");
  answer.RefusedBeforeStart =
      http::headerOf(result.Headers, "X-Not-Started") == "true";
  answer.Draining = http::headerOf(result.Headers, "X-Draining") == "true";
  int64_t seconds = 0;
  if (absl::SimpleAtoi(http::headerOf(result.Headers, "Retry-After"), &seconds))
    answer.RetryAfterMs = seconds * MsPerSecond;
  return answer;
}

} // namespace orioletally::drivers::backend
