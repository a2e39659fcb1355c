#include "drivers/gateway/loop_thread.h"

#include <utility>

namespace orioletally::drivers::gateway {

LoopThread::~LoopThread() { stop(); }

void LoopThread::start(absl::Duration pause, std::function<void()> round) {
  Worker = std::thread(
      [this, pause, round = std::move(round)] { run(pause, round); });
}

void LoopThread::stop() {
  if (!Worker.joinable())
    return;
  {
    const std::lock_guard lock(Guard);
    Stopping = true;
  }
  Changed.notify_all();
  Worker.join();
}

void LoopThread::wake() {
  {
    const std::lock_guard lock(Guard);
    Woken = true;
  }
  Changed.notify_all();
}

void LoopThread::run(absl::Duration pause, const std::function<void()> &round) {
  std::unique_lock lock(Guard);
  while (!Stopping) {
    Woken = false;
    lock.unlock();
    round();
    lock.lock();
    Changed.wait_for(lock, absl::ToChronoMilliseconds(pause),
                     [this] { return Stopping || Woken; });
  }
}

} // namespace orioletally::drivers::gateway
