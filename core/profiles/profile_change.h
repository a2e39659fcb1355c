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

/// The kind of change to a profile.
enum class ChangeKind { Create, Change, Retire };

/// Returns the wire name of \p kind.
std::string_view changeKindName(ChangeKind kind);

/// Who requested a change, when and from where.
struct ChangeOrigin {
  std::string Operator;
  /// Network address of the operator's client.
  std::string Source;
  /// Entry node that received the request.
  std::string Node;
  /// Date and time, RFC 3339.
  std::string At;
};

/// A change that an operator requests.
struct ProfileChange {
  ChangeKind Kind = ChangeKind::Create;
  std::string Name;
  /// All field values; unused for Retire.
  fields::FieldValues Values;
  /// The profile revision that the operator's change is based on; unused for
  /// Create.
  uint64_t ExpectedRevision = 0;
  /// Idempotency key: a retry with the same id is carried out only once.
  std::string ChangeId;
  ChangeOrigin Origin;
  /// Results of checkSetup(), which are shown and stored but don't prevent
  /// the change.
  std::vector<std::string> Findings;
};

/// One field that a change modified; `Before` is null for a new profile.
struct FieldDifference {
  std::string Key;
  nlohmann::json Before;
  nlohmann::json After;
};

/// One row of the audit trail, which is also the log from which nodes catch up.
struct AuditRecord {
  uint64_t Revision = 0;
  ChangeKind Kind = ChangeKind::Create;
  ChangeOrigin Origin;
  std::string ChangeId;
  std::vector<FieldDifference> Differences;
  std::vector<std::string> Findings;
  /// The profile after this change.
  Profile After;

  nlohmann::json toJson() const;
  static boost::leaf::result<AuditRecord> fromJson(const nlohmann::json &from);
};

/// The change is in effect. `Repeated` is true if an earlier request with the
/// same change id had committed it.
struct ChangeCommitted {
  Profile After;
  bool Repeated = false;
};

/// The change conflicts with the current state of the profile. `Against` is the
/// change that led to that state; its revision is 0 if the profile doesn't
/// exist.
struct ChangeConflict {
  AuditRecord Against;
  std::string Reason;
};

/// The change id belongs to a different change, with the given revision.
struct ChangeIdTaken {
  uint64_t Revision = 0;
};

using ChangeOutcome =
    std::variant<ChangeCommitted, ChangeConflict, ChangeIdTaken>;

/// Returns the fields in the request body of a change to \p name. The body is
/// either an object of fields, or a profile in the form that GET returns; then
/// its name must be \p name and its revision \p revision (0 accepts any). Fails
/// with a fields::FieldError.
boost::leaf::result<nlohmann::json> fieldsOfBody(const nlohmann::json &body,
                                                 std::string_view name,
                                                 uint64_t revision);

/// Returns the fields in which two sets of values differ. \p before may be
/// null.
std::vector<FieldDifference> differences(const fields::FieldValues *before,
                                         const fields::FieldValues &after);

} // namespace orioletally::core::profiles

#endif
