#include "platform/edge_settings.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

constexpr char kGood[] = R"({
  // As the platform fills the template in.
  "host": "edge-1", "data_centre": "hall", "ip": "10.0.0.1",
  "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
  "store": "10.0.0.2:90", "first_port": 7000, "cpu_share": 0.25,
  "shared_key": "0123456789abcdef", "server_drain_ms": 2000,
  "grace_period_ms": 8000, "order_lease_ms": 3000,
  "engines_check_fences": true})";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kGood;
  return text.replace(text.find(from), from.size(), to);
}

TEST(EdgeSettings, AreRead) {
  const auto settings = ParseEdgeSettings("node.json", kGood);
  ASSERT_TRUE(settings.ok()) << settings.status().message();
  EXPECT_EQ(settings->peers.ToString(), "10.0.0.1:7000");
  EXPECT_EQ(settings->operators.ToString(), "10.0.0.1:7001");
  EXPECT_EQ(settings->node.peer_address, "10.0.0.1:7000");
  EXPECT_EQ(settings->node.placement, PlacementStyle::kFleet);
  EXPECT_LT(settings->node.drain_bound, std::chrono::seconds(8));
}

// Policies are switched off by name, one by one, to measure what they are
// worth.
TEST(EdgeSettings, PoliciesAreSwitchedOffByName) {
  const auto settings = ParseEdgeSettings(
      "node.json",
      Replaced("\"ip\"", "\"policies_off\": \"seeding, last_pair\", \"ip\""));
  ASSERT_TRUE(settings.ok()) << settings.status().message();
  const PolicySet& policies = settings->node.policies;
  EXPECT_FALSE(policies.Has(Policy::kSeeding));
  EXPECT_FALSE(policies.Has(Policy::kLastPair));
  EXPECT_TRUE(policies.Has(Policy::kStoreRelay));
}

TEST(EdgeSettings, FaultsNameTheKey) {
  const std::pair<std::string, std::string> faults[] = {
      {Replaced("\"10.0.0.2:90\"", "\"store\""), "store"},
      {Replaced("0.25", "\"much\""), "cpu_share"},
      {Replaced("0123456789abcdef", "short"), "shared_key"},
      {Replaced("\"host\": \"edge-1\"", "\"hots\": 1"), "host"},
      {Replaced("8000", "-1"), "grace_period_ms"},
      {Replaced("\"ip\"", "\"unknown_key\": 1, \"ip\""), "unknown_key"},
      {Replaced("\"ip\"", "\"policies_off\": \"seeding,x\", \"ip\""),
       "policies_off"}};
  for (const auto& [text, key] : faults) {
    const auto settings = ParseEdgeSettings("node.json", text);
    ASSERT_FALSE(settings.ok()) << key;
    EXPECT_NE(settings.status().message().find(key), absl::string_view::npos)
        << settings.status().message();
  }
}

}  // namespace
}  // namespace applehall
