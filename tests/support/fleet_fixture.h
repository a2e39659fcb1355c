#ifndef ORIOLETALLY_TESTS_SUPPORT_FLEET_FIXTURE_H
#define ORIOLETALLY_TESTS_SUPPORT_FLEET_FIXTURE_H

#include "tests/lab/engine_server.h"
#include "tests/lab/load_client.h"
#include "tests/lab/platform_server.h"
#include "tests/lab/service_server.h"
#include "tests/support/node_process.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace orioletally::tests {

/// The answer to an HTTP request that a test sent.
struct HttpAnswer {
  int Status = 0;
  bool Complete = false;
  std::string Body;
  std::string EntityTag;
  std::string RetryAfter;
  std::string RequestId;

  nlohmann::json json() const {
    return nlohmann::json::parse(Body, nullptr, false);
  }
  /// Returns a field of the error object, such as "run", or "" if the answer
  /// has no error.
  std::string error(const std::string &field) const;
};

/// Headers of a request, by name.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Sends one request and waits up to 60 s for the complete answer.
HttpAnswer httpCall(const std::string &address, const std::string &method,
                    const std::string &path, const std::string &token,
                    const std::string &body = "",
                    const HeaderList &headers = {});

/// Waits until \p condition is true; returns false after \p timeout.
bool eventually(const std::function<bool()> &condition,
                std::chrono::milliseconds timeout = std::chrono::seconds(10));

/// A stand-in platform, engines and services in the test process, and entry
/// nodes as child processes.
class FleetFixture {
public:
  explicit FleetFixture(int engines, int services = 1,
                        const lab::EngineModelSettings &speeds = {});
  ~FleetFixture();

  NodeProcess &addNode(const NodeOptions &options = {});

  /// Adds a node and waits until it is ready and lists all nodes and backends.
  NodeProcess &addReadyNode(const NodeOptions &options = {});

  /// Writes the entry of engine \p n to the VM list.
  void listEngine(int n, bool isLeaving);
  void removeVm(const std::string &id);

  /// Creates a profile through \p node and returns the answer.
  static HttpAnswer createProfile(const NodeProcess &node,
                                  const std::string &name,
                                  const nlohmann::json &fields);

  std::unique_ptr<lab::PlatformServer> Platform;
  std::vector<std::unique_ptr<lab::EngineServer>> Engines;
  std::vector<std::unique_ptr<lab::ServiceServer>> Services;
  std::vector<std::unique_ptr<NodeProcess>> Nodes;

private:
  lab::EngineModelSettings Speeds;
};

} // namespace orioletally::tests

#endif
