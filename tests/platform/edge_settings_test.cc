#include "platform/edge_settings.h"

#include <absl/strings/match.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace applehall {
namespace {

constexpr char kValidSettings[] = R"({
  // As filled in by the platform.
  "host": "edge-1", "data_centre": "hall", "ip": "10.0.0.1",
  "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
  "store": "10.0.0.2:90", "first_port": 7000, "cpu_share": 0.25,
  "shared_key": "0123456789abcdef", "server_drain_ms": 2000,
  "grace_period_ms": 8000, "order_lease_ms": 3000,
  "engines_check_fences": true})";

std::string ValidSettingsWith(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  return text.replace(text.find(from), from.size(), to);
}

TEST(EdgeSettings, ValidSettingsAreParsed) {
  const auto settings = ParseEdgeSettings("node.json", kValidSettings);
  ASSERT_TRUE(settings.ok()) << settings.status().message();
  EXPECT_EQ(settings->peers.ToString(), "10.0.0.1:7000");
  EXPECT_EQ(settings->operators.ToString(), "10.0.0.1:7001");
  EXPECT_EQ(settings->node.peer_address, "10.0.0.1:7000");
  EXPECT_EQ(settings->node.placement, PlacementStyle::kFleet);
  EXPECT_LT(settings->node.max_drain, std::chrono::seconds(8));
  EXPECT_GT(settings->max_stop_time, settings->node.max_drain);
  EXPECT_LT(settings->max_stop_time, std::chrono::seconds(8));
}

// Guards against a process that waits for a port that it holds itself.
TEST(EdgeSettings, AddressesOfTwoListenersMustDiffer) {
  const std::pair<const char*, const char*> shared[] = {
      {"\"callers\": \"10.0.0.1:80\"", "\"callers\": \"10.0.0.1:81\""},
      {"\"callers\": \"10.0.0.1:80\"", "\"callers\": \"0.0.0.0:7001\""},
      {"\"ip\"", "\"peers_offset\": 2, \"ip\""}};
  const std::string keys[] = {"readiness", "operators", "forwards"};
  for (size_t i = 0; i < std::size(shared); ++i) {
    const auto settings = ParseEdgeSettings(
        "node.json", ValidSettingsWith(shared[i].first, shared[i].second));
    ASSERT_FALSE(settings.ok()) << i;
    EXPECT_TRUE(absl::StrContains(settings.status().message(),
                                  "key \"" + keys[i] + "\""))
        << settings.status().message();
  }
  EXPECT_TRUE(
      ParseEdgeSettings("node.json",
                        ValidSettingsWith("\"callers\": \"10.0.0.1:80\"",
                                          "\"callers\": \"10.0.0.3:81\""))
          .ok());
}

// Each policy can be disabled on its own, to evaluate its benefit.
TEST(EdgeSettings, PoliciesAreDisabledByName) {
  const auto settings = ParseEdgeSettings(
      "node.json",
      ValidSettingsWith("\"ip\"",
                        "\"policies_off\": \"seeding, last_pair\", \"ip\""));
  ASSERT_TRUE(settings.ok()) << settings.status().message();
  const PolicySet& policies = settings->node.policies;
  EXPECT_FALSE(policies.Has(Policy::kSeeding));
  EXPECT_FALSE(policies.Has(Policy::kLastPair));
  EXPECT_TRUE(policies.Has(Policy::kStoreRelay));
}

TEST(EdgeSettings, ErrorsNameTheKey) {
  const std::pair<std::string, std::string> invalid_settings[] = {
      {ValidSettingsWith("\"10.0.0.2:90\"", "\"store\""), "store"},
      {ValidSettingsWith("0.25", "\"much\""), "cpu_share"},
      {ValidSettingsWith("0123456789abcdef", "short"), "shared_key"},
      {ValidSettingsWith("\"host\": \"edge-1\"", "\"hots\": 1"), "host"},
      {ValidSettingsWith("8000", "-1"), "grace_period_ms"},
      {ValidSettingsWith("\"ip\"", "\"unknown_key\": 1, \"ip\""),
       "unknown_key"},
      {ValidSettingsWith("\"ip\"", "\"policies_off\": \"seeding,x\", \"ip\""),
       "policies_off"}};
  for (const auto& [text, key] : invalid_settings) {
    const auto settings = ParseEdgeSettings("node.json", text);
    ASSERT_FALSE(settings.ok()) << key;
    EXPECT_NE(settings.status().message().find(key), absl::string_view::npos)
        << settings.status().message();
  }
}

// ---- Values from the platform's template ----

// Replaces `{{a.b}}` and `{{a.b|json}}` as the platform does; supports none of
// its other template forms.
std::string FillTemplate(std::string text, const Json& fields) {
  for (size_t begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{", begin)) {
    const size_t end = text.find("}}", begin);
    std::string path = text.substr(begin + 2, end - begin - 2);
    const size_t bar = path.find('|');
    const bool is_json = bar != std::string::npos;
    if (is_json) path.resize(bar);
    const Json* value = &fields;
    for (size_t from = 0; from <= path.size();) {
      const size_t dot = std::min(path.find('.', from), path.size());
      const std::string key = path.substr(from, dot - from);
      value = value->is_array() ? &value->at(std::stoul(key)) : &value->at(key);
      from = dot + 1;
    }
    const std::string filled = value->is_string() && !is_json
                                   ? value->get<std::string>()
                                   : value->dump();
    text.replace(begin, end + 2 - begin, filled);
    begin += filled.size();
  }
  return text;
}

Json PlatformFields() {
  return *ParseJson(R"({"node_name": "edge-1", "zone": "hall",
    "ip_addr": "10.0.0.1", "bootstrap": true, "port_range": [7000, 7015],
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "platform": {"address": "10.0.0.2:90"}, "contracts": ["base", "drain"],
    "limits": {"cpu_share": 0.25, "memory_mb": 260},
    "bounds": {"drain_ms": 2000, "grace_period_s": 8, "retry_slack": 52,
      "lease_ttl_ms": 3000, "require_fence": true, "seed_lag_s": 3}})");
}

absl::StatusOr<EdgeSettings> ParseFilledTemplate(const Json& fields) {
  const absl::StatusOr<std::string> file = ReadFile(
      std::string(APPLEHALL_SOURCE_DIR) + "/deploy/settings.json.tmpl");
  if (!file.ok()) return file.status();
  return ParseEdgeSettings("node.json", FillTemplate(*file, fields));
}

// Guards against callers that take all descriptors of a host while most new
// connections go to it: requests that it has read could not reach a server.
TEST(EdgeSettings, CallersLeaveDescriptorsForServers) {
  Json fields = PlatformFields();
  EXPECT_EQ(ParseFilledTemplate(fields)->max_caller_connections, 1748u);
  fields["limits"]["max_fds"] = 4100;
  EXPECT_EQ(ParseFilledTemplate(fields)->max_caller_connections, 1750u);
  fields["limits"]["max_fds"] = 700;
  EXPECT_EQ(ParseFilledTemplate(fields)->max_caller_connections, 64u);
  fields["limits"]["max_fds"] = "many";
  EXPECT_EQ(ParseFilledTemplate(fields)->max_caller_connections, 1748u);
}

// Guards against hosts that exit at every start because the platform sets a
// fraction where the reader expects an integer, and against a fraction whose
// digits are read as milliseconds.
TEST(EdgeSettings, PlatformBoundsMayBeFractions) {
  Json fields = PlatformFields();
  fields["bounds"]["retry_slack"] = 52.5;
  fields["bounds"]["grace_period_s"] = 8.5;
  fields["bounds"]["lease_ttl_ms"] = 2999.5;
  fields["bounds"]["require_fence"] = false;
  fields["bounds"]["drain_ms"] = 0.5e4;
  fields["bounds"]["config_apply_ms"] = 6000.5;
  const auto settings = ParseFilledTemplate(fields);
  ASSERT_TRUE(settings.ok()) << settings.status().message();
  EXPECT_TRUE(settings->node.is_first_start);
  EXPECT_DOUBLE_EQ(settings->node.retry_slack, 52.5);
  EXPECT_GT(settings->node.max_drain, std::chrono::seconds(7));
  EXPECT_LT(settings->node.max_drain, std::chrono::milliseconds(8500));
  EXPECT_EQ(settings->node.order_lease, std::chrono::microseconds(2999500));
  EXPECT_EQ(settings->node.freshness.max_staleness,
            std::chrono::milliseconds(2500));
}

// Guards against a deployment with teams that needs no keys as long as its
// configuration names none.
TEST(EdgeSettings, ContractsTellWhetherTheDeploymentHasTeams) {
  Json fields = PlatformFields();
  EXPECT_FALSE(ParseFilledTemplate(fields)->node.has_teams);
  fields["contracts"] = Json::array({"base", "tenants", "quota"});
  EXPECT_TRUE(ParseFilledTemplate(fields)->node.has_teams);
  for (const char* odd : {"{}", "\"tenants\"", "7", "[\"base\", 3]"}) {
    fields["contracts"] = *ParseJson(odd);
    EXPECT_FALSE(ParseFilledTemplate(fields).ok()) << odd;
  }
}

// Hosts must start with valid values, whatever a single bound contains.
TEST(EdgeSettings, InvalidBoundDoesNotPreventStart) {
  const Json invalid_values[] = {Json(),        Json(-1),      Json(0),
                                 Json(0.25),    Json(1e300),   Json(INT64_MIN),
                                 Json("8"),     Json(true),    Json(false),
                                 Json::array(), Json::object()};
  const std::pair<std::string, std::string> bounds[] = {
      {"bounds", "drain_ms"},       {"bounds", "config_apply_ms"},
      {"bounds", "grace_period_s"}, {"bounds", "retry_slack"},
      {"bounds", "lease_ttl_ms"},   {"bounds", "require_fence"},
      {"limits", "cpu_share"}};
  for (const auto& [table, name] : bounds) {
    for (const Json& value : invalid_values) {
      Json fields = PlatformFields();
      fields[table][name] = value;
      const auto settings = ParseFilledTemplate(fields);
      ASSERT_TRUE(settings.ok())
          << name << " " << value << ": " << settings.status().message();
      const NodeSettings& node = settings->node;
      EXPECT_GT(node.cpu_share, 0) << value;
      EXPECT_GE(node.retry_slack, 0) << value;
      EXPECT_GT(node.max_drain, Duration{0}) << name << " " << value;
      EXPECT_GT(node.order_lease, Duration{0}) << name << " " << value;
      EXPECT_GT(node.freshness.renewal_interval, Duration{0})
          << name << " " << value;
    }
    Json fields = PlatformFields();
    fields[table].erase(name);
    EXPECT_TRUE(ParseFilledTemplate(fields).ok()) << name;
  }
}

}  // namespace
}  // namespace applehall
