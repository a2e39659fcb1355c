#ifndef ORIOLETALLY_DRIVERS_GATEWAY_CALLER_TOKENS_H
#define ORIOLETALLY_DRIVERS_GATEWAY_CALLER_TOKENS_H

#include <absl/container/flat_hash_map.h>
#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::gateway {

/// The bearer tokens can't be read.
struct TokensError {
  std::string Reason;
};

/// Who a bearer token stands for.
struct Principal {
  /// Workspace of a caller, or the name of an operator.
  std::string Name;
  bool IsOperator = false;
};

/// The bearer tokens that an entry node accepts. Only hashes are kept.
class CallerTokens {
public:
  /// Reads TOML text with `[[caller]]` tables (`workspace`, `token`) and
  /// `[[operator]]` tables (`name`, `token`).
  static boost::leaf::result<CallerTokens> parse(std::string_view text);

  /// Every workspace that has a token.
  std::vector<std::string> workspaces() const;

  /// Returns who the value of an Authorization header stands for.
  std::optional<Principal> find(const std::string &authorization) const;

private:
  absl::flat_hash_map<std::string, Principal> ByHash;
};

} // namespace orioletally::drivers::gateway

#endif
