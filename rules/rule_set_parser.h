#ifndef APPLEHALL_RULES_RULE_SET_PARSER_H_
#define APPLEHALL_RULES_RULE_SET_PARSER_H_

#include <string>
#include <vector>

#include "core/json.h"
#include "rules/rule.h"

namespace applehall {

// One thing wrong with a rule set. An error keeps the set from being
// published; a warning is for the author to weigh.
struct Finding {
  enum class Severity : uint8_t { kWarning, kError };
  Severity severity = Severity::kError;
  std::string rule;  // Empty for the set as a whole.
  int line = 0;      // 1-based; 0 when the text is not at hand.
  std::string message;

  std::string ToString() const;
};

struct ParsedRuleSet {
  RuleSet set;
  std::vector<Finding> findings;

  bool has_errors() const;
};

// Turns a document into rules; every unknown field, wrong type or bad range
// is a finding. Requires: nothing. Thread-safe.
ParsedRuleSet ParseRuleSet(const Json& document);

// Adds line numbers to findings, looked up in the text of the document.
// Requires: nothing. Thread-safe.
void LocateFindings(const std::string& text, std::vector<Finding>& findings);

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_SET_PARSER_H_
