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

/// Faults that a stand-in engine shows until told otherwise.
struct EngineFaults {
  /// Submits are refused before they begin.
  bool Refuse = false;
  /// The same, and every frame says that the engine leaves.
  bool Draining = false;
  /// Submits take effect, but their connection is cut without an answer.
  bool LoseSubmitReply = false;
  /// Streams are cut after this many tokens, once each; 0 for never.
  uint64_t CutAfterTokens = 0;
  /// Nothing is answered and no stream goes on, as if the process was stopped.
  bool Stopped = false;
  /// Delay of the list of holdings.
  int ListDelayMs = 0;
};

/// A stand-in model engine behind HTTP.
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

  /// Makes every open connection silent for good; new ones work.
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
  /// Holds a call back while the engine counts as stopped.
  void waitWhileStopped();
  void report(const httplib::Request &request, httplib::Response &response);
  void advanceModel();

  std::mutex Guard;
  std::condition_variable Changed;
  EngineModel Model;
  EngineFaults Faults;
  /// A submit came that the worker hasn't seen.
  bool HasNewSubmit = false;
  std::set<std::string> CutRequests;
  absl::Time StartedAt;
  std::atomic<uint64_t> SilenceEpoch = 0;
  std::atomic<uint64_t> Submits = 0;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
  ThreadedServer Server;
};

} // namespace orioletally::lab

#endif
