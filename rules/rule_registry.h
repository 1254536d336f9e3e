#ifndef APPLEHALL_RULES_RULE_REGISTRY_H_
#define APPLEHALL_RULES_RULE_REGISTRY_H_

#include <memory>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/log_record.h"
#include "rules/rule.h"
#include "rules/rule_matcher.h"
#include "rules/rule_set_parser.h"

namespace applehall {

// A rule set with its matcher. Immutable after construction.
struct CompiledRules {
  LogOffset version = 0;  // Log offset of its record.
  RuleSet set;
  RuleMatcher matcher;
  // The published JSON text of each rule, so that a delta needs to parse only
  // the rules that it changes.
  std::vector<std::string> rule_texts;
  std::string header_text;

  Json Document() const;
};

// The difference between two documents: replaces the rules between a common
// head and a common tail. With 3,000 rules, a change of one rule takes a few
// hundred bytes instead of the whole document.
struct RuleSetDelta {
  Json header;
  size_t keep_first = 0;
  size_t keep_last = 0;
  std::vector<Json> rules;

  Json ToJson() const;
  static absl::StatusOr<RuleSetDelta> FromJson(const Json& json);
  static RuleSetDelta Between(const Json& before, const Json& after);
};

// The rule set in force, as the fold of all publications.
//
// If two operators publish on the same base, the first in the log's order is
// accepted and the other is rejected. The version only increases.
class RuleRegistry {
 public:
  enum class Result : uint8_t { kAccepted, kStaleBase, kInvalid };

  // Applies the publication at `offset` if its base is the current version and
  // its rules are valid. `body` has "base" and either "document" or "delta".
  // Requires: offsets ascend from call to call. Not thread-safe.
  Result Publish(LogOffset offset, const Json& body);

  // Installs a snapshot from the log or a peer; ignores it unless it is newer.
  // Returns an error if its rules are invalid. Not thread-safe.
  absl::Status Install(LogOffset version, const Json& document);

  // Null before the first rule set. The pointee is immutable and may be read
  // from any thread. Not thread-safe itself.
  std::shared_ptr<const CompiledRules> current() const { return current_; }
  LogOffset version() const { return current_ ? current_->version : 0; }

 private:
  std::shared_ptr<const CompiledRules> current_;
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_REGISTRY_H_
