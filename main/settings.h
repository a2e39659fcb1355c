#ifndef ORIOLETALLY_MAIN_SETTINGS_H
#define ORIOLETALLY_MAIN_SETTINGS_H

#include "core/fields/field_table.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <string>
#include <string_view>

namespace orioletally::main {

/// The reason why a settings file can't be used. `Line` is 0 when the error
/// isn't tied to a line.
struct SettingsError {
  std::string File;
  int Line = 0;
  std::string Key;
  std::string Reason;

  /// "FILE:LINE: KEY: REASON", without the parts that aren't set.
  std::string text() const;
};

/// Returns the declarations of every setting.
const core::fields::FieldTable &settingsFields();

/// Parses TOML \p text with the keys that \p table declares. \p file is named
/// in errors.
boost::leaf::result<core::fields::FieldValues>
parseFields(const core::fields::FieldTable &table, std::string_view text,
            const std::string &file);

/// Parses settings from TOML \p text. \p file is named in errors.
boost::leaf::result<core::fields::FieldValues>
parseSettings(std::string_view text, const std::string &file);

/// Reads and parses a settings file.
boost::leaf::result<core::fields::FieldValues>
loadSettings(const std::string &file);

/// Returns the setting \p key, a number of milliseconds, as a duration.
absl::Duration milliseconds(const core::fields::FieldValues &settings,
                            std::string_view key);

/// Reads a whole file.
boost::leaf::result<std::string> readFile(const std::string &file);

} // namespace orioletally::main

#endif
