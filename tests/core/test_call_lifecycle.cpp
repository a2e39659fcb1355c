#include "charts/embedded_charts.h"
#include "core/relay/call_lifecycle.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::relay;
using orioletally::core::charts::ChartError;
using orioletally::core::charts::StateChart;
namespace leaf = boost::leaf;

namespace {

/// Returns the chart that the program runs, or one without states if that can't
/// be parsed.
StateChart shippedChart() {
  return leaf::try_handle_all([] { return orioletally::charts::callChart(); },
                              [] { return StateChart(); });
}

std::string reasonFor(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(parseCallChart(text));
        return std::string("valid");
      },
      [](const ChartError &ec) { return ec.Reason; },
      [] { return std::string("?"); });
}

} // namespace

TEST_GROUP(CallLifecycle) {
  StateChart chart = shippedChart();

  /// Returns the lifecycle after \p steps; fails the test if the chart ignores
  /// one of them.
  CallLifecycle after(const std::vector<CallStep> &steps) {
    CallLifecycle lifecycle(chart);
    for (const CallStep it : steps)
      CHECK(lifecycle.apply(it));
    return lifecycle;
  }
};

TEST(CallLifecycle, WholeAnswerIsDeliveredOnceAndEndsTheCall) {
  CallLifecycle lifecycle =
      after({CallStep::Chosen, CallStep::Sent, CallStep::AttemptEnded,
             CallStep::AnswerReady});
  CHECK(lifecycle.timeout() == CallTimeout::CallerWrite);
  CHECK(lifecycle.apply(CallStep::Settled));
  CHECK(lifecycle.isEnded());
  CHECK_FALSE(lifecycle.apply(CallStep::AnswerReady));
  CHECK_FALSE(lifecycle.apply(CallStep::Chosen));
}

TEST(CallLifecycle, AnAttemptMayEndInEachOfItsStates) {
  const std::vector<std::vector<CallStep>> stepSequences = {
      {CallStep::Chosen},
      {CallStep::Chosen, CallStep::Sent},
      {CallStep::Chosen, CallStep::Sent, CallStep::EventsReady},
      {CallStep::Chosen, CallStep::Sent, CallStep::EventsReady,
       CallStep::EventsTaken},
  };
  for (const auto &it : stepSequences) {
    CallLifecycle lifecycle = after(it);
    CHECK(lifecycle.apply(CallStep::AttemptEnded));
    CHECK(lifecycle.state() == CallState::Choosing);
    CHECK(lifecycle.apply(CallStep::Settled));
  }
}

TEST(CallLifecycle, EachStateHasItsTimeout) {
  CHECK(after({}).timeout() == CallTimeout::TimeLimit);
  CHECK(after({CallStep::Chosen}).timeout() == CallTimeout::Connect);
  CHECK(after({CallStep::Chosen, CallStep::Sent}).timeout() ==
        CallTimeout::Silence);
  CHECK(after({CallStep::Chosen, CallStep::Sent, CallStep::EventsReady})
            .timeout() == CallTimeout::CallerWrite);
  CHECK(after({CallStep::Chosen, CallStep::Sent, CallStep::EventsReady,
               CallStep::EventsTaken})
            .timeout() == CallTimeout::Silence);
  CHECK(after({CallStep::Settled}).timeout() == CallTimeout::None);
}

TEST(CallLifecycle, RejectsASendBeforeTheChoiceAndASecondAttempt) {
  CHECK_FALSE(after({}).apply(CallStep::Sent));
  CHECK_FALSE(after({CallStep::Chosen}).apply(CallStep::Chosen));
  CHECK_FALSE(
      after({CallStep::Chosen, CallStep::Sent}).apply(CallStep::Chosen));
  CHECK_FALSE(
      after({CallStep::Chosen, CallStep::Sent}).apply(CallStep::AnswerReady));
}

TEST(CallLifecycle, RejectsAChartWithAnUnknownTimeout) {
  std::string text = "initial='choosing'\n";
  const char *names[] = {"opening",   "waiting",    "forwarding",
                         "streaming", "delivering", "ended"};
  text += "[[state]]\nname='choosing'\ntimeout='patience'\n[state.on]\n"
          "chosen='opening'\nsent='waiting'\nevents_ready='forwarding'\n"
          "events_taken='streaming'\nanswer_ready='delivering'\n"
          "settled='ended'\n";
  for (const char *it : names)
    text += std::string("[[state]]\nname='") + it +
            (std::string(it) == "ended" ? "'\nfinal=true\n"
                                        : "'\ntimeout='silence'\n");
  STRCMP_EQUAL("state choosing: unknown timeout patience",
               reasonFor(text).c_str());
}
