#ifndef ORIOLETALLY_MAIN_EXIT_CODE_H
#define ORIOLETALLY_MAIN_EXIT_CODE_H

namespace orioletally::main {

/// Exit codes of the program.
enum class ExitCode {
  /// Success: a change was accepted, a file is valid, or a node drained without
  /// aborting requests.
  Done = 0,
  /// A change was refused and didn't take effect, the input is invalid, or a
  /// node failed or aborted requests.
  Refused = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A change is committed, but not yet confirmed by every node.
  Committed = 3,
  /// It is unknown whether a change took effect; repeating it with the same
  /// change id is safe.
  Unknown = 4,
  /// The entry node didn't answer.
  Unreachable = 5,
};

} // namespace orioletally::main

#endif
