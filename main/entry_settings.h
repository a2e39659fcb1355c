#ifndef ORIOLETALLY_MAIN_ENTRY_SETTINGS_H
#define ORIOLETALLY_MAIN_ENTRY_SETTINGS_H

#include "core/fields/field_table.h"

#include <boost/leaf.hpp>
#include <string>

namespace orioletally::main {

/// Returns the declarations of the settings of an entry node on the users'
/// platform, which generates its settings file from deploy/settings.toml.in.
const core::fields::FieldTable &entryFields();

/// Reads a settings file of an entry node.
boost::leaf::result<core::fields::FieldValues>
loadEntrySettings(const std::string &file);

} // namespace orioletally::main

#endif
