#include "core/profiles/profile.h"
#include "core/profiles/setup_check.h"
#include "main/settings.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally;
namespace leaf = boost::leaf;

namespace {

std::string profileError(const nlohmann::json &fields) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(values, core::profiles::profileFields().read(fields));
        BOOST_LEAF_CHECK(core::profiles::checkConsistency(values));
        return std::string("valid");
      },
      [](const core::fields::FieldError &ec) {
        return ec.Key + ": " + ec.Reason;
      },
      [] { return std::string("?"); });
}

std::string settingsError(const std::string &text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(main::parseSettings(text, "f.toml"));
        return std::string("valid");
      },
      [](const main::SettingsError &ec) { return ec.text(); },
      [] { return std::string("?"); });
}

} // namespace

TEST_GROUP(Fields){};

TEST(Fields, ProfileErrorsNameTheKeyAndWhatWasExpected) {
  struct Case {
    nlohmann::json Fields;
    const char *Error;
  };
  const Case cases[] = {
      {nlohmann::json::object(), "valid"},
      {{{"deadlin_ms", 5}}, "deadlin_ms: unknown key"},
      {{{"deadline_ms", 5}},
       "deadline_ms: expected integer, 50 to 3600000 (ms)"},
      {{{"deadline_ms", 1.5}},
       "deadline_ms: expected integer, 50 to 3600000 (ms)"},
      {{{"deadline_ms", 18446744073709551615ULL}},
       "deadline_ms: expected integer, 50 to 3600000 (ms)"},
      {{{"repeatable", "yes"}}, "repeatable: expected boolean"},
      {{{"kind", "batch"}}, "kind: expected choice, one of completion,service"},
      {{{"workspaces", {1}}}, "workspaces: expected list of text"},
      {{{"deadline_ms", 1000}},
       "queue_ms: expected at most deadline_ms, which is 1000"},
      {{{"kind", "service"}}, "service: required when kind is service"},
      {nlohmann::json::array(), ": expected an object of fields"},
  };
  for (const Case &it : cases)
    STRCMP_EQUAL(it.Error, profileError(it.Fields).c_str());
}

TEST(Fields, SettingsErrorsNameFileLineAndKey) {
  const std::string good = "[node]\nname = 'n'\nzone = 'z'\n"
                           "[platform]\naddress = '127.0.0.1:1'\n";
  STRCMP_EQUAL("valid", settingsError(good).c_str());
  STRCMP_EQUAL("f.toml:7: http.prot: unknown key",
               settingsError(good + "[http]\nprot = 1\n").c_str());
  STRCMP_EQUAL("f.toml:7: http.port: expected integer, 0 to 65535",
               settingsError(good + "[http]\nport = 70000\n").c_str());
  STRCMP_EQUAL("f.toml: platform.address: required key is missing",
               settingsError("[node]\nname = 'n'\nzone = 'z'\n").c_str());
  CHECK(settingsError("[node\n").starts_with("f.toml:1: "));
}

TEST(Fields, CanonicalFormHoldsEveryDefault) {
  const auto read = [](const nlohmann::json &fields) {
    return leaf::try_handle_all(
        [&] { return core::profiles::profileFields().read(fields); },
        [] { return core::fields::FieldValues(); });
  };
  const auto shortForm = read({{"priority", 5}});
  const auto longForm = read(shortForm.toJson());
  CHECK(shortForm == longForm);
  LONGLONGS_EQUAL(shortForm.hash(), longForm.hash());
}

TEST(Fields, SetupThatTheFleetCannotServeIsFound) {
  core::profiles::SetupContext context;
  context.Vms = {tests::engineVm("e", 100'000, 10'000)};
  context.Workspaces = {"w"};
  struct Case {
    nlohmann::json Fields;
    const char *Finding;
  };
  const Case cases[] = {
      {{{"max_prompt_tokens", 50'000}}, ""},
      {{{"model", "none"}}, "model: no engine has none"},
      {{{"max_prompt_tokens", 200'000}, {"deadline_ms", 60'000}},
       "max_prompt_tokens: 200000 and an answer are more than the 100000 "
       "tokens that the largest engine holds"},
      {{{"max_prompt_tokens", 50'000}, {"deadline_ms", 4'000}},
       "deadline_ms: the fastest engine needs 5000 ms for the longest prompt, "
       "the deadline is 4000 ms"},
      {{{"kind", "service"}, {"service", "s"}},
       "service: no backend server runs s"},
      {{{"max_prompt_tokens", 50'000}, {"workspaces", {"w", "x"}}},
       "workspaces: no token belongs to x"},
  };
  for (const Case &it : cases) {
    const auto findings = core::profiles::checkSetup(
        tests::profileWith(it.Fields).Values, context);
    STRCMP_EQUAL(it.Finding, findings.empty() ? "" : findings[0].c_str());
  }
}
