#ifndef ORIOLETALLY_MAIN_TOML_JSON_H
#define ORIOLETALLY_MAIN_TOML_JSON_H

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::main {

/// A TOML text that can't be parsed.
struct TomlError {
  int Line = 0;
  std::string Reason;
};

/// Where a key stands in the text.
struct KeyLine {
  std::string Key;
  int Line = 0;
};

/// A TOML text as one flat object: `[http] port = 1` becomes "http.port".
struct FlatToml {
  nlohmann::json Object = nlohmann::json::object();
  std::vector<KeyLine> Lines;

  /// The line of \p key; 0 when it isn't there.
  int lineOf(std::string_view key) const;
};

/// Parses \p text.
boost::leaf::result<FlatToml> flattenToml(std::string_view text);

} // namespace orioletally::main

#endif
