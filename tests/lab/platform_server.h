#ifndef ORIOLETALLY_TESTS_LAB_PLATFORM_SERVER_H
#define ORIOLETALLY_TESTS_LAB_PLATFORM_SERVER_H

#include "tests/lab/threaded_server.h"

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace orioletally::lab {

/// Faults that the stand-in platform injects until they are changed.
struct PlatformFaults {
  /// The connection of every call is closed before the call takes effect.
  bool Outage = false;
  /// As Outage, for the VM list only.
  bool VmListOutage = false;
  int DelayMs = 0;
  /// Percentage of transactions whose answer is lost after they took effect.
  int LoseReplyPercent = 0;
  /// Reads return the rows as they were when this was set.
  bool StaleReads = false;
};

/// An in-memory stand-in for the platform: its table service and VM list.
class PlatformServer {
public:
  explicit PlatformServer(int port, uint64_t seed = 1);

  boost::leaf::result<void> start();
  void stop() { Server.stop(); }
  int port() const { return Server.port(); }

  void setFaults(const PlatformFaults &faults);
  void putVm(const nlohmann::json &vm);
  uint64_t writes() const;
  uint64_t reads() const;

private:
  struct Row {
    uint64_t Version = 0;
    std::string Value;
  };
  using Rows = std::map<std::string, Row>;

  void registerTable();
  void registerControl();
  /// Injects the faults that come before a call takes effect. Returns whether
  /// the connection was closed.
  bool applyCallFaults(bool isVmList);
  void commit(const nlohmann::json &transaction, httplib::Response &response);
  const Rows &visibleRows() const;
  static nlohmann::json rowJson(const std::string &key, const Row &row);

  mutable std::mutex Guard;
  PlatformFaults Faults;
  std::mt19937_64 Random;
  Rows Table;
  Rows StaleTable;
  uint64_t LastVersion = 0;
  uint64_t Writes = 0;
  uint64_t Reads = 0;
  std::map<std::string, nlohmann::json> Vms;
  ThreadedServer Server;
};

} // namespace orioletally::lab

#endif
