#ifndef ORIOLETALLY_DRIVERS_GATEWAY_PERIODIC_THREAD_H
#define ORIOLETALLY_DRIVERS_GATEWAY_PERIODIC_THREAD_H

#include <absl/time/time.h>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace orioletally::drivers::gateway {

/// A thread that does the same again and again, with a pause in between.
class PeriodicThread {
public:
  PeriodicThread() = default;
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread &) = delete;
  PeriodicThread &operator=(const PeriodicThread &) = delete;

  /// Runs \p round until stop(), with \p pause after each.
  void start(absl::Duration pause, std::function<void()> task);

  /// Waits for the round in progress. May be called more than once.
  void stop();

  /// Ends the pause at once.
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
