#ifndef APPLEHALL_RULES_RULE_H_
#define APPLEHALL_RULES_RULE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/pattern.h"

namespace applehall {

// What the matcher may know about a request. Header names are in lower case.
struct RequestFacts {
  std::string caller;
  std::string method;
  std::string path;
  std::string model;    // Empty for a call to a plain service.
  std::string service;  // Empty for a call to a model.
  std::map<std::string, std::string> headers;
};

// What the matcher may know about the system when it decides.
struct SystemFacts {
  TimePoint now;
  std::string data_centre;
  bool log_down = false;
  // Ready replicas of the requested model in this data centre.
  int replicas = 0;
};

// A daily window, in the operator's own time zone. It may pass midnight.
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
  // True if every request that matches `other` matches this one too. May be
  // false for a condition that covers in a way too subtle to see.
  bool Covers(const RuleCondition& other) const;
  // Why `request` does not match; empty when it does.
  std::string Mismatch(const RequestFacts& request,
                       const SystemFacts& system) const;
};

enum class WhileLogDown : uint8_t { kRefuse, kWait };

// A share of requests that goes to one of several services.
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
  Duration keep_warm{0};  // Zero leaves the time to the learnt policy.
  int least_replicas = 0;
  int most_replicas = 1;
  std::vector<std::string> data_centres;  // Empty allows all.
  WhileLogDown while_log_down = WhileLogDown::kRefuse;
  // Whose backend servers take the request; empty leaves that to the request.
  std::vector<ServiceShare> services;
  // Time to the first piece of an answer that its caller hopes for; zero if
  // the rule says nothing.
  Duration target_latency{0};
  // How long a caller waits for the first piece before it leaves, although its
  // deadline is later; zero: until its deadline.
  Duration patience{0};
  // Rank at an engine, 0 first; negative leaves it to the engine.
  int priority = -1;
  // A broken stream may go on at another engine after its last event.
  bool resumable = false;
  // Whether a request that may not be repeated must claim its key on the log.
  // Needless where each attempt reaches one host only.
  bool needs_claim = true;
  // Open to callers that belong to no team.
  bool is_public = false;

  // A request with minutes to spare fills only what is idle.
  bool is_background() const;
  bool AllowsDataCentre(const std::string& data_centre) const;
};

struct Rule {
  std::string name;
  RuleCondition when;
  RuleOutcome then;
};

// A rule set as published. Version is the log offset of its record.
struct RuleSet {
  std::string name;
  std::string author;
  std::string reason;
  // From 0 (spare accelerators) to 1 (spare callers a cold start).
  double cold_start_weight = 0.5;
  std::vector<Rule> rules;
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_H_
