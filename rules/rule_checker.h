#ifndef APPLEHALL_RULES_RULE_CHECKER_H_
#define APPLEHALL_RULES_RULE_CHECKER_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "rules/rule.h"
#include "rules/rule_set_parser.h"

namespace applehall {

// What the weight store can serve: one model or adapter.
struct CatalogueEntry {
  std::string name;
  std::string base;  // The model an adapter needs; empty for a model.
  uint64_t bytes = 0;
  // Whose engines hold it; empty where all engines are alike.
  std::string service = {};
  // Load times by CheckpointTier, as the platform tells them; zero: unknown.
  std::array<Duration, 3> load_times = {};
};

// What the engines of one service are like.
struct EngineClass {
  uint64_t memory_bytes = 0;  // For weights and adapters.
  int adapter_slots = 0;
  // What the weight store gives to all engines of the service together.
  double store_loads_per_second = 1.0;
};

using Catalogue = std::vector<CatalogueEntry>;

// What a rule set is checked against. Empty parts are not checked.
struct CheckFacts {
  Catalogue catalogue;
  uint64_t largest_engine_bytes = 0;
  uint64_t all_engine_bytes = 0;
};

// Finds what a well-formed set says that cannot be meant: doubled names,
// shadowed rules, a missing last rule, unknown models, more memory than
// there is. Requires: nothing. Thread-safe.
std::vector<Finding> CheckRuleSet(const RuleSet& set, const CheckFacts& facts);

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_CHECKER_H_
