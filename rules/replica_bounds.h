#ifndef APPLEHALL_RULES_REPLICA_BOUNDS_H_
#define APPLEHALL_RULES_REPLICA_BOUNDS_H_

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "rules/rule.h"

namespace applehall {

// How many replicas of a model a data centre may and must hold, and how long
// an idle one stays at the least.
struct ReplicaBounds {
  int least = 0;
  int most = 0;
  Duration keep_warm{0};
};

// The bounds of every model under one rule set: the widest of the rules that
// may route to it. Built once per rule set.
class ReplicaBoundsTable {
 public:
  ReplicaBoundsTable() = default;
  explicit ReplicaBoundsTable(const std::vector<Rule>& rules);

  // Requires: nothing. Thread-safe.
  ReplicaBounds For(const std::string& model) const;
  // Models that must stay loaded in `data_centre`. Thread-safe.
  std::vector<std::string> KeptWarm() const;

 private:
  absl::flat_hash_map<std::string, ReplicaBounds> by_name_;
  std::vector<std::pair<Pattern, ReplicaBounds>> by_pattern_;
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_REPLICA_BOUNDS_H_
