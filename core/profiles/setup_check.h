#ifndef ORIOLETALLY_CORE_PROFILES_SETUP_CHECK_H
#define ORIOLETALLY_CORE_PROFILES_SETUP_CHECK_H

#include "core/fields/field_table.h"
#include "core/platform/vm_list.h"

#include <string>
#include <vector>

namespace orioletally::core::profiles {

/// The state of the fleet against which a profile is checked.
struct SetupContext {
  std::vector<platform::Vm> Vms;
  /// Workspaces that have a token.
  std::vector<std::string> Workspaces;
};

/// Returns a message for each field of a profile that the fleet can't satisfy:
/// a model or service that no backend server runs, a longest prompt that
/// doesn't fit into any engine or can't be prefilled before the deadline, a
/// workspace that no token belongs to. The messages are shown to the operator
/// and stored in the audit trail. They don't prevent the change, since backend
/// servers come and go.
std::vector<std::string> checkSetup(const fields::FieldValues &values,
                                    const SetupContext &context);

} // namespace orioletally::core::profiles

#endif
