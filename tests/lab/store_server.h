#ifndef ORIOLETALLY_TESTS_LAB_STORE_SERVER_H
#define ORIOLETALLY_TESTS_LAB_STORE_SERVER_H

#include "tests/lab/raw_server.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace orioletally::lab {

/// Fault that a StoreServer injects into each call until it is changed.
enum class StoreFault { None, Refuse, Silence, Reset };

/// A stand-in for the users' store with its published calls: reads of versioned
/// rows, watches and conditional writes.
class StoreServer {
public:
  StoreServer();
  ~StoreServer();

  const std::string &address() const { return Server.address(); }

  /// Writes \p value, raw bytes, to a row.
  void put(const std::string &table, const std::string &key,
           const std::string &value);
  void remove(const std::string &table, const std::string &key);
  /// Returns a row's value; empty if there is no row.
  std::string value(const std::string &table, const std::string &key) const;

  /// Discards the change history, so that watches from earlier versions fail
  /// with status 410.
  void compact();
  /// Copies the present rows and version.
  void save();
  /// Comes back from that copy: what was written since is lost, and its
  /// versions are given out again.
  void restore();
  void setFault(StoreFault fault) { Fault = fault; }
  /// Delays the answers to reads of \p table by \p time.
  void delayReads(const std::string &table, std::chrono::milliseconds time);
  uint64_t calls() const { return Calls; }
  /// Returns `wait_ms`, the maximum time to wait for changes, of the first
  /// watch of \p table since clearFirstWaits(); empty if there was none.
  std::optional<int> firstWaitMs(const std::string &table) const;
  void clearFirstWaits();

private:
  struct Change {
    uint64_t Version;
    std::string Table;
    std::string Key;
    std::string Value;
    bool Removed;
  };

  bool handle(const RawRequest &request, const RawConnection &connection);
  std::chrono::milliseconds delayOf(const std::string &table) const;
  std::string read(const std::string &table) const;
  std::string watch(const std::string &table, uint64_t sinceVersion, int waitMs,
                    int &status);
  /// Returns whether the row of \p condition has the version that it states.
  bool isConditionMet(const nlohmann::json &condition) const;
  /// Executes a transaction; returns false and writes nothing if a condition
  /// isn't met.
  bool write(const std::string &body);
  void applyChange(Change change);

  mutable std::mutex Guard;
  /// Held from the check of a transaction's conditions to its last write.
  std::mutex TransactionGuard;
  std::condition_variable Changed;
  using TableMap = std::map<std::string, std::map<std::string, Change>>;

  uint64_t Version = 1;
  /// Number of the restores so far, sent with each answer.
  std::atomic<uint64_t> Era = 0;
  TableMap SavedTables;
  uint64_t SavedVersion = 1;
  /// The oldest version that can be watched from.
  uint64_t OldestVersion = 0;
  TableMap Tables;
  std::vector<Change> History;
  /// By table.
  std::map<std::string, std::chrono::milliseconds> ReadDelays;
  /// By table: `wait_ms` of the first watch since clearFirstWaits().
  std::map<std::string, int> FirstWaits;
  std::atomic<StoreFault> Fault = StoreFault::None;
  std::atomic<uint64_t> Calls = 0;
  std::atomic<bool> Stopping = false;
  RawServer Server;
};

} // namespace orioletally::lab

#endif
