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

// Return the bodies of records on the control stream. `id` lets a writer whose
// answer was lost recognise its own record. Thread-safe.
Json PublishRecord(const std::string& id, LogOffset base, const Json& body);
Json ClaimGroupRecord(const std::string& id, const std::string& group,
                      const Incarnation& owner, FencingToken previous);
Json ReleaseGroupRecord(const std::string& id, const std::string& group,
                        FencingToken token);
// Records that a server ended while requests with these contents were running.
Json ServerEndRecord(const std::vector<ServerEnd>& ends);
// Records that a server completed a request with this content.
Json ContentClearedRecord(uint64_t fingerprint);

// The result of one publication of rules.
struct PublishOutcome {
  RuleRegistry::Result result = RuleRegistry::Result::kStaleBase;
  LogOffset offset = 0;
  // The version in force after the record was applied.
  LogOffset version_after = 0;
};

// The replicated state of all hosts: the fold of the control stream.
//
// Hosts that read the same records reach the same state, wherever they start. A
// host that starts after records have expired cannot apply compare-and-set
// records without a base state: it buffers them until a snapshot, from the log
// or a peer, covers the start of the buffer.
class ControlFold {
 public:
  // Applies one batch of the control stream. Records already applied are
  // ignored, so duplicate and reordered batches are harmless. Not thread-safe.
  void Apply(const LogBatch& batch);
  // Installs a snapshot from a record or a peer. False if it is not newer than
  // the state, leaves a gap or is malformed. Not thread-safe.
  bool Install(const Json& snapshot);

  // Puts a rule set of the platform's store into force; versions older than the
  // one in force are ignored. Not thread-safe.
  absl::Status InstallRules(LogOffset version, const Json& document) {
    return rules_.Install(version, document);
  }

  // Returns the whole state, for a snapshot record or a peer. Requires:
  // has_base(). Not thread-safe.
  Json Snapshot() const;
  // Returns the records from `offset` on for a peer that lags a little; nullopt
  // if this host no longer has all of them. Not thread-safe.
  std::optional<LogBatch> RecordsFrom(LogOffset offset) const;

  // Offset at which the next read must start. Not thread-safe.
  LogOffset next_offset() const { return next_offset_; }
  // False while compare-and-set records are buffered for want of a snapshot.
  bool has_base() const { return has_base_; }
  const RuleRegistry& rules() const { return rules_; }
  const OwnershipTable& ownership() const { return ownership_; }
  // Poison messages: contents of requests that end servers. Empty where the
  // platform's store keeps the quarantine.
  const Quarantine& quarantine() const { return quarantine_; }
  const CrashLedger& crashes() const { return crashes_; }
  // When the last snapshot record was written; decides when the next one is
  // due.
  TimePoint last_snapshot_at() const { return last_snapshot_at_; }
  TimePoint first_record_at() const { return first_record_at_; }
  // Results of the last kMaxOutcomes publications, by record id.
  const std::map<std::string, PublishOutcome>& outcomes() const {
    return outcomes_;
  }

 private:
  void ApplyRecord(const LogRecord& record, const Json& body);
  void AddRecord(const LogRecord& record);
  void KeepRecent(const LogRecord& record);
  void RecordOutcome(const std::string& id, const PublishOutcome& outcome);

  RuleRegistry rules_;
  void ApplyServerEnd(const LogRecord& record, const Json& body);

  OwnershipTable ownership_;
  CrashLedger crashes_;
  Quarantine quarantine_;
  LogOffset next_offset_ = 1;
  bool has_base_ = true;
  LogOffset pending_from_ = 1;
  std::deque<LogRecord> pending_;  // Buffered until a snapshot covers them.
  std::deque<LogRecord> recent_;
  std::map<std::string, PublishOutcome> outcomes_;
  std::deque<std::string> outcome_order_;
  TimePoint last_snapshot_at_;
  TimePoint first_record_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_CONTROL_FOLD_H_
