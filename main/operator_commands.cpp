#include "main/operator_commands.h"

#include "core/profiles/profile.h"
#include "drivers/clock/clock.h"
#include "main/operator_client.h"
#include "main/settings.h"
#include "main/toml_json.h"

#include <absl/strings/str_format.h>
#include <fmt/format.h>
#include <functional>
#include <random>
#include <thread>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::main {

namespace {

using nlohmann::json;

constexpr absl::Duration CallTimeout = absl::Seconds(70);
constexpr absl::Duration WatchInterval = absl::Milliseconds(500);
constexpr int StatusAccepted = 202;

OperatorClient clientFor(const OperatorOptions &options) {
  return {options.Node, options.Token, CallTimeout};
}

std::string textOf(const json &value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints why a request was refused.
ExitCode printRefusal(const OperatorAnswer &answer) {
  const json error = answer.Body.is_object()
                         ? answer.Body.value("error", json::object())
                         : json::object();
  fmt::print(stderr, "orioletally: {} ({}): {}\n",
             error.value("code", "status"), answer.Status,
             error.value("message", "no reason given"));
  if (!error.value("rule", std::string()).empty())
    fmt::print(stderr, "  rule: {}\n", error["rule"].get<std::string>());
  if (answer.Body.is_object() && answer.Body.contains("against"))
    for (const json &it : answer.Body["against"]["differences"])
      fmt::print(stderr, "  {}: {} -> {}\n", textOf(it["field"]),
                 textOf(it["before"]), textOf(it["after"]));
  return error.value("run", std::string()) == "unknown" ? ExitCode::Unknown
                                                        : ExitCode::Refused;
}

/// Runs \p body and prints the error if it fails.
ExitCode
runReportingErrors(const std::function<leaf::result<ExitCode>()> &body) {
  return leaf::try_handle_all(
      body,
      [](const ClientError &ec) {
        fmt::print(stderr, "orioletally: no answer: {}\n", ec.Reason);
        return ec.MayHaveRun ? ExitCode::Unknown : ExitCode::Unreachable;
      },
      [](const SettingsError &ec) {
        fmt::print(stderr, "orioletally: {}\n", ec.text());
        return ExitCode::Refused;
      },
      [](const TomlError &ec) {
        fmt::print(stderr, "orioletally: profile file, line {}: {}\n", ec.Line,
                   ec.Reason);
        return ExitCode::Refused;
      },
      [] {
        fmt::print(stderr, "orioletally: unexpected failure\n");
        return ExitCode::Refused;
      });
}

/// Fetches \p path and prints a successful answer with \p print, or as JSON if
/// the options say so.
ExitCode fetchAndPrint(const OperatorOptions &options, const std::string &path,
                       const std::function<void(const json &)> &print) {
  return runReportingErrors([&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(answer, clientFor(options).call({"GET", path, "", {}}));
    if (!answer.isSuccess())
      return printRefusal(answer);
    if (options.Json)
      fmt::print("{}\n", answer.Body.dump(2));
    else
      print(answer.Body);
    return ExitCode::Done;
  });
}

void printProfiles(const json &body) {
  fmt::print("revision {}\n", body["revision"].get<uint64_t>());
  for (const json &it : body["profiles"])
    fmt::print("{:<24} revision {:<6} {:<10} {}\n",
               it["name"].get<std::string>(), it["revision"].get<uint64_t>(),
               it["fields"]["kind"].get<std::string>(),
               it["retired"].get<bool>() ? "retired" : "in force");
}

void printProfile(const json &body) {
  fmt::print("# {} revision {}{}\n", body["name"].get<std::string>(),
             body["revision"].get<uint64_t>(),
             body["retired"].get<bool>() ? " (retired)" : "");
  for (const auto &[key, value] : body["fields"].items())
    fmt::print("{} = {}\n", key, value.dump());
}

void printChanges(const json &body) {
  for (const json &it : body["changes"]) {
    fmt::print(
        "{:>6} {} {} {} by {} from {} through {} ({})\n",
        it["revision"].get<uint64_t>(), it["at"].get<std::string>(),
        it["kind"].get<std::string>(), it["profile"]["name"].get<std::string>(),
        it["operator"].get<std::string>(), it["source"].get<std::string>(),
        it["node"].get<std::string>(), it["change_id"].get<std::string>());
    for (const json &row : it.value("findings", json::array()))
      fmt::print("         found: {}\n", textOf(row));
    for (const json &row : it["differences"])
      fmt::print("         {}: {} -> {}\n", textOf(row["field"]),
                 textOf(row["before"]), textOf(row["after"]));
  }
}

void printStatus(const json &body) {
  fmt::print("node {} ready {} in progress {} profiles at revision {}\n",
             body["node"].get<std::string>(), body["ready"].dump(),
             body["in_progress"].dump(), body["profile_revision"].dump());
  for (const json &it : body["nodes"])
    fmt::print("  node {:<16} zone {:<16} {:<8} revision {} {}\n",
               it["name"].get<std::string>(), it["zone"].get<std::string>(),
               it["status"].get<std::string>(),
               it["profile_revision"].get<uint64_t>(),
               it["draining"].get<bool>() ? "draining" : "");
  for (const json &it : body["backends"])
    fmt::print("  backend {:<16} zone {:<16} {} {}\n",
               it["id"].get<std::string>(), it["zone"].get<std::string>(),
               it["leaving"].get<bool>()  ? "leaving"
               : it["usable"].get<bool>() ? "usable"
                                          : "set aside",
               it["in_flight_here"].dump());
}

void printExplanation(const json &body) {
  fmt::print("request {}\n", textOf(body["request_id"]));
  for (const char *key : {"workspace", "profile", "profile_revision", "backend",
                          "attempts", "prompt_tokens", "state", "run"})
    if (body.contains(key))
      fmt::print("  {}: {}\n", key, textOf(body[key]));
  for (const json &it : body.value("steps", json::array()))
    fmt::print("  {:>8} {}\n", it.contains("ms") ? it["ms"].dump() + " ms" : "",
               textOf(it["what"]));
  if (body.contains("error"))
    fmt::print("  ended by rule: {}\n", textOf(body["error"]["rule"]));
}

std::string newChangeId() {
  std::random_device random;
  return absl::StrFormat("cli-%08x%08x%08x", random(), random(), random());
}

/// Waits until every node has confirmed a committed change, for at most
/// OperatorOptions::Wait.
ExitCode watchChange(const OperatorOptions &options, uint64_t revision) {
  const absl::Time until = drivers::clock::steadyNow() + options.Wait;
  std::string shown;
  while (true) {
    json body;
    const ExitCode code = runReportingErrors([&]() -> leaf::result<ExitCode> {
      BOOST_LEAF_AUTO(
          answer,
          clientFor(options).call(
              {"GET", fmt::format("/v1/revisions/{}", revision), "", {}}));
      if (!answer.isSuccess())
        return printRefusal(answer);
      body = answer.Body;
      return ExitCode::Done;
    });
    if (code != ExitCode::Done)
      return ExitCode::Committed;
    if (body["state"] == "accepted") {
      fmt::print("accepted: revision {} is in force on every entry node\n",
                 revision);
      return ExitCode::Done;
    }
    const std::string waiting = body["waiting_for"].dump();
    if (waiting != shown)
      fmt::print("committed: revision {}, waiting for {}\n", revision, waiting);
    shown = waiting;
    if (drivers::clock::steadyNow() >= until)
      return ExitCode::Committed;
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(WatchInterval));
  }
}

ExitCode finishChange(const OperatorOptions &options,
                      const OperatorAnswer &answer) {
  if (!answer.isSuccess())
    return printRefusal(answer);
  for (const json &it : answer.Body.value("findings", json::array()))
    fmt::print(stderr, "finding: {}\n", textOf(it));
  const auto revision = answer.Body["profile"]["revision"].get<uint64_t>();
  if (options.Json)
    fmt::print("{}\n", answer.Body.dump(2));
  if (answer.Status == StatusAccepted)
    return watchChange(options, revision);
  if (!options.Json)
    fmt::print("accepted: revision {} is in force on every entry node\n",
               revision);
  return ExitCode::Done;
}

/// Sends a change. If the answer is lost, sends it once more under the same
/// change id, so that it takes effect only once.
leaf::result<OperatorAnswer> sendChange(const OperatorOptions &options,
                                        const OperatorRequest &request) {
  return leaf::try_handle_some(
      [&] { return clientFor(options).call(request); },
      [&](const ClientError &ec,
          const leaf::error_info &info) -> leaf::result<OperatorAnswer> {
        if (!ec.MayHaveRun)
          return info.error();
        fmt::print(
            stderr,
            "orioletally: the answer was lost; sending the change again\n");
        return clientFor(options).call(request);
      });
}

leaf::result<std::string> currentEntityTag(const OperatorOptions &options,
                                           const std::string &path) {
  if (options.Revision > 0)
    return fmt::format("\"{}\"", options.Revision);
  BOOST_LEAF_AUTO(answer, clientFor(options).call({"GET", path, "", {}}));
  return answer.EntityTag;
}

ExitCode changeProfile(const OperatorOptions &options,
                       const std::string &action, const std::string &name) {
  return runReportingErrors([&]() -> leaf::result<ExitCode> {
    OperatorRequest request;
    request.Path = fmt::format("/v1/profiles/{}", name);
    request.Method = action == "retire" ? "DELETE" : "PUT";
    const std::string changeId =
        options.ChangeId.empty() ? newChangeId() : options.ChangeId;
    request.Headers.emplace("X-Change-Id", changeId);
    if (action != "retire") {
      BOOST_LEAF_AUTO(text, readFile(options.File));
      BOOST_LEAF_AUTO(flat, flattenToml(text));
      request.Body = flat.Object.dump();
    }
    if (action == "create") {
      request.Headers.emplace("If-None-Match", "*");
    } else {
      BOOST_LEAF_AUTO(tag, currentEntityTag(options, request.Path));
      request.Headers.emplace("If-Match", tag.empty() ? "\"0\"" : tag);
    }
    fmt::print(stderr, "change id {}\n", changeId);
    BOOST_LEAF_AUTO(answer, sendChange(options, request));
    return finishChange(options, answer);
  });
}

ExitCode usage(std::string_view expected) {
  fmt::print(stderr, "orioletally: expected {}\n", expected);
  return ExitCode::Usage;
}

} // namespace

ExitCode runProfileCommand(const OperatorOptions &options) {
  constexpr std::string_view Expected =
      "profile list | show NAME | create NAME --file F | change NAME --file F "
      "| retire NAME | history NAME | status REVISION";
  if (options.Arguments.empty())
    return usage(Expected);
  const std::string &action = options.Arguments[0];
  if (action == "list")
    return fetchAndPrint(options, "/v1/profiles", printProfiles);
  if (options.Arguments.size() < 2)
    return usage(Expected);
  const std::string &name = options.Arguments[1];
  if (action == "show")
    return fetchAndPrint(options, fmt::format("/v1/profiles/{}", name),
                         printProfile);
  if (action == "history")
    return fetchAndPrint(options, fmt::format("/v1/profiles/{}/history", name),
                         printChanges);
  if (action == "status")
    return fetchAndPrint(
        options, fmt::format("/v1/revisions/{}", name), [](const json &body) {
          fmt::print("{}, waiting for {}\n", body["state"].get<std::string>(),
                     body["waiting_for"].dump());
        });
  const bool needsFile = action == "create" || action == "change";
  if (needsFile && options.File.empty())
    return usage(Expected);
  if (needsFile || action == "retire")
    return changeProfile(options, action, name);
  return usage(Expected);
}

ExitCode runAuditCommand(const OperatorOptions &options) {
  return fetchAndPrint(options, "/v1/audit?limit=1000", printChanges);
}

ExitCode runStatusCommand(const OperatorOptions &options) {
  return fetchAndPrint(options, "/v1/status", printStatus);
}

ExitCode runExplainCommand(const OperatorOptions &options) {
  if (options.Arguments.empty())
    return usage("explain REQUEST_ID");
  return fetchAndPrint(options,
                       fmt::format("/v1/requests/{}", options.Arguments[0]),
                       printExplanation);
}

} // namespace orioletally::main
