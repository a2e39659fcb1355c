#ifndef ORIOLETALLY_DRIVERS_GATEWAY_BACKGROUND_CALLS_H
#define ORIOLETALLY_DRIVERS_GATEWAY_BACKGROUND_CALLS_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace orioletally::drivers::gateway {

/// Runs short calls that no caller waits for, on a few threads. When too many
/// wait, further ones are dropped: each is an optimisation that a bound on the
/// other side makes up for.
class BackgroundCalls {
public:
  BackgroundCalls(size_t threads, size_t capacity);

  /// Runs what is queued and ends the threads.
  ~BackgroundCalls();
  BackgroundCalls(const BackgroundCalls &) = delete;
  BackgroundCalls &operator=(const BackgroundCalls &) = delete;

  /// Queues \p call; false when it was dropped.
  bool submit(std::function<void()> call);

private:
  void work();

  std::mutex Guard;
  std::condition_variable Changed;
  size_t Capacity;
  bool Stopping = false;
  std::deque<std::function<void()>> Queue;
  std::vector<std::thread> Threads;
};

} // namespace orioletally::drivers::gateway

#endif
