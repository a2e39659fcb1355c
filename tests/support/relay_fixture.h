#ifndef ORIOLETALLY_TESTS_SUPPORT_RELAY_FIXTURE_H
#define ORIOLETALLY_TESTS_SUPPORT_RELAY_FIXTURE_H

#include "tests/lab/raw_server.h"
#include "tests/lab/store_server.h"
#include "tests/support/child_process.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace orioletally::tests {

/// A whole answer as a caller got it.
struct CallerAnswer {
  /// 0 when no status line came.
  int Status = 0;
  std::string Head;
  /// With chunks taken apart.
  std::string Body;
  /// Whether the body came to its declared end.
  bool IsWhole = false;

  /// Value of a header by its lower-case name; empty without one.
  std::string header(const std::string &name) const;
};

/// A stand-in backend server that counts the attempts it gets.
class StandInBackend {
public:
  using Script =
      std::function<bool(const lab::RawRequest &, const lab::RawConnection &)>;

  explicit StandInBackend(Script script);

  const std::string &address() const { return Server.address(); }
  int attempts() const { return Attempts; }
  lab::RawRequest lastRequest() const;

private:
  std::atomic<int> Attempts = 0;
  mutable std::mutex Guard;
  lab::RawRequest Last;
  lab::RawServer Server;
};

/// Scripts for stand-in backend servers. \p id is the backend server's.
namespace scripts {
/// A whole plain answer.
StandInBackend::Script answer(const std::string &body);
/// A stream of events \p from to \p to, \p gapMs apart, and its end.
StandInBackend::Script stream(int from, int to, int gapMs);
/// A stream that breaks off inside the event after \p to.
StandInBackend::Script brokenStream(int to);
/// Exactly these bytes; "{id}" stands for the attempt's id. Closes if \p close.
StandInBackend::Script bytes(const std::string &text, bool close);
/// Nothing at all.
StandInBackend::Script silence();
} // namespace scripts

/// One entry node on the stand-in store, as a process.
class RelayFixture {
public:
  RelayFixture();
  /// Another node, called \p name, on the store of \p other.
  RelayFixture(const RelayFixture &other, std::string name);

  /// Lists a backend server of \p service ("plain" or "engine").
  void listBackend(const std::string &id, const std::string &service,
                   const std::string &address,
                   const std::string &state = "ready");
  void unlistBackend(const std::string &id) { Store.remove("servers", id); }
  /// Writes the configuration of this test with \p version.
  void configure(int version, const std::string &extraRoute = "");

  /// Writes the node's settings file, with \p extra lines at its end; returns
  /// its path.
  std::string writeSettings(const std::string &extra) const;

  /// Starts the node and waits until it is ready and knows \p backends.
  bool start(size_t backends);

  /// Makes one call on a connection of its own.
  CallerAnswer call(const std::string &method, const std::string &path,
                    const std::string &extraHeaders = "",
                    const std::string &body = "") const;
  /// Sends \p bytes as they are and reads the answer.
  CallerAnswer sendRaw(const std::string &bytes) const;
  /// Sends \p bytes and counts the status lines that come back, until there
  /// are \p wanted or nothing comes for a while.
  int countAnswers(const std::string &bytes, int wanted) const;
  bool isReady() const;

  /// The log line of the call \p attemptId, once it is written.
  nlohmann::json waitCallLog(const std::string &attemptId) const;

  std::shared_ptr<lab::StoreServer> SharedStore;
  lab::StoreServer &Store;
  std::string Name = "n1";
  ChildProcess Process;
  std::string CallsAddress;
  std::string ReadinessAddress;
  std::string PeersAddress;
};

/// Waits for \p condition for up to \p ms.
bool within(int ms, const std::function<bool()> &condition);

} // namespace orioletally::tests

#endif
