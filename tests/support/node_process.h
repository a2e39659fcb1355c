#ifndef ORIOLETALLY_TESTS_SUPPORT_NODE_PROCESS_H
#define ORIOLETALLY_TESTS_SUPPORT_NODE_PROCESS_H

#include <chrono>
#include <string>
#include <sys/types.h>

namespace orioletally::tests {

/// Parameters of an entry node that a test starts.
struct NodeOptions {
  std::string Name;
  std::string Zone = "zone-a";
  std::string PlatformAddress;
  /// Addresses of other nodes' peer ports.
  std::string Seeds;
  int64_t DrainMs = 60'000;
  int64_t MaxStreams = 1000;
  int64_t RequestMs = 10'000;
  int64_t PlatformTimeoutMs = 500;
  /// Further TOML text.
  std::string Extra;
};

/// The shipped binary as a child process, so that it can be killed and frozen.
class NodeProcess {
public:
  explicit NodeProcess(const NodeOptions &options);

  /// Kills the process if it still runs.
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  /// Waits until /readyz says so; false after \p bound.
  bool waitReady(std::chrono::milliseconds bound);

  void signal(int number) const;

  /// Waits for the end and returns the exit code, or -1 when it was killed or
  /// didn't end in time.
  int waitExit(std::chrono::milliseconds bound);

  /// "ip:port" for callers; empty when the node didn't come up.
  const std::string &address() const { return Address; }
  const std::string &name() const { return Name; }
  /// "ip:port" for other nodes.
  const std::string &peerAddress() const { return PeerAddress; }

  /// Everything that the node has written to its log so far.
  std::string log() const;

private:
  void waitForAddress();

  std::string Name;
  std::string Folder;
  std::string Address;
  std::string PeerAddress;
  pid_t Pid = -1;
  bool Ended = false;
  int ExitCode = -1;
};

} // namespace orioletally::tests

#endif
