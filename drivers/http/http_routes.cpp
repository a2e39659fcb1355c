#include "drivers/http/http_routes.h"

#include <utility>

namespace orioletally::drivers::http {

namespace {

constexpr int statusOf(HttpFault fault) {
  switch (fault) {
  case HttpFault::Malformed:
    return 400;
  case HttpFault::TooLarge:
    return 413;
  case HttpFault::TimedOut:
    return 408;
  case HttpFault::NoRoute:
    return 404;
  case HttpFault::HandlerFailed:
    return 500;
  }
  return 500;
}

HttpResponse emptyFaultResponse(HttpFault fault, const std::string &) {
  HttpResponse response;
  response.Status = statusOf(fault);
  return response;
}

} // namespace

HttpRoutes::HttpRoutes() : OnFault(emptyFaultResponse) {}

void HttpRoutes::add(std::string method, const std::string &pattern,
                     HttpHandler handler) {
  Routes.push_back(
      {std::move(method), std::regex(pattern), std::move(handler)});
}

void HttpRoutes::addSync(std::string method, const std::string &pattern,
                         SyncHandler handler) {
  add(std::move(method), pattern,
      [handler = std::move(handler)](
          HttpRequest &request, HttpReply &reply) -> asio::awaitable<void> {
        handler(request, reply.Answer);
        co_return;
      });
}

void HttpRoutes::addBlocking(std::string method, const std::string &pattern,
                             loop::WorkerThreads &threads,
                             SyncHandler handler) {
  add(std::move(method), pattern,
      [&threads, handler = std::move(handler)](
          HttpRequest &request, HttpReply &reply) -> asio::awaitable<void> {
        co_await threads.run([&] { handler(request, reply.Answer); });
      });
}

const HttpHandler *HttpRoutes::find(HttpRequest &request) const {
  for (const Route &it : Routes) {
    std::smatch matched;
    if (it.Method != request.Method ||
        !std::regex_match(request.Path, matched, it.Pattern))
      continue;
    for (size_t n = 1; n < matched.size(); ++n)
      request.Matches.push_back(matched[n]);
    return &it.Handler;
  }
  return nullptr;
}

} // namespace orioletally::drivers::http
