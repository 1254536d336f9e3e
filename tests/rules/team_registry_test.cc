#include "rules/team_registry.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

TEST(TeamRegistryTest, FindsTeamsByExactKeyOnly) {
  TeamRegistry registry;
  EXPECT_TRUE(registry.teams().empty());
  Team studs;
  studs.name = "studs";
  studs.priority = 1;
  registry.Add(studs, {"key-1", "key-2"});
  Team agents;
  agents.name = "agents";
  registry.Add(agents, {"key-3"});
  EXPECT_FALSE(registry.teams().empty());
  for (const char* key : {"key-1", "key-2"}) {
    const Team* team = registry.FindByKey(ApiKeyDigest::FromKey(key));
    ASSERT_NE(team, nullptr) << key;
    EXPECT_EQ(team->name, "studs");
  }
  EXPECT_EQ(registry.FindByKey(ApiKeyDigest::FromKey("key-3"))->name, "agents");
  for (const char* key : {"", "key", "key-11", "KEY-1"}) {
    EXPECT_EQ(registry.FindByKey(ApiKeyDigest::FromKey(key)), nullptr) << key;
  }
}

TEST(TeamRegistryTest, CostIsTheDeclaredTokens) {
  Team team;
  team.default_tokens = 200;
  EXPECT_EQ(team.QuotaCost(1540), 1);  // Charged by requests.
  team.unit = QuotaUnit::kTokens;
  EXPECT_EQ(team.QuotaCost(1540), 1540);
  EXPECT_EQ(team.QuotaCost(std::nullopt), 200);
  EXPECT_EQ(team.QuotaCost(0), 1);  // No request is free.
}

}  // namespace
}  // namespace applehall
