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
constexpr int64_t RefuseRetryMs = 500;
constexpr absl::Duration HeartbeatPause = absl::Milliseconds(500);
constexpr absl::Duration IdlePause = absl::Milliseconds(50);
constexpr auto SilentPause = std::chrono::milliseconds(50);

EngineSubmit submitFrom(const json &object) {
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

StreamId streamIn(const httplib::Request &request) {
  return {request.matches[1],
          static_cast<uint32_t>(std::stoul(request.matches[2]))};
}

} // namespace

/// One connection that carries a stream.
struct EngineServer::Feed {
  StreamId Stream;
  uint64_t Offset = 0;
  uint64_t Epoch = 0;
  bool Greeted = false;
  bool Finished = false;
  bool Cut = false;
  bool Gone = false;
};

EngineServer::EngineServer(int port, const EngineSpeeds &speeds)
    : Model(speeds), Server(labServer(port)) {
  registerStreams();
  registerControl();
}

EngineServer::~EngineServer() { stop(); }

boost::leaf::result<void> EngineServer::start() {
  StartedAt = steadyNow();
  BOOST_LEAF_CHECK(Server.start());
  Worker = std::thread([this] { work(); });
  return {};
}

void EngineServer::stop() {
  Stopping = true;
  Changed.notify_all();
  if (Worker.joinable())
    Worker.join();
  Server.stop();
}

void EngineServer::setFaults(const EngineFaults &wanted) {
  const std::lock_guard lock(Guard);
  Faults = wanted;
}

int64_t EngineServer::heldTokens() {
  const std::lock_guard lock(Guard);
  return Model.heldTokens();
}

std::vector<Execution> EngineServer::executions() {
  const std::lock_guard lock(Guard);
  return Model.executions();
}

void EngineServer::work() {
  std::unique_lock lock(Guard);
  while (!Stopping) {
    const absl::Time now = steadyNow();
    Model.advance(now);
    Changed.notify_all();
    const absl::Time next = std::min(Model.nextChange(), now + IdlePause);
    Arrived = false;
    Changed.wait_until(lock, drivers::clock::waitDeadline(next, now),
                       [this] { return Stopping || Arrived; });
  }
}

bool EngineServer::isStopped() {
  const std::lock_guard lock(Guard);
  return Faults.Stopped;
}

void EngineServer::waitWhileStopped() {
  while (isStopped() && !Stopping && !currentConnection()->isPeerGone())
    std::this_thread::sleep_for(SilentPause);
}

void EngineServer::submit(const httplib::Request &request,
                          httplib::Response &response) {
  waitWhileStopped();
  ++Submits;
  EngineSubmit submit = submitFrom(json::parse(request.body));
  const StreamId id = submit.Stream;
  bool isReplyLost = false;
  {
    const std::lock_guard lock(Guard);
    if (Faults.Refuse || Faults.Draining)
      return replyRefusal(response, {Faults.Draining ? "draining" : "refusing",
                                     "", RefuseRetryMs, Faults.Draining});
    if (auto refusal = Model.submit(std::move(submit), steadyNow()))
      return replyRefusal(response, *refusal);
    isReplyLost = Faults.LoseSubmitReply;
    Arrived = true;
  }
  Changed.notify_all();
  if (isReplyLost)
    return cutConnection();
  stream(id, 0, response);
}

void EngineServer::resume(const httplib::Request &request,
                          httplib::Response &response) {
  waitWhileStopped();
  const StreamId id = streamIn(request);
  {
    const std::lock_guard lock(Guard);
    if (Model.find(id) == nullptr)
      return reply(response, StatusNotFound, {{"code", "unknown_stream"}});
  }
  stream(id, std::stoull(request.get_param_value("offset")), response);
}

void EngineServer::stream(const StreamId &id, uint64_t offset,
                          httplib::Response &response) {
  auto feed = std::make_shared<Feed>();
  feed->Stream = id;
  feed->Offset = offset;
  feed->Epoch = SilenceEpoch;
  response.status = StatusOk;
  response.set_chunked_content_provider(
      "application/x-ndjson", [this, feed](size_t, httplib::DataSink &sink) {
        return writeSome(*feed, sink);
      });
}

std::string EngineServer::framesSince(Feed &feed) {
  std::string text;
  Frame frame;
  frame.RequestId = feed.Stream.RequestId;
  frame.Attempt = feed.Stream.Attempt;
  frame.Draining = Faults.Draining;
  if (!feed.Greeted) {
    feed.Greeted = true;
    frame.Kind = FrameKind::Accepted;
    frame.Load = Model.load();
    text += drivers::backend::lineFromFrame(frame) + "\n";
    frame.Load.reset();
  }
  const ModelStream *it = Model.find(feed.Stream);
  if (it == nullptr) {
    feed.Gone = true;
    return text;
  }
  frame.Kind = FrameKind::Token;
  while (feed.Offset < it->Produced) {
    const bool isCut = Faults.CutAfterTokens > 0 &&
                       feed.Offset >= Faults.CutAfterTokens &&
                       CutOnce.insert(feed.Stream.RequestId).second;
    if (isCut) {
      feed.Cut = true;
      return text;
    }
    frame.Offset = feed.Offset;
    frame.Text = answerToken(it->PromptHash, feed.Offset);
    text += drivers::backend::lineFromFrame(frame) + "\n";
    ++feed.Offset;
  }
  if (it->isFinished()) {
    frame.Kind = FrameKind::Final;
    frame.Offset = it->Produced;
    frame.Text.clear();
    frame.FinishReason = "length";
    frame.Load = Model.load();
    text += drivers::backend::lineFromFrame(frame) + "\n";
    feed.Finished = true;
  }
  return text;
}

bool EngineServer::writeSome(Feed &feed, httplib::DataSink &sink) {
  std::string text;
  {
    std::unique_lock lock(Guard);
    const absl::Time now = steadyNow();
    Changed.wait_until(
        lock, drivers::clock::waitDeadline(now + HeartbeatPause, now), [&] {
          const ModelStream *it = Model.find(feed.Stream);
          return Stopping || it == nullptr || !feed.Greeted ||
                 it->Produced > feed.Offset || it->isFinished();
        });
    text = framesSince(feed);
    if (text.empty() && !feed.Cut && !feed.Gone) {
      Frame frame;
      frame.RequestId = feed.Stream.RequestId;
      frame.Attempt = feed.Stream.Attempt;
      frame.Draining = Faults.Draining;
      frame.Load = Model.load();
      text = drivers::backend::lineFromFrame(frame) + "\n";
    }
  }
  while ((feed.Epoch != SilenceEpoch || isStopped()) && !Stopping) {
    std::this_thread::sleep_for(SilentPause);
    if (currentConnection()->isPeerGone())
      return false;
  }
  if (!text.empty() && !sink.write(text.data(), text.size()))
    return false;
  if (feed.Cut || feed.Gone || Stopping)
    return false;
  if (feed.Finished) {
    const std::lock_guard lock(Guard);
    Model.delivered(feed.Stream);
    sink.done();
  }
  return true;
}

void EngineServer::registerStreams() {
  const std::string named = R"(/v1/streams/([^/]+)/(\d+))";
  Server.Post("/v1/streams", [this](const auto &request, auto &response) {
    submit(request, response);
  });
  Server.Get(named, [this](const auto &request, auto &response) {
    resume(request, response);
  });
  Server.Delete(named, [this](const auto &request, auto &response) {
    waitWhileStopped();
    const std::lock_guard lock(Guard);
    const auto state = Model.cancel(streamIn(request), steadyNow());
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
    const json wanted = json::parse(request.body);
    EngineFaults faults;
    faults.Refuse = wanted.value("refuse", false);
    faults.Draining = wanted.value("draining", false);
    faults.LoseSubmitReply = wanted.value("lose_submit_reply", false);
    faults.CutAfterTokens = wanted.value("cut_after_tokens", uint64_t{0});
    faults.ListDelayMs = wanted.value("list_delay_ms", 0);
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
