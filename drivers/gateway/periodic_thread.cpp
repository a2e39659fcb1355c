#include "drivers/gateway/periodic_thread.h"

#include <utility>

namespace orioletally::drivers::gateway {

PeriodicThread::~PeriodicThread() { stop(); }

void PeriodicThread::start(absl::Duration pause, std::function<void()> task) {
  Worker =
      std::thread([this, pause, task = std::move(task)] { run(pause, task); });
}

void PeriodicThread::stop() {
  if (!Worker.joinable())
    return;
  {
    const std::lock_guard lock(Guard);
    Stopping = true;
  }
  Changed.notify_all();
  Worker.join();
}

void PeriodicThread::wake() {
  {
    const std::lock_guard lock(Guard);
    Woken = true;
  }
  Changed.notify_all();
}

void PeriodicThread::run(absl::Duration pause,
                         const std::function<void()> &task) {
  std::unique_lock lock(Guard);
  while (!Stopping) {
    Woken = false;
    lock.unlock();
    task();
    lock.lock();
    Changed.wait_for(lock, absl::ToChronoMilliseconds(pause),
                     [this] { return Stopping || Woken; });
  }
}

} // namespace orioletally::drivers::gateway
