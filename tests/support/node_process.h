#ifndef ORIOLETALLY_TESTS_SUPPORT_NODE_PROCESS_H
#define ORIOLETALLY_TESTS_SUPPORT_NODE_PROCESS_H

#include "tests/support/child_process.h"

#include <chrono>
#include <string>

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

/// An entry node with the product's own interface, as a child process.
class NodeProcess {
public:
  explicit NodeProcess(const NodeOptions &options);

  /// Waits until /readyz says so; false after \p timeout.
  bool waitReady(std::chrono::milliseconds timeout);

  void signal(int number) const { Process.signal(number); }
  bool freeze() const { return Process.freeze(); }

  /// Waits for the end and returns the exit code, or -1 when it was killed or
  /// didn't end in time.
  int waitExit(std::chrono::milliseconds timeout) {
    return Process.waitExit(timeout);
  }

  /// "ip:port" for callers; empty when the node didn't come up.
  const std::string &address() const { return Address; }
  const std::string &name() const { return Name; }
  /// "ip:port" for other nodes.
  const std::string &peerAddress() const { return PeerAddress; }

  /// Everything that the node has written to its log so far.
  std::string log() const { return Process.log(); }

private:
  ChildProcess Process;
  std::string Name;
  std::string Address;
  std::string PeerAddress;
};

} // namespace orioletally::tests

#endif
