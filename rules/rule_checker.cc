#include "rules/rule_checker.h"

#include <absl/strings/str_cat.h>

#include <map>
#include <set>

namespace applehall {
namespace {

class Checker {
 public:
  Checker(const RuleSet& set, const CheckFacts& facts)
      : set_(set), facts_(facts) {
    for (const CatalogueEntry& entry : facts.catalogue) {
      catalogue_[entry.name] = &entry;
    }
  }

  std::vector<Finding> Run() {
    CheckNames();
    CheckLastRule();
    CheckShadowing();
    for (const Rule& rule : set_.rules) {
      CheckTargets(rule);
      CheckMemory(rule);
    }
    CheckWarmMemory();
    return std::move(findings_);
  }

 private:
  void Error(const std::string& rule, const std::string& message) {
    findings_.push_back({Finding::Severity::kError, rule, 0, message});
  }

  void CheckNames() {
    std::set<std::string> names;
    for (const Rule& rule : set_.rules) {
      if (rule.name.find('/') != std::string::npos) {
        Error(rule.name, "a name must not contain '/'");
      }
      if (!names.insert(rule.name).second) {
        Error(rule.name, "the name is used by an earlier rule");
      }
    }
  }

  void CheckLastRule() {
    if (set_.rules.empty()) return;
    if (!set_.rules.back().when.Covers(RuleCondition{})) {
      Error(set_.rules.back().name,
            "the last rule must match every request (an empty \"when\")");
    }
  }

  void CheckShadowing() {
    for (size_t later = 0; later < set_.rules.size(); ++later) {
      for (size_t earlier = 0; earlier < later; ++earlier) {
        if (!set_.rules[earlier].when.Covers(set_.rules[later].when)) continue;
        Error(
            set_.rules[later].name,
            absl::StrCat("can never decide: rule \"", set_.rules[earlier].name,
                         "\" before it covers its condition"));
        break;
      }
    }
  }

  void CheckTargets(const Rule& rule) {
    if (facts_.catalogue.empty()) return;
    std::vector<std::string> names = rule.then.models;
    if (!rule.then.adapter.empty()) names.push_back(rule.then.adapter);
    for (const std::string& name : names) {
      if (!catalogue_.contains(name)) {
        Error(rule.name, absl::StrCat("no engine serves \"", name, "\""));
      }
    }
  }

  void CheckMemory(const Rule& rule) {
    if (facts_.largest_engine_bytes == 0) return;
    for (const std::string& name : rule.then.models) {
      const auto it = catalogue_.find(name);
      if (it == catalogue_.end()) continue;
      if (it->second->bytes > facts_.largest_engine_bytes) {
        Error(rule.name,
              absl::StrCat("\"", name, "\" needs ", it->second->bytes,
                           " bytes, the largest engine has ",
                           facts_.largest_engine_bytes));
      }
    }
  }

  // The minimum replicas of all rules must fit into memory together.
  void CheckWarmMemory() {
    if (facts_.total_engine_bytes == 0) return;
    uint64_t needed = 0;
    for (const Rule& rule : set_.rules) {
      for (const std::string& name : rule.then.models) {
        const auto it = catalogue_.find(name);
        if (it == catalogue_.end()) continue;
        needed += it->second->bytes * rule.then.min_replicas;
      }
      if (needed <= facts_.total_engine_bytes) continue;
      Error(rule.name, absl::StrCat("least_replicas up to here need ", needed,
                                    " bytes, the engines have ",
                                    facts_.total_engine_bytes));
      return;
    }
  }

  const RuleSet& set_;
  const CheckFacts& facts_;
  std::map<std::string, const CatalogueEntry*> catalogue_;
  std::vector<Finding> findings_;
};

}  // namespace

std::vector<Finding> CheckRuleSet(const RuleSet& set, const CheckFacts& facts) {
  return Checker(set, facts).Run();
}

}  // namespace applehall
