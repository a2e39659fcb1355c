#include "tests/lab/engine_server.h"

#include "drivers/backend/engine_codec.h"
#include "drivers/clock/clock.h"
#include "tests/lab/lab_http.h"
#include "tests/lab/socket_stream.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace orioletally::lab {

namespace {

using core::backends::EngineRefusal;
using core::backends::EngineSubmit;
using core::backends::Frame;
using core::backends::FrameKind;
using core::backends::StreamHolding;
using core::backends::StreamId;
using drivers::clock::steadyNow;
using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr int64_t RefusalRetryAfterMs = 500;
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(500);
constexpr absl::Duration MaxAdvanceInterval = absl::Milliseconds(50);
constexpr auto SilencePollInterval = std::chrono::milliseconds(50);

EngineSubmit parseSubmit(const json &object) {
  EngineSubmit submit;
  submit.Stream = {object["request_id"].get<std::string>(),
                   object["attempt"].get<uint32_t>()};
  submit.Owner = object["owner"].get<std::string>();
  submit.TimeLeft = absl::Milliseconds(object["time_left_ms"].get<int64_t>());
  submit.Priority = object["priority"].get<int64_t>();
  submit.MaxTokens = object["max_tokens"].get<int64_t>();
  submit.Model = object["model"].get<std::string>();
  submit.CacheSalt = object["cache_salt"].get<std::string>();
  submit.Prompt = object["prompt"].get<std::string>();
  return submit;
}

void replyRefusal(httplib::Response &response, const EngineRefusal &refusal) {
  reply(response, StatusUnavailable,
        {{"started", false},
         {"code", refusal.Code},
         {"message", refusal.Message},
         {"retry_after_ms", refusal.RetryAfterMs},
         {"draining", refusal.Draining}});
}

StreamId streamFromPath(const httplib::Request &request) {
  return {request.matches[1],
          static_cast<uint32_t>(std::stoul(request.matches[2]))};
}

} // namespace

/// One connection that carries a stream.
struct EngineServer::StreamConnection {
  StreamId Stream;
  uint64_t Offset = 0;
  uint64_t Epoch = 0;
  bool SentAccepted = false;
  bool Finished = false;
  bool Cut = false;
  bool StreamMissing = false;
};

EngineServer::EngineServer(int port, const EngineModelSettings &settings)
    : Model(settings), Server(labServerSettings(port)) {
  registerStreams();
  registerControl();
}

EngineServer::~EngineServer() { stop(); }

boost::leaf::result<void> EngineServer::start() {
  StartedAt = steadyNow();
  BOOST_LEAF_CHECK(Server.start());
  Worker = std::thread([this] { advanceModel(); });
  return {};
}

void EngineServer::stop() {
  Stopping = true;
  Changed.notify_all();
  if (Worker.joinable())
    Worker.join();
  Server.stop();
}

void EngineServer::setFaults(const EngineFaults &faults) {
  const std::lock_guard lock(Guard);
  Faults = faults;
}

int64_t EngineServer::heldTokens() {
  const std::lock_guard lock(Guard);
  return Model.heldTokens();
}

std::vector<Execution> EngineServer::executions() {
  const std::lock_guard lock(Guard);
  return Model.executions();
}

void EngineServer::advanceModel() {
  std::unique_lock lock(Guard);
  while (!Stopping) {
    const absl::Time now = steadyNow();
    Model.advance(now);
    Changed.notify_all();
    const absl::Time next =
        std::min(Model.nextChange(), now + MaxAdvanceInterval);
    HasNewSubmit = false;
    Changed.wait_until(lock, drivers::clock::waitDeadline(next, now),
                       [this] { return Stopping || HasNewSubmit; });
  }
}

bool EngineServer::isStopped() {
  const std::lock_guard lock(Guard);
  return Faults.Stopped;
}

void EngineServer::waitWhileStopped() {
  while (isStopped() && !Stopping && !currentConnection()->isPeerGone())
    std::this_thread::sleep_for(SilencePollInterval);
}

void EngineServer::submit(const httplib::Request &request,
                          httplib::Response &response) {
  waitWhileStopped();
  ++Submits;
  EngineSubmit submit = parseSubmit(json::parse(request.body));
  const StreamId id = submit.Stream;
  bool isReplyLost = false;
  {
    const std::lock_guard lock(Guard);
    if (Faults.Refuse || Faults.Draining)
      return replyRefusal(response, {Faults.Draining ? "draining" : "refusing",
                                     "", RefusalRetryAfterMs, Faults.Draining});
    if (auto refusal = Model.submit(std::move(submit), steadyNow()))
      return replyRefusal(response, *refusal);
    isReplyLost = Faults.LoseSubmitReply;
    HasNewSubmit = true;
  }
  Changed.notify_all();
  if (isReplyLost)
    return cutConnection();
  stream(id, 0, response);
}

void EngineServer::resume(const httplib::Request &request,
                          httplib::Response &response) {
  waitWhileStopped();
  const StreamId id = streamFromPath(request);
  {
    const std::lock_guard lock(Guard);
    if (Model.find(id) == nullptr)
      return reply(response, StatusNotFound, {{"code", "unknown_stream"}});
  }
  stream(id, std::stoull(request.get_param_value("offset")), response);
}

void EngineServer::stream(const StreamId &id, uint64_t offset,
                          httplib::Response &response) {
  auto connection = std::make_shared<StreamConnection>();
  connection->Stream = id;
  connection->Offset = offset;
  connection->Epoch = SilenceEpoch;
  response.status = StatusOk;
  response.set_chunked_content_provider(
      "application/x-ndjson",
      [this, connection](size_t, httplib::DataSink &sink) {
        return writeFrames(*connection, sink);
      });
}

std::string EngineServer::nextFrames(StreamConnection &connection) {
  std::string text;
  Frame frame;
  frame.RequestId = connection.Stream.RequestId;
  frame.Attempt = connection.Stream.Attempt;
  frame.Draining = Faults.Draining;
  if (!connection.SentAccepted) {
    connection.SentAccepted = true;
    frame.Kind = FrameKind::Accepted;
    frame.Load = Model.load();
    text += drivers::backend::lineFromFrame(frame) + "\n";
    frame.Load.reset();
  }
  const ModelStream *it = Model.find(connection.Stream);
  if (it == nullptr) {
    connection.StreamMissing = true;
    return text;
  }
  frame.Kind = FrameKind::Token;
  while (connection.Offset < it->Produced) {
    const bool isCut = Faults.CutAfterTokens > 0 &&
                       connection.Offset >= Faults.CutAfterTokens &&
                       CutRequests.insert(connection.Stream.RequestId).second;
    if (isCut) {
      connection.Cut = true;
      return text;
    }
    frame.Offset = connection.Offset;
    frame.Text = answerToken(it->PromptHash, connection.Offset);
    text += drivers::backend::lineFromFrame(frame) + "\n";
    ++connection.Offset;
  }
  if (it->isFinished()) {
    frame.Kind = FrameKind::Final;
    frame.Offset = it->Produced;
    frame.Text.clear();
    frame.FinishReason = "length";
    frame.Load = Model.load();
    text += drivers::backend::lineFromFrame(frame) + "\n";
    connection.Finished = true;
  }
  return text;
}

bool EngineServer::writeFrames(StreamConnection &connection,
                               httplib::DataSink &sink) {
  std::string text;
  {
    std::unique_lock lock(Guard);
    const absl::Time now = steadyNow();
    Changed.wait_until(
        lock, drivers::clock::waitDeadline(now + HeartbeatInterval, now), [&] {
          const ModelStream *it = Model.find(connection.Stream);
          return Stopping || it == nullptr || !connection.SentAccepted ||
                 it->Produced > connection.Offset || it->isFinished();
        });
    text = nextFrames(connection);
    if (text.empty() && !connection.Cut && !connection.StreamMissing) {
      Frame frame;
      frame.RequestId = connection.Stream.RequestId;
      frame.Attempt = connection.Stream.Attempt;
      frame.Draining = Faults.Draining;
      frame.Load = Model.load();
      text = drivers::backend::lineFromFrame(frame) + "\n";
    }
  }
  while ((connection.Epoch != SilenceEpoch || isStopped()) && !Stopping) {
    std::this_thread::sleep_for(SilencePollInterval);
    if (currentConnection()->isPeerGone())
      return false;
  }
  if (!text.empty() && !sink.write(text.data(), text.size()))
    return false;
  if (connection.Cut || connection.StreamMissing || Stopping)
    return false;
  if (connection.Finished) {
    const std::lock_guard lock(Guard);
    Model.delivered(connection.Stream);
    sink.done();
  }
  return true;
}

void EngineServer::registerStreams() {
  const std::string streamPath = R"(/v1/streams/([^/]+)/(\d+))";
  Server.Post("/v1/streams", [this](const auto &request, auto &response) {
    submit(request, response);
  });
  Server.Get(streamPath, [this](const auto &request, auto &response) {
    resume(request, response);
  });
  Server.Delete(streamPath, [this](const auto &request, auto &response) {
    waitWhileStopped();
    const std::lock_guard lock(Guard);
    const auto state = Model.cancel(streamFromPath(request), steadyNow());
    reply(response, StatusOk,
          {{"state", core::backends::cancelStateName(state)},
           {"uptime_ms", absl::ToInt64Milliseconds(steadyNow() - StartedAt)}});
  });
  Server.Get("/v1/report", [this](const auto &request, auto &response) {
    report(request, response);
  });
}

void EngineServer::report(const httplib::Request &request,
                          httplib::Response &response) {
  waitWhileStopped();
  int delay = 0;
  {
    const std::lock_guard lock(Guard);
    delay = Faults.ListDelayMs;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(delay));
  const auto detached =
      absl::Milliseconds(std::stoll(request.get_param_value("detached_ms")));
  const std::lock_guard lock(Guard);
  json rows = json::array();
  for (const StreamHolding &it : Model.holdings(steadyNow())) {
    if (it.DetachedFor < detached && it.TimeLeft > absl::ZeroDuration())
      continue;
    rows.push_back({{"request_id", it.Stream.RequestId},
                    {"attempt", it.Stream.Attempt},
                    {"owner", it.Owner},
                    {"tokens", it.Tokens},
                    {"time_left_ms", absl::ToInt64Milliseconds(it.TimeLeft)},
                    {"detached_ms", absl::ToInt64Milliseconds(it.DetachedFor)},
                    {"finished", it.Finished}});
  }
  const core::backends::LoadReport load = Model.load();
  reply(response, StatusOk,
        {{"load",
          {{"queued_by_priority", load.QueuedPrefill},
           {"streams", load.Streams},
           {"free_tokens", load.FreeTokens}}},
         {"draining", Faults.Draining},
         {"streams", rows}});
}

void EngineServer::registerControl() {
  Server.Post("/control/faults", [this](const auto &request, auto &response) {
    const json body = json::parse(request.body);
    EngineFaults faults;
    faults.Refuse = body.value("refuse", false);
    faults.Draining = body.value("draining", false);
    faults.LoseSubmitReply = body.value("lose_submit_reply", false);
    faults.CutAfterTokens = body.value("cut_after_tokens", uint64_t{0});
    faults.ListDelayMs = body.value("list_delay_ms", 0);
    setFaults(faults);
    reply(response, StatusOk, json::object());
  });
  Server.Post("/control/silence", [this](const auto &, auto &response) {
    silenceConnections();
    reply(response, StatusOk, json::object());
  });
  Server.Get("/control/state", [this](const auto &, auto &response) {
    const std::lock_guard lock(Guard);
    json ran = json::array();
    for (const Execution &it : Model.executions())
      ran.push_back(
          fmt::format("{}/{}", it.Stream.RequestId, it.Stream.Attempt));
    reply(response, StatusOk,
          {{"held_tokens", Model.heldTokens()},
           {"submits", Submits.load()},
           {"executions", ran}});
  });
  Server.Get("/healthz", [](const auto &, auto &response) {
    reply(response, StatusOk, {{"status", "alive"}});
  });
}

} // namespace orioletally::lab
