#include "core/relay/dispatcher.h"
#include "tests/support/request_fixture.h"

#include <fmt/format.h>
#include <variant>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::core;
using orioletally::tests::at;
using relay::CallDemand;
using relay::Dispatch;
using relay::Dispatcher;

namespace {

constexpr int Engines = 4;

engines::EngineSpeed speed() {
  engines::EngineSpeed result;
  result.StepsPerPass = 43;
  result.Step = absl::Milliseconds(1.02);
  result.PrefillTokensPerSecond = 206'000;
  result.TimePerMillionPairs = absl::Milliseconds(0.138);
  return result;
}

} // namespace

TEST_GROUP(Dispatcher) {
  Dispatcher calls{relay::DispatcherSettings{}};
  routes::Route route;
  CallDemand demand;

  void setup() override {
    routes::RoutingConfigBuilder builder;
    builder.version(1).service({"engines", speed()});
    const auto config = builder.build();
    calls.setConfig(config);
    for (int n = 0; n < Engines; ++n) {
      fleet::BackendEntry entry;
      entry.Id = fmt::format("e-{}", n);
      entry.Service = "engines";
      entry.Address = "127.0.0.1:1";
      entry.Slots = 16;
      calls.directory().put(entry, at(0));
    }
    route.Kind = routes::RouteKind::Streaming;
    route.Objective = absl::Milliseconds(300);
    route.GapObjective = absl::Milliseconds(250);
    route.Targets = {{"engines", 1}};
    demand.Route = &route;
    demand.Config = config;
    demand.PromptTokens = 5'000;
    demand.AnswerTokens = 1'360;
    demand.ArrivedAt = at(0);
    demand.Deadline = at(10'000);
  }

  /// Other nodes have just sent each engine \p prompts short ones.
  void fill(int prompts) {
    uint64_t id = 1'000;
    for (int engine = 0; engine < Engines; ++engine)
      for (int n = 0; n < prompts; ++n) {
        relay::LoadUpdate news;
        news.EngineHash =
            fleet::BackendDirectory::hashOf(fmt::format("e-{}", engine));
        news.LoadId = ++id;
        news.PrefillTokens = 5'000;
        news.PromptTokens = 5'000;
        news.AnswerTokens = 1'360;
        news.HeldTokens = 6'360;
        news.GapObjectiveMs = 250;
        calls.applyLoadUpdate(news, at(0));
      }
  }

  bool isTaken() {
    return std::holds_alternative<Dispatch>(calls.choose(demand, at(0)));
  }
};

TEST(Dispatcher, CallersThatComeBackTogetherAreServedLateInsteadOfTurnedAway) {
  // Each prompt takes 26 ms to read; the objective is 300 ms, and callers wait
  // for 2 s.
  fill(13);
  CHECK(isTaken());
}

TEST(Dispatcher, WhatComesFarTooLateIsTurnedAwayAndToldWhenToComeBack) {
  fill(40);
  const auto chosen = calls.choose(demand, at(0));
  const auto *error = std::get_if<errors::RequestError>(&chosen);
  CHECK(error != nullptr);
  CHECK(error->RetryAfterMs > 300);
}

TEST(Dispatcher, LongPromptsAreTurnedAwaySooner) {
  // One that is late holds an engine up for a second.
  fill(13);
  demand.PromptTokens = 60'000;
  CHECK_FALSE(isTaken());
}
