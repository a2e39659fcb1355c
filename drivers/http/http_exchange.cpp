#include "drivers/http/http_exchange.h"

#include "drivers/loop/answer_reader.h"
#include "drivers/loop/endpoint.h"
#include "drivers/loop/event_loop.h"
#include "drivers/loop/read_buffer.h"

#include <boost/asio/post.hpp>
#include <mutex>
#include <utility>

namespace orioletally::drivers::http {

/// Limit on a head, a chunk header or trailers.
static constexpr size_t MaxBufferBytes = 64 << 10;
static constexpr uint32_t MaxHeadBytes = 8 << 10;

using loop::AsTuple;

namespace {

using Endpoint = asio::ip::tcp::endpoint;

asio::awaitable<std::optional<Endpoint>> resolve(std::string address) {
  if (const auto endpoint = loop::parseEndpoint(address)) {
    co_return endpoint;
  }
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    co_return std::nullopt;
  }
  asio::ip::tcp::resolver resolver(co_await asio::this_coro::executor);
  const std::string host = address.substr(0, colon);
  const std::string port = address.substr(colon + 1);
  const auto [ec, found] = co_await resolver.async_resolve(host, port, AsTuple);
  if (ec || found.empty()) {
    co_return std::nullopt;
  }
  co_return found.begin()->endpoint();
}

bhttp::request<bhttp::string_body> toMessage(ExchangeRequest &request) {
  bhttp::request<bhttp::string_body> message(
      bhttp::string_to_verb(request.Method), request.Path, 11);
  message.set(bhttp::field::host, request.Address);
  message.set(bhttp::field::connection, "close");
  for (const auto &[name, value] : request.Headers)
    message.insert(name, value);
  if (!request.Body.empty() &&
      message.find(bhttp::field::content_type) == message.end())
    message.set(bhttp::field::content_type, request.ContentType);
  message.body() = std::move(request.Body);
  message.prepare_payload();
  return message;
}

HeaderMap toHeaderMap(const bhttp::fields &fields) {
  HeaderMap result;
  for (const auto &it : fields)
    result.emplace(it.name_string(), it.value());
  return result;
}

} // namespace

/// The state of an exchange, shared by the HttpExchange and its coroutine on
/// the loop; it lives until neither needs it.
class HttpExchange::Run : public std::enable_shared_from_this<Run> {
public:
  Run(asio::io_context &loop, DataHandler data, EndHandler end)
      : Stream(loop), OnData(std::move(data)), OnEnd(std::move(end)) {}

  asio::awaitable<void> run([[maybe_unused]] std::shared_ptr<Run> self,
                            ExchangeRequest request) {
    ExchangeResult result;
    result.Error = co_await connect(request);
    if (result.Error.empty()) {
      result.Error = co_await send(std::move(request), result);
    }
    if (result.Error.empty()) {
      result.Error = co_await receive(result);
    }
    result.Complete = result.Error.empty();
    Stream.close();
    const std::lock_guard lock(Guard);
    if (!HandlersDisabled) {
      OnEnd(result);
    }
  }

  void close() {
    asio::post(Stream.get_executor(), [self = shared_from_this()] {
      self->Closed = true;
      self->Stream.close();
    });
  }

  /// Prevents further calls of the handlers. Waits for a handler that is
  /// running on another thread.
  void disableHandlers() {
    const std::lock_guard lock(Guard);
    HandlersDisabled = true;
  }

private:
  asio::awaitable<std::string> connect(const ExchangeRequest &request) {
    const std::optional<Endpoint> endpoint = co_await resolve(request.Address);
    if (!endpoint.has_value()) {
      co_return "can't resolve " + request.Address;
    }
    if (Closed) {
      co_return "stopped";
    }
    Stream.expires_after(absl::ToChronoNanoseconds(request.ConnectTimeout));
    const auto [ec] = co_await Stream.async_connect(*endpoint, AsTuple);
    if (ec) {
      co_return "connect " + request.Address + ": " + ec.message();
    }
    Stream.expires_never();
    loop::tuneSocket(Stream.socket());
    co_return "";
  }

  asio::awaitable<std::string> send(ExchangeRequest request,
                                    ExchangeResult &result) {
    const bhttp::request<bhttp::string_body> message = toMessage(request);
    result.Written = true;
    const auto [ec, n] = co_await bhttp::async_write(Stream, message, AsTuple);
    co_return ec ? "write: " + ec.message() : std::string();
  }

  asio::awaitable<std::string> receive(ExchangeResult &result) {
    loop::ReadBuffer buffer(MaxBufferBytes);
    loop::AnswerReader<bhttp::string_body> reader(MaxHeadBytes, std::nullopt);
    boost::system::error_code ec = co_await reader.readHead(Stream, buffer);
    if (ec) {
      co_return "read: " + ec.message();
    }
    result.Status = static_cast<int>(reader.answer().result_int());
    result.Headers = toHeaderMap(reader.answer());
    // Reads from the socket itself: the owner limits the time, so the timers of
    // the tcp_stream would only cost time.
    while (!reader.isDone()) {
      ec = co_await reader.readSome(Stream.socket(), buffer);
      deliver(result.Status, reader.answer().body());
      if (ec) {
        co_return "read: " + ec.message();
      }
    }
    co_return "";
  }

  void deliver(int status, std::string &piece) {
    const std::lock_guard lock(Guard);
    if (!HandlersDisabled && !piece.empty())
      OnData(status, piece);
    piece.clear();
  }

  beast::tcp_stream Stream;
  DataHandler OnData;
  EndHandler OnEnd;
  /// Held while a handler runs. Recursive, because a handler may destroy the
  /// exchange.
  std::recursive_mutex Guard;
  bool HandlersDisabled = false;
  /// Set on the loop by close(). Without it, async_connect would reopen a
  /// socket that was closed before it connected.
  bool Closed = false;
};

HttpExchange::HttpExchange(asio::io_context &loop, ExchangeRequest request,
                           DataHandler data, EndHandler end)
    : Running(std::make_shared<Run>(loop, std::move(data), std::move(end))) {
  asio::co_spawn(loop, Running->run(Running, std::move(request)),
                 asio::detached);
}

HttpExchange::~HttpExchange() {
  Running->disableHandlers();
  stop();
}

void HttpExchange::stop() { Running->close(); }

ExchangeResult runExchange(ExchangeRequest request, absl::Duration timeout,
                           std::string &body) {
  std::string received;
  ExchangeResult result;
  bool isDone = false;
  loop::EventLoop ownLoop;
  HttpExchange exchange(
      ownLoop, std::move(request),
      [&](int, std::string_view piece) { received.append(piece); },
      [&](const ExchangeResult &end) {
        result = end;
        isDone = true;
      });
  ownLoop.run_for(absl::ToChronoNanoseconds(timeout));
  if (!isDone) {
    exchange.stop();
    ownLoop.restart();
    ownLoop.run();
    result.Complete = false;
    result.Error = "no complete answer within the timeout";
  }
  body = std::move(received);
  return result;
}

} // namespace orioletally::drivers::http
