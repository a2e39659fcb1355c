#ifndef ORIOLETALLY_CORE_PROFILES_PROFILE_H
#define ORIOLETALLY_CORE_PROFILES_PROFILE_H

#include "core/fields/field_table.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace orioletally::core::profiles {

/// What a profile routes to: model engines or one plain service.
enum class ProfileKind { Completion, Service };

/// Returns the declarations of every profile field.
const fields::FieldTable &profileFields();

/// The treatment of one class of requests, complete and validated. Values come
/// from the canonical form, in which every default is expanded, so that it
/// means the same on nodes whose own defaults differ.
struct Profile {
  std::string Name;
  /// The revision of the whole configuration that put this profile in force.
  uint64_t Revision = 0;
  /// A retired profile stays as a tombstone so that no stale copy revives it.
  bool Retired = false;
  fields::FieldValues Values;

  ProfileKind kind() const;
  absl::Duration deadline() const;
  absl::Duration stallTimeout() const;
  absl::Duration connectTimeout() const;
  absl::Duration queueTimeout() const;
  int64_t maxAttempts() const;
  int64_t maxPromptTokens() const;
  int64_t maxOutputTokens() const;
  int64_t priority() const;
  /// Between 0 and 1.
  double delayWeight() const;
  bool repeatable() const;
  const std::string &model() const;
  const std::string &service() const;
  const std::string &routing() const;
  bool allowsWorkspace(std::string_view workspace) const;

  /// Names the rule \p field of this profile for errors and explanations.
  std::string rule(std::string_view field) const;

  /// Returns the entity tag that a conditional change has to name.
  std::string entityTag() const;

  /// Returns the stored form: name, revision, state and canonical fields.
  nlohmann::json toJson() const;

  /// Reads the stored form; a field that this version can't read is an error.
  static boost::leaf::result<Profile> fromJson(const nlohmann::json &object);
};

/// Tells whether \p name can name a profile: 1 to 64 characters of lower-case
/// letters, digits, '-' and '_', beginning with a letter.
bool isValidProfileName(std::string_view name);

/// Checks what single fields can't show, such as a bound beyond the deadline.
boost::leaf::result<void> checkConsistency(const fields::FieldValues &values);

} // namespace orioletally::core::profiles

#endif
