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

/// Returns the declarations of all profile fields.
const fields::FieldTable &profileFields();

/// The validated settings for one class of requests. Every default is filled in
/// before a profile is stored, so it means the same on nodes of versions with
/// different defaults.
struct Profile {
  std::string Name;
  /// The revision of the whole set of profiles in which this one last changed.
  uint64_t Revision = 0;
  /// A retired profile is kept as a tombstone so that a stale copy can't bring
  /// it back.
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
  /// Weight of the delay added to longer prompts in routing, 0 to 1.
  double delayWeight() const;
  bool repeatable() const;
  const std::string &model() const;
  const std::string &service() const;
  const std::string &routing() const;
  bool allowsWorkspace(std::string_view workspace) const;

  /// Returns the text that names \p field of this profile as the rule behind an
  /// error.
  std::string rule(std::string_view field) const;

  /// Returns the HTTP entity tag for If-Match.
  std::string entityTag() const;

  /// Returns the stored form: name, revision, whether it is retired, and all
  /// fields.
  nlohmann::json toJson() const;

  /// Parses the stored form. Fails with a fields::FieldError, also on a field
  /// that this version doesn't support.
  static boost::leaf::result<Profile> fromJson(const nlohmann::json &object);
};

/// Returns whether \p name is a valid profile name: 1 to 64 lower-case letters,
/// digits, '-' and '_', the first a letter.
bool isValidProfileName(std::string_view name);

/// Checks rules that span several fields, such as that no timeout exceeds the
/// deadline. Fails with a fields::FieldError.
boost::leaf::result<void> checkConsistency(const fields::FieldValues &values);

} // namespace orioletally::core::profiles

#endif
