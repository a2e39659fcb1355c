#ifndef ORIOLETALLY_DRIVERS_GATEWAY_BACKGROUND_CALLS_H
#define ORIOLETALLY_DRIVERS_GATEWAY_BACKGROUND_CALLS_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace orioletally::drivers::gateway {

/// A small thread pool for short remote calls whose result no caller waits for.
/// When the queue is full, further calls are dropped: each one only saves time,
/// because a timeout on the other side or the next periodic call has the same
/// effect later.
class BackgroundCalls {
public:
  BackgroundCalls(size_t threads, size_t capacity);

  /// Runs the calls still in the queue, then joins the threads.
  ~BackgroundCalls();
  BackgroundCalls(const BackgroundCalls &) = delete;
  BackgroundCalls &operator=(const BackgroundCalls &) = delete;

  /// Queues \p call; returns false if the queue is full and it was dropped.
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
