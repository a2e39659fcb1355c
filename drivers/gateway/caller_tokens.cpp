#include "drivers/gateway/caller_tokens.h"

#include <array>
#include <openssl/sha.h>
#include <toml++/toml.h>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

constexpr std::string_view Scheme = "Bearer ";

std::string hashOf(std::string_view token) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(),
         digest.data());
  return {digest.begin(), digest.end()};
}

} // namespace

leaf::result<CallerTokens> CallerTokens::parse(std::string_view text) {
  toml::table file;
  try {
    file = toml::parse(text);
  } catch (const toml::parse_error &ec) {
    return leaf::new_error(TokensError{std::string(ec.description())});
  }
  CallerTokens result;
  for (const char *kind : {"caller", "operator"}) {
    const bool isOperator = std::string_view(kind) == "operator";
    const toml::array *rows = file[kind].as_array();
    if (rows == nullptr)
      continue;
    for (const toml::node &it : *rows) {
      const toml::table *row = it.as_table();
      if (row == nullptr)
        return leaf::new_error(
            TokensError{"expected [[caller]] and [[operator]] tables"});
      const auto name =
          (*row)[isOperator ? "name" : "workspace"].value<std::string>();
      const auto token = (*row)["token"].value<std::string>();
      if (!name.has_value() || !token.has_value() || token->empty())
        return leaf::new_error(TokensError{
            std::string(kind) + ": expected a non-empty token and a workspace "
                                "(caller) or a name (operator) in each table"});
      result.ByHash[hashOf(*token)] = Principal{*name, isOperator};
    }
  }
  return result;
}

std::vector<std::string> CallerTokens::workspaces() const {
  std::vector<std::string> result;
  for (const auto &[hash, principal] : ByHash)
    if (!principal.IsOperator)
      result.push_back(principal.Name);
  return result;
}

std::optional<Principal>
CallerTokens::find(const std::string &authorization) const {
  if (!authorization.starts_with(Scheme))
    return std::nullopt;
  const std::string_view token = authorization;
  const auto it = ByHash.find(hashOf(token.substr(Scheme.size())));
  if (it == ByHash.end())
    return std::nullopt;
  return it->second;
}

} // namespace orioletally::drivers::gateway
