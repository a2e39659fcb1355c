#ifndef ORIOLETALLY_DRIVERS_LOOP_WORKER_THREADS_H
#define ORIOLETALLY_DRIVERS_LOOP_WORKER_THREADS_H

#include "drivers/loop/asio_use.h"

#include <boost/asio/thread_pool.hpp>
#include <functional>

namespace orioletally::drivers::loop {

/// Threads for calls that block, so that the event loop doesn't.
class WorkerThreads {
public:
  explicit WorkerThreads(size_t threads) : Pool(threads) {}

  /// Waits for the calls in progress.
  ~WorkerThreads() { join(); }
  WorkerThreads(const WorkerThreads &) = delete;
  WorkerThreads &operator=(const WorkerThreads &) = delete;

  /// Runs \p call on one of the threads, in turn with others that wait, and
  /// comes back to the loop. An exception of the call is thrown there.
  asio::awaitable<void> run(std::function<void()> call);

  /// Waits for the calls in progress and takes no more.
  void join();

private:
  asio::thread_pool Pool;
};

} // namespace orioletally::drivers::loop

#endif
