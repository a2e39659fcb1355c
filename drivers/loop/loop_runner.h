#ifndef ORIOLETALLY_DRIVERS_LOOP_LOOP_RUNNER_H
#define ORIOLETALLY_DRIVERS_LOOP_LOOP_RUNNER_H

#include "drivers/loop/event_loop.h"

#include <functional>
#include <thread>

namespace orioletally::drivers::loop {

/// An event loop and the single thread that runs it.
class LoopRunner {
public:
  LoopRunner();

  /// Ends the loop.
  ~LoopRunner();
  LoopRunner(const LoopRunner &) = delete;
  LoopRunner &operator=(const LoopRunner &) = delete;

  EventLoop &loop() { return Loop; }

  /// Runs \p call on the loop and waits until it returns. Must not be called on
  /// the loop's thread.
  void run(const std::function<void()> &call);

  /// Ends the thread, then destroys the loop's pending handlers; call it while
  /// the objects that they refer to still exist. May be called more than once.
  void end();

private:
  EventLoop Loop;
  asio::executor_work_guard<EventLoop::executor_type> Work;
  std::thread Worker;
};

} // namespace orioletally::drivers::loop

#endif
