#ifndef ORIOLETALLY_MAIN_OPERATOR_COMMANDS_H
#define ORIOLETALLY_MAIN_OPERATOR_COMMANDS_H

#include "main/exit_code.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::main {

/// Options common to the operators' commands.
struct OperatorOptions {
  /// "ip:port" of the entry node to ask.
  std::string Node;
  std::string Token;
  /// Positional arguments after the command.
  std::vector<std::string> Arguments;
  /// TOML file with the fields of a profile.
  std::string File;
  /// Revision that a change is based on; 0 stands for the current one.
  uint64_t Revision = 0;
  std::string ChangeId;
  /// How long to wait until every node has confirmed a committed change.
  absl::Duration Wait;
  bool Json = false;
};

/// `profile list|show|create|change|retire|history|status`.
ExitCode runProfileCommand(const OperatorOptions &options);

/// `audit`: the history of all changes.
ExitCode runAuditCommand(const OperatorOptions &options);

/// `status`: nodes and backend servers as one entry node sees them.
ExitCode runStatusCommand(const OperatorOptions &options);

/// `explain REQUEST_ID`: the decisions about a request, with their reasons.
ExitCode runExplainCommand(const OperatorOptions &options);

} // namespace orioletally::main

#endif
