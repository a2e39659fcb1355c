#include "drivers/http/http_exchange.h"

#include "drivers/clock/clock.h"

#include <condition_variable>
#include <mutex>
#include <utility>

namespace orioletally::drivers::http {

namespace {

constexpr auto StopPause = std::chrono::milliseconds(5);
constexpr auto NoReadBound = std::chrono::hours(24);

bool wasWritten(httplib::Error error) {
  switch (error) {
  case httplib::Error::Connection:
  case httplib::Error::BindIPAddress:
  case httplib::Error::ConnectionTimeout:
    return false;
  default:
    return true;
  }
}

} // namespace

HttpExchange::HttpExchange(ExchangeRequest wanted, DataHandler data,
                           EndHandler end)
    : Client("http://" + wanted.Address) {
  Client.set_connection_timeout(absl::ToChronoMicroseconds(wanted.Connect));
  Client.set_read_timeout(NoReadBound);
  Client.set_tcp_nodelay(true);
  Client.set_keep_alive(false);
  Worker =
      std::thread([this, wanted = std::move(wanted), data = std::move(data),
                   end = std::move(end)]() mutable {
        run(std::move(wanted), data, end);
        Done = true;
      });
}

HttpExchange::~HttpExchange() {
  // A stop that comes before the connection is open has no effect in the
  // library, so it is repeated until the thread is through.
  while (!Done) {
    stop();
    std::this_thread::sleep_for(StopPause);
  }
  Worker.join();
}

void HttpExchange::stop() {
  Stopped = true;
  Client.stop();
}

void HttpExchange::run(ExchangeRequest wanted, const DataHandler &data,
                       const EndHandler &end) {
  ExchangeEnd result;
  httplib::Request request;
  request.method = std::move(wanted.Method);
  request.path = std::move(wanted.Path);
  request.headers = std::move(wanted.Headers);
  request.body = std::move(wanted.Body);
  if (!request.body.empty())
    request.set_header("Content-Type", wanted.ContentType);
  request.response_handler = [&](const httplib::Response &response) {
    result.Status = response.status;
    result.Headers = response.headers;
    return !Stopped;
  };
  request.content_receiver = [&](const char *ptr, size_t n, uint64_t,
                                 uint64_t) {
    if (!Stopped)
      data(result.Status, std::string_view(ptr, n));
    return !Stopped;
  };
  const httplib::Result answer = Client.send(request);
  result.Whole = static_cast<bool>(answer);
  result.Written = wasWritten(answer.error());
  if (!answer)
    result.Error = httplib::to_string(answer.error());
  end(result);
}

ExchangeEnd exchangeWithin(ExchangeRequest wanted, absl::Duration bound,
                           std::string &body) {
  std::mutex guard;
  std::condition_variable changed;
  std::string received;
  ExchangeEnd result;
  bool isDone = false;
  const absl::Time now = clock::steadyNow();
  HttpExchange exchange(
      std::move(wanted),
      [&](int, std::string_view piece) { received.append(piece); },
      [&](const ExchangeEnd &end) {
        const std::lock_guard lock(guard);
        result = end;
        isDone = true;
        changed.notify_all();
      });
  std::unique_lock lock(guard);
  const auto until = clock::waitPoint(now + bound, now);
  if (!changed.wait_until(lock, until, [&] { return isDone; })) {
    while (!isDone) {
      lock.unlock();
      exchange.stop();
      lock.lock();
      changed.wait_for(lock, StopPause, [&] { return isDone; });
    }
    result.Whole = false;
    if (result.Error.empty())
      result.Error = "no whole answer in time";
  }
  body = std::move(received);
  return result;
}

} // namespace orioletally::drivers::http
