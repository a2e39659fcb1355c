#ifndef ORIOLETALLY_TESTS_SUPPORT_CHILD_PROCESS_H
#define ORIOLETALLY_TESTS_SUPPORT_CHILD_PROCESS_H

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace orioletally::tests {

/// The shipped binary as a child process with a folder of its own, so that it
/// can be killed and frozen. Killed at the end if it still runs.
class ChildProcess {
public:
  ChildProcess();
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Writes \p text to the file \p name in the folder and returns its path.
  std::string writeFile(const std::string &name, const std::string &text) const;

  /// Starts the binary with \p arguments.
  void start(const std::vector<std::string> &arguments);

  bool isStarted() const { return Pid > 0; }
  void signal(int number) const;

  /// Sends SIGSTOP and waits until every thread has stopped: on a busy machine
  /// they run on for a while. Returns whether they have.
  bool freeze() const;

  /// Waits for the end and returns the exit code, or -1 when it was killed or
  /// didn't end in time.
  int waitExit(std::chrono::milliseconds timeout);

  /// Memory that the process has in use; 0 when it isn't running.
  long residentKilobytes() const;

  /// Everything that it has written so far.
  std::string log() const;

  /// Waits for a log line of \p event.
  std::optional<nlohmann::json> waitEvent(const std::string &event,
                                          std::chrono::milliseconds timeout);

private:
  std::string Folder;
  pid_t Pid = -1;
  bool Ended = false;
  int ExitCode = -1;
};

} // namespace orioletally::tests

#endif
