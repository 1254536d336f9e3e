#ifndef APPLEHALL_RULES_RULE_H_
#define APPLEHALL_RULES_RULE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/pattern.h"

namespace applehall {

// Properties of a request that conditions test. Header names are lower case.
struct RequestFacts {
  std::string caller;
  std::string method;
  std::string path;
  std::string model;    // Empty for a call to a plain service.
  std::string service;  // Empty for a call to a model.
  std::map<std::string, std::string> headers;
};

// State of the system that conditions test.
struct SystemFacts {
  TimePoint now;
  std::string data_centre;
  bool log_down = false;
  // Ready replicas of the requested model in this data centre.
  int replicas = 0;
};

// A daily time window at a fixed UTC offset. It may span midnight.
struct TimeOfDay {
  std::chrono::minutes from{0};
  std::chrono::minutes to{0};
  std::chrono::minutes utc_offset{0};

  bool Contains(TimePoint now) const;
  bool operator==(const TimeOfDay&) const = default;
};

// The "when" of a rule. An empty list matches everything.
struct RuleCondition {
  std::vector<Pattern> callers;
  std::vector<Pattern> methods;
  std::vector<Pattern> paths;
  std::vector<Pattern> models;
  std::vector<Pattern> services;
  std::vector<Pattern> data_centres;
  std::map<std::string, Pattern> headers;
  std::optional<TimeOfDay> time_of_day;
  std::optional<bool> model_is_cold;
  std::optional<bool> log_is_down;
  std::optional<int> replicas_above;

  // Requires: nothing. Thread-safe.
  bool Matches(const RequestFacts& request, const SystemFacts& system) const;
  // True if every request that matches `other` provably matches this condition.
  // The check is conservative: it may return false for a condition that covers.
  bool Covers(const RuleCondition& other) const;
  // Returns why `request` does not match; empty if it does.
  std::string MismatchReason(const RequestFacts& request,
                             const SystemFacts& system) const;
};

enum class WhileLogDown : uint8_t { kRefuse, kWait };

// One of several services and its relative share of the requests.
struct ServiceShare {
  std::string service;
  double weight = 1.0;
};

// The "then" of a rule.
struct RuleOutcome {
  std::vector<std::string> models;  // In order of preference.
  std::string adapter;
  std::string version;
  std::optional<std::string> refuse;
  Duration deadline = std::chrono::seconds(30);
  double worth = 1.0;
  bool repeatable = true;
  int retries = 2;
  int queue_limit = 1000;
  Duration keep_warm{0};  // Zero: the learnt policy decides.
  int min_replicas = 0;
  int max_replicas = 1;
  std::vector<std::string> data_centres;  // Empty: all are allowed.
  WhileLogDown while_log_down = WhileLogDown::kRefuse;
  // Services whose backend servers may run the request; empty: the service that
  // the request names.
  std::vector<ServiceShare> services;
  // Target time to the first piece of the answer; zero if the rule sets none.
  Duration target_latency{0};
  // Longest pause between two pieces of an answer that is on time; zero if the
  // rule sets none.
  Duration target_gap{0};
  // Time after which a caller without a first piece of the answer disconnects,
  // even before the deadline; zero: the caller waits until the deadline.
  Duration max_start_wait{0};
  // Scheduling priority at an engine, 0 first; negative: the engine decides.
  int priority = -1;
  // A broken stream may resume at another engine after its last event.
  bool resumable = false;
  // Whether a request that must not be repeated has to claim its key on the
  // log. Unnecessary where each attempt reaches only one host.
  bool needs_claim = true;
  // Also admits callers without a team.
  bool is_public = false;

  // True for a deadline of 10 minutes or more. Such requests use only idle
  // capacity.
  bool is_background() const;
  bool AllowsDataCentre(const std::string& data_centre) const;
};

struct Rule {
  std::string name;
  RuleCondition when;
  RuleOutcome then;
};

// A rule set as published.
struct RuleSet {
  std::string name;
  std::string author;
  std::string reason;
  // From 0 (save accelerators) to 1 (avoid cold starts).
  double cold_start_weight = 0.5;
  std::vector<Rule> rules;
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_H_
