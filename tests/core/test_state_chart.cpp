#include "core/charts/state_chart.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace orioletally::core::charts;
namespace leaf = boost::leaf;

namespace {

constexpr std::array<std::string_view, 2> States = {"open", "shut"};
constexpr std::array<std::string_view, 1> Events = {"close"};

std::string reasonFor(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(StateChart::parse("test", text, States, Events));
        return std::string("valid");
      },
      [](const ChartError &ec) { return ec.Reason; },
      [] { return std::string("?"); });
}

} // namespace

TEST_GROUP(StateChart){};

TEST(StateChart, RejectsChartsThatTheCodeCannotRun) {
  struct Case {
    const char *Text;
    const char *Reason;
  };
  const Case cases[] = {
      {"initial='open'\n[[state]]\nname='open'\ntimeout='t'\non={close='shut'}"
       "\n"
       "[[state]]\nname='shut'\nfinal=true",
       "valid"},
      {"initial='open'\n[[state]]\nname='open'\non={close='shut'}\n"
       "[[state]]\nname='shut'\nfinal=true",
       "state open: missing timeout"},
      {"initial='open'\n[[state]]\nname='open'\ntimeout='t'\non={slam='shut'}\n"
       "[[state]]\nname='shut'\nfinal=true",
       "unknown event slam"},
      {"initial='open'\n[[state]]\nname='open'\ntimeout='t'\n"
       "[[state]]\nname='shut'\nfinal=true",
       "unreachable state shut"},
      {"initial='open'\n[[state]]\nname='open'\ntimeout='t'\non={close='ajar'}"
       "\n"
       "[[state]]\nname='shut'\nfinal=true",
       "unknown state ajar"},
      {"initial='open'\n[[state]]\nname='open'\ntimeout='t'",
       "expected one [[state]] for each known state"},
  };
  for (const Case &it : cases)
    STRCMP_EQUAL(it.Reason, reasonFor(it.Text).c_str());
}
