#include "drivers/gateway/background_calls.h"

#include <utility>

namespace orioletally::drivers::gateway {

BackgroundCalls::BackgroundCalls(size_t threads, size_t capacity)
    : Capacity(capacity) {
  for (size_t n = 0; n < threads; ++n)
    Threads.emplace_back([this] { work(); });
}

BackgroundCalls::~BackgroundCalls() {
  {
    const std::lock_guard lock(Guard);
    Stopping = true;
  }
  Changed.notify_all();
  for (std::thread &it : Threads)
    it.join();
}

bool BackgroundCalls::submit(std::function<void()> call) {
  {
    const std::lock_guard lock(Guard);
    if (Queue.size() >= Capacity)
      return false;
    Queue.push_back(std::move(call));
  }
  Changed.notify_one();
  return true;
}

void BackgroundCalls::work() {
  while (true) {
    std::unique_lock lock(Guard);
    Changed.wait(lock, [this] { return Stopping || !Queue.empty(); });
    if (Queue.empty())
      return;
    const std::function<void()> call = std::move(Queue.front());
    Queue.pop_front();
    lock.unlock();
    call();
  }
}

} // namespace orioletally::drivers::gateway
