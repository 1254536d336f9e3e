#include "rules/replica_bounds.h"

#include <algorithm>

namespace applehall {
namespace {

void Widen(ReplicaBounds& bounds, const ReplicaBounds& other) {
  bounds.least = std::max(bounds.least, other.least);
  bounds.most = std::max(bounds.most, other.most);
  bounds.keep_warm = std::max(bounds.keep_warm, other.keep_warm);
}

}  // namespace

ReplicaBoundsTable::ReplicaBoundsTable(const std::vector<Rule>& rules) {
  for (const Rule& rule : rules) {
    if (rule.then.refuse || !rule.when.services.empty()) continue;
    const ReplicaBounds bounds{rule.then.min_replicas, rule.then.max_replicas,
                               rule.then.keep_warm};
    if (!rule.then.adapter.empty()) Widen(by_name_[rule.then.adapter], bounds);
    for (const std::string& model : rule.then.models) {
      Widen(by_name_[model], bounds);
    }
    if (!rule.then.models.empty()) continue;
    if (rule.when.models.empty()) {
      by_pattern_.emplace_back(Pattern("*"), bounds);
    }
    for (const Pattern& pattern : rule.when.models) {
      if (pattern.is_exact()) {
        Widen(by_name_[pattern.text()], bounds);
      } else {
        by_pattern_.emplace_back(pattern, bounds);
      }
    }
  }
}

ReplicaBounds ReplicaBoundsTable::FindBounds(const std::string& model) const {
  ReplicaBounds bounds;
  const auto it = by_name_.find(model);
  if (it != by_name_.end()) bounds = it->second;
  for (const auto& [pattern, other] : by_pattern_) {
    if (pattern.Matches(model)) Widen(bounds, other);
  }
  return bounds;
}

std::vector<std::string> ReplicaBoundsTable::AlwaysLoadedModels() const {
  std::vector<std::string> names;
  for (const auto& [name, bounds] : by_name_) {
    if (bounds.least > 0) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace applehall
