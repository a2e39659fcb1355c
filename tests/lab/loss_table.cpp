#include "tests/lab/loss_table.h"

#include "core/engines/engine_load.h"

#include <absl/algorithm/container.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace orioletally::lab {

namespace {

using nlohmann::json;

constexpr size_t CauseCount = 12;
constexpr std::array<std::string_view, CauseCount> CauseNames = {
    "in time",       "late as predicted", "late unforeseen", "pause, long read",
    "pause, other",  "overload",          "no server",       "node not ready",
    "server failed", "out of time",       "caller left",     "node ended"};
constexpr absl::Duration TableStep = absl::Seconds(2);
constexpr int FirstServerError = 500;

using Counts = std::array<int64_t, CauseCount>;

absl::Duration milliseconds(const json &line, const char *key) {
  return absl::Milliseconds(line.value(key, int64_t{0}));
}

absl::Time timeOf(const json &line) {
  absl::Time result = absl::InfinitePast();
  std::string ignored;
  absl::ParseTime(absl::RFC3339_full, line.value("time", ""), &result,
                  &ignored);
  return result;
}

std::string tableRow(std::string_view name, const Counts &counts) {
  std::string text = fmt::format("| {} |", name);
  for (const int64_t it : counts)
    text += it == 0 ? std::string(" |") : fmt::format(" {} |", it);
  return text + "\n";
}

std::string tableHeader(std::string_view name) {
  std::string names = fmt::format("| {} |", name);
  std::string rule = "| --- |";
  for (const std::string_view it : CauseNames) {
    names += fmt::format(" {} |", it);
    rule += " --- |";
  }
  return names + "\n" + rule + "\n";
}

} // namespace

void LossTable::read(std::istream &log) {
  std::string line;
  while (std::getline(log, line))
    readLine(line);
}

void LossTable::readLine(std::string_view line) {
  const size_t start = line.find('{');
  if (start == std::string_view::npos)
    return;
  const json object = json::parse(line.substr(start), nullptr, false);
  if (!object.is_object() || !object.contains("id"))
    return;
  const std::string event = object.value("event", "");
  const std::string id = object.value("id", "");
  if (event == "dispatch") {
    Attempt attempt;
    attempt.Backend = object.value("backend", "");
    attempt.Helpers = object.value("helpers", std::vector<std::string>());
    attempt.PromptTokens = object.value("prompt", int64_t{0});
    attempt.SentAt = timeOf(object);
    attempt.PredictedFirstToken = milliseconds(object, "predicted_ms");
    Attempts[id].push_back(std::move(attempt));
  } else if (event == "call") {
    Call call;
    call.Route = object.value("route", "");
    call.Status = object.value("status", 0);
    call.Code = object.value("code", "");
    call.Aborted = object.value("aborted", "");
    call.FirstEvent = milliseconds(object, "first_ms");
    call.MaxGap = milliseconds(object, "gap_ms");
    call.TotalTime = milliseconds(object, "ms");
    call.Objective = milliseconds(object, "objective_ms");
    call.GapObjective = milliseconds(object, "gap_objective_ms");
    call.ArrivedAt = timeOf(object) - call.TotalTime;
    Calls[id] = std::move(call);
  }
}

LossTable::PrefillIntervals LossTable::longPromptPrefills() const {
  PrefillIntervals result;
  for (const auto &[id, attempts] : Attempts) {
    const auto call = Calls.find(id);
    for (const Attempt &it : attempts) {
      if (core::engines::isUrgent(it.PromptTokens))
        continue;
      absl::Time until = it.SentAt + it.PredictedFirstToken;
      if (call != Calls.end() && &it == &attempts.back())
        until =
            std::max(until, call->second.ArrivedAt + call->second.FirstEvent);
      result[it.Backend].push_back({it.SentAt, until});
      for (const std::string &helper : it.Helpers)
        result[helper].push_back({it.SentAt, until});
    }
  }
  return result;
}

bool LossTable::isBesideLongPrompt(const std::string &id, const Call &call,
                                   const PrefillIntervals &prefills) const {
  const auto attempts = Attempts.find(id);
  if (attempts == Attempts.end())
    return false;
  const auto found = prefills.find(attempts->second.back().Backend);
  if (found == prefills.end())
    return false;
  const absl::Time from = call.ArrivedAt + call.FirstEvent;
  const absl::Time until = call.ArrivedAt + call.TotalTime;
  return absl::c_any_of(found->second, [&](const PrefillInterval &it) {
    return it.From < until && it.Until > from;
  });
}

bool LossTable::isUrgent(const std::string &id) const {
  const auto attempts = Attempts.find(id);
  return attempts != Attempts.end() &&
         core::engines::isUrgent(attempts->second.back().PromptTokens);
}

UrgentStreamCount LossTable::countUrgentStreams(bool isPaused) const {
  UrgentStreamCount result;
  for (const CallLoss &it : calls()) {
    const bool isCounted = isPaused
                               ? it.Cause == LossCause::PauseBesideLongPrompt ||
                                     it.Cause == LossCause::PauseElsewhere
                               : it.Cause == LossCause::None;
    if (!isCounted || !it.IsUrgentStream)
      continue;
    ++result.Streams;
    result.BesideLongPrompt += it.IsBesideLongPrompt ? 1 : 0;
  }
  return result;
}

LossCause LossTable::latenessCause(const std::string &id, const Call &call,
                                   bool isBesideLongPrompt) const {
  const absl::Duration first =
      call.FirstEvent > absl::ZeroDuration() ? call.FirstEvent : call.TotalTime;
  if (call.Objective > absl::ZeroDuration() && first > call.Objective) {
    const auto attempts = Attempts.find(id);
    const bool isForeseen =
        attempts != Attempts.end() &&
        attempts->second.front().PredictedFirstToken > call.Objective;
    return isForeseen ? LossCause::LateAsPredicted : LossCause::LateUnforeseen;
  }
  if (call.GapObjective > absl::ZeroDuration() &&
      call.MaxGap > call.GapObjective)
    return isBesideLongPrompt ? LossCause::PauseBesideLongPrompt
                              : LossCause::PauseElsewhere;
  return LossCause::None;
}

LossCause LossTable::causeOf(const std::string &id, const Call &call,
                             bool isBesideLongPrompt) const {
  if (call.Aborted == "caller_gone")
    return LossCause::CallerLeft;
  if (call.Aborted == "out_of_time")
    return LossCause::OutOfTime;
  if (call.Code == "overloaded")
    return LossCause::Overload;
  if (call.Code == "no_backend")
    return LossCause::NoBackendServer;
  if (call.Code == "draining" || call.Code == "platform_unavailable")
    return LossCause::NodeNotReady;
  if (call.Status >= FirstServerError)
    return LossCause::BackendFailure;
  return call.Code.empty() ? latenessCause(id, call, isBesideLongPrompt)
                           : LossCause::None;
}

std::vector<CallLoss> LossTable::calls() const {
  const PrefillIntervals prefills = longPromptPrefills();
  std::vector<CallLoss> result;
  for (const auto &[id, call] : Calls) {
    const bool isStream = call.FirstEvent > absl::ZeroDuration();
    const bool isBeside = isBesideLongPrompt(id, call, prefills);
    result.push_back({call.Route, call.ArrivedAt, causeOf(id, call, isBeside),
                      isStream && isUrgent(id), isBeside});
  }
  for (const auto &[id, attempts] : Attempts)
    if (!Calls.contains(id))
      result.push_back(
          {"unknown", attempts.front().SentAt, LossCause::NodeEnded});
  absl::c_sort(result, [](const CallLoss &left, const CallLoss &right) {
    return left.ArrivedAt < right.ArrivedAt;
  });
  return result;
}

std::string LossTable::markdown(absl::Duration step) const {
  const std::vector<CallLoss> all = calls();
  std::map<std::string, Counts> byRoute;
  std::map<int64_t, Counts> byStep;
  for (const CallLoss &it : all) {
    const auto cause = static_cast<size_t>(it.Cause);
    ++byRoute[it.Route][cause];
    ++byStep[(it.ArrivedAt - all.front().ArrivedAt) / step][cause];
  }
  std::string text = tableHeader("route");
  for (const auto &[route, counts] : byRoute)
    text += tableRow(route, counts);
  text += "\n" + tableHeader("from second");
  for (const auto &[n, counts] : byStep)
    text += tableRow(fmt::format("{:g}", absl::ToDoubleSeconds(step) *
                                             static_cast<double>(n)),
                     counts);
  return text;
}

bool printLosses(const std::vector<std::string> &files) {
  LossTable table;
  for (const std::string &it : files) {
    std::ifstream log(it);
    if (!log) {
      fmt::print(stderr, "orioletally-lab: can't read {}\n", it);
      return false;
    }
    table.read(log);
  }
  fmt::print("{}", table.markdown(TableStep));
  const UrgentStreamCount inTime = table.countUrgentStreams(false);
  const UrgentStreamCount paused = table.countUrgentStreams(true);
  fmt::print(
      "\nurgent streams beside a long prompt: {} of {} in time, {} of {} "
      "late by a pause\n",
      inTime.BesideLongPrompt, inTime.Streams, paused.BesideLongPrompt,
      paused.Streams);
  return true;
}

} // namespace orioletally::lab
