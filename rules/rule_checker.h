#ifndef APPLEHALL_RULES_RULE_CHECKER_H_
#define APPLEHALL_RULES_RULE_CHECKER_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "rules/rule.h"
#include "rules/rule_set_parser.h"

namespace applehall {

// A model or adapter in the weight store.
struct CatalogueEntry {
  std::string name;
  std::string base;  // Base model of an adapter; empty for a model.
  uint64_t bytes = 0;
  // Service whose engines hold it; empty if all engines are alike.
  std::string service = {};
  // Load times by CheckpointTier, as the platform reports them; zero: unknown.
  std::array<Duration, 3> load_times = {};
};

// Properties shared by the engines of one service.
struct EngineClass {
  uint64_t memory_bytes = 0;  // For weights and adapters.
  int adapter_slots = 0;
  // Loads that the weight store can serve to all engines of the service.
  double store_loads_per_second = 1.0;
};

using Catalogue = std::vector<CatalogueEntry>;

// Catalogue and memory to check a rule set against. Empty or zero fields skip
// their checks.
struct CheckFacts {
  Catalogue catalogue;
  uint64_t largest_engine_bytes = 0;
  uint64_t total_engine_bytes = 0;
};

// Finds semantic errors in a well-formed set: duplicate names, shadowed rules,
// a missing catch-all rule at the end, unknown models, more memory than the
// engines have. Requires: nothing. Thread-safe.
std::vector<Finding> CheckRuleSet(const RuleSet& set, const CheckFacts& facts);

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_CHECKER_H_
