#include "drivers/loop/worker_threads.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <utility>

namespace orioletally::drivers::loop {

asio::awaitable<void> WorkerThreads::run(std::function<void()> call) {
  const auto executor = co_await asio::this_coro::executor;
  std::exception_ptr thrown;
  auto start = [this, executor, &call, &thrown](auto handler) {
    // Keeps the loop running until the call has returned.
    auto work = asio::make_work_guard(executor);
    asio::post(Pool, [&call, &thrown, handler = std::move(handler),
                      work = std::move(work)]() mutable {
      try {
        call();
      } catch (...) {
        thrown = std::current_exception();
      }
      asio::post(work.get_executor(), std::move(handler));
    });
  };
  asio::use_awaitable_t<> token;
  co_await asio::async_initiate<asio::use_awaitable_t<>, void()>(start, token);
  if (thrown != nullptr) {
    std::rethrow_exception(thrown);
  }
}

void WorkerThreads::submit(std::function<void()> call) {
  asio::post(Pool, std::move(call));
}

void WorkerThreads::join() { Pool.join(); }

} // namespace orioletally::drivers::loop
