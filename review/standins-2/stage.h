#ifndef ORIOLETALLY_REVIEW_STANDINS_2_STAGE_H
#define ORIOLETALLY_REVIEW_STANDINS_2_STAGE_H

#include "tests/lab/raw_server.h"
#include "tests/lab/store_server.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/// What the scripts of the second review have in common: an entry node that is
/// started as the deploy file says, a store, and callers.
namespace review {

using orioletally::lab::RawConnection;
using orioletally::lab::RawRequest;
using orioletally::lab::RawServer;
using orioletally::lab::StoreServer;

enum ExitCode { Held = 0, Broken = 1, NotRun = 2 };

/// Whether the disruption is to be played: false with TROUBLE=0.
bool hasTrouble();

void sleepMs(int ms);
int64_t nowMs();

/// Writes what was sent, answered and run, one line each, with the time since
/// the start of the program.
class Record {
public:
  explicit Record(const std::string &path);
  void line(const std::string &text);

private:
  std::mutex Guard;
  std::ofstream Out;
  int64_t StartedAt;
};

/// An entry node: `target/orioletally entry` with a settings file like that of
/// a small deployment, in a process of its own and a temporary folder.
class Node {
public:
  Node(std::string name, std::string storeAddress);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts the process and waits until it is ready; false if it isn't in 15 s.
  bool start();
  bool isReady() const;
  void signal(int number) const;
  /// Waits for the process to end; returns whether it did.
  bool waitExit(int ms);
  std::string log() const;
  const std::string &calls() const { return CallsAddress; }

private:
  std::string Name;
  std::string Folder;
  std::string CallsAddress;
  std::string ReadyAddress;
  std::string PeersAddress;
  std::string StoreAddress;
  pid_t Pid = -1;
  bool HasEnded = true;
};

/// An answer as a caller received it.
struct Answer {
  /// 0 if no status line arrived.
  int Status = 0;
  std::string Head;
  std::string Body;
  bool IsComplete = false;
  /// Whether the connection can carry another request.
  bool KeepsOpen = false;

  std::string header(std::string name) const;
};

/// A caller with one connection, which it keeps for many requests.
class Caller {
public:
  explicit Caller(std::string address) : Address(std::move(address)) {}
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  /// Sends \p text and reads its answer. Opens a connection if there is none.
  Answer call(const std::string &text, int timeoutMs);
  void close();
  /// Limits the receive buffer of connections that are opened from now on.
  void setReceiveBuffer(int bytes) { ReceiveBuffer = bytes; }
  bool open();
  bool send(const std::string &text) const;
  /// Reads at most \p max bytes; empty at the end, a reset or a timeout.
  std::string receive(size_t max, int timeoutMs) const;

private:
  std::string Address;
  int Fd = -1;
  int ReceiveBuffer = 0;
};

/// A request with an attempt id, a time limit and the key of the one workspace.
std::string requestText(const std::string &method, const std::string &path,
                        const std::string &id, int timeLimitMs,
                        const std::string &body,
                        const std::string &moreHeaders = "");

/// The head of a worker's answer to \p request, up to and with the empty line.
std::string answerHead(const RawRequest &request, int status,
                       const std::string &moreHeaders);

/// Writes the manifest with the routes /read/, /write/ (service desk) and
/// /ask/, /once/ (service llm) of the host a.example.
void writeConfig(StoreServer &store, int version, int timeoutMs);
void listWorker(StoreServer &store, const std::string &id,
                const std::string &service, const std::string &address,
                int64_t born, const std::string &state = "ready");

int freePort();
std::string attemptId(const RawRequest &request);

} // namespace review

#endif
