#ifndef ORIOLETALLY_MAIN_SETTINGS_FILE_H
#define ORIOLETALLY_MAIN_SETTINGS_FILE_H

#include "core/fields/field_table.h"

#include <optional>
#include <string>
#include <utility>

namespace orioletally::main {

/// The settings file of an entry node, which the platform may replace at any
/// time, with SIGHUP or without a signal. Logs each setting that can't be used,
/// and each time that the file becomes unusable or usable again.
class SettingsFile {
public:
  explicit SettingsFile(std::string path) : Path(std::move(path)) {}

  /// Reads the file. Returns its settings, or empty if it can't be used: the
  /// settings returned last then stay in force.
  std::optional<core::fields::FieldValues> read();

  /// Reads the file and returns its settings if its text has changed since the
  /// last read and can be used.
  std::optional<core::fields::FieldValues> readIfChanged();

  const std::string &path() const { return Path; }

private:
  std::optional<core::fields::FieldValues> parse();
  std::optional<core::fields::FieldValues> refuse(const std::string &reason);
  /// Reads the text; returns whether it differs from that read before.
  bool readText();

  std::string Path;
  /// The text read last; empty if the file couldn't be read.
  std::optional<std::string> Text;
  /// The settings returned last.
  std::optional<core::fields::FieldValues> InForce;
  /// Why the file can't be used; empty if it can.
  std::string Problem;
};

} // namespace orioletally::main

#endif
