#ifndef ORIOLETALLY_TESTS_LAB_ENGINE_SERVER_H
#define ORIOLETALLY_TESTS_LAB_ENGINE_SERVER_H

#include "tests/lab/engine_model.h"
#include "tests/lab/threaded_server.h"

#include <atomic>
#include <boost/leaf.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace orioletally::lab {

/// Faults that a stand-in engine injects until they are changed.
struct EngineFaults {
  /// Refuses submits before they start.
  bool Refuse = false;
  /// As Refuse, and every frame reports that the engine is draining.
  bool Draining = false;
  /// Submits take effect, but their connection is closed without an answer.
  bool LoseSubmitReply = false;
  /// Closes the connection of each request's stream once, after this many
  /// tokens; 0 for never.
  uint64_t CutAfterTokens = 0;
  /// No call is answered and no stream continues, as if the process had
  /// received SIGSTOP.
  bool Stopped = false;
  /// Delay of the answers to /v1/report.
  int ListDelayMs = 0;
};

/// A stand-in model engine: serves an EngineModel over HTTP.
class EngineServer {
public:
  EngineServer(int port, const EngineModelSettings &settings);
  ~EngineServer();
  EngineServer(const EngineServer &) = delete;
  EngineServer &operator=(const EngineServer &) = delete;

  boost::leaf::result<void> start();
  void stop();
  int port() const { return Server.port(); }

  void setFaults(const EngineFaults &faults);

  /// Stops all output on the connections that are open now, for as long as they
  /// stay open. Later connections work.
  void silenceConnections() { ++SilenceEpoch; }

  int64_t heldTokens();
  std::vector<Execution> executions();
  uint64_t submits() const { return Submits; }

private:
  struct StreamConnection;

  void registerStreams();
  void registerControl();
  void submit(const httplib::Request &request, httplib::Response &response);
  void resume(const httplib::Request &request, httplib::Response &response);
  void stream(const core::backends::StreamId &id, uint64_t offset,
              httplib::Response &response);
  bool writeFrames(StreamConnection &connection, httplib::DataSink &sink);
  std::string nextFrames(StreamConnection &connection);
  bool isStopped();
  /// Blocks a call while EngineFaults::Stopped is set, unless its caller
  /// disconnects.
  void waitWhileStopped();
  void report(const httplib::Request &request, httplib::Response &response);
  void advanceModel();

  std::mutex Guard;
  std::condition_variable Changed;
  EngineModel Model;
  EngineFaults Faults;
  /// Whether a submit arrived that the worker hasn't processed.
  bool HasNewSubmit = false;
  /// Ids of the requests whose stream was cut.
  std::set<std::string> CutRequests;
  absl::Time StartedAt;
  /// Number of silenceConnections() calls. Connections that were opened under
  /// a lower number are silent.
  std::atomic<uint64_t> SilenceEpoch = 0;
  std::atomic<uint64_t> Submits = 0;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
  ThreadedServer Server;
};

} // namespace orioletally::lab

#endif
