#ifndef ORIOLETALLY_REVIEW_STANDINS_3_STAGE_H
#define ORIOLETALLY_REVIEW_STANDINS_3_STAGE_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Small stand-ins for the users' platform, for scripts of the third review.
/// They follow the users' pages; where these are silent, they behave like a
/// sound store, worker or consumer.
namespace review {

using Json = nlohmann::json;

/// Milliseconds since the program's start.
int64_t nowMs();
/// The time of day as Unix milliseconds.
int64_t unixMs();
void sleepMs(int64_t ms);
/// Waits until \p at, in milliseconds since the program's start.
void sleepUntil(int64_t at);

/// Whether the disruption takes place: not if TROUBLE is 0.
bool isTroubled();

/// Ends the program as a case that couldn't run.
[[noreturn]] void cannotRun(const std::string &why);

/// Writes a line to record.txt, with the time.
void record(const std::string &line);

/// An HTTP message.
struct Message {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string header(const std::string &name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// A connection; reading and writing fail once it is closed or reset.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Connects to "ip:port"; null if that failed.
  static std::unique_ptr<Connection> open(const std::string &address);

  /// Waits \p timeoutMs for the first byte; false if none came.
  bool awaitBytes(int timeoutMs);
  /// Reads a message whose body has a length, comes in chunks or, in an answer,
  /// lasts until the close. False if it isn't whole.
  bool read(Message &message, bool isAnswer, int timeoutMs);
  bool write(const std::string &bytes);
  /// Ends reads and writes in progress.
  void shutdown();
  int fd() const { return Fd; }

private:
  bool fill(int timeoutMs);
  bool readLine(std::string &line, int timeoutMs);

  int Fd;
  std::string Bytes;
};

/// Serves connections, each on a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;

  explicit Server(const std::string &ip = "127.0.0.1");
  ~Server() { stop(); }

  void start(Handler handler);
  /// Closes the port and all connections, as the end of a process does.
  void stop();
  const std::string &address() const { return Address; }
  bool isStopping() const { return Stopping; }

private:
  void accept();

  std::string Address;
  int Fd = -1;
  Handler Handle;
  std::atomic<bool> Stopping = false;
  std::mutex Guard;
  std::list<std::shared_ptr<Connection>> Connections;
  std::list<std::thread> Threads;
  std::thread Acceptor;
};

/// The platform's metadata store: rows, transactions and feeds.
class Store {
public:
  struct Change {
    std::string Table;
    std::string Key;
    /// Raw bytes.
    std::string Value;
    bool Removed = false;
  };

  Store();

  /// Applies \p changes in one transaction; returns its version.
  uint64_t commit(const std::vector<Change> &changes);
  void put(const std::string &table, const std::string &key, const Json &value);
  void remove(const std::string &table, const std::string &key);
  const std::string &address() const { return Port.address(); }
  /// Opens a further port, so that calls can be told apart; returns its number.
  size_t openDoor();
  const std::string &doorAddress(size_t n) const { return Doors[n]->address(); }
  /// Returns the doors through which \p table was watched, with a wait for
  /// changes, in the last \p ms.
  std::vector<size_t> watchingDoors(const std::string &table, int64_t ms);
  void stop();

private:
  struct Row {
    uint64_t Version = 0;
    Change Last;
  };

  void serve(Connection &connection, size_t door);
  std::string answer(const Message &request, size_t door, int &status);
  std::string transact(const std::string &body, int &status);
  std::string rowsOf(const std::map<std::string, std::string> &query);
  std::string feedOf(const std::map<std::string, std::string> &query,
                     int &status);
  uint64_t commitLocked(const std::vector<Change> &changes);
  static Json rowJson(const Row &row);

  std::mutex Guard;
  std::condition_variable Changed;
  uint64_t Version = 100;
  std::map<std::pair<std::string, std::string>, Row> Rows;
  /// When each door last got a watch of a table.
  std::map<std::pair<std::string, size_t>, int64_t> WatchedAt;
  std::atomic<bool> Stopping = false;
  std::deque<std::unique_ptr<Server>> Doors;
  Server Port;
};

/// A worker of a plain service. Runs a request for WorkMs and answers it.
class Worker {
public:
  Worker(std::string id, std::string service, int64_t workMs);

  const std::string &id() const { return Id; }
  const std::string &address() const { return Port.address(); }
  /// The value of its row under servers/ in \p state.
  Json entry(const std::string &state) const;
  /// Its process ends.
  void exit();

  struct Arrival {
    int64_t At;
    std::string AttemptId;
    /// Whether the answer was written.
    bool IsAnswered;
  };
  std::vector<Arrival> arrivals() const;

private:
  void serve(Connection &connection);

  std::string Id;
  std::string Service;
  int64_t WorkMs;
  int64_t BornMs;
  mutable std::mutex Guard;
  std::vector<Arrival> Arrivals;
  Server Port;
};

/// An entry node: the program of the deploy file in a process of its own.
class Node {
public:
  /// \p store is the address of the store.
  Node(std::string name, const std::string &ip, const std::string &store);
  ~Node();

  void start();
  void signal(int number);
  /// Waits until the process has ended; false after \p timeoutMs.
  bool awaitEnd(int64_t timeoutMs);
  bool isRunning();
  /// Whether the readiness check is answered with 200.
  bool isReady() const;
  void awaitReady();
  const std::string &front() const { return Front; }
  const std::string &name() const { return Name; }

private:
  void writeSettings(const std::string &store);

  std::string Name;
  std::string Ip;
  std::string Front;
  std::string Ready;
  std::string Peers;
  std::string SettingsFile;
  std::string LogFile;
  int Pid = -1;
};

/// Returns an unused loopback IP of this program.
std::string nextLoopbackIp();

/// What became of a consumer's request.
struct Outcome {
  std::string AttemptId;
  std::string Node;
  int64_t SentAt = 0;
  int64_t EndedAt = 0;
  /// 0 without a complete answer.
  int Status = 0;
  /// Of the answer.
  Message Answer;
};

/// Consumers that send requests, each on a new connection, at a steady rate.
class Consumers {
public:
  struct Request {
    std::string Method = "POST";
    std::string Target;
    std::string Host;
    std::string Key;
    int64_t TimeLimitMs = 3000;
    std::string Body;
    std::vector<std::pair<std::string, std::string>> Headers = {};
  };

  /// Sends one request to \p front and waits for its answer.
  static Outcome send(const std::string &node, const std::string &front,
                      const Request &request, const std::string &attemptId);

  /// Sends \p request to \p node every \p everyMs until stop().
  void press(const Node &node, Request request, int64_t everyMs);
  void stop();
  std::vector<Outcome> outcomes() const;

private:
  mutable std::mutex Guard;
  std::vector<Outcome> Outcomes;
  std::atomic<bool> Stopping = false;
  std::list<std::thread> Threads;
};

/// A manifest with one route, /desk/ of host desk.example, to \p service.
Json manifest(int64_t version, const std::string &kind,
              const std::string &service, int64_t timeoutMs,
              int64_t maxAttempts);

/// Prints how the case ended and ends the program.
[[noreturn]] void finish(bool isBroken, const std::string &summary);

} // namespace review

#endif
