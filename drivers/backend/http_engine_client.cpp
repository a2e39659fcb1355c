#include "drivers/backend/http_engine_client.h"

#include "drivers/backend/engine_codec.h"
#include "drivers/http/http_exchange.h"

#include <fmt/format.h>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::backend {

namespace {

using core::backends::BackendError;
using core::backends::CancelAnswer;
using core::backends::EngineConnection;
using core::backends::EngineReport;
using core::backends::EngineSubmit;
using core::backends::StreamId;
using core::backends::StreamObserver;
using http::ExchangeRequest;
using http::ExchangeResult;
using http::StatusOk;

constexpr int StatusNotFound = 404;

/// One HTTP exchange whose answer is a stream of frames.
class StreamExchange : public EngineConnection {
public:
  StreamExchange(boost::asio::io_context &loop, ExchangeRequest request,
                 std::shared_ptr<StreamObserver> observer)
      : Observer(std::move(observer)),
        Exchange(
            loop, std::move(request),
            [this](int status, std::string_view data) { onData(status, data); },
            [this](const ExchangeResult &result) { onEnd(result); }) {}

  void stop() override { Exchange.stop(); }

private:
  void onData(int status, std::string_view data) {
    if (status != StatusOk) {
      ErrorBody.append(data);
      return;
    }
    Lines.feed(data, [this](std::string_view line) {
      if (auto frame = frameFromLine(line))
        Observer->frame(*std::move(frame));
    });
  }

  void onEnd(const ExchangeResult &result) {
    if (result.Complete && result.Status == StatusNotFound) {
      Observer->unknownStream();
      return;
    }
    if (result.Complete && result.Status != StatusOk) {
      if (auto refusal = refusalFromJson(ErrorBody)) {
        Observer->refused(*std::move(refusal));
        return;
      }
    }
    const std::string reason =
        result.Error.empty()
            ? fmt::format("ended with status {}", result.Status)
            : result.Error;
    Observer->closed(BackendError{reason, result.Written});
  }

  std::shared_ptr<StreamObserver> Observer;
  LineSplitter Lines;
  std::string ErrorBody;
  // Declared last, because its handlers use the members above.
  http::HttpExchange Exchange;
};

std::string streamPath(const StreamId &stream) {
  return fmt::format("/v1/streams/{}/{}", stream.RequestId, stream.Attempt);
}

/// Runs one exchange and returns the body of an answer with status 200. Fails
/// with a BackendError for any other status or an incomplete answer.
leaf::result<std::string> callForBody(ExchangeRequest request,
                                      absl::Duration timeout) {
  request.ConnectTimeout = timeout;
  std::string body;
  const ExchangeResult result =
      http::runExchange(std::move(request), timeout, body);
  if (!result.Complete || result.Status != StatusOk)
    return leaf::new_error(
        BackendError{fmt::format("status {} {}", result.Status, result.Error),
                     result.Written});
  return body;
}

template <typename Value>
leaf::result<Value> parsedOrError(std::optional<Value> value) {
  if (!value.has_value())
    return leaf::new_error(BackendError{"the answer is malformed", true});
  return *std::move(value);
}

ExchangeRequest get(const std::string &address, std::string path) {
  ExchangeRequest request;
  request.Address = address;
  request.Method = "GET";
  request.Path = std::move(path);
  return request;
}

} // namespace

std::unique_ptr<EngineConnection>
HttpEngineClient::submit(const std::string &address, EngineSubmit submit,
                         absl::Duration connectTimeout,
                         std::shared_ptr<StreamObserver> observer) {
  ExchangeRequest request;
  request.Address = address;
  request.Method = "POST";
  request.Path = "/v1/streams";
  request.Body = submitToJson(submit);
  request.ConnectTimeout = connectTimeout;
  return std::make_unique<StreamExchange>(Loop, std::move(request),
                                          std::move(observer));
}

std::unique_ptr<EngineConnection>
HttpEngineClient::resume(const std::string &address, StreamId stream,
                         uint64_t offset, absl::Duration connectTimeout,
                         std::shared_ptr<StreamObserver> observer) {
  ExchangeRequest request =
      get(address, fmt::format("{}?offset={}", streamPath(stream), offset));
  request.ConnectTimeout = connectTimeout;
  return std::make_unique<StreamExchange>(Loop, std::move(request),
                                          std::move(observer));
}

leaf::result<CancelAnswer> HttpEngineClient::cancel(const std::string &address,
                                                    const StreamId &stream,
                                                    absl::Duration timeout) {
  ExchangeRequest request;
  request.Address = address;
  request.Method = "DELETE";
  request.Path = streamPath(stream);
  BOOST_LEAF_AUTO(body, callForBody(std::move(request), timeout));
  return parsedOrError(cancelFromJson(body));
}

leaf::result<EngineReport> HttpEngineClient::report(const std::string &address,
                                                    absl::Duration detachedFor,
                                                    absl::Duration timeout) {
  const std::string path = fmt::format("/v1/report?detached_ms={}",
                                       absl::ToInt64Milliseconds(detachedFor));
  BOOST_LEAF_AUTO(body, callForBody(get(address, path), timeout));
  return parsedOrError(reportFromJson(body));
}

} // namespace orioletally::drivers::backend
