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

/// Declares one field: the single source of its default, range and text in
/// the generated reference pages.
struct FieldSpec {
  std::string_view Key;
  FieldType Type;
  /// Unit of the value, such as "ms" or "tokens"; empty when it has none.
  std::string_view Unit;
  /// Default as JSON text; empty marks a field that must be given.
  std::string_view Default;
  /// Inclusive bounds of a number, or of the length of a text.
  int64_t Min;
  int64_t Max;
  /// Comma-separated words that a Choice allows.
  std::string_view Choices;
  std::string_view Doc;
};

/// A field that was turned away, with what was expected in its place.
struct FieldError {
  std::string Key;
  std::string Reason;
};

using FieldValue =
    std::variant<int64_t, double, bool, std::string, std::vector<std::string>>;

/// The complete, defaulted values of one FieldTable. Asking for a key that the
/// table doesn't declare is a mistake in the code.
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

  /// Returns a hash of the canonical form, equal on nodes that agree.
  uint64_t hash() const;

  bool operator==(const FieldValues &other) const = default;

  /// The keys whose values differ from those in \p other, in order.
  std::vector<std::string> changedFrom(const FieldValues &other) const;

private:
  const FieldValue &at(std::string_view key) const;

  std::map<std::string, FieldValue, std::less<>> Values;
};

/// An ordered list of field declarations that reads and documents them.
class FieldTable {
public:
  explicit FieldTable(absl::Span<const FieldSpec> rows);

  /// Reads a flat JSON object whose keys are field keys. Unknown keys, wrong
  /// types and values out of range end in a FieldError.
  boost::leaf::result<FieldValues> read(const nlohmann::json &object) const;

  /// A hash of all keys, types and ranges; equal in versions that read the
  /// same.
  uint64_t hash() const;

  /// Returns a Markdown table with key, type, unit, default, range and text.
  std::string markdown() const;

private:
  const FieldSpec *find(std::string_view key) const;

  absl::Span<const FieldSpec> Specs;
};

} // namespace orioletally::core::fields

#endif
