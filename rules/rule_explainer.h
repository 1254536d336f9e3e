#ifndef APPLEHALL_RULES_RULE_EXPLAINER_H_
#define APPLEHALL_RULES_RULE_EXPLAINER_H_

#include <string>

#include "rules/rule.h"

namespace applehall {

// One rule as an English sentence an auditor can read.
// Requires: nothing. Thread-safe.
std::string ExplainRule(const Rule& rule);

// The whole set, numbered in order. Requires: nothing. Thread-safe.
std::string ExplainRuleSet(const RuleSet& set);

// What differs between two sets, rule by rule. Thread-safe.
std::string DiffRuleSets(const RuleSet& before, const RuleSet& after);

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_EXPLAINER_H_
