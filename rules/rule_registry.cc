#include "rules/rule_registry.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "rules/rule_checker.h"

namespace applehall {
namespace {

Json ExtractHeader(const Json& document) {
  Json header = document;
  header.erase("rules");
  return header;
}

std::shared_ptr<const CompiledRules> AddMatcher(CompiledRules rules) {
  rules.matcher = RuleMatcher(rules.set.rules);
  return std::make_shared<const CompiledRules>(std::move(rules));
}

absl::Status FirstError(const ParsedRuleSet& parsed) {
  for (const Finding& finding : parsed.findings) {
    if (finding.severity == Finding::Severity::kError) {
      return absl::InvalidArgumentError(finding.ToString());
    }
  }
  return absl::OkStatus();
}

// Checks what matching relies on: unique names, by which decisions are traced,
// and a last rule that matches every request. A set without them is rejected
// even if its publisher did not check it.
absl::Status CheckInvariants(const RuleSet& set) {
  if (set.rules.empty() || !set.rules.back().when.Covers(RuleCondition{})) {
    return absl::InvalidArgumentError(
        "the last rule does not match every request");
  }
  absl::flat_hash_map<std::string, int> names;
  for (const Rule& rule : set.rules) {
    if (names[rule.name]++ > 0) {
      return absl::InvalidArgumentError(
          absl::StrCat("two rules are named \"", rule.name, "\""));
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<CompiledRules> CompileDocument(LogOffset version,
                                              const Json& document) {
  ParsedRuleSet parsed = ParseRuleSet(document);
  absl::Status status = FirstError(parsed);
  if (status.ok()) status = CheckInvariants(parsed.set);
  if (!status.ok()) return status;
  CompiledRules rules;
  rules.version = version;
  rules.set = std::move(parsed.set);
  rules.header_text = DumpJson(ExtractHeader(document));
  for (const Json& rule : document["rules"]) {
    rules.rule_texts.push_back(DumpJson(rule));
  }
  return rules;
}

absl::StatusOr<CompiledRules> CompileDelta(LogOffset version,
                                           const CompiledRules& before,
                                           const RuleSetDelta& delta) {
  const size_t old_count = before.rule_texts.size();
  if (delta.keep_first + delta.keep_last > old_count) {
    return absl::InvalidArgumentError(
        "the delta keeps more rules than its base has");
  }
  // Parses the changed rules as a separate small document.
  Json changed = delta.header;
  if (!changed.is_object()) {
    return absl::InvalidArgumentError("the delta has no header object");
  }
  changed["rules"] = delta.rules;
  ParsedRuleSet parsed = ParseRuleSet(changed);
  if (delta.rules.empty()) {
    std::erase_if(parsed.findings, [](const Finding& finding) {
      return finding.message.starts_with("rules:");
    });
  }
  absl::Status status = FirstError(parsed);
  if (!status.ok()) return status;
  CompiledRules rules;
  rules.version = version;
  rules.set = std::move(parsed.set);
  rules.header_text = DumpJson(delta.header);
  std::vector<Rule> middle = std::move(rules.set.rules);
  const size_t last_from = old_count - delta.keep_last;
  const auto& old_rules = before.set.rules;
  rules.set.rules.assign(old_rules.begin(),
                         old_rules.begin() + delta.keep_first);
  std::move(middle.begin(), middle.end(), std::back_inserter(rules.set.rules));
  rules.set.rules.insert(rules.set.rules.end(), old_rules.begin() + last_from,
                         old_rules.end());
  const auto& old_texts = before.rule_texts;
  rules.rule_texts.assign(old_texts.begin(),
                          old_texts.begin() + delta.keep_first);
  for (const Json& rule : delta.rules)
    rules.rule_texts.push_back(DumpJson(rule));
  rules.rule_texts.insert(rules.rule_texts.end(), old_texts.begin() + last_from,
                          old_texts.end());
  status = CheckInvariants(rules.set);
  if (!status.ok()) return status;
  return rules;
}

}  // namespace

Json CompiledRules::Document() const {
  // The texts are dumps of parsed values.
  Json document = *ParseJson(header_text);
  Json& rules = document["rules"] = Json::array();
  for (const std::string& text : rule_texts) rules.push_back(*ParseJson(text));
  return document;
}

Json RuleSetDelta::ToJson() const {
  return Json{{"header", header},
              {"keep_first", keep_first},
              {"keep_last", keep_last},
              {"rules", rules}};
}

absl::StatusOr<RuleSetDelta> RuleSetDelta::FromJson(const Json& json) {
  RuleSetDelta delta;
  if (!json.is_object() || !json.contains("header") ||
      !json.contains("rules") || !json["rules"].is_array()) {
    return absl::InvalidArgumentError(
        "a delta needs a header and a list of rules");
  }
  delta.header = json["header"];
  delta.keep_first = FieldOr<uint64_t>(json, "keep_first", 0);
  delta.keep_last = FieldOr<uint64_t>(json, "keep_last", 0);
  delta.rules = json["rules"].get<std::vector<Json>>();
  return delta;
}

RuleSetDelta RuleSetDelta::Between(const Json& before, const Json& after) {
  const auto& old_rules = before["rules"];
  const auto& new_rules = after["rules"];
  const size_t shorter = std::min(old_rules.size(), new_rules.size());
  RuleSetDelta delta;
  delta.header = ExtractHeader(after);
  while (delta.keep_first < shorter &&
         old_rules[delta.keep_first] == new_rules[delta.keep_first]) {
    ++delta.keep_first;
  }
  while (delta.keep_last < shorter - delta.keep_first &&
         old_rules[old_rules.size() - 1 - delta.keep_last] ==
             new_rules[new_rules.size() - 1 - delta.keep_last]) {
    ++delta.keep_last;
  }
  for (size_t i = delta.keep_first; i < new_rules.size() - delta.keep_last;
       ++i) {
    delta.rules.push_back(new_rules[i]);
  }
  return delta;
}

RuleRegistry::Result RuleRegistry::Publish(LogOffset offset, const Json& body) {
  if (FieldOr<uint64_t>(body, "base", 0) != version()) {
    return Result::kStaleBase;
  }
  absl::StatusOr<CompiledRules> rules = absl::InvalidArgumentError(
      "neither a document nor a delta on the current rules");
  if (body.contains("document")) {
    rules = CompileDocument(offset, body["document"]);
  } else if (body.contains("delta") && current_) {
    const auto delta = RuleSetDelta::FromJson(body["delta"]);
    if (delta.ok()) rules = CompileDelta(offset, *current_, *delta);
  }
  if (!rules.ok()) return Result::kInvalid;
  current_ = AddMatcher(*std::move(rules));
  return Result::kAccepted;
}

absl::Status RuleRegistry::Install(LogOffset snapshot_version,
                                   const Json& document) {
  // A snapshot may be older than the rules in force here if its writer was
  // paused or the peer lags. Versions never decrease.
  if (snapshot_version <= version()) return absl::OkStatus();
  absl::StatusOr<CompiledRules> rules =
      CompileDocument(snapshot_version, document);
  if (!rules.ok()) return rules.status();
  current_ = AddMatcher(*std::move(rules));
  return absl::OkStatus();
}

}  // namespace applehall
