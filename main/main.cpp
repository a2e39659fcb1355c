#include "charts/embedded_charts.h"
#include "core/charts/state_chart.h"
#include "core/profiles/profile.h"
#include "drivers/clock/clock.h"
#include "drivers/gateway/caller_tokens.h"
#include "drivers/log/log.h"
#include "drivers/loop/listener.h"
#include "drivers/peer/peer_transport.h"
#include "main/entry_node.h"
#include "main/entry_settings.h"
#include "main/exit_code.h"
#include "main/node.h"
#include "main/operator_commands.h"
#include "main/settings.h"
#include "main/settings_file.h"

#include <absl/strings/ascii.h>
#include <array>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <optional>
#include <sys/resource.h>
#include <thread>

namespace leaf = boost::leaf;
namespace po = boost::program_options;

namespace orioletally::main {

namespace {

constexpr const char *Version = "orioletally 0.1.0";
constexpr const char *SettingsVariable = "ORIOLETALLY_SETTINGS";
constexpr const char *TokenVariable = "ORIOLETALLY_TOKEN";
constexpr int DefaultWaitSeconds = 30;
/// Larger blocks of an entry node go back to the system when they are freed.
constexpr int MmapThresholdBytes = 128 << 10;
/// Time between two reads of a settings file that can't be used yet.
constexpr auto SettingsRetryInterval = std::chrono::milliseconds(100);

/// SIGTERM and SIGINT, received synchronously by the main thread.
class StopSignals {
public:
  StopSignals() {
    sigemptyset(&Set);
    sigaddset(&Set, SIGTERM);
    sigaddset(&Set, SIGINT);
    // Must run before any thread starts, so that all of them inherit the mask.
    pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  }

  void wait() {
    int n = 0;
    sigwait(&Set, &n);
  }

  bool isPending() {
    const timespec none{};
    return sigtimedwait(&Set, nullptr, &none) > 0;
  }

private:
  sigset_t Set{};
};

/// Raises the limit of open files as far as allowed: a stream takes two
/// sockets, and the usual limit of 1,024 is too low.
void raiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

ExitCode fail(const std::string &reason) {
  fmt::print(stderr, "orioletally: {}\n", reason);
  return ExitCode::Refused;
}

/// Runs \p body and prints the error if it fails.
ExitCode
runReportingErrors(const std::function<leaf::result<ExitCode>()> &body) {
  return leaf::try_handle_all(
      body, [](const SettingsError &ec) { return fail(ec.text()); },
      [](const NodeError &ec) { return fail(ec.Reason); },
      [](const drivers::gateway::TokensError &ec) {
        return fail("auth.tokens_file or auth.tokens_env: " + ec.Reason);
      },
      [](const drivers::loop::ListenError &ec) {
        return fail(
            fmt::format("can't listen on {}: {}", ec.Address, ec.Reason));
      },
      [](const drivers::peer::TransportError &ec) {
        return fail("traffic between entry nodes: " + ec.Reason);
      },
      [](const core::charts::ChartError &ec) {
        return fail(fmt::format("chart {}: {}", ec.Chart, ec.Reason));
      },
      [] { return fail("unexpected failure"); });
}

ExitCode serve(const std::string &file) {
  StopSignals signals;
  raiseFileLimit();
  return runReportingErrors([&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(settings, loadSettings(file));
    const auto incarnation =
        static_cast<uint64_t>(absl::ToUnixMillis(drivers::clock::wallNow()));
    drivers::log::setIdentity(
        settings.text("node.name"), incarnation,
        drivers::log::levelFromName(settings.text("log.level")));
    BOOST_LEAF_AUTO(
        node,
        NodeBuilder().settings(settings).incarnation(incarnation).build());
    BOOST_LEAF_CHECK(node->start());
    signals.wait();
    const bool isCleanExit = node->drain([&] { return signals.isPending(); });
    drivers::log::write(drivers::log::Level::Info, "stopped",
                        {{"whole", isCleanExit}});
    return isCleanExit ? ExitCode::Done : ExitCode::Refused;
  });
}

/// Returns the path of an entry node's settings. The platform passes it in
/// SettingsVariable; an explicit --settings has precedence.
std::string entrySettingsFile(const po::variables_map &options) {
  const char *path = std::getenv(SettingsVariable);
  const bool isGiven = !options["settings"].defaulted();
  return path == nullptr || isGiven ? options["settings"].as<std::string>()
                                    : path;
}

/// Returns the settings in \p file once they can be used. The platform may be
/// replacing the file, and a process that exits would only be started again.
core::fields::FieldValues waitForSettings(SettingsFile &file) {
  std::optional<core::fields::FieldValues> settings = file.read();
  while (!settings.has_value()) {
    std::this_thread::sleep_for(SettingsRetryInterval);
    settings = file.readIfChanged();
  }
  return std::move(*settings);
}

ExitCode serveEntry(const std::string &file) {
  // SIGHUP would end the process until the node handles it.
  std::signal(SIGHUP, SIG_IGN);
  raiseFileLimit();
  return runReportingErrors([&]() -> leaf::result<ExitCode> {
    SettingsFile settingsFile(file);
    const core::fields::FieldValues settings = waitForSettings(settingsFile);
    const auto incarnation =
        static_cast<uint64_t>(absl::ToUnixMillis(drivers::clock::wallNow()));
    drivers::log::setIdentity(
        settings.text("node.name"), incarnation,
        drivers::log::levelFromName(settings.text("log.level")));
    BOOST_LEAF_AUTO(callChart, charts::callChart());
    BOOST_LEAF_AUTO(attemptChart, charts::attemptChart());
    // Without a fixed threshold, glibc raises it to the size of freed blocks
    // and keeps later ones of that size in the heap, fragmented.
    ::mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes);
    EntryNode node(settings, incarnation,
                   {std::move(callChart), std::move(attemptChart)},
                   settingsFile);
    BOOST_LEAF_CHECK(node.start());
    const bool isCleanExit = node.run();
    drivers::log::write(drivers::log::Level::Info, "stopped",
                        {{"whole", isCleanExit}});
    return isCleanExit ? ExitCode::Done : ExitCode::Refused;
  });
}

ExitCode check(const std::string &file) {
  return runReportingErrors([&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_CHECK(charts::requestChart());
    BOOST_LEAF_CHECK(charts::callChart());
    BOOST_LEAF_CHECK(charts::attemptChart());
    BOOST_LEAF_CHECK(loadSettings(file));
    fmt::print("{}: valid\n", file);
    return ExitCode::Done;
  });
}

ExitCode makeKey() {
  const std::string key = drivers::peer::makeSecretKey();
  if (key.empty())
    return fail("the ZeroMQ library was built without encryption");
  fmt::print("{}\n", key);
  return ExitCode::Done;
}

ExitCode printReference() {
  fmt::print("# Configuration\n\nGenerated by `orioletally reference` from the "
             "tables in the code.\n\n## Settings\n\nA TOML file; `http.port` "
             "stands for `port` in the table `[http]`.\n\n{}\n## Profile "
             "fields\n\nTOML for the command line, JSON over HTTP.\n\n{}\n## "
             "Settings of an entry node on the users' platform\n\nA TOML file, "
             "generated from deploy/settings.toml.in.\n\n{}",
             settingsFields().markdown(),
             core::profiles::profileFields().markdown(),
             entryFields().markdown());
  return ExitCode::Done;
}

std::string tokenFrom(const po::variables_map &options) {
  if (options.count("token-file") > 0) {
    const std::string file = options["token-file"].as<std::string>();
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_AUTO(text, readFile(file));
          return std::string(absl::StripAsciiWhitespace(text));
        },
        [] { return std::string(); });
  }
  const char *text = std::getenv(TokenVariable);
  return text == nullptr ? "" : text;
}

OperatorOptions operatorOptions(const po::variables_map &options) {
  OperatorOptions result;
  result.Node = options["node"].as<std::string>();
  result.Token = tokenFrom(options);
  if (options.count("words") > 0)
    result.Arguments = options["words"].as<std::vector<std::string>>();
  result.File = options["file"].as<std::string>();
  result.Revision = options["revision"].as<uint64_t>();
  result.ChangeId = options["change-id"].as<std::string>();
  result.Wait = absl::Seconds(options["wait"].as<int>());
  result.Json = options.count("json") > 0;
  return result;
}

po::options_description visibleOptions() {
  po::options_description visible("Options");
  auto add = visible.add_options();
  add("help", "show this text");
  add("version", "show the version");
  add("settings", po::value<std::string>()->default_value("orioletally.toml"),
      "settings file (serve, check)");
  add("node", po::value<std::string>()->default_value("127.0.0.1:8080"),
      "ip:port of the entry node to ask");
  add("token-file", po::value<std::string>(),
      "file with the operator's token; default: the variable "
      "ORIOLETALLY_TOKEN");
  add("file", po::value<std::string>()->default_value(""),
      "TOML file with the fields of a profile");
  add("revision", po::value<uint64_t>()->default_value(0),
      "revision that the change is based on; 0: the current one");
  add("change-id", po::value<std::string>()->default_value(""),
      "id under which a change can safely be repeated");
  add("wait", po::value<int>()->default_value(DefaultWaitSeconds),
      "seconds to wait until every node has confirmed a committed change");
  add("json", "print JSON");
  return visible;
}

void printHelp(const po::options_description &visible) {
  std::cout << Version << R"(

Usage: orioletally COMMAND [ARGUMENTS] [OPTIONS]

  serve               run an entry node with its own HTTP API
  entry               run an entry node on the users' platform; its settings
                      file is --settings or the variable ORIOLETALLY_SETTINGS
  check               check a settings file and the state charts
  profile list | show NAME | create NAME | change NAME | retire NAME
          | history NAME | status REVISION
  audit               every change of a profile
  status              nodes and backend servers
  explain REQUEST_ID  the decisions about a request, with their reasons
  keygen              generate a secret key for traffic between entry nodes
  reference           print docs/CONFIGURATION.md

Exit codes: 0 done or accepted, 1 refused or invalid, 2 wrong usage,
3 committed but not yet confirmed everywhere, 4 outcome unknown,
5 entry node unreachable.

)" << visible;
}

ExitCode runCommand(const std::string &command,
                    const po::variables_map &options) {
  const std::string settings = options["settings"].as<std::string>();
  if (command == "serve")
    return serve(settings);
  if (command == "entry")
    return serveEntry(entrySettingsFile(options));
  if (command == "check")
    return check(settings);
  if (command == "keygen")
    return makeKey();
  if (command == "reference")
    return printReference();
  if (command == "profile")
    return runProfileCommand(operatorOptions(options));
  if (command == "audit")
    return runAuditCommand(operatorOptions(options));
  if (command == "status")
    return runStatusCommand(operatorOptions(options));
  if (command == "explain")
    return runExplainCommand(operatorOptions(options));
  fmt::print(stderr, "orioletally: unknown command {}; see --help\n", command);
  return ExitCode::Usage;
}

ExitCode run(int argc, char **argv) {
  const po::options_description visible = visibleOptions();
  po::options_description all;
  all.add(visible);
  auto add = all.add_options();
  add("command", po::value<std::string>());
  add("words", po::value<std::vector<std::string>>());
  po::positional_options_description positions;
  positions.add("command", 1).add("words", -1);
  po::variables_map options;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positions)
                  .run(),
              options);
  } catch (const po::error &ec) {
    fmt::print(stderr, "orioletally: {}; see --help\n", ec.what());
    return ExitCode::Usage;
  }
  if (options.count("version") > 0) {
    fmt::print("{}\n", Version);
    return ExitCode::Done;
  }
  if (options.count("help") > 0 || options.count("command") == 0) {
    printHelp(visible);
    return options.count("help") > 0 ? ExitCode::Done : ExitCode::Usage;
  }
  return runCommand(options["command"].as<std::string>(), options);
}

} // namespace

} // namespace orioletally::main

int main(int argc, char **argv) {
  return static_cast<int>(orioletally::main::run(argc, argv));
}
