#ifndef ORIOLETALLY_MAIN_ENTRY_SETTINGS_H
#define ORIOLETALLY_MAIN_ENTRY_SETTINGS_H

#include "core/fields/field_table.h"

#include "main/settings.h"

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::main {

/// Returns the declarations of the settings of an entry node on the users'
/// platform, which generates its settings file from deploy/settings.toml.in.
const core::fields::FieldTable &entryFields();

/// The settings in a file, and what couldn't be used of it.
struct EntrySettings {
  core::fields::FieldValues Values;
  std::vector<SettingsError> Rejected;
};

/// Parses the settings of an entry node from TOML \p text. The platform fills
/// them in, so one that can't be used costs only itself: it keeps its value in
/// \p known, those in force, or its default if \p known is null. Fails with a
/// SettingsError if a required setting has no value. \p file is named in
/// errors.
boost::leaf::result<EntrySettings>
parseEntrySettings(std::string_view text, const std::string &file,
                   const core::fields::FieldValues *known);

} // namespace orioletally::main

#endif
