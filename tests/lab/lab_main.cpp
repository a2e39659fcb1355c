#include "drivers/clock/clock.h"
#include "tests/lab/engine_server.h"
#include "tests/lab/load_client.h"
#include "tests/lab/loss_table.h"
#include "tests/lab/platform_server.h"
#include "tests/lab/policy_bench.h"
#include "tests/lab/relay_model.h"
#include "tests/lab/service_server.h"
#include "tests/lab/slopes.h"
#include "tests/lab/spread.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <sys/resource.h>

namespace po = boost::program_options;

namespace orioletally::lab {

namespace {

constexpr int UsageError = 2;

void raiseFileLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

/// Starts \p server and runs it until the process receives SIGTERM or SIGINT.
template <typename Server>
int runUntilStopped(Server &server, sigset_t &signals) {
  if (!server.start()) {
    fmt::print(stderr, "orioletally-lab: can't listen on the port\n");
    return 1;
  }
  fmt::print("listening on 127.0.0.1:{}\n", server.port());
  std::fflush(stdout);
  int n = 0;
  sigwait(&signals, &n);
  server.stop();
  return 0;
}

int runEngine(const po::variables_map &options, sigset_t &signals) {
  EngineModelSettings settings;
  settings.MemoryTokens = options["memory-tokens"].as<int64_t>();
  settings.PrefillTokensPerSecond = options["prefill-rate"].as<int64_t>();
  settings.TokenTime = absl::Milliseconds(options["token-ms"].as<int64_t>());
  settings.MaxQueued = options["max-queued"].as<size_t>();
  EngineServer server(options["port"].as<int>(), settings);
  return runUntilStopped(server, signals);
}

int runLoadCommand(const po::variables_map &options) {
  LoadPlan plan;
  plan.Targets = options["target"].as<std::vector<std::string>>();
  plan.Direct = options.count("direct") > 0;
  plan.Token = options["token"].as<std::string>();
  plan.Profile = options["profile"].as<std::string>();
  plan.Requests = options["requests"].as<int>();
  plan.Rate = options["rate"].as<double>();
  plan.PromptTokens = options["prompt-tokens"].as<int>();
  plan.MaxTokens = options["max-tokens"].as<int>();
  plan.Seed = options["seed"].as<uint64_t>();
  const absl::Time started = drivers::clock::steadyNow();
  const std::vector<LoadSample> samples = runLoad(plan);
  printLoad(plan, samples, drivers::clock::steadyNow() - started);
  return 0;
}

po::options_description labOptions() {
  po::options_description all(
      "orioletally-lab platform|engine|service|load|slopes|spread|policy|"
      "placement|compare|losses");
  auto add = all.add_options();
  add("help", "show this text");
  add("command", po::value<std::string>());
  add("port", po::value<int>()->default_value(0));
  add("seed", po::value<uint64_t>()->default_value(1));
  add("memory-tokens", po::value<int64_t>()->default_value(1'200'000));
  add("prefill-rate", po::value<int64_t>()->default_value(50'000));
  add("token-ms", po::value<int64_t>()->default_value(20));
  add("max-queued", po::value<size_t>()->default_value(64));
  add("nodes", po::value<std::vector<int>>()->multitoken()->default_value(
                   {3, 8, 64}, "3 8 64"));
  add("picture", po::value<std::string>()->default_value(""),
      "SVG file to write the comparison to (policy, compare)");
  add("load", po::value<std::vector<std::string>>()->composing(),
      "file of tests/lab/loads; may be repeated (compare)");
  add("pattern", po::value<std::string>()->default_value(""),
      "file of tests/lab/loads to simulate (placement)");
  add("plays", po::value<int>()->default_value(5),
      "number of runs, with consecutive seeds (placement, compare)");
  add("log", po::value<std::vector<std::string>>()->composing(),
      "log file of a node; may be repeated (losses)");
  add("seconds", po::value<int>()->default_value(120));
  add("target", po::value<std::vector<std::string>>()->composing());
  add("direct", "targets are engines, not entry nodes");
  add("token", po::value<std::string>()->default_value(""));
  add("profile", po::value<std::string>()->default_value("gate-questions"));
  add("requests", po::value<int>()->default_value(100));
  add("rate", po::value<double>()->default_value(50));
  add("prompt-tokens", po::value<int>()->default_value(1000));
  add("max-tokens", po::value<int>()->default_value(64));
  return all;
}

int run(int argc, char **argv) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  raiseFileLimit();
  const po::options_description all = labOptions();
  po::positional_options_description positions;
  positions.add("command", 1);
  po::variables_map options;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positions)
                  .run(),
              options);
  } catch (const po::error &ec) {
    fmt::print(stderr, "orioletally-lab: {}\n", ec.what());
    return UsageError;
  }
  if (options.count("help") > 0 || options.count("command") == 0) {
    std::cout << all;
    return options.count("help") > 0 ? 0 : UsageError;
  }
  const std::string command = options["command"].as<std::string>();
  const int port = options["port"].as<int>();
  const uint64_t seed = options["seed"].as<uint64_t>();
  if (command == "load")
    return runLoadCommand(options);
  if (command == "policy") {
    printPolicies(options["seconds"].as<int>(), seed,
                  options["picture"].as<std::string>());
    return 0;
  }
  if (command == "placement") {
    printPlacement(options["pattern"].as<std::string>(),
                   options["plays"].as<int>(), seed);
    return 0;
  }
  if (command == "compare") {
    comparePlacement(options["load"].as<std::vector<std::string>>(),
                     options["plays"].as<int>(), seed,
                     options["picture"].as<std::string>());
    return 0;
  }
  if (command == "losses") {
    if (options.count("log") == 0) {
      fmt::print(stderr, "orioletally-lab: losses needs --log\n");
      return UsageError;
    }
    return printLosses(options["log"].as<std::vector<std::string>>())
               ? 0
               : UsageError;
  }
  if (command == "slopes") {
    printSlopes();
    return 0;
  }
  if (command == "spread") {
    printSpread(options["nodes"].as<std::vector<int>>(),
                options["requests"].as<int>());
    return 0;
  }
  if (command == "engine")
    return runEngine(options, signals);
  if (command == "platform") {
    PlatformServer server(port, seed);
    return runUntilStopped(server, signals);
  }
  if (command == "service") {
    ServiceServer server(port, seed);
    return runUntilStopped(server, signals);
  }
  fmt::print(stderr, "orioletally-lab: unknown command {}\n", command);
  return UsageError;
}

} // namespace

} // namespace orioletally::lab

int main(int argc, char **argv) { return orioletally::lab::run(argc, argv); }
