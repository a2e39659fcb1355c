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

/// What a StoreServer does to calls until told otherwise.
enum class StoreFault { None, Refuse, Silence, Reset };

/// A stand-in for the users' store: rows with versions, reads, waits for
/// changes and conditional writes, by the published calls.
class StoreServer {
public:
  StoreServer();
  ~StoreServer();

  const std::string &address() const { return Server.address(); }

  /// Writes \p value, raw bytes, to a row.
  void put(const std::string &table, const std::string &key,
           const std::string &value);
  void remove(const std::string &table, const std::string &key);
  /// Returns a row's value; empty when there is none.
  std::string value(const std::string &table, const std::string &key) const;

  /// Forgets what has changed before now.
  void compact();
  void setFault(StoreFault fault) { Fault = fault; }
  /// Reads of \p table are answered \p time later from now on.
  void delayReads(const std::string &table, std::chrono::milliseconds time);
  uint64_t calls() const { return Calls; }
  /// How long the first call since clearFirstWaits() that follows \p table was
  /// willing to wait for changes; empty before it.
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
  std::string watch(const std::string &table, uint64_t since, int waitMs,
                    int &status);
  /// Whether a row has the version that \p condition names.
  bool isConditionMet(const nlohmann::json &condition) const;
  /// Carries out a transaction; false when a condition doesn't hold.
  bool write(const std::string &body);
  void applyChange(Change change);

  mutable std::mutex Guard;
  /// Held from a transaction's conditions to its last write.
  std::mutex TransactionGuard;
  std::condition_variable Changed;
  uint64_t Version = 1;
  uint64_t OldestVersion = 0;
  std::map<std::string, std::map<std::string, Change>> Tables;
  std::vector<Change> History;
  /// By table.
  std::map<std::string, std::chrono::milliseconds> ReadDelays;
  /// By table: what the first call since clearFirstWaits() was willing to wait.
  std::map<std::string, int> FirstWaits;
  std::atomic<StoreFault> Fault = StoreFault::None;
  std::atomic<uint64_t> Calls = 0;
  std::atomic<bool> Stopping = false;
  RawServer Server;
};

} // namespace orioletally::lab

#endif
