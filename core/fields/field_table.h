#ifndef ORIOLETALLY_CORE_FIELDS_FIELD_TABLE_H
#define ORIOLETALLY_CORE_FIELDS_FIELD_TABLE_H

#include <absl/types/span.h>
#include <boost/leaf.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orioletally::core::fields {

/// The type of one field of a settings file or profile.
enum class FieldType { Integer, Real, Boolean, Text, TextList, Choice };

/// Declares one field. The reader and the generated reference pages take its
/// default, range and description from here.
struct FieldSpec {
  std::string_view Key;
  FieldType Type;
  /// Unit of the value, such as "ms" or "tokens"; empty when it has none.
  std::string_view Unit;
  /// Default as JSON text; empty for a required field.
  std::string_view Default;
  /// Inclusive limits of a number, or of the length of a text in bytes.
  int64_t Min;
  int64_t Max;
  /// Comma-separated values that a Choice allows.
  std::string_view Choices;
  /// Description for operators.
  std::string_view Doc;
};

/// A field that was rejected, and what was expected.
struct FieldError {
  std::string Key;
  std::string Reason;
};

using FieldValue =
    std::variant<int64_t, double, bool, std::string, std::vector<std::string>>;

/// The values of all fields of one FieldTable, with defaults filled in. The
/// accessors require a key that the table declares, of the matching type.
class FieldValues {
public:
  int64_t integer(std::string_view key) const;
  double real(std::string_view key) const;
  bool flag(std::string_view key) const;
  const std::string &text(std::string_view key) const;
  const std::vector<std::string> &list(std::string_view key) const;

  void set(std::string_view key, FieldValue value);

  /// Returns the canonical form: every field present, keys in order.
  nlohmann::json toJson() const;

  /// Returns a hash of the canonical form; nodes with equal values return equal
  /// hashes.
  uint64_t hash() const;

  /// Returns the value of \p key, or null if there is none.
  const FieldValue *find(std::string_view key) const;

  bool operator==(const FieldValues &other) const = default;

  /// Returns the keys whose values differ from those in \p other, in order.
  std::vector<std::string> changedFrom(const FieldValues &other) const;

private:
  const FieldValue &at(std::string_view key) const;

  std::map<std::string, FieldValue, std::less<>> Values;
};

/// What readTolerantly() could read, and what it rejected.
struct TolerantFields {
  FieldValues Values;
  std::vector<FieldError> Rejected;
};

/// An ordered list of field declarations, which parses and documents the
/// fields.
class FieldTable {
public:
  explicit FieldTable(absl::Span<const FieldSpec> rows);

  /// Reads a flat JSON object whose keys are field keys. Fails with a
  /// FieldError on an unknown or missing key, a wrong type and a value out of
  /// range.
  boost::leaf::result<FieldValues> read(const nlohmann::json &object) const;

  /// Reads such an object from a file that a program filled in: a value that
  /// can't be used affects its own field only. A number out of range becomes
  /// the nearest limit, and an integer with a fraction is rounded down. Another
  /// unusable value is replaced by the one in \p known, or by the default if
  /// \p known is null. Unknown keys are ignored. Fails with a FieldError if a
  /// required field remains without a value.
  boost::leaf::result<TolerantFields>
  readTolerantly(const nlohmann::json &object, const FieldValues *known) const;

  /// Returns a hash of all keys, types, ranges and choices; it is equal in
  /// versions that accept the same values.
  uint64_t hash() const;

  /// Returns a Markdown table of all fields: key, type, unit, default, range
  /// and description.
  std::string markdown() const;

private:
  const FieldSpec *find(std::string_view key) const;

  absl::Span<const FieldSpec> Specs;
};

} // namespace orioletally::core::fields

#endif
