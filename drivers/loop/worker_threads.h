#ifndef ORIOLETALLY_DRIVERS_LOOP_WORKER_THREADS_H
#define ORIOLETALLY_DRIVERS_LOOP_WORKER_THREADS_H

#include "drivers/loop/asio_use.h"

#include <boost/asio/thread_pool.hpp>
#include <functional>

namespace orioletally::drivers::loop {

/// A thread pool for blocking calls, so that they don't block the event loop.
class WorkerThreads {
public:
  explicit WorkerThreads(size_t threads) : Pool(threads) {}

  /// Waits for the calls in progress.
  ~WorkerThreads() { join(); }
  WorkerThreads(const WorkerThreads &) = delete;
  WorkerThreads &operator=(const WorkerThreads &) = delete;

  /// Runs \p call on one of the threads, in the order of submission, and
  /// resumes on the loop. An exception of the call is rethrown there.
  asio::awaitable<void> run(std::function<void()> call);

  /// Runs \p call on one of the threads, after what was submitted before; it
  /// must not throw. Destroys it unrun after join().
  void submit(std::function<void()> call);

  /// Waits for the calls in progress and accepts no more.
  void join();

private:
  asio::thread_pool Pool;
};

} // namespace orioletally::drivers::loop

#endif
