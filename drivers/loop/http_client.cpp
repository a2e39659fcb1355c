#include "drivers/loop/http_client.h"

#include "drivers/loop/answer_reader.h"
#include "drivers/loop/asio_use.h"
#include "drivers/loop/connection_end.h"
#include "drivers/loop/endpoint.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace orioletally::drivers::loop {

namespace {

constexpr uint32_t MaxHeadBytes = 8 << 10;

void copyHeaders(const bhttp::response_header<> &head, HttpCallResult &result) {
  for (const auto &it : head)
    result.Headers.emplace_back(it.name_string(), it.value());
}

} // namespace

std::string_view HttpCallResult::header(std::string_view name) const {
  for (const auto &[key, value] : Headers)
    if (boost::algorithm::iequals(key, name))
      return value;
  return {};
}

HttpCall HttpCall::get(std::string target, absl::Duration timeout) {
  HttpCall call;
  call.Target = std::move(target);
  call.Timeout = timeout;
  return call;
}

HttpCall HttpCall::post(std::string target, std::string body,
                        absl::Duration timeout) {
  HttpCall call = get(std::move(target), timeout);
  call.Method = "POST";
  call.Body = std::move(body);
  return call;
}

HttpClient::HttpClient(asio::io_context &loop, std::string address,
                       core::limits::MemoryAccount *memory)
    : Loop(loop), Address(std::move(address)), Memory(memory) {}

void HttpClient::close() {
  if (Stream != nullptr)
    Stream->close();
}

asio::awaitable<std::string> HttpClient::connect(absl::Duration timeout) {
  const auto endpoint = parseEndpoint(Address);
  if (!endpoint.has_value())
    co_return "not an ip:port: " + Address;
  Buffer.clear();
  Stream = std::make_unique<beast::tcp_stream>(Loop);
  Stream->expires_after(absl::ToChronoMilliseconds(timeout));
  const auto [ec] = co_await Stream->async_connect(*endpoint, AsTuple);
  if (ec) {
    Stream.reset();
    co_return "connect " + Address + ": " + ec.message();
  }
  tuneSocket(Stream->socket());
  co_return "";
}

asio::awaitable<HttpCallResult> HttpClient::call(HttpCall httpCall) {
  HttpCallResult result;
  // Between two calls, close() may have come, the server may have closed, or it
  // may have sent bytes that answer nothing.
  if (Stream != nullptr && !isOpenAndIdle(Stream->socket()))
    Stream.reset();
  if (Stream == nullptr) {
    result.Failure = co_await connect(httpCall.Timeout);
    if (!result.Failure.empty())
      co_return result;
  }
  bhttp::request<bhttp::string_body> request(
      bhttp::string_to_verb(httpCall.Method), httpCall.Target, 11);
  request.set(bhttp::field::host, Address);
  if (!httpCall.Body.empty()) {
    request.set(bhttp::field::content_type, "application/json");
    request.body() = std::move(httpCall.Body);
  }
  request.prepare_payload();
  Stream->expires_after(absl::ToChronoMilliseconds(httpCall.Timeout));
  const auto [writeError, written] =
      co_await bhttp::async_write(*Stream, request, AsTuple);
  Sent += written;
  result.MayHaveArrived = written > 0;
  if (writeError) {
    Stream.reset();
    result.Failure = "write: " + writeError.message();
    co_return result;
  }
  AnswerReader<bhttp::string_body> reader(MaxHeadBytes,
                                          httpCall.MaxAnswerBytes);
  core::limits::MemoryGrant memory;
  if (Memory != nullptr)
    memory = core::limits::MemoryGrant(*Memory,
                                       core::limits::MemoryUse::StoreAnswer);
  boost::system::error_code readError =
      co_await reader.readHead(*Stream, Buffer);
  // Reading the body adds the fields of its trailers to the answer's head.
  if (!readError)
    copyHeaders(reader.answer(), result);
  while (!readError && !reader.isDone()) {
    readError = co_await reader.readSome(*Stream, Buffer);
    memory.require(reader.answer().body().size() + Buffer.capacity());
  }
  Received += reader.receivedBytes();
  if (readError) {
    Stream.reset();
    result.Headers.clear();
    result.Failure = "read: " + readError.message();
    co_return result;
  }
  result.Status = static_cast<int>(reader.answer().result_int());
  result.Body = std::move(reader.answer().body());
  if (!reader.parser().keep_alive() || Buffer.size() > 0)
    Stream.reset();
  co_return result;
}

} // namespace orioletally::drivers::loop
