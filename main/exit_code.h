#ifndef ORIOLETALLY_MAIN_EXIT_CODE_H
#define ORIOLETALLY_MAIN_EXIT_CODE_H

namespace orioletally::main {

/// How the program ends.
enum class ExitCode {
  /// Done; a change is accepted, a file is valid, a node drained whole.
  Done = 0,
  /// Refused or invalid; nothing changed.
  Refused = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A change is committed, but some nodes have yet to confirm it.
  Committed = 3,
  /// Whether a change took effect isn't known; repeat it with its change id.
  Unknown = 4,
  /// No answer from the entry node.
  Unreachable = 5,
};

} // namespace orioletally::main

#endif
