#ifndef APPLEHALL_RULES_RULE_BOOK_H_
#define APPLEHALL_RULES_RULE_BOOK_H_

#include <memory>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/log_record.h"
#include "rules/rule.h"
#include "rules/rule_matcher.h"
#include "rules/rule_set_parser.h"

namespace applehall {

// A rule set in force, ready to be matched. Never changes once built.
struct CompiledRules {
  LogOffset version = 0;
  RuleSet set;
  RuleMatcher matcher;
  // The rules as published, one JSON text each, so that a change is parsed
  // only where it differs.
  std::vector<std::string> rule_texts;
  std::string header_text;

  Json Document() const;
};

// The change from one document to another: the rules between a common start
// and a common end are replaced. At 3,000 rules a change of one is a few
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

// The rule set in force, as the fold of what was published.
//
// Two operators that publish on the same base race; the log's order decides,
// and the later one is void. The version only ever grows.
class RuleBook {
 public:
  enum class Result : uint8_t { kAccepted, kStaleBase, kInvalid };

  // Judges one publication at `offset`. `body` holds base and either
  // "document" or "delta". Requires: offsets ascend from call to call. Not
  // thread-safe.
  Result Publish(LogOffset offset, const Json& body);

  // Takes over a state carried forward by the log or a peer; ignored unless
  // it is newer. Not thread-safe.
  absl::Status Install(LogOffset version, const Json& document);

  // Null until a first set is in force. The pointee is immutable and may be
  // read from any thread. Not thread-safe itself.
  std::shared_ptr<const CompiledRules> current() const { return current_; }
  LogOffset version() const { return current_ ? current_->version : 0; }

 private:
  std::shared_ptr<const CompiledRules> current_;
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_RULE_BOOK_H_
