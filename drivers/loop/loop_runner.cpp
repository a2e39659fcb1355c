#include "drivers/loop/loop_runner.h"

#include <boost/asio/post.hpp>
#include <future>

namespace orioletally::drivers::loop {

LoopRunner::LoopRunner()
    : Work(asio::make_work_guard(Loop)), Worker([this] { Loop.run(); }) {}

LoopRunner::~LoopRunner() { end(); }

void LoopRunner::run(const std::function<void()> &call) {
  std::promise<void> done;
  asio::post(Loop, [&] {
    call();
    done.set_value();
  });
  done.get_future().wait();
}

void LoopRunner::end() {
  if (!Worker.joinable())
    return;
  Loop.stop();
  Worker.join();
  Loop.end();
}

} // namespace orioletally::drivers::loop
