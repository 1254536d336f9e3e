#ifndef APPLEHALL_RULES_RULE_EXPLAINER_H_
#define APPLEHALL_RULES_RULE_EXPLAINER_H_

#include <string>

#include "rules/rule.h"

namespace applehall {

// Describes one rule in an English sentence for auditors. Requires: nothing.
// Thread-safe.
std::string ExplainRule(const Rule& rule);

// Describes all rules of a set, numbered in order. Requires: nothing.
// Thread-safe.
std::string ExplainRuleSet(const RuleSet& set);

// Describes the differences between two sets, rule by rule. Thread-safe.
std::string DiffRuleSets(const RuleSet& before, const RuleSet& after);

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_EXPLAINER_H_
