#include "charts/embedded_charts.h"
#include "core/relay/attempt_lifecycle.h"

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
  return leaf::try_handle_all(
      [] { return orioletally::charts::attemptChart(); },
      [] { return StateChart(); });
}

std::string reasonFor(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(parseAttemptChart(text));
        return std::string("valid");
      },
      [](const ChartError &ec) { return ec.Reason; },
      [] { return std::string("?"); });
}

} // namespace

TEST_GROUP(AttemptLifecycle) {
  StateChart chart = shippedChart();

  /// Returns the lifecycle after \p steps; fails the test if the chart ignores
  /// one of them.
  AttemptLifecycle after(const std::vector<AttemptStep> &steps) {
    AttemptLifecycle lifecycle(chart);
    for (const AttemptStep it : steps)
      CHECK(lifecycle.apply(it));
    return lifecycle;
  }
};

TEST(AttemptLifecycle, MayEndInEachOfItsStates) {
  const std::vector<std::vector<AttemptStep>> stepSequences = {
      {},
      {AttemptStep::Sent},
      {AttemptStep::Sent, AttemptStep::EventsReady},
      {AttemptStep::Sent, AttemptStep::EventsReady, AttemptStep::EventsTaken},
  };
  for (const auto &it : stepSequences) {
    AttemptLifecycle lifecycle = after(it);
    CHECK(lifecycle.apply(AttemptStep::Settled));
    CHECK(lifecycle.isEnded());
    CHECK_FALSE(lifecycle.apply(AttemptStep::EventsReady));
  }
}

TEST(AttemptLifecycle, EachStateHasItsTimeout) {
  CHECK(after({}).timeout() == AttemptTimeout::Connect);
  CHECK(after({AttemptStep::Sent}).timeout() == AttemptTimeout::Silence);
  CHECK(after({AttemptStep::Sent, AttemptStep::EventsReady}).timeout() ==
        AttemptTimeout::CallerWrite);
  CHECK(after({AttemptStep::Sent, AttemptStep::EventsReady,
               AttemptStep::EventsTaken})
            .timeout() == AttemptTimeout::Silence);
  CHECK(after({AttemptStep::Settled}).timeout() == AttemptTimeout::None);
}

TEST(AttemptLifecycle, RejectsEventsBeforeTheRequestIsSent) {
  CHECK_FALSE(after({}).apply(AttemptStep::EventsReady));
  CHECK_FALSE(after({}).apply(AttemptStep::EventsTaken));
  CHECK_FALSE(after({AttemptStep::Sent}).apply(AttemptStep::Sent));
  CHECK_FALSE(after({AttemptStep::Sent}).apply(AttemptStep::EventsTaken));
}

TEST(AttemptLifecycle, RejectsAChartWithAnUnknownTimeout) {
  STRCMP_EQUAL(
      "state waiting: unknown timeout patience",
      reasonFor("initial='opening'\n"
                "[[state]]\nname='opening'\ntimeout='connect'\n"
                "[state.on]\nsent='waiting'\nsettled='ended'\n"
                "[[state]]\nname='waiting'\ntimeout='patience'\n"
                "[state.on]\nevents_ready='forwarding'\n"
                "[[state]]\nname='forwarding'\ntimeout='caller_write'\n"
                "[state.on]\nevents_taken='streaming'\n"
                "[[state]]\nname='streaming'\ntimeout='silence'\n"
                "[[state]]\nname='ended'\nfinal=true\n")
          .c_str());
}
