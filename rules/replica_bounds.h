#ifndef APPLEHALL_RULES_REPLICA_BOUNDS_H_
#define APPLEHALL_RULES_REPLICA_BOUNDS_H_

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "rules/rule.h"

namespace applehall {

// Minimum and maximum number of replicas of a model in a data centre, and the
// minimum time that an idle replica stays loaded.
struct ReplicaBounds {
  int least = 0;
  int most = 0;
  Duration keep_warm{0};
};

// The bounds of every model under one rule set: for each bound, the largest
// value of all rules that may route to the model. Built once per rule set.
class ReplicaBoundsTable {
 public:
  ReplicaBoundsTable() = default;
  explicit ReplicaBoundsTable(const std::vector<Rule>& rules);

  // Returns the bounds of `model`; zeros if no rule routes to it. Requires:
  // nothing. Thread-safe.
  ReplicaBounds FindBounds(const std::string& model) const;
  // Returns the models with a minimum above zero, sorted by name. Thread-safe.
  std::vector<std::string> AlwaysLoadedModels() const;

 private:
  absl::flat_hash_map<std::string, ReplicaBounds> by_name_;
  std::vector<std::pair<Pattern, ReplicaBounds>> by_pattern_;
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_REPLICA_BOUNDS_H_
