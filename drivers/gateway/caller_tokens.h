#ifndef ORIOLETALLY_DRIVERS_GATEWAY_CALLER_TOKENS_H
#define ORIOLETALLY_DRIVERS_GATEWAY_CALLER_TOKENS_H

#include <absl/container/flat_hash_map.h>
#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::gateway {

/// The text with the bearer tokens is malformed.
struct TokensError {
  std::string Reason;
};

/// The caller or operator that a bearer token identifies.
struct Principal {
  /// The caller's workspace, or the operator's name.
  std::string Name;
  bool IsOperator = false;
};

/// The bearer tokens that an entry node accepts. Only their SHA-256 hashes are
/// kept.
class CallerTokens {
public:
  /// Reads TOML text with `[[caller]]` tables (`workspace`, `token`) and
  /// `[[operator]]` tables (`name`, `token`).
  static boost::leaf::result<CallerTokens> parse(std::string_view text);

  /// Returns every workspace that has a token.
  std::vector<std::string> workspaces() const;

  /// Returns the principal for the value of an Authorization header; empty if
  /// the token is unknown.
  std::optional<Principal> find(const std::string &authorization) const;

private:
  absl::flat_hash_map<std::string, Principal> ByHash;
};

} // namespace orioletally::drivers::gateway

#endif
