#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <csignal>

int main(int argc, char **argv) {
  // The plugin counts allocations without locks, and the tests use threads;
  // the sanitizer build looks for leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::signal(SIGPIPE, SIG_IGN);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
