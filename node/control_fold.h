#ifndef APPLEHALL_NODE_CONTROL_FOLD_H_
#define APPLEHALL_NODE_CONTROL_FOLD_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/log_record.h"
#include "placement/ownership_table.h"
#include "routing/crash_ledger.h"
#include "routing/quarantine.h"
#include "rules/rule_registry.h"

namespace applehall {

// Name of the log stream that holds rule sets and ownerships.
inline constexpr char kControlStream[] = "control";

// Bodies of the records on the control stream. `id` lets a writer whose
// answer was lost find its own record again.
Json PublishRecord(const std::string& id, LogOffset base, const Json& body);
Json ClaimGroupRecord(const std::string& id, const std::string& group,
                      const Incarnation& owner, FencingToken previous);
Json ReleaseGroupRecord(const std::string& id, const std::string& group,
                        FencingToken token);
// A server ended with requests of these contents under way.
Json ServerEndRecord(const std::vector<ServerEnd>& ends);
// A server ran a request of this content to its end.
Json ContentClearedRecord(uint64_t fingerprint);

// How one publication was judged.
struct PublishOutcome {
  RuleRegistry::Result result = RuleRegistry::Result::kStaleBase;
  LogOffset offset = 0;
  // The version in force right after the record was judged.
  LogOffset version_after = 0;
};

// The state that all hosts agree on: the fold of the control stream.
//
// Every host that reads the same records reaches the same state, wherever it
// starts. A host that starts behind the log's retention cannot judge
// compare-and-set records until it has a state to judge them by: it keeps
// them aside until a snapshot, from the log or a peer, covers their start.
class ControlFold {
 public:
  // Takes one batch of the control stream. Records already folded are
  // ignored, so doubled and crossed answers change nothing. Not thread-safe.
  void Apply(const LogBatch& batch);
  // Takes a snapshot, from a record or a peer. False if it does not help.
  // Not thread-safe.
  bool Install(const Json& snapshot);

  // Puts a rule set in force that the platform keeps by itself; older ones
  // than the one in force are ignored. Not thread-safe.
  absl::Status InstallRules(LogOffset version, const Json& document) {
    return rules_.Install(version, document);
  }

  // Everything a new host needs, for a snapshot record or a peer. Requires:
  // is_based(). Not thread-safe.
  Json Snapshot() const;
  // Records from `offset` on, if this host still has all of them; for peers
  // that lag a little. Not thread-safe.
  std::optional<LogBatch> RecordsFrom(LogOffset offset) const;

  // Where the next read must start. Not thread-safe.
  LogOffset next_offset() const { return next_offset_; }
  // False while compare-and-set records cannot be judged here.
  bool is_based() const { return is_based_; }
  const RuleRegistry& rules() const { return rules_; }
  const OwnershipTable& ownership() const { return ownership_; }
  // Contents of requests that end servers. Where the platform's store keeps
  // these, nothing.
  const Quarantine& quarantine() const { return quarantine_; }
  const CrashLedger& crashes() const { return crashes_; }
  // When the last snapshot record was written; for carrying forward.
  TimePoint last_snapshot_at() const { return last_snapshot_at_; }
  TimePoint first_record_at() const { return first_record_at_; }
  // Judgements by record id, of the last kMostOutcomes publications.
  const std::map<std::string, PublishOutcome>& outcomes() const {
    return outcomes_;
  }

 private:
  void Judge(const LogRecord& record, const Json& body);
  void TakeRecord(const LogRecord& record);
  void Remember(const LogRecord& record);
  void RememberOutcome(const std::string& id, const PublishOutcome& outcome);

  RuleRegistry rules_;
  void JudgeEnd(const LogRecord& record, const Json& body);

  OwnershipTable ownership_;
  CrashLedger crashes_;
  Quarantine quarantine_;
  LogOffset next_offset_ = 1;
  bool is_based_ = true;
  LogOffset pending_from_ = 1;
  std::deque<LogRecord> pending_;  // Read, but not yet to be judged.
  std::deque<LogRecord> recent_;
  std::map<std::string, PublishOutcome> outcomes_;
  std::deque<std::string> outcome_order_;
  TimePoint last_snapshot_at_;
  TimePoint first_record_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_CONTROL_FOLD_H_
