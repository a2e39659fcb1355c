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
      after({CallStep::Chosen, CallStep::AttemptsEnded, CallStep::AnswerReady});
  CHECK(lifecycle.timeout() == CallTimeout::CallerWrite);
  CHECK(lifecycle.apply(CallStep::Settled));
  CHECK(lifecycle.isEnded());
  CHECK_FALSE(lifecycle.apply(CallStep::AnswerReady));
  CHECK_FALSE(lifecycle.apply(CallStep::Chosen));
}

TEST(CallLifecycle, AnotherAttemptMayBeginBesideOneInProgress) {
  CallLifecycle lifecycle = after({CallStep::Chosen, CallStep::Chosen});
  CHECK(lifecycle.state() == CallState::Attempting);
  CHECK(lifecycle.apply(CallStep::AttemptsEnded));
  CHECK(lifecycle.state() == CallState::Choosing);
  CHECK(lifecycle.apply(CallStep::Settled));
}

TEST(CallLifecycle, EachStateHasItsTimeout) {
  CHECK(after({}).timeout() == CallTimeout::TimeLimit);
  CHECK(after({CallStep::Chosen}).timeout() == CallTimeout::TimeLimit);
  CHECK(after({CallStep::AnswerReady}).timeout() == CallTimeout::CallerWrite);
  CHECK(after({CallStep::Settled}).timeout() == CallTimeout::None);
}

TEST(CallLifecycle, AnswersOnlyWhenNoAttemptIsInProgress) {
  CHECK_FALSE(after({}).apply(CallStep::AttemptsEnded));
  CHECK_FALSE(after({CallStep::Chosen}).apply(CallStep::AnswerReady));
  CHECK_FALSE(after({CallStep::Chosen}).apply(CallStep::Settled));
  CHECK_FALSE(after({CallStep::AnswerReady}).apply(CallStep::Chosen));
}

TEST(CallLifecycle, RejectsAChartWithAnUnknownTimeout) {
  STRCMP_EQUAL(
      "state choosing: unknown timeout patience",
      reasonFor("initial='choosing'\n"
                "[[state]]\nname='choosing'\ntimeout='patience'\n"
                "[state.on]\nchosen='attempting'\n"
                "answer_ready='delivering'\nsettled='ended'\n"
                "[[state]]\nname='attempting'\ntimeout='time_limit'\n"
                "[[state]]\nname='delivering'\ntimeout='caller_write'\n"
                "[[state]]\nname='ended'\nfinal=true\n")
          .c_str());
}
