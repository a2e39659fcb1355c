#ifndef ORIOLETALLY_MAIN_TOML_JSON_H
#define ORIOLETALLY_MAIN_TOML_JSON_H

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::main {

/// The reason why a TOML text can't be parsed.
struct TomlError {
  int Line = 0;
  std::string Reason;
};

/// A key and its line in the text.
struct KeyLine {
  std::string Key;
  int Line = 0;
};

/// A TOML text as one flat object: `[http] port = 1` becomes "http.port".
struct FlatToml {
  nlohmann::json Object = nlohmann::json::object();
  std::vector<KeyLine> Lines;
  /// The lines that flattenReadableToml() left out.
  std::vector<TomlError> Errors;

  /// Returns the line of \p key; 0 when the text doesn't contain it.
  int lineOf(std::string_view key) const;
};

/// Parses TOML \p text. Fails with a TomlError.
boost::leaf::result<FlatToml> flattenToml(std::string_view text);

/// Parses TOML \p text without the lines that can't be parsed.
FlatToml flattenReadableToml(std::string_view text);

} // namespace orioletally::main

#endif
