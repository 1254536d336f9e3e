#include <gtest/gtest.h>

#include "rules/rule_checker.h"
#include "rules/rule_explainer.h"
#include "rules/rule_registry.h"
#include "rules/rule_set_parser.h"
#include "tests/node/test_rules.h"

namespace applehall {
namespace {

Json Document(std::vector<Json> rules) {
  return Json{{"name", "n"},
              {"author", "a"},
              {"reason", "r"},
              {"rules", std::move(rules)}};
}

std::string FindingsOf(const Json& document, const CheckFacts& facts = {}) {
  ParsedRuleSet parsed = ParseRuleSet(document);
  std::vector<Finding> findings = parsed.findings;
  for (Finding& finding : CheckRuleSet(parsed.set, facts)) {
    findings.push_back(finding);
  }
  std::string text;
  for (const Finding& finding : findings) text += finding.ToString() + "\n";
  return text;
}

const Json kCatchAll{{"name", "last"}, {"then", Json::object()}};

TEST(RuleSetParserTest, UnknownFieldsAreReported) {
  const Json rule{{"name", "x"},
                  {"when", {{"colour", "red"}}},
                  {"then", {{"deadline", 5}}}};
  const std::string text = FindingsOf(Document({rule, kCatchAll}));
  EXPECT_NE(text.find("rule \"x\": when.colour: unknown field"),
            std::string::npos);
  EXPECT_NE(text.find("rule \"x\": then.deadline: unknown field"),
            std::string::npos);
}

TEST(RuleSetParserTest, WrongTypesAndRangesAreReported) {
  const Json rule{{"name", "x"},
                  {"when", {{"model", 7}, {"caller", "a*b"}}},
                  {"then",
                   {{"deadline_ms", 0},
                    {"worth", -1},
                    {"while_log_down", "run"},
                    {"least_replicas", 3},
                    {"most_replicas", 1}}}};
  const std::string text = FindingsOf(Document({rule, kCatchAll}));
  for (const char* key :
       {"when.model", "when.caller", "then.deadline_ms", "then.worth",
        "then.while_log_down", "then.least_replicas"}) {
    EXPECT_NE(text.find(key), std::string::npos) << key;
  }
}

TEST(RuleCheckerTest, ShadowedRuleIsReported) {
  const Json wide{{"name", "wide"},
                  {"when", {{"model", "horse-*"}}},
                  {"then", Json::object()}};
  const Json narrow{{"name", "narrow"},
                    {"when", {{"model", "horse-7"}, {"caller", "web"}}},
                    {"then", Json::object()}};
  EXPECT_NE(FindingsOf(Document({wide, narrow, kCatchAll}))
                .find("rule \"narrow\": can never decide"),
            std::string::npos);
  EXPECT_EQ(FindingsOf(Document({narrow, wide, kCatchAll})), "");
}

TEST(RuleCheckerTest, LastRuleMustMatchEverything) {
  const Json only{
      {"name", "only"}, {"when", {{"model", "x"}}}, {"then", Json::object()}};
  EXPECT_NE(FindingsOf(Document({only})).find("must match every request"),
            std::string::npos);
}

TEST(RuleCheckerTest, ModelsAndMemoryAreCheckedAgainstTheCatalogue) {
  CheckFacts facts;
  facts.catalogue = {{"big", "", 9000}, {"small", "", 10}};
  facts.largest_engine_bytes = 5000;
  facts.total_engine_bytes = 15;
  const Json rule{{"name", "x"},
                  {"when", {{"caller", "web"}}},
                  {"then",
                   {{"models", {"big", "gone", "small"}},
                    {"least_replicas", 2},
                    {"most_replicas", 2}}}};
  const std::string text = FindingsOf(Document({rule, kCatchAll}), facts);
  EXPECT_NE(text.find("no engine serves \"gone\""), std::string::npos);
  EXPECT_NE(text.find("the largest engine has 5000"), std::string::npos);
  EXPECT_NE(text.find("least_replicas up to here"), std::string::npos);
}

TEST(RuleSetParserTest, FindingsContainTheLine) {
  const std::string text =
      "// comment\n{\"name\": \"n\", \"author\": \"a\", \"reason\": \"r\",\n"
      "\"rules\": [\n{\"name\": \"x\", \"then\": {\"oops\": 1}},\n"
      "{\"name\": \"last\", \"then\": {}}]}";
  ParsedRuleSet parsed = ParseRuleSet(*ParseJson(text));
  LocateFindings(text, parsed.findings);
  ASSERT_EQ(parsed.findings.size(), 1u);
  EXPECT_EQ(parsed.findings[0].line, 4);
}

TEST(RuleTest, TimeOfDayMaySpanMidnight) {
  using std::chrono::hours;
  const TimeOfDay night{hours(22), hours(6), hours(9)};
  const TimePoint midnight_utc = FromUnixMillis(0);  // 09:00 local time.
  EXPECT_FALSE(night.Contains(midnight_utc));
  EXPECT_TRUE(night.Contains(midnight_utc + hours(14)));
  EXPECT_TRUE(night.Contains(midnight_utc + hours(20)));
}

// A delta of one rule in a large set must be small and must restore exactly the
// document that was published.
TEST(RuleRegistryTest, DeltaRestoresThePublishedDocument) {
  std::vector<Json> rules;
  for (int i = 0; i < 500; ++i) {
    rules.push_back({{"name", "rule-" + std::to_string(i)},
                     {"when", {{"model", "m" + std::to_string(i)}}},
                     {"then", {{"worth", i + 1}}}});
  }
  rules.push_back(kCatchAll);
  const Json before = Document(rules);
  rules[200]["then"]["worth"] = 9999;
  rules.erase(rules.begin() + 201);
  const Json after = Document(rules);
  RuleRegistry registry;
  ASSERT_EQ(registry.Publish(5, Json{{"base", 0}, {"document", before}}),
            RuleRegistry::Result::kAccepted);
  const Json delta = RuleSetDelta::Between(before, after).ToJson();
  EXPECT_LT(delta.dump().size(), 400u);
  ASSERT_EQ(registry.Publish(9, Json{{"base", 5}, {"delta", delta}}),
            RuleRegistry::Result::kAccepted);
  EXPECT_EQ(registry.current()->Document(), after);
  EXPECT_EQ(registry.version(), 9u);
}

// Guards against a host that resumes from a pause and writes its old snapshot,
// which would replace newer rules.
TEST(RuleRegistryTest, OlderSnapshotIsIgnored) {
  RuleRegistry registry;
  registry.Publish(5, Json{{"base", 0}, {"document", TestRules("first")}});
  registry.Publish(8, Json{{"base", 5}, {"document", TestRules("second")}});
  EXPECT_TRUE(registry.Install(5, TestRules("first")).ok());
  EXPECT_EQ(registry.current()->set.name, "second");
}

TEST(RuleRegistryTest, InvalidDocumentsAreRejected) {
  RuleRegistry registry;
  EXPECT_EQ(
      registry.Publish(1, Json{{"base", 0}, {"document", {{"name", "n"}}}}),
      RuleRegistry::Result::kInvalid);
  EXPECT_EQ(registry.Publish(2, Json{{"base", 0}}),
            RuleRegistry::Result::kInvalid);
  EXPECT_EQ(
      registry.Publish(
          3, Json{{"base", 0}, {"document", Document({kCatchAll, kCatchAll})}}),
      RuleRegistry::Result::kInvalid);
  EXPECT_EQ(registry.current(), nullptr);
}

TEST(RuleExplainerTest, ExplainsConditionAndOutcome) {
  const ParsedRuleSet parsed = ParseRuleSet(TestRules());
  const std::string text = ExplainRuleSet(parsed.set);
  EXPECT_NE(text.find("When the service is \"doors\""), std::string::npos);
  EXPECT_NE(text.find("at most once"), std::string::npos);
  EXPECT_NE(text.find("In every other case"), std::string::npos);
}

TEST(RuleExplainerTest, DiffListsChangedAddedAndRemovedRules) {
  const RuleSet before = ParseRuleSet(TestRules()).set;
  RuleSet after = before;
  after.rules[0].then.worth = 50;
  after.rules[1].name = "renamed";
  const std::string text = DiffRuleSets(before, after);
  EXPECT_NE(text.find("changed from: doors"), std::string::npos);
  EXPECT_NE(text.find("added at 2: renamed"), std::string::npos);
  EXPECT_NE(text.find("removed: late"), std::string::npos);
}

}  // namespace
}  // namespace applehall
