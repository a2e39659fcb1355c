#ifndef ORIOLETALLY_TESTS_LAB_SERVICE_SERVER_H
#define ORIOLETALLY_TESTS_LAB_SERVICE_SERVER_H

#include "tests/lab/threaded_server.h"

#include <boost/leaf.hpp>
#include <map>
#include <mutex>
#include <random>
#include <string>

namespace orioletally::lab {

/// Faults that a stand-in service injects until they are changed.
struct ServiceFaults {
  bool Refuse = false;
  bool Draining = false;
  int DelayMs = 0;
  /// Percentage of calls whose answer is lost after they were executed.
  int LoseReplyPercent = 0;
};

/// A stand-in plain service that counts its executions.
class ServiceServer {
public:
  explicit ServiceServer(int port, uint64_t seed = 1);

  boost::leaf::result<void> start();
  void stop() { Server.stop(); }
  int port() const { return Server.port(); }

  void setFaults(const ServiceFaults &faults);

  /// Returns the executions of each idempotency key; calls without a key count
  /// under their request id.
  std::map<std::string, int> executions() const;

private:
  void handleCall(const httplib::Request &request, httplib::Response &response);

  mutable std::mutex Guard;
  ServiceFaults Faults;
  std::mt19937_64 Random;
  std::map<std::string, int> Executions;
  ThreadedServer Server;
};

} // namespace orioletally::lab

#endif
