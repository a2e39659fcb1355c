#include "drivers/backend/engine_codec.h"

#include <nlohmann/json.hpp>

namespace orioletally::drivers::backend {

namespace {

using core::backends::CancelAnswer;
using core::backends::EngineRefusal;
using core::backends::EngineReport;
using core::backends::EngineSubmit;
using core::backends::Frame;
using core::backends::FrameKind;
using core::backends::LoadReport;
using core::backends::StreamHolding;
using nlohmann::json;

json parse(std::string_view text) { return json::parse(text, nullptr, false); }

LoadReport loadFrom(const json &object) {
  LoadReport load;
  load.QueuedPrefill.back() = object.value("queued_prefill_tokens", int64_t{0});
  if (object.contains("queued_by_priority"))
    load.QueuedPrefill =
        object["queued_by_priority"].get<core::backends::TokensByPriority>();
  load.Streams = object.value("streams", int64_t{0});
  load.FreeTokens = object.value("free_tokens", int64_t{0});
  return load;
}

json loadTo(const LoadReport &load) {
  return {{"queued_by_priority", load.QueuedPrefill},
          {"streams", load.Streams},
          {"free_tokens", load.FreeTokens}};
}

Frame frameFrom(const json &object, FrameKind kind) {
  Frame frame;
  frame.Kind = kind;
  frame.RequestId = object.value("request_id", std::string());
  frame.Attempt = object.value("attempt", uint32_t{0});
  frame.Offset = object.value("offset", uint64_t{0});
  frame.Text = object.value("text", std::string());
  frame.FinishReason = object.value("finish_reason", std::string());
  frame.Draining = object.value("draining", false);
  if (object.contains("load"))
    frame.Load = loadFrom(object["load"]);
  return frame;
}

StreamHolding holdingFrom(const json &object) {
  StreamHolding holding;
  holding.Stream.RequestId = object.value("request_id", std::string());
  holding.Stream.Attempt = object.value("attempt", uint32_t{0});
  holding.Owner = object.value("owner", std::string());
  holding.Tokens = object.value("tokens", int64_t{0});
  holding.TimeLeft =
      absl::Milliseconds(object.value("time_left_ms", int64_t{0}));
  holding.Finished = object.value("finished", false);
  holding.DetachedFor =
      absl::Milliseconds(object.value("detached_ms", int64_t{0}));
  return holding;
}

} // namespace

std::optional<Frame> frameFromLine(std::string_view line) {
  const json object = parse(line);
  if (!object.is_object())
    return std::nullopt;
  try {
    const auto kind =
        core::backends::frameKindFromName(object.value("kind", std::string()));
    if (!kind.has_value())
      return std::nullopt;
    return frameFrom(object, *kind);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::string lineFromFrame(const Frame &frame) {
  json object = {{"kind", core::backends::frameKindName(frame.Kind)},
                 {"request_id", frame.RequestId},
                 {"attempt", frame.Attempt},
                 {"offset", frame.Offset}};
  if (!frame.Text.empty())
    object["text"] = frame.Text;
  if (!frame.FinishReason.empty())
    object["finish_reason"] = frame.FinishReason;
  if (frame.Draining)
    object["draining"] = true;
  if (frame.Load.has_value())
    object["load"] = loadTo(*frame.Load);
  return object.dump();
}

std::string submitToJson(const EngineSubmit &submit) {
  const json object = {
      {"request_id", submit.Stream.RequestId},
      {"attempt", submit.Stream.Attempt},
      {"owner", submit.Owner},
      {"time_left_ms", absl::ToInt64Milliseconds(submit.TimeLeft)},
      {"priority", submit.Priority},
      {"max_tokens", submit.MaxTokens},
      {"model", submit.Model},
      {"cache_salt", submit.CacheSalt},
      {"prompt", submit.Prompt}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<EngineRefusal> refusalFromJson(std::string_view body) {
  const json object = parse(body);
  if (!object.is_object() || object.value("started", true))
    return std::nullopt;
  EngineRefusal refusal;
  refusal.Code = object.value("code", std::string("refused"));
  refusal.Message = object.value("message", std::string());
  refusal.RetryAfterMs = object.value("retry_after_ms", int64_t{0});
  refusal.Draining = object.value("draining", false);
  return refusal;
}

std::optional<EngineReport> reportFromJson(std::string_view body) {
  const json object = parse(body);
  if (!object.is_object() || !object.contains("load") ||
      !object.contains("streams"))
    return std::nullopt;
  EngineReport report;
  report.Load = loadFrom(object["load"]);
  report.Draining = object.value("draining", false);
  for (const json &it : object["streams"])
    report.StaleStreams.push_back(holdingFrom(it));
  return report;
}

std::optional<CancelAnswer> cancelFromJson(std::string_view body) {
  const json object = parse(body);
  if (!object.is_object())
    return std::nullopt;
  const auto state =
      core::backends::cancelStateFromName(object.value("state", std::string()));
  if (!state.has_value())
    return std::nullopt;
  return CancelAnswer{
      *state, absl::Milliseconds(object.value("uptime_ms", int64_t{0}))};
}

} // namespace orioletally::drivers::backend
