#ifndef ORIOLETALLY_MAIN_OPERATOR_COMMANDS_H
#define ORIOLETALLY_MAIN_OPERATOR_COMMANDS_H

#include "main/exit_code.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::main {

/// Options that the operators' commands share.
struct OperatorOptions {
  /// "ip:port" of an entry node.
  std::string Node;
  std::string Token;
  /// Positional words after the command.
  std::vector<std::string> Arguments;
  /// TOML file with the fields of a profile.
  std::string File;
  /// Revision that a change was made from; 0 takes the one that stands.
  uint64_t Revision = 0;
  std::string ChangeId;
  /// How long to go on watching a committed change.
  absl::Duration Wait;
  bool Json = false;
};

/// `profile list|show|create|change|retire|history|status`.
ExitCode runProfileCommand(const OperatorOptions &options);

/// `audit`: the trail of all changes.
ExitCode runAuditCommand(const OperatorOptions &options);

/// `status`: nodes and backend servers as one entry node sees them.
ExitCode runStatusCommand(const OperatorOptions &options);

/// `explain REQUEST_ID`: what was decided about a request, and why.
ExitCode runExplainCommand(const OperatorOptions &options);

} // namespace orioletally::main

#endif
