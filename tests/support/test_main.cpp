#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <csignal>

int main(int argc, char **argv) {
  // The plugin counts allocations without locking, but the tests use threads.
  // The sanitizer build checks for leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::signal(SIGPIPE, SIG_IGN);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
