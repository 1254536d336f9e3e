#ifndef APPLEHALL_RULES_RULE_SET_PARSER_H_
#define APPLEHALL_RULES_RULE_SET_PARSER_H_

#include <string>
#include <vector>

#include "core/json.h"
#include "rules/rule.h"

namespace applehall {

// A problem in a rule set. Errors prevent publication, warnings do not.
struct Finding {
  enum class Severity : uint8_t { kWarning, kError };
  Severity severity = Severity::kError;
  std::string rule;  // Empty for the set as a whole.
  int line = 0;      // 1-based; 0 if unknown.
  std::string message;

  std::string ToString() const;
};

struct ParsedRuleSet {
  RuleSet set;
  std::vector<Finding> findings;

  bool has_errors() const;
};

// Parses a document into rules. Every unknown field, wrong type and value out
// of range is a finding. Requires: nothing. Thread-safe.
ParsedRuleSet ParseRuleSet(const Json& document);

// Adds line numbers to findings by looking rule names up in the document text.
// Requires: nothing. Thread-safe.
void LocateFindings(const std::string& text, std::vector<Finding>& findings);

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_SET_PARSER_H_
