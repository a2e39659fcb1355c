#ifndef ORIOLETALLY_DRIVERS_GATEWAY_PERIODIC_THREAD_H
#define ORIOLETALLY_DRIVERS_GATEWAY_PERIODIC_THREAD_H

#include <absl/time/time.h>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace orioletally::drivers::gateway {

/// A thread that runs a task repeatedly, with a pause after each run.
class PeriodicThread {
public:
  PeriodicThread() = default;
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread &) = delete;
  PeriodicThread &operator=(const PeriodicThread &) = delete;

  /// Runs \p task until stop() is called.
  void start(absl::Duration pause, std::function<void()> task);

  /// Waits for the current run of the task and ends the thread. May be called
  /// more than once.
  void stop();

  /// Ends the current pause early.
  void wake();

private:
  void run(absl::Duration pause, const std::function<void()> &task);

  std::mutex Guard;
  std::condition_variable Changed;
  bool Stopping = false;
  bool Woken = false;
  std::thread Worker;
};

} // namespace orioletally::drivers::gateway

#endif
