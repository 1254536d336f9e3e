#include "platform/operator_config.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "rules/rule_explainer.h"
#include "rules/rule_registry.h"

namespace applehall {
namespace {

constexpr char kConfig[] = R"({"version": 7, "routes": [
  {"name": "wide", "host": "Shop.Example", "path_prefix": "/a/",
   "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 100,
   "priority": 2, "service": "app", "max_attempts": 2},
  {"name": "long", "host": "shop.example", "path_prefix": "/a/b/",
   "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600,
   "priority": 1, "max_attempts": 2, "resumable": true,
   "backends": [{"service": "llm", "weight": 90},
                {"service": "llm2", "weight": 10}], "unknown": 1},
  {"name": "once", "host": "shop.example", "path_prefix": "/c/",
   "kind": "non_idempotent", "timeout_ms": 1000, "service": "app",
   "max_attempts": 1}],
  "services": [{"name": "app"},
   {"name": "llm", "engine": {"weights_mb": 200000, "adapter_slots": 8,
     "loads_per_s": 2.2, "models": [{"name": "m", "weights_mb": 65099.9,
     "load_s": 6.2, "warmup_s": 1.2, "disk_s": 1.6, "adapters": 2,
     "adapter_mb": 12}]}}],
  "limits": {"max_header_bytes": 1000, "max_body_bytes": 2000,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

class OperatorConfigTest : public testing::Test {
 protected:
  void SetUp() override {
    const auto config = ReadOperatorConfig(*ParseJson(kConfig));
    ASSERT_TRUE(config.ok()) << config.status().message();
    config_ = *config;
    const absl::Status status =
        book_.Install(config_.rules.version, config_.rules.document);
    ASSERT_TRUE(status.ok()) << status.message();
  }

  const Rule& MatchingRule(const std::string& host, const std::string& path) {
    RequestFacts facts;
    facts.path = path;
    facts.headers["host"] = host;
    const auto rules = book_.current();
    return rules->set
        .rules[rules->matcher.FirstMatch(rules->set.rules, facts, {})];
  }

  OperatorConfig config_;
  RuleRegistry book_;
};

// Guards against a list of teams that is there but empty or unreadable and is
// taken for a configuration without one.
TEST_F(OperatorConfigTest, OnlyAnAbsentListOfTeamsIsNone) {
  for (const char* list : {"[]", "null", "{}", "\"a\"", "0", "[{}, 1]"}) {
    Json json = *ParseJson(kConfig);
    json["tenants"] = *ParseJson(list);
    const auto config = ReadOperatorConfig(json);
    ASSERT_TRUE(config.ok()) << list;
    ASSERT_NE(config->rules.teams, nullptr) << list;
    EXPECT_TRUE(config->rules.teams->teams().empty()) << list;
  }
}

// Guards against a route whose host or prefix cannot be read and that selects
// all requests of its host, without a key if it is public.
TEST_F(OperatorConfigTest, RouteThatCannotBeReadSelectsNoRequest) {
  Json json = *ParseJson(kConfig);
  json["routes"][0]["public"] = true;
  const Json sound = json["routes"];
  for (const char* field : {"host", "path_prefix"}) {
    for (const char* value : {"", "null", "\"\"", "7", "[\"/a/\"]", "{}"}) {
      SCOPED_TRACE(absl::StrCat(field, ": ", value));
      json["routes"] = sound;
      json["routes"][0].erase(field);
      if (*value != '\0') json["routes"][0][field] = *ParseJson(value);
      json["version"] = json["version"].get<LogOffset>() + 1;
      const auto config = ReadOperatorConfig(json);
      ASSERT_TRUE(config.ok());
      ASSERT_TRUE(
          book_.Install(config->rules.version, config->rules.document).ok());
      EXPECT_TRUE(MatchingRule("shop.example", "/a/x").then.refuse.has_value());
      EXPECT_TRUE(MatchingRule("shop.example", "/x").then.refuse.has_value());
      EXPECT_EQ(MatchingRule("shop.example", "/c/x").name, "once");
    }
  }
}

TEST_F(OperatorConfigTest, TeamsKeysAndQuotasAreParsed) {
  EXPECT_EQ(config_.rules.teams, nullptr);
  Json json = *ParseJson(kConfig);
  json["routes"][0]["public"] = true;
  json["tenants"] = *ParseJson(R"([{"name": "studs", "api_keys": ["k1", "k2"],
    "priority": 1, "unit": "token_count", "plain_tokens": 200,
    "rate_per_s": 181314, "burst_size": 181000},
    {"name": "agents", "api_keys": ["k3", 4]}])");
  const auto config = ReadOperatorConfig(json);
  ASSERT_TRUE(config.ok());
  const TeamRegistry& teams = *config->rules.teams;
  const Team* studs = teams.FindByKey(ApiKeyDigest::FromKey("k2"));
  ASSERT_NE(studs, nullptr);
  EXPECT_EQ(studs->name, "studs");
  EXPECT_EQ(studs->priority, 1);
  EXPECT_EQ(studs->quota.tokens_per_second, 181314);
  EXPECT_EQ(studs->quota.burst_tokens, 181000);
  EXPECT_EQ(studs->QuotaCost(std::nullopt), 200);
  const Team* agents = teams.FindByKey(ApiKeyDigest::FromKey("k3"));
  ASSERT_NE(agents, nullptr);
  EXPECT_EQ(agents->priority, -1);
  EXPECT_FALSE(agents->quota.is_limited());
  // Rules are shown to operators and sent between hosts: they must not contain
  // keys.
  EXPECT_EQ(config->rules.document.dump().find("k1"), std::string::npos);
  for (const Json& rule : config->rules.document["rules"]) {
    EXPECT_EQ(rule["then"].value("public", false), rule["name"] == "wide");
  }
}

TEST_F(OperatorConfigTest, LongestPrefixOfHostMatches) {
  EXPECT_EQ(MatchingRule("shop.example", "/a/x").name, "wide");
  EXPECT_EQ(MatchingRule("shop.example", "/a/b/x").name, "long");
  EXPECT_EQ(MatchingRule("shop.example", "/c/x").name, "once");
  EXPECT_TRUE(MatchingRule("shop.example", "/d/x").then.refuse.has_value());
  EXPECT_TRUE(MatchingRule("other.example", "/a/x").then.refuse.has_value());
}

TEST_F(OperatorConfigTest, RouteKindSetsRepeatability) {
  const RuleOutcome& wide = MatchingRule("shop.example", "/a/x").then;
  EXPECT_TRUE(wide.repeatable);
  EXPECT_EQ(wide.retries, 1);
  EXPECT_EQ(wide.deadline, std::chrono::seconds(1));
  const RuleOutcome& stream = MatchingRule("shop.example", "/a/b/x").then;
  EXPECT_TRUE(stream.resumable);
  EXPECT_TRUE(stream.repeatable);
  ASSERT_EQ(stream.services.size(), 2u);
  EXPECT_EQ(stream.services[1].service, "llm2");
  EXPECT_EQ(stream.services[1].weight, 10);
  const RuleOutcome& once = MatchingRule("shop.example", "/c/x").then;
  EXPECT_FALSE(once.repeatable);
  EXPECT_FALSE(once.needs_claim);
  EXPECT_EQ(once.retries, 0);
}

TEST_F(OperatorConfigTest, RulesAreExplained) {
  const std::string text = ExplainRuleSet(book_.current()->set);
  EXPECT_NE(text.find("at service llm (weight 90) or llm2"), std::string::npos);
  EXPECT_NE(text.find("no route matches"), std::string::npos);
}

TEST_F(OperatorConfigTest, CatalogueNamesStartWithService) {
  ASSERT_EQ(config_.catalogue.catalogue.size(), 3u);
  const CatalogueEntry& model = config_.catalogue.catalogue[0];
  EXPECT_EQ(model.name, "llm/m");
  EXPECT_EQ(model.bytes, 65'099'900'000u);
  EXPECT_EQ(model.load_times[1], std::chrono::milliseconds(1600));
  EXPECT_EQ(config_.catalogue.catalogue[2].name, "llm/m/a2");
  EXPECT_EQ(config_.catalogue.catalogue[2].base, "llm/m");
  EXPECT_EQ(config_.catalogue.engine_classes.at("llm").adapter_slots, 8);
}

TEST_F(OperatorConfigTest, LimitsAreParsed) {
  EXPECT_EQ(config_.limits.header_bytes, 1000u);
  EXPECT_EQ(config_.limits.body_bytes, 2000u);
  EXPECT_EQ(config_.limits.idle_timeout, std::chrono::seconds(15));
}

// Guards against numbers of the configuration whose conversion is undefined, or
// that make sums of them overflow.
TEST(OperatorConfig, NumbersOutOfRangeBecomeTheNearest) {
  for (const std::string number :
       {"1e308", "-1e308", "1e19", "18446744073709551615", "-1"}) {
    Json json = *ParseJson(kConfig);
    const Json odd = *ParseJson(number);
    for (Json& route : json["routes"]) {
      for (const char* key : {"timeout_ms", "target_latency_ms",
                              "target_gap_ms", "max_attempts", "priority"}) {
        route[key] = odd;
      }
    }
    json["routes"][1]["backends"][0]["weight"] = odd;
    Json& engine = json["services"][1]["engine"];
    for (const char* key : {"weights_mb", "adapter_slots", "loads_per_s"}) {
      engine[key] = odd;
    }
    for (const char* key : {"weights_mb", "load_s", "warmup_s", "disk_s",
                            "adapters", "adapter_mb"}) {
      engine["models"][0][key] = odd;
    }
    for (const char* key : {"max_header_bytes", "max_body_bytes",
                            "header_timeout_ms", "idle_timeout_ms"}) {
      json["limits"][key] = odd;
    }
    const auto config = ReadOperatorConfig(json);
    ASSERT_TRUE(config.ok()) << number;
    RuleRegistry rules;
    EXPECT_TRUE(
        rules.Install(config->rules.version, config->rules.document).ok())
        << number;
    const EngineClass& llm = config->catalogue.engine_classes.at("llm");
    EXPECT_LE(llm.memory_bytes, 1'000'000'000'000'000u);
    EXPECT_GE(llm.adapter_slots, 0);
    for (const CatalogueEntry& entry : config->catalogue.catalogue) {
      EXPECT_LE(entry.bytes, 1'000'000'000'000'000u);
      for (const Duration time : entry.load_times) {
        EXPECT_GE(time, Duration::zero());
        EXPECT_LE(time, kMaxDuration);
      }
    }
    EXPECT_LE(config->limits.header_bytes, 1u << 20);
    EXPECT_LE(config->limits.body_bytes, 1u << 30);
    EXPECT_GT(config->limits.idle_timeout, Duration::zero());
    EXPECT_LE(config->limits.idle_timeout, kMaxDuration);
    EXPECT_GT(config->limits.header_timeout, Duration::zero());
  }
}

// Guards against memory that one number of the configuration takes.
TEST(OperatorConfig, AdaptersBeyondTheBoundAreCut) {
  Json json = *ParseJson(kConfig);
  Json& models = json["services"][1]["engine"]["models"];
  models[0]["adapters"] = 1'000'000;
  models.push_back({{"name", "m2"}, {"adapters", 5}});
  const auto config = ReadOperatorConfig(json);
  ASSERT_TRUE(config.ok());
  EXPECT_EQ(config->catalogue.catalogue.size(), 20'002u);
}

// Guards against time by the square of the number of routes.
TEST(OperatorConfig, RoutesBeyondTheBoundAreCut) {
  Json json{{"version", 7}, {"routes", Json::array()}};
  for (int i = 0; i < 100'000; ++i)
    json["routes"].push_back({{"name", "r"},
                              {"host", "h"},
                              {"path_prefix", "/a/"},
                              {"service", "app"}});
  const auto config = ReadOperatorConfig(json);
  ASSERT_TRUE(config.ok());
  EXPECT_EQ(config->rules.document["rules"].size(), 10'001u);
  const absl::Status status = RuleRegistry().Install(7, config->rules.document);
  EXPECT_TRUE(status.ok()) << status.message();
}

TEST(OperatorConfig, MalformedConfigurationIsRejected) {
  for (const char* text :
       {"[]", "{}", R"({"version": 3})", R"({"version": 0, "routes": []})"}) {
    EXPECT_FALSE(ReadOperatorConfig(*ParseJson(text)).ok()) << text;
  }
}

}  // namespace
}  // namespace applehall
