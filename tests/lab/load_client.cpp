#include "tests/lab/load_client.h"

#include "drivers/backend/engine_codec.h"
#include "drivers/clock/clock.h"
#include "drivers/http/http_exchange.h"
#include "drivers/loop/loop_runner.h"
#include "tests/lab/engine_model.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace orioletally::lab {

namespace {

using drivers::clock::steadyNow;
using drivers::http::ExchangeRequest;
using drivers::http::ExchangeResult;
using drivers::http::HttpExchange;
using nlohmann::json;

constexpr absl::Duration ConnectTimeout = absl::Seconds(2);
constexpr std::string_view EventPrefix = "data: ";

/// Parses one answer and checks its tokens.
class AnswerChecker {
public:
  AnswerChecker(uint64_t promptHash, bool isDirect, absl::Time started)
      : Hash(promptHash), Direct(isDirect), Started(started) {}

  void receive(std::string_view data) {
    Lines.feed(data, [this](std::string_view line) { handleLine(line); });
  }

  LoadSample Sample;

private:
  void handleLine(std::string_view line) {
    if (Direct) {
      const auto frame = drivers::backend::frameFromLine(line);
      if (!frame.has_value())
        return;
      if (frame->Kind == core::backends::FrameKind::Token)
        checkToken(frame->Text);
      if (frame->Kind == core::backends::FrameKind::Final)
        Sample.Complete = true;
      return;
    }
    if (!line.starts_with(EventPrefix))
      return;
    line.remove_prefix(EventPrefix.size());
    if (line == "[DONE]") {
      Sample.Complete = true;
      return;
    }
    const json event = json::parse(line, nullptr, false);
    if (!event.is_object())
      return;
    if (event.contains("error")) {
      Sample.ErrorCode = event["error"]["code"];
      Sample.Run = event["error"]["run"];
      return;
    }
    Sample.RequestId = event.value("id", std::string());
    checkToken(event["choices"][0].value("text", std::string()));
  }

  void checkToken(std::string_view text) {
    if (text.empty())
      return;
    if (Sample.Tokens == 0)
      Sample.FirstToken = steadyNow() - Started;
    Sample.Correct = Sample.Correct && text == answerToken(Hash, Sample.Tokens);
    ++Sample.Tokens;
  }

  uint64_t Hash;
  bool Direct;
  absl::Time Started;
  drivers::backend::LineSplitter Lines;
};

ExchangeRequest requestFor(const LoadPlan &plan, int n,
                           const std::string &prompt) {
  ExchangeRequest request;
  request.Address = plan.Targets[static_cast<size_t>(n) % plan.Targets.size()];
  request.Method = "POST";
  request.ConnectTimeout = ConnectTimeout;
  if (!plan.Direct) {
    request.Path = "/v1/completions";
    request.Headers.emplace("Authorization", "Bearer " + plan.Token);
    request.Body = json({{"model", plan.Profile},
                         {"prompt", prompt},
                         {"max_tokens", plan.MaxTokens},
                         {"stream", true}})
                       .dump();
    return request;
  }
  core::backends::EngineSubmit submit;
  // An engine refuses a stream id that it has seen, so ids differ between runs.
  submit.Stream = {fmt::format("load-{}-{}-{}", plan.Seed, n,
                               absl::ToUnixMicros(steadyNow())),
                   1};
  submit.Owner = "load/1";
  submit.TimeLeft = plan.Timeout;
  submit.MaxTokens = plan.MaxTokens;
  submit.Model = "default";
  submit.Prompt = prompt;
  request.Path = "/v1/streams";
  request.Body = drivers::backend::submitToJson(submit);
  return request;
}

constexpr size_t LoopCount = 4;

/// Returns the event loop for request \p n. One loop can't check the events of
/// 1,000 streams as fast as they arrive.
boost::asio::io_context &loopFor(int n) {
  static std::array<drivers::loop::LoopRunner, LoopCount> runners;
  return runners[static_cast<size_t>(n) % LoopCount].loop();
}

double percentile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto n =
      static_cast<size_t>(fraction * static_cast<double>(values.size() - 1));
  return values[n];
}

} // namespace

std::string promptOf(const LoadPlan &plan, int n) {
  std::string prompt = fmt::format("request {} of run {}: ", n, plan.Seed);
  const auto bytes = static_cast<size_t>(plan.PromptTokens) * BytesPerToken;
  while (prompt.size() < bytes)
    prompt += "lorem ipsum ";
  prompt.resize(bytes);
  return prompt;
}

LoadSample runRequest(const LoadPlan &plan, int n) {
  const std::string prompt = promptOf(plan, n);
  const absl::Time started = steadyNow();
  AnswerChecker checker(hashPrompt(prompt), plan.Direct, started);
  std::mutex guard;
  std::condition_variable changed;
  std::string errorBody;
  bool isDone = false;
  HttpExchange exchange(
      loopFor(n), requestFor(plan, n, prompt),
      [&](int status, std::string_view data) {
        if (status == 200)
          checker.receive(data);
        else
          errorBody.append(data);
      },
      [&](const ExchangeResult &result) {
        const std::lock_guard lock(guard);
        checker.Sample.Status = result.Status;
        const auto id = result.Headers.find("X-Request-Id");
        if (id != result.Headers.end())
          checker.Sample.RequestId = id->second;
        if (!result.Complete)
          checker.Sample.Complete = false;
        isDone = true;
        changed.notify_all();
      });
  std::unique_lock lock(guard);
  if (!changed.wait_until(
          lock, drivers::clock::waitDeadline(started + plan.Timeout, started),
          [&] { return isDone; })) {
    lock.unlock();
    exchange.stop();
    lock.lock();
    checker.Sample.ErrorCode = "no_answer_in_time";
    checker.Sample.Complete = false;
    return checker.Sample;
  }
  LoadSample sample = checker.Sample;
  sample.Total = steadyNow() - started;
  const json error = json::parse(errorBody, nullptr, false);
  if (error.is_object() && error.contains("error")) {
    sample.ErrorCode = error["error"]["code"];
    sample.Run = error["error"]["run"];
  }
  return sample;
}

std::vector<LoadSample> runLoad(const LoadPlan &plan) {
  std::mt19937_64 random(plan.Seed);
  std::exponential_distribution<double> interarrival(plan.Rate);
  std::vector<LoadSample> samples(static_cast<size_t>(plan.Requests));
  std::vector<std::thread> threads;
  absl::Time next = steadyNow();
  for (int n = 0; n < plan.Requests; ++n) {
    const absl::Time now = steadyNow();
    std::this_thread::sleep_until(drivers::clock::waitDeadline(next, now));
    next += absl::Seconds(interarrival(random));
    threads.emplace_back([&plan, &samples, n] {
      samples[static_cast<size_t>(n)] = runRequest(plan, n);
    });
  }
  for (std::thread &it : threads)
    it.join();
  return samples;
}

void printLoad(const LoadPlan &plan, const std::vector<LoadSample> &samples,
               absl::Duration elapsed) {
  std::vector<double> firstTokenMs;
  std::map<std::string, int> errors;
  uint64_t tokens = 0;
  int completeCount = 0;
  int incorrectCount = 0;
  for (const LoadSample &it : samples) {
    tokens += it.Tokens;
    completeCount += it.Complete ? 1 : 0;
    incorrectCount += it.Correct ? 0 : 1;
    if (it.Tokens > 0)
      firstTokenMs.push_back(absl::ToDoubleMilliseconds(it.FirstToken));
    if (!it.Complete)
      ++errors[it.ErrorCode.empty() ? "cut" : it.ErrorCode];
  }
  const double seconds = absl::ToDoubleSeconds(elapsed);
  const json result = {{"requests", plan.Requests},
                       {"whole", completeCount},
                       {"wrong", incorrectCount},
                       {"errors", errors},
                       {"first_token_ms_p50", percentile(firstTokenMs, 0.50)},
                       {"first_token_ms_p95", percentile(firstTokenMs, 0.95)},
                       {"first_token_ms_p99", percentile(firstTokenMs, 0.99)},
                       {"tokens_per_s", static_cast<double>(tokens) / seconds},
                       {"seconds", seconds}};
  for (const auto &[key, value] : result.items())
    fmt::print(stderr, "{:<22} {}\n", key, value.dump());
  fmt::print("{}\n", result.dump());
}

} // namespace orioletally::lab
