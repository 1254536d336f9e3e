#include "rules/rule_set_parser.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <set>

namespace applehall {
namespace {

constexpr int64_t kMaxMillis = 24LL * 3600 * 1000;
constexpr int64_t kMaxCount = 1'000'000;
constexpr double kMaxWorth = 1'000'000.0;
constexpr int64_t kMaxPriority = 100;

// Reads the fields of one object of a rule and adds every error as a finding.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string rule, std::string part,
              std::vector<Finding>& findings)
      : object_(object),
        rule_(std::move(rule)),
        part_(std::move(part)),
        findings_(findings) {}

  void Fail(const std::string& key, const std::string& expected) {
    findings_.push_back({Finding::Severity::kError, rule_, 0,
                         absl::StrCat(part_, key, ": expected ", expected)});
  }

  const Json* Find(const std::string& key) {
    known_.insert(key);
    const auto it = object_.find(key);
    return it == object_.end() ? nullptr : &*it;
  }

  std::string Text(const std::string& key, bool required) {
    const Json* value = Find(key);
    if (value != nullptr && value->is_string() && !value->empty() &&
        !value->get_ref<const std::string&>().empty()) {
      return value->get<std::string>();
    }
    if (value != nullptr || required) Fail(key, "a non-empty string");
    return "";
  }

  // Accepts a string or a list of strings.
  std::vector<std::string> Texts(const std::string& key) {
    const Json* value = Find(key);
    if (value == nullptr) return {};
    if (value->is_string()) return {value->get<std::string>()};
    std::vector<std::string> texts;
    const bool is_list = value->is_array() && !value->empty();
    if (is_list) {
      for (const Json& item : *value) {
        if (item.is_string()) texts.push_back(item.get<std::string>());
      }
    }
    if (!is_list || texts.size() != value->size()) {
      Fail(key, "a string or a list of strings");
    }
    return texts;
  }

  std::vector<Pattern> Patterns(const std::string& key) {
    std::vector<Pattern> patterns;
    for (std::string& text : Texts(key)) {
      const auto star = text.find('*');
      if (star != std::string::npos && star + 1 != text.size()) {
        Fail(key, "a name with '*' only at its end");
      }
      patterns.emplace_back(std::move(text));
    }
    return patterns;
  }

  int64_t Integer(const std::string& key, int64_t fallback, int64_t min,
                  int64_t max) {
    const Json* value = Find(key);
    if (value == nullptr) return fallback;
    if (value->is_number_integer()) {
      const int64_t number = value->get<int64_t>();
      if (number >= min && number <= max) return number;
    }
    Fail(key, absl::StrCat("a whole number from ", min, " to ", max));
    return fallback;
  }

  double Number(const std::string& key, double fallback, double min,
                double max) {
    const Json* value = Find(key);
    if (value == nullptr) return fallback;
    if (value->is_number()) {
      const double number = value->get<double>();
      if (number >= min && number <= max) return number;
    }
    Fail(key, absl::StrCat("a number from ", min, " to ", max));
    return fallback;
  }

  std::optional<bool> Flag(const std::string& key) {
    const Json* value = Find(key);
    if (value == nullptr) return std::nullopt;
    if (value->is_boolean()) return value->get<bool>();
    Fail(key, "true or false");
    return std::nullopt;
  }

  void RejectUnknown() {
    for (const auto& [key, value] : object_.items()) {
      if (known_.contains(key)) continue;
      findings_.push_back({Finding::Severity::kError, rule_, 0,
                           absl::StrCat(part_, key, ": unknown field")});
    }
  }

 private:
  const Json& object_;
  std::string rule_;
  std::string part_;
  std::vector<Finding>& findings_;
  std::set<std::string> known_;
};

std::optional<std::chrono::minutes> ParseClockTime(const std::string& text) {
  int hours = 0;
  int minutes = 0;
  char rest = 0;
  if (std::sscanf(text.c_str(), "%2d:%2d%c", &hours, &minutes, &rest) != 2 ||
      hours < 0 || hours > 24 || minutes < 0 || minutes > 59) {
    return std::nullopt;
  }
  return std::chrono::minutes(hours * 60 + minutes);
}

std::optional<std::chrono::minutes> ParseUtcOffset(const std::string& text) {
  if (text.size() != 6 || (text[0] != '+' && text[0] != '-')) {
    return std::nullopt;
  }
  const auto size = ParseClockTime(text.substr(1));
  if (!size) return std::nullopt;
  return text[0] == '-' ? -*size : *size;
}

std::optional<TimeOfDay> ParseTimeOfDay(const Json& json,
                                        const std::string& rule,
                                        std::vector<Finding>& findings) {
  FieldReader reader(json, rule, "when.time_of_day.", findings);
  const auto from = ParseClockTime(reader.Text("from", true));
  const auto to = ParseClockTime(reader.Text("to", true));
  const auto offset = ParseUtcOffset(reader.Text("utc_offset", true));
  reader.RejectUnknown();
  if (!from) reader.Fail("from", "HH:MM");
  if (!to) reader.Fail("to", "HH:MM");
  if (!offset) reader.Fail("utc_offset", "+HH:MM or -HH:MM");
  if (!from || !to || !offset) return std::nullopt;
  return TimeOfDay{*from, *to, *offset};
}

RuleCondition ParseCondition(const Json& json, const std::string& rule,
                             std::vector<Finding>& findings) {
  FieldReader reader(json, rule, "when.", findings);
  RuleCondition when;
  when.callers = reader.Patterns("caller");
  when.methods = reader.Patterns("method");
  when.paths = reader.Patterns("path");
  when.models = reader.Patterns("model");
  when.services = reader.Patterns("service");
  when.data_centres = reader.Patterns("data_centre");
  when.model_is_cold = reader.Flag("model_is_cold");
  when.log_is_down = reader.Flag("log_is_down");
  const int64_t above = reader.Integer("replicas_above", -1, 0, kMaxCount);
  if (above >= 0) when.replicas_above = static_cast<int>(above);
  if (const Json* headers = reader.Find("headers"); headers != nullptr) {
    if (!headers->is_object()) reader.Fail("headers", "an object");
    FieldReader inner(*headers, rule, "when.headers.", findings);
    for (const auto& [name, value] : headers->items()) {
      when.headers[absl::AsciiStrToLower(name)] =
          Pattern(inner.Text(name, true));
    }
  }
  if (const Json* window = reader.Find("time_of_day"); window != nullptr) {
    if (window->is_object()) {
      when.time_of_day = ParseTimeOfDay(*window, rule, findings);
    } else {
      reader.Fail("time_of_day", "an object with from, to and utc_offset");
    }
  }
  reader.RejectUnknown();
  return when;
}

WhileLogDown ParseWhileLogDown(FieldReader& reader) {
  const std::string text = reader.Text("while_log_down", false);
  if (text == "wait") return WhileLogDown::kWait;
  if (!text.empty() && text != "refuse") {
    reader.Fail("while_log_down", "\"refuse\" or \"wait\"");
  }
  return WhileLogDown::kRefuse;
}

std::vector<ServiceShare> ParseServices(FieldReader& reader,
                                        const std::string& rule,
                                        std::vector<Finding>& findings) {
  std::vector<ServiceShare> shares;
  const Json* list = reader.Find("services");
  if (list == nullptr) return shares;
  if (!list->is_array()) {
    reader.Fail("services", "a list of objects");
    return shares;
  }
  for (const Json& item : *list) {
    if (!item.is_object()) {
      reader.Fail("services", "a list of objects");
      continue;
    }
    FieldReader share(item, rule, "then.services.", findings);
    ServiceShare parsed;
    parsed.service = share.Text("name", true);
    parsed.weight = share.Number("weight", 1.0, 0.0, kMaxWorth);
    share.RejectUnknown();
    shares.push_back(std::move(parsed));
  }
  return shares;
}

RuleOutcome ParseOutcome(const Json& json, const std::string& rule,
                         std::vector<Finding>& findings) {
  FieldReader reader(json, rule, "then.", findings);
  RuleOutcome then;
  then.models = reader.Texts("models");
  then.adapter = reader.Text("adapter", false);
  then.version = reader.Text("version", false);
  const std::string refuse = reader.Text("refuse", false);
  if (!refuse.empty()) then.refuse = refuse;
  then.deadline = std::chrono::milliseconds(
      reader.Integer("deadline_ms", ToMillis(then.deadline), 1, kMaxMillis));
  then.worth = reader.Number("worth", then.worth, 0.001, kMaxWorth);
  then.repeatable = reader.Flag("repeatable").value_or(true);
  then.retries = static_cast<int>(reader.Integer("retries", 2, 0, 10));
  then.queue_limit = static_cast<int>(
      reader.Integer("queue_limit", then.queue_limit, 0, kMaxCount));
  then.keep_warm = std::chrono::milliseconds(
      reader.Integer("keep_warm_ms", 0, 0, kMaxMillis));
  then.min_replicas =
      static_cast<int>(reader.Integer("least_replicas", 0, 0, kMaxCount));
  then.max_replicas = static_cast<int>(
      reader.Integer("most_replicas", then.max_replicas, 0, kMaxCount));
  then.data_centres = reader.Texts("data_centres");
  then.while_log_down = ParseWhileLogDown(reader);
  then.services = ParseServices(reader, rule, findings);
  then.target_latency = std::chrono::milliseconds(
      reader.Integer("target_latency_ms", 0, 0, kMaxMillis));
  then.target_gap = std::chrono::milliseconds(
      reader.Integer("target_gap_ms", 0, 0, kMaxMillis));
  then.max_start_wait = std::chrono::milliseconds(
      reader.Integer("patience_ms", 0, 0, kMaxMillis));
  then.priority =
      static_cast<int>(reader.Integer("priority", -1, 0, kMaxPriority));
  then.resumable = reader.Flag("resumable").value_or(false);
  then.needs_claim = reader.Flag("claim").value_or(true);
  then.is_public = reader.Flag("public").value_or(false);
  reader.RejectUnknown();
  if (then.min_replicas > then.max_replicas) {
    reader.Fail(
        "least_replicas",
        absl::StrCat("at most most_replicas, which is ", then.max_replicas));
  }
  return then;
}

Rule ParseRule(const Json& json, std::vector<Finding>& findings) {
  Rule rule;
  if (!json.is_object()) {
    findings.push_back(
        {Finding::Severity::kError, "", 0, "rules: expected objects"});
    return rule;
  }
  rule.name = FieldOr<std::string>(json, "name", "");
  FieldReader reader(json, rule.name, "", findings);
  reader.Text("name", true);
  const Json empty = Json::object();
  const Json* when = reader.Find("when");
  if (when != nullptr && !when->is_object()) reader.Fail("when", "an object");
  const bool has_when = when != nullptr && when->is_object();
  rule.when = ParseCondition(has_when ? *when : empty, rule.name, findings);
  const Json* then = reader.Find("then");
  const bool has_then = then != nullptr && then->is_object();
  if (!has_then) reader.Fail("then", "an object");
  rule.then = ParseOutcome(has_then ? *then : empty, rule.name, findings);
  reader.RejectUnknown();
  return rule;
}

}  // namespace

std::string Finding::ToString() const {
  std::string text = severity == Severity::kError ? "error" : "warning";
  if (line > 0) absl::StrAppend(&text, ": line ", line);
  if (!rule.empty()) absl::StrAppend(&text, ": rule \"", rule, "\"");
  return absl::StrCat(text, ": ", message);
}

bool ParsedRuleSet::has_errors() const {
  return std::any_of(findings.begin(), findings.end(), [](const Finding& f) {
    return f.severity == Finding::Severity::kError;
  });
}

ParsedRuleSet ParseRuleSet(const Json& document) {
  ParsedRuleSet parsed;
  if (!document.is_object()) {
    parsed.findings.push_back(
        {Finding::Severity::kError, "", 0, "expected one object"});
    return parsed;
  }
  FieldReader reader(document, "", "", parsed.findings);
  parsed.set.name = reader.Text("name", true);
  parsed.set.author = reader.Text("author", true);
  parsed.set.reason = reader.Text("reason", true);
  parsed.set.cold_start_weight =
      reader.Number("cold_start_weight", 0.5, 0.0, 1.0);
  const Json* rules = reader.Find("rules");
  if (rules == nullptr || !rules->is_array() || rules->empty()) {
    reader.Fail("rules", "a list of at least one rule");
  } else {
    for (const Json& rule : *rules) {
      parsed.set.rules.push_back(ParseRule(rule, parsed.findings));
    }
  }
  reader.RejectUnknown();
  return parsed;
}

void LocateFindings(const std::string& text, std::vector<Finding>& findings) {
  for (Finding& finding : findings) {
    if (finding.rule.empty()) continue;
    // Reports the line of the rule's name: the JSON library keeps no positions,
    // and names are unique in a valid set.
    const auto position = text.find(Json(finding.rule).dump());
    if (position == std::string::npos) continue;
    finding.line = 1 + static_cast<int>(std::count(
                           text.begin(), text.begin() + position, '\n'));
  }
}

}  // namespace applehall
