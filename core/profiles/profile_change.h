#ifndef ORIOLETALLY_CORE_PROFILES_PROFILE_CHANGE_H
#define ORIOLETALLY_CORE_PROFILES_PROFILE_CHANGE_H

#include "core/profiles/profile.h"

#include <boost/leaf.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orioletally::core::profiles {

/// What an operator wants done to a profile.
enum class ChangeKind { Create, Change, Retire };

/// Returns the wire name of \p kind.
std::string_view changeKindName(ChangeKind kind);

/// Who asked for a change, when and from where.
struct ChangeOrigin {
  std::string Operator;
  /// Address that the request came from.
  std::string Source;
  /// Entry node that took the request.
  std::string Node;
  /// Time of day, RFC 3339.
  std::string At;
};

/// One change as an operator asks for it.
struct ProfileChange {
  ChangeKind Kind = ChangeKind::Create;
  std::string Name;
  /// Complete values; unused for Retire.
  fields::FieldValues Values;
  /// The profile revision that the operator saw; unused for Create.
  uint64_t ExpectedRevision = 0;
  /// The same id makes a retry after a lost answer safe.
  std::string ChangeId;
  ChangeOrigin Origin;
  /// What the checks of the setup found; told and kept, not refused.
  std::vector<std::string> Findings;
};

/// One field that a change altered; `Before` is null for a new profile.
struct FieldDifference {
  std::string Key;
  nlohmann::json Before;
  nlohmann::json After;
};

/// One row of the audit trail, which is also the log that nodes catch up from.
struct AuditRecord {
  uint64_t Revision = 0;
  ChangeKind Kind = ChangeKind::Create;
  ChangeOrigin Origin;
  std::string ChangeId;
  std::vector<FieldDifference> Differences;
  std::vector<std::string> Findings;
  /// The profile as this change put it in force.
  Profile After;

  nlohmann::json toJson() const;
  static boost::leaf::result<AuditRecord> fromJson(const nlohmann::json &from);
};

/// The change took effect; `Repeated` when an earlier try had done it already.
struct ChangeCommitted {
  Profile After;
  bool Repeated = false;
};

/// Someone else's change stands against it. `Against` is that change; its
/// revision is 0 when the profile doesn't exist.
struct ChangeConflict {
  AuditRecord Against;
  std::string Reason;
};

/// The change id was used before for a different change.
struct ChangeIdTaken {
  uint64_t Revision = 0;
};

using ChangeOutcome =
    std::variant<ChangeCommitted, ChangeConflict, ChangeIdTaken>;

/// Returns the fields in the body of a change to \p name: they stand there
/// alone, or in a profile as it is shown, whose name has to be that and whose
/// revision \p revision; 0 takes any. Fails with a fields::FieldError.
boost::leaf::result<nlohmann::json> fieldsOfBody(const nlohmann::json &body,
                                                 std::string_view name,
                                                 uint64_t revision);

/// Lists the fields in which two sets of values differ. \p before may be null.
std::vector<FieldDifference> differences(const fields::FieldValues *before,
                                         const fields::FieldValues &after);

} // namespace orioletally::core::profiles

#endif
