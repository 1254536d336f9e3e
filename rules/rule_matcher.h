#ifndef APPLEHALL_RULES_RULE_MATCHER_H_
#define APPLEHALL_RULES_RULE_MATCHER_H_

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "rules/rule.h"

namespace applehall {

// Finds the first rule that matches a request.
//
// Rules that name a model, a service or a caller exactly are indexed by that
// name, so that a request is tested only against rules that can match.
class RuleMatcher {
 public:
  RuleMatcher() = default;
  explicit RuleMatcher(const std::vector<Rule>& rules);

  // Returns the index of the first rule that matches, or -1. Requires: `rules`
  // are those given to the constructor. Thread-safe.
  int FirstMatch(const std::vector<Rule>& rules, const RequestFacts& request,
                 const SystemFacts& system) const;

 private:
  using Bucket = std::vector<int>;  // Ascending rule indices.
  using Index = absl::flat_hash_map<std::string, Bucket>;

  static const Bucket* Lookup(const Index& index, const std::string& name);

  Index by_model_;
  Index by_service_;
  Index by_caller_;
  Bucket others_;
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_MATCHER_H_
