#include "rules/rule_matcher.h"

#include <algorithm>
#include <array>

namespace applehall {
namespace {

bool AllExact(const std::vector<Pattern>& patterns) {
  return !patterns.empty() &&
         std::all_of(patterns.begin(), patterns.end(),
                     [](const Pattern& p) { return p.is_exact(); });
}

}  // namespace

RuleMatcher::RuleMatcher(const std::vector<Rule>& rules) {
  for (int i = 0; i < static_cast<int>(rules.size()); ++i) {
    const RuleCondition& when = rules[i].when;
    const auto add = [i](Index& index, const std::vector<Pattern>& patterns) {
      for (const Pattern& pattern : patterns) {
        Bucket& bucket = index[pattern.text()];
        if (bucket.empty() || bucket.back() != i) bucket.push_back(i);
      }
    };
    if (AllExact(when.models)) {
      add(by_model_, when.models);
    } else if (AllExact(when.services)) {
      add(by_service_, when.services);
    } else if (AllExact(when.callers)) {
      add(by_caller_, when.callers);
    } else {
      others_.push_back(i);
    }
  }
}

const RuleMatcher::Bucket* RuleMatcher::Lookup(const Index& index,
                                               const std::string& name) {
  const auto it = index.find(name);
  return it == index.end() ? nullptr : &it->second;
}

int RuleMatcher::FirstMatch(const std::vector<Rule>& rules,
                            const RequestFacts& request,
                            const SystemFacts& system) const {
  const std::array<const Bucket*, 4> buckets = {
      Lookup(by_model_, request.model), Lookup(by_service_, request.service),
      Lookup(by_caller_, request.caller), &others_};
  int best = -1;
  for (const Bucket* bucket : buckets) {
    if (bucket == nullptr) continue;
    for (const int index : *bucket) {
      if (best >= 0 && index > best) break;
      if (!rules[index].when.Matches(request, system)) continue;
      best = index;
      break;
    }
  }
  return best;
}

}  // namespace applehall
