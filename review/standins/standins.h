#ifndef ORIOLETALLY_REVIEW_STANDINS_H
#define ORIOLETALLY_REVIEW_STANDINS_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Small stand-ins for the users' platform, for the cases of the review: the
/// store, workers, consumers and the part of the platform that starts and ends
/// processes. They speak what PROTOCOL.md says. All addresses are loopback
/// addresses.
namespace review {

using nlohmann::json;

/// Milliseconds since the start of the program, on the steady clock.
int64_t nowMs();
void sleepMs(int64_t ms);
void sleepUntil(int64_t ms);

/// Writes lines to record.txt, each with its time.
class Record {
public:
  static void open(const std::string &path);
  static void write(const std::string &line);
};

/// An HTTP request or answer. Header names are in lower case.
struct Message {
  std::string Start;
  std::string Method;
  std::string Target;
  int Status = 0;
  std::multimap<std::string, std::string> Headers;
  std::string Body;
  /// Whether the whole body arrived.
  bool Complete = false;

  std::string header(const std::string &name) const;
};

/// A connection with buffered reads.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool write(const std::string &bytes) const;
  /// Reads up to the empty line after a head; false if the peer closes first or
  /// \p timeoutMs passes.
  bool readHead(Message &out, int timeoutMs);
  /// Reads the body that the headers announce.
  bool readBody(Message &out, bool isAnswer, bool isHeadAnswer, int timeoutMs);
  /// Reads the bytes that have arrived within \p timeoutMs.
  bool fill(int timeoutMs);
  /// Whether the peer has closed.
  bool isClosed() const;
  void shutdown() const;
  std::string Buffer;
  int fd() const { return Fd; }

private:
  int Fd;
};

std::unique_ptr<Connection> connectTo(const std::string &address,
                                      int timeoutMs = 1000);

/// Accepts connections and passes each request to a handler, which writes the
/// answer and returns whether the connection stays open.
class Server {
public:
  using Handler = std::function<bool(Message &, Connection &)>;

  Server(const std::string &ip, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  const std::string &address() const { return Address; }
  /// Closes the listener and all connections.
  void stop();

private:
  void accept();

  Handler Handle;
  int Listener = -1;
  std::string Address;
  std::atomic<bool> Stopping = false;
  std::mutex Guard;
  std::list<std::shared_ptr<Connection>> Connections;
  std::list<std::thread> Threads;
  std::thread Acceptor;
};

struct Row {
  std::string Value;
  uint64_t Version = 0;
};

/// The platform's store in the form `table`. Each machine gets an address of
/// its own, by which the store tells machines apart.
class Store {
public:
  struct Copy {
    std::map<std::string, std::map<std::string, Row>> Tables;
    uint64_t Version = 0;
  };

  ~Store();

  /// Returns an address for the machine \p name.
  std::string addressFor(const std::string &name);
  void put(const std::string &table, const std::string &key,
           const std::string &value);
  void remove(const std::string &table, const std::string &key);
  std::optional<Row> get(const std::string &table, const std::string &key);
  Copy copy();
  /// While away, the store closes each connection on which it is called.
  void setAway(bool isAway);
  bool isAway() const { return Away; }
  /// Replaces all rows by those of \p copy; the era rises by one.
  void restore(const Copy &copy);
  /// Machines that have waited for changes of \p table since \p sinceMs.
  std::vector<std::string> watchers(const std::string &table, int64_t sinceMs);

private:
  struct Change {
    uint64_t Version;
    std::string Table;
    std::string Key;
    std::string Value;
    bool Removed;
  };

  bool handle(const std::string &machine, Message &request, Connection &out);
  json read(const std::map<std::string, std::string> &query);
  int feed(const std::string &machine,
           const std::map<std::string, std::string> &query, json &out);
  int write(const std::string &body, json &out);
  void apply(const std::string &table, const std::string &key,
             const std::string &value, bool isRemoved);

  std::mutex Guard;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::vector<Change> History;
  uint64_t Version = 1;
  uint64_t OldestVersion = 0;
  std::atomic<uint64_t> Era = 1;
  std::atomic<bool> Away = false;
  std::atomic<bool> Stopping = false;
  /// By table and machine: when it last waited for changes.
  std::map<std::string, std::map<std::string, int64_t>> WaitedAt;
  std::list<std::unique_ptr<Server>> Servers;
};

/// What a worker ran.
struct Run {
  int64_t At = 0;
  std::string Worker;
  std::string Service;
  std::string Id;
  std::string Tenant;
};

/// All runs of all workers.
class Runs {
public:
  static void add(const Run &run);
  static std::vector<Run> all();
};

struct WorkerSettings {
  std::string Id;
  std::string Service;
  std::string Zone = "zone-a";
  int Slots = 6;
  int64_t HeartbeatMs = 1200;
  /// How long a plain request takes.
  int64_t WorkMs = 30;
  /// Events of a stream, if the service streams; 0 for a plain service.
  int Events = 0;
  int64_t EventGapMs = 100;
  /// Version of the weights of a model worker.
  int WeightVersion = 1;
};

/// A worker: registers in the store, answers requests, leaves as PROTOCOL.md
/// says.
class Worker {
public:
  Worker(Store &store, WorkerSettings settings);
  ~Worker();
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  const std::string &address() const { return Listener->address(); }
  /// Reports `draining`; from then on all answers say so.
  void drain();
  /// Leaves without having reported `draining`: removes its entry and goes on
  /// serving; its answers say that it leaves.
  void withdraw();
  /// Ends the worker at once; its entry is removed after three heartbeats.
  void crash();
  /// Ends the worker after its drain and removes its entry.
  void leave();
  bool isLeaving() const { return Leaving; }
  /// When it writes its entry next.
  int64_t nextBeatMs() const { return NextBeat; }

private:
  void heartbeat();
  void writeEntry();
  bool handle(Message &request, Connection &out);

  Store &Platform;
  WorkerSettings Settings;
  int64_t Born;
  std::atomic<bool> Leaving = false;
  std::atomic<bool> Withdrawn = false;
  std::atomic<bool> Ended = false;
  std::atomic<int64_t> NextBeat = 0;
  std::mutex Guard;
  std::condition_variable Wake;
  std::unique_ptr<Server> Listener;
  std::thread Beat;
};

struct NodeSettings {
  std::string Name;
  std::string Zone = "zone-a";
  int MemoryMb = 260;
};

/// An entry node, started with the command and the template of the deploy file.
class Node {
public:
  Node(Store &store, const std::string &dir, NodeSettings settings);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Fills in the template once more, with \p value for the field \p name.
  void changeSettings(const std::string &name, const std::string &value);
  void start();
  bool waitReady(int64_t timeoutMs) const;
  bool isReady() const;
  void signal(int number) const;
  /// Sends \p number and waits for the end.
  void end(int number);
  const std::string &front() const { return Front; }
  const std::string &name() const { return Settings.Name; }
  /// Whether the process has ended by itself; reaps it.
  bool hasEnded();
  pid_t pid() const { return Pid; }

private:
  NodeSettings Settings;
  std::string Ip;
  std::string Front;
  std::string Ready;
  void writeSettings() const;

  std::map<std::string, std::string> Fields;
  std::string MetricsPort;
  std::string SettingsFile;
  std::string Log;
  pid_t Pid = -1;
};

struct Call {
  std::string Method = "GET";
  std::string Target;
  std::string Host = "front.example";
  std::string Key = "key-north";
  int64_t DeadlineMs = 1000;
  std::string Body;
  std::vector<std::string> Headers;
};

/// A new id for an attempt.
std::string newId();
/// The bytes of a request with the id \p id.
std::string requestText(const Call &call, const std::string &id);
/// Sends one request on a new connection. Status 0 means no answer.
Message send(const std::string &address, const Call &call,
             const std::string &id);

/// Whether the case runs with its disruption.
bool hasTrouble();
/// Path of the repository's root.
std::string rootFolder();
/// Creates a temporary folder; it is removed at the end of the program.
std::string makeFolder();
/// An IP of 127.0.0.0/8 that no other case uses.
std::string newIp();
/// Engine properties for a service that reads prompts, like those of a small
/// deployment.
json engineProperties();
/// Writes the result to the record and returns the exit code: 0 if the rule
/// held, 1 if it was broken.
int finish(bool isBroken, const std::string &text);

} // namespace review

#endif
