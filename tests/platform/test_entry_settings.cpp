#include "main/entry_settings.h"
#include "tests/support/relay_fixture.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;
namespace leaf = boost::leaf;

namespace {

using Placeholders = std::map<std::string, std::string>;

/// Returns the template of the deploy file with its placeholders replaced.
std::string filledTemplate(const Placeholders &values) {
  std::ifstream in(ORIOLETALLY_DEPLOY "/settings.toml.in");
  std::string text(std::istreambuf_iterator<char>(in), {});
  for (const auto &[name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    const size_t at = text.find(placeholder);
    if (at != std::string::npos)
      text.replace(at, placeholder.size(), value);
  }
  return text;
}

Placeholders usualValues() {
  return {{"node", "n1"},
          {"zone", "z"},
          {"region", "r"},
          {"ip", "127.0.0.1"},
          {"port_range.0", "7340"},
          {"listen.front", "127.0.0.1:8227"},
          {"listen.ready", "127.0.0.1:8220"},
          {"platform.address", "127.0.0.1:8223"},
          {"limits.max_fds", "4200"},
          {"limits.memory_mb", "260"},
          {"bounds.grace_s", "8"},
          {"bounds.config_deadline_ms", "2000"},
          {"bounds.retry_budget_ratio", "0.2"},
          {"bounds.budget_slack", "100"},
          {"bounds.budget_window_s", "10"}};
}

/// The numbers among the placeholders, and the settings that they fill.
const std::map<std::string, std::string> NumberSettings = {
    {"limits.max_fds", "node.max_files"},
    {"limits.memory_mb", "node.memory_mb"},
    {"bounds.grace_s", "node.grace_s"},
    {"bounds.config_deadline_ms", "store.config_max_age_ms"},
    {"bounds.retry_budget_ratio", "retries.share"},
    {"bounds.budget_slack", "retries.slack"},
    {"bounds.budget_window_s", "retries.window_s"}};

/// Returns the settings in \p text as JSON, or the reason why there are none.
nlohmann::json settingsIn(const std::string &text,
                          const core::fields::FieldValues *known = nullptr) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<nlohmann::json> {
        BOOST_LEAF_AUTO(it, main::parseEntrySettings(text, "f.toml", known));
        return it.Values.toJson();
      },
      [](const main::SettingsError &ec) {
        return nlohmann::json{{"error", ec.text()}};
      },
      [] {
        return nlohmann::json{{"error", "?"}};
      });
}

core::fields::FieldValues valuesIn(const std::string &text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<core::fields::FieldValues> {
        BOOST_LEAF_AUTO(it, main::parseEntrySettings(text, "f.toml", nullptr));
        return it.Values;
      },
      [] { return core::fields::FieldValues(); });
}

int countEvents(const std::string &log, const std::string &event) {
  int n = 0;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const auto it = nlohmann::json::parse(line, nullptr, false);
    n += it.is_object() && it.value("event", "") == event;
  }
  return n;
}

} // namespace

TEST_GROUP(EntrySettings) {
  RelayFixture fixture;
  StandInBackend backend{scripts::answer("hello")};

  void setup() override {
    fixture.configure(1);
    fixture.listBackend("i-1", "plain", backend.address());
  }

  /// Returns the values for a settings file of the fixture's node.
  Placeholders ownValues() const {
    Placeholders values = usualValues();
    values["listen.front"] = fixture.CallsAddress;
    values["listen.ready"] = fixture.ReadinessAddress;
    values["platform.address"] = fixture.Store.address();
    values["port_range.0"] =
        fixture.PeersAddress.substr(fixture.PeersAddress.rfind(':') + 1);
    return values;
  }

  std::string write(const std::string &text) const {
    // The default port of the metrics may be in use.
    return fixture.Process.writeFile("entry.toml",
                                     text + "\n[metrics]\nport = 0\n");
  }

  std::string write(const Placeholders &values) const {
    return write(filledTemplate(values));
  }

  void start() {
    fixture.Process.start({"entry", "--settings", write(ownValues())});
  }

  bool serves() const {
    return within(15'000, [&] { return fixture.isReady(); }) &&
           fixture.call("GET", "/read/x").Status == 200;
  }

  /// Waits for a reload that changes only \p key; returns whether it came.
  bool hasReloaded(const std::string &key) const {
    return within(5'000, [&] {
      return fixture.Process.log().find("\"changed\":[\"" + key + "\"]") !=
             std::string::npos;
    });
  }
};

// Guards against a node that doesn't start because a number has a fraction.
TEST(EntrySettings, NodeServesWhenAnyNumberHasAFraction) {
  Placeholders values = ownValues();
  values["limits.max_fds"] = "4200.5";
  values["bounds.grace_s"] = "7.5";
  values["bounds.config_deadline_ms"] = "2000.5";
  values["bounds.retry_budget_ratio"] = "0.25";
  values["bounds.budget_slack"] = "102.5";
  values["bounds.budget_window_s"] = "9.25";
  fixture.Process.start({"entry", "--settings", write(values)});
  CHECK(serves());
}

// Guards against a node that doesn't start because of a decimal point.
TEST(EntrySettings, NodeServesWhenWholeNumbersHaveADecimalPoint) {
  Placeholders values = ownValues();
  values["limits.max_fds"] = "4200.0";
  values["bounds.grace_s"] = "8.0";
  values["bounds.config_deadline_ms"] = "2000.0";
  values["bounds.retry_budget_ratio"] = "1.0";
  values["bounds.budget_slack"] = "100.0";
  values["bounds.budget_window_s"] = "10.0";
  fixture.Process.start({"entry", "--settings", write(values)});
  CHECK(serves());
  CHECK_EQUAL(0, countEvents(fixture.Process.log(), "setting_rejected"));
}

// Guards against a node that ends because the file is being replaced.
TEST(EntrySettings, NodeServesOnceItsFileIsUsable) {
  const std::string file = write("[node]\nname = \"n1\"\n[calls]\naddr");
  fixture.Process.start({"entry", "--settings", file});
  CHECK(fixture.Process.waitEvent("settings_awaited", std::chrono::seconds(5))
            .has_value());
  fixture.Process.signal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK_EQUAL(1, countEvents(fixture.Process.log(), "settings_awaited"));
  write(ownValues());
  CHECK(serves());
}

TEST(EntrySettings, NodeWaitsForAMissingFile) {
  const std::string file = write(ownValues());
  const std::string hidden = file + ".hidden";
  CHECK_EQUAL(0, std::rename(file.c_str(), hidden.c_str()));
  fixture.Process.start({"entry", "--settings", file});
  CHECK(fixture.Process.waitEvent("settings_awaited", std::chrono::seconds(5))
            .has_value());
  CHECK_EQUAL(0, std::rename(hidden.c_str(), file.c_str()));
  CHECK(serves());
}

// Guards against a bound that keeps its old value because no signal came.
TEST(EntrySettings, ChangeWithoutASignalIsApplied) {
  start();
  CHECK(serves());
  Placeholders values = ownValues();
  values["bounds.budget_slack"] = "102.5";
  write(values);
  CHECK(hasReloaded("retries.slack"));
}

TEST(EntrySettings, SighupAppliesFractions) {
  start();
  CHECK(serves());
  Placeholders values = ownValues();
  values["bounds.grace_s"] = "7.5";
  write(values);
  fixture.Process.signal(SIGHUP);
  CHECK(hasReloaded("node.grace_s"));
}

// Guards against a node that stops serving, or forgets its settings, when its
// file can't be read while it runs, with a signal or without.
TEST(EntrySettings, UnusableFileLeavesTheSettingsInForce) {
  start();
  CHECK(serves());
  write("[node\nname =");
  CHECK(fixture.Process.waitEvent("setting_rejected", std::chrono::seconds(5))
            .has_value());
  fixture.Process.signal(SIGHUP);
  const std::string file = write("[retries]\nslack = 1\n");
  CHECK(fixture.Process.waitEvent("reload_refused", std::chrono::seconds(5))
            .has_value());
  CHECK_EQUAL(0, std::remove(file.c_str()));
  fixture.Process.signal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  CHECK(serves());
  write(ownValues());
  CHECK(fixture.Process.waitEvent("settings_usable", std::chrono::seconds(5))
            .has_value());
  CHECK(serves());
  // No reload has changed anything.
  const std::string log = fixture.Process.log();
  CHECK(log.find("\"changed\":[]") != std::string::npos);
  CHECK(log.find("\"changed\":[\"") == std::string::npos);
}

// Guards against one unusable value that costs more than itself.
TEST(EntrySettings, UnusableValueCostsItsOwnSettingOnly) {
  const nlohmann::json usual = settingsIn(filledTemplate(usualValues()));
  const core::fields::FieldValues defaults = valuesIn(
      "[node]\nname = 'n1'\n[calls]\naddress = '127.0.0.1:1'\n[ready]\n"
      "address = '127.0.0.1:2'\n[peers]\naddress = '127.0.0.1:3'\n[store]\n"
      "address = '127.0.0.1:4'\n");
  for (const auto &[placeholder, key] : NumberSettings)
    for (const char *value : {"", "true", "false", "nan", "inf", "many", "\"\"",
                              "{}", "1,2", "8..5", "\x01"}) {
      Placeholders values = usualValues();
      values[placeholder] = value;
      nlohmann::json expected = usual;
      expected[key] = defaults.toJson()[key];
      STRCMP_EQUAL(expected.dump().c_str(),
                   settingsIn(filledTemplate(values)).dump().c_str());
      // While the node runs, the value in force stays.
      const core::fields::FieldValues known =
          valuesIn(filledTemplate(usualValues()));
      STRCMP_EQUAL(usual.dump().c_str(),
                   settingsIn(filledTemplate(values), &known).dump().c_str());
    }
}

TEST(EntrySettings, NumbersAreReadInEveryNotation) {
  struct Case {
    const char *Placeholder;
    const char *Value;
    double Expected;
  };
  const Case cases[] = {
      {"bounds.budget_slack", "44.07407407407407", 44.07407407407407},
      {"bounds.budget_slack", "0", 0},
      {"bounds.budget_slack", "1e3", 1'000},
      {"bounds.budget_slack", "1.5E+2", 150},
      {"bounds.budget_slack", "1e-05", 1e-05},
      {"bounds.budget_slack", "-0.0", 0},
      // Out of range: the nearest limit.
      {"bounds.budget_slack", "-1", 0},
      {"bounds.budget_slack", "2500000.5", 100'000},
      {"bounds.retry_budget_ratio", "1", 1},
      {"bounds.retry_budget_ratio", "1.5", 1},
      {"bounds.budget_window_s", "0.5", 1},
      {"bounds.grace_s", "0.25", 0.25},
      {"limits.max_fds", "4200.9", 4'200},
      {"limits.max_fds", "17", 256},
      {"limits.max_fds", "9223372036854775807", 1'048'576},
  };
  for (const Case &it : cases) {
    Placeholders values = usualValues();
    values[it.Placeholder] = it.Value;
    const nlohmann::json settings = settingsIn(filledTemplate(values));
    DOUBLES_EQUAL(it.Expected,
                  settings.value(NumberSettings.at(it.Placeholder), -1.0),
                  1e-9);
  }
}

// Guards against names that a template doesn't escape.
TEST(EntrySettings, NamesThatCanNotBeReadAreReplaced) {
  Placeholders values = usualValues();
  values["node"] = "a\"b";
  values["zone"] = "a\\qb";
  values["region"] = "";
  const nlohmann::json settings = settingsIn(filledTemplate(values));
  STRCMP_EQUAL("127.0.0.1:7340", settings.value("node.name", "").c_str());
  STRCMP_EQUAL("default", settings.value("node.zone", "").c_str());
  STRCMP_EQUAL("default", settings.value("node.region", "").c_str());
}

TEST(EntrySettings, RequiredSettingsAreNamedWhenTheyAreMissing) {
  Placeholders values = usualValues();
  values["listen.front"] = "a\"b";
  STRCMP_EQUAL("f.toml: calls.address: required key is missing",
               settingsIn(filledTemplate(values)).value("error", "").c_str());
}
