#include "rules/rule_explainer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <map>
#include <vector>

namespace applehall {
namespace {

std::string JoinPatterns(const std::vector<Pattern>& patterns) {
  return absl::StrJoin(patterns, " or ",
                       [](std::string* out, const Pattern& pattern) {
                         absl::StrAppend(out, "\"", pattern.text(), "\"");
                       });
}

std::string FormatTimeOfDay(std::chrono::minutes time) {
  const int64_t total = time.count();
  const auto two = [](int64_t n) { return absl::StrCat(n < 10 ? "0" : "", n); };
  return absl::StrCat(two(total / 60), ":", two(total % 60));
}

std::string FormatDuration(Duration duration) {
  const int64_t millis = ToMillis(duration);
  if (millis % 60000 == 0) return absl::StrCat(millis / 60000, " min");
  if (millis % 1000 == 0) return absl::StrCat(millis / 1000, " s");
  return absl::StrCat(millis, " ms");
}

std::string ExplainCondition(const RuleCondition& when) {
  std::vector<std::string> parts;
  const auto add = [&parts](const char* what,
                            const std::vector<Pattern>& patterns) {
    if (patterns.empty()) return;
    parts.push_back(absl::StrCat(what, " is ", JoinPatterns(patterns)));
  };
  add("the caller", when.callers);
  add("the method", when.methods);
  add("the path", when.paths);
  add("the model", when.models);
  add("the service", when.services);
  add("the data centre", when.data_centres);
  for (const auto& [name, pattern] : when.headers) {
    parts.push_back(
        absl::StrCat("header ", name, " is \"", pattern.text(), "\""));
  }
  if (when.time_of_day) {
    parts.push_back(absl::StrCat(
        "the time is from ", FormatTimeOfDay(when.time_of_day->from), " to ",
        FormatTimeOfDay(when.time_of_day->to), " (",
        when.time_of_day->utc_offset.count(), " minutes from UTC)"));
  }
  if (when.model_is_cold) {
    parts.push_back(*when.model_is_cold ? "the model is cold"
                                        : "the model is warm");
  }
  if (when.log_is_down) {
    parts.push_back(*when.log_is_down ? "the log is down" : "the log is up");
  }
  if (when.replicas_above) {
    parts.push_back(absl::StrCat("more than ", *when.replicas_above,
                                 " replicas are ready"));
  }
  if (parts.empty()) return "In every other case";
  return absl::StrCat("When ", absl::StrJoin(parts, " and "));
}

std::string ExplainOutcome(const RuleOutcome& then, bool is_service) {
  if (then.refuse) return absl::StrCat("refuse: \"", *then.refuse, "\"");
  std::string text =
      then.models.empty()
          ? "route it to the requested target"
          : absl::StrCat("answer with ", absl::StrJoin(then.models, ", else "));
  if (!then.adapter.empty()) absl::StrAppend(&text, " and ", then.adapter);
  if (!then.version.empty()) absl::StrAppend(&text, ", version ", then.version);
  absl::StrAppend(&text, " within ", FormatDuration(then.deadline), ", worth ",
                  then.worth);
  if (then.repeatable) {
    absl::StrAppend(&text, ", at most ", then.retries, " retries");
  } else if (!then.needs_claim) {
    absl::StrAppend(&text, ", at most once");
  } else {
    absl::StrAppend(&text, ", at most once, and ",
                    then.while_log_down == WhileLogDown::kRefuse
                        ? "refuse it"
                        : "let it wait",
                    " while the log is down");
  }
  absl::StrAppend(&text, ", queue at most ", then.queue_limit);
  if (!is_service) {
    absl::StrAppend(&text, ", keep ", then.min_replicas, " to ",
                    then.max_replicas, " replicas");
  }
  if (then.keep_warm > Duration::zero()) {
    absl::StrAppend(&text, ", warm for ", FormatDuration(then.keep_warm));
  }
  if (!then.services.empty()) {
    absl::StrAppend(
        &text, ", at service ",
        absl::StrJoin(then.services, " or ",
                      [](std::string* out, const ServiceShare& share) {
                        absl::StrAppend(out, share.service, " (weight ",
                                        share.weight, ")");
                      }));
  }
  if (then.target_latency > Duration::zero()) {
    absl::StrAppend(&text, ", target latency ",
                    FormatDuration(then.target_latency));
  }
  if (then.target_gap > Duration::zero()) {
    absl::StrAppend(&text, ", pauses of at most ",
                    FormatDuration(then.target_gap));
  }
  if (then.max_start_wait > Duration::zero()) {
    absl::StrAppend(&text, ", callers wait at most ",
                    FormatDuration(then.max_start_wait),
                    " for the first piece");
  }
  if (then.priority >= 0) absl::StrAppend(&text, ", priority ", then.priority);
  if (then.resumable)
    absl::StrAppend(&text, ", resumable after a broken stream");
  if (then.is_public) absl::StrAppend(&text, ", open to all callers");
  if (!then.data_centres.empty()) {
    absl::StrAppend(&text, ", only in ",
                    absl::StrJoin(then.data_centres, ", "));
  }
  return text;
}

}  // namespace

std::string ExplainRule(const Rule& rule) {
  return absl::StrCat(rule.name, ": ", ExplainCondition(rule.when), ", ",
                      ExplainOutcome(rule.then, !rule.when.services.empty()),
                      ".");
}

std::string ExplainRuleSet(const RuleSet& set) {
  std::string text = absl::StrCat("Rule set \"", set.name, "\" by ", set.author,
                                  ": ", set.reason, "\n", "Cold starts weigh ",
                                  set.cold_start_weight,
                                  " against idle accelerators (0 to 1).\n",
                                  "The first rule that matches decides.\n");
  int number = 1;
  for (const Rule& rule : set.rules) {
    absl::StrAppend(&text, number++, ". ", ExplainRule(rule), "\n");
  }
  return text;
}

std::string DiffRuleSets(const RuleSet& before, const RuleSet& after) {
  std::map<std::string, std::pair<size_t, std::string>> old_rules;
  for (size_t i = 0; i < before.rules.size(); ++i) {
    old_rules[before.rules[i].name] = {i, ExplainRule(before.rules[i])};
  }
  std::string text;
  if (before.cold_start_weight != after.cold_start_weight) {
    absl::StrAppend(&text, "changed cold_start_weight from ",
                    before.cold_start_weight, " to ", after.cold_start_weight,
                    "\n");
  }
  for (size_t i = 0; i < after.rules.size(); ++i) {
    const std::string now = ExplainRule(after.rules[i]);
    const auto it = old_rules.find(after.rules[i].name);
    if (it == old_rules.end()) {
      absl::StrAppend(&text, "added at ", i + 1, ": ", now, "\n");
      continue;
    }
    if (it->second.second != now) {
      absl::StrAppend(&text, "changed from: ", it->second.second,
                      "\n          to: ", now, "\n");
    }
    if (it->second.first != i) {
      absl::StrAppend(&text, "moved from ", it->second.first + 1, " to ", i + 1,
                      ": ", after.rules[i].name, "\n");
    }
    old_rules.erase(it);
  }
  for (const auto& [name, rule] : old_rules) {
    absl::StrAppend(&text, "removed: ", rule.second, "\n");
  }
  return text.empty() ? "no difference\n" : text;
}

}  // namespace applehall
