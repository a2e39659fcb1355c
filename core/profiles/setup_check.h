#ifndef ORIOLETALLY_CORE_PROFILES_SETUP_CHECK_H
#define ORIOLETALLY_CORE_PROFILES_SETUP_CHECK_H

#include "core/fields/field_table.h"
#include "core/platform/vm_list.h"

#include <string>
#include <vector>

namespace orioletally::core::profiles {

/// What a profile is held against besides itself.
struct SetupContext {
  std::vector<platform::Vm> Vms;
  /// Workspaces that have a token.
  std::vector<std::string> Workspaces;
};

/// Finds what a profile asks for that the fleet can't give: a model or service
/// that no backend server has, a prompt that none can hold or that none can
/// prefill before the deadline, a workspace that doesn't exist. The findings
/// are told to the operator and kept in the audit trail; they don't refuse the
/// change, since backend servers come and go.
std::vector<std::string> findSetupFaults(const fields::FieldValues &values,
                                         const SetupContext &context);

} // namespace orioletally::core::profiles

#endif
