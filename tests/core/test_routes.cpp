#include "core/routes/routing_config.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::routes;

namespace {

Route route(const std::string &name, const std::string &host,
            const std::string &prefix) {
  Route result;
  result.Name = name;
  result.Host = host;
  result.Prefix = prefix;
  result.Targets = {{"s", 1}};
  return result;
}

} // namespace

TEST_GROUP(Routes) {
  std::shared_ptr<const RoutingConfig> config =
      RoutingConfigBuilder()
          .version(3)
          .route(route("whole", "A.example", "/"))
          .route(route("deep", "a.example", "/x/y/"))
          .route(route("short", "a.example", "/x/"))
          .route(route("other", "b.example", "/x/"))
          .key("k1", "north")
          .needsKeys()
          .build();

  std::string match(const char *host, const char *target) {
    const Route *found = config->match(host, target);
    return found == nullptr ? "none" : found->Name;
  }
};

TEST(Routes, TheLongestPrefixOfTheHostDecides) {
  struct Case {
    const char *Host;
    const char *Target;
    const char *Expected;
  };
  const Case cases[] = {
      {"a.example", "/x/y/z", "deep"},     {"a.example", "/x/y", "short"},
      {"a.example", "/x/", "short"},       {"a.example", "/xy/", "whole"},
      {"A.EXAMPLE:8080", "/x/y/", "deep"}, {"a.example", "/q?p=/x/y/", "whole"},
      {"b.example", "/x/1?q", "other"},    {"b.example", "/y/", "none"},
      {"c.example", "/x/", "none"},        {"", "/x/", "none"},
  };
  for (const Case &it : cases)
    STRCMP_EQUAL(it.Expected, match(it.Host, it.Target).c_str());
}

TEST(Routes, AKeyBelongsToOneWorkspaceOrNone) {
  STRCMP_EQUAL("north", config->workspace("k1")->c_str());
  POINTERS_EQUAL(nullptr, config->workspace("k2"));
  POINTERS_EQUAL(nullptr, config->workspace(""));
  CHECK(config->needsKeys());
}

TEST(Routes, OnlyIdempotentCallsAndResumableStreamsMayRepeat) {
  Route it;
  it.Kind = RouteKind::Idempotent;
  CHECK(it.mayRepeat());
  it.Kind = RouteKind::NonIdempotent;
  it.Resumable = true;
  CHECK_FALSE(it.mayRepeat());
  it.Kind = RouteKind::Streaming;
  CHECK(it.mayRepeat());
  it.Resumable = false;
  CHECK_FALSE(it.mayRepeat());
}
