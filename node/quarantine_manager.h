#ifndef APPLEHALL_NODE_QUARANTINE_MANAGER_H_
#define APPLEHALL_NODE_QUARANTINE_MANAGER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/log_writer.h"
#include "node/node_context.h"
#include "node/server_end_inbox.h"
#include "node/server_end_reports.h"
#include "node/server_ends.h"
#include "routing/crash_ledger.h"
#include "routing/prompt_part_judge.h"
#include "routing/quarantine.h"
#include "routing/recent_keys.h"

namespace applehall {

// Quarantines poison messages: requests that crash the servers that run them.
//
// The caller of such a request repeats it at any host and under a new id, so no
// single host recognises it, and it crashes one engine after another with all
// requests that run there. Therefore hosts report to the placement owner which
// contents were under way at a server that ended, and the owner quarantines the
// content that was there each time. If each request is new but all share a part
// of their prompts, the owner quarantines that part. It announces each suspect,
// and hosts that have an answer to a request with it report that. The owner's
// plans carry the quarantine to all hosts without the store. The store keeps a
// record for the case that all hosts restart: a host reads it when it starts,
// when it becomes the owner and while no owner is reachable. Without an owner
// each host counts only the ends that it observed itself.
//
// With placement by groups there is no single owner. There the ends are records
// of the control stream, from which all hosts derive the same quarantines.
class QuarantineManager {
 public:
  // An answer that has been under way for this long shows that its request does
  // not end its server.
  static constexpr Duration kAnswerProvenAge = std::chrono::milliseconds(250);

  QuarantineManager(NodeContext& context, LogWriter& writer)
      : context_(context), writer_(writer), reports_(context.settings.self) {}

  // ---- Requests of this host. Not thread-safe. ----
  // Records that `server` ended with the requests of `cuts` under way.
  void RecordEnd(const std::string& server,
                 const std::vector<CutRequest>& cuts);
  // Records that a server answered the content completely.
  void RecordCompleted(uint64_t fingerprint);
  // Records that a server answered a request with these parts, or that its
  // answer has been under way for kAnswerProvenAge.
  void RecordAnswer(const std::vector<PartKeys>& parts);
  // Returns the key of the content or of the group of prompt parts for which
  // the request must not be sent to any server; zero if there is none.
  uint64_t FindHeld(uint64_t fingerprint,
                    const std::vector<PartKeys>& parts) const;
  // Returns whether the content is suspect, or a part that no server has
  // answered lately might be. Not thread-safe.
  bool NeedsProof(uint64_t fingerprint,
                  const std::vector<PartKeys>& parts) const;
  // Returns whether one of the parts was at the end of a server and no answer
  // has cleared it.
  bool HasSuspect(const std::vector<PartKeys>& parts) const;
  Duration Remaining(uint64_t key) const {
    return quarantine_.Until(key) - context_.now;
  }
  // Returns the keys that were quarantined since the last call.
  std::vector<uint64_t> TakeAdded() { return std::exchange(added_, {}); }

  // ---- Reports and plans between hosts. Not thread-safe. ----
  // True if the next report contains a row that was not sent yet.
  bool HasNewRows() const { return reports_.HasNew(); }
  // Returns the rows to send to the owner under `token` now; null if none.
  Json BuildReportRows(FencingToken token);
  void HandleReport(const std::string& host, const Json& report);
  // Returns the acknowledgement to send to `host` with its next plan; null if
  // none is due.
  Json TakeAckFor(const std::string& host) { return inbox_.TakeOwedAck(host); }
  // Handles the acknowledgement of this host's rows by the owner under `token`.
  void TakeAck(FencingToken token, const Json& ack) {
    reports_.HandleAck(token, ack);
  }
  // Assigns the next update numbers of the owner to the contents that changed
  // since the last call. `last_update` is the last number assigned.
  void NumberRows(uint64_t& last_update);
  // Assigns new update numbers to all quarantines, for the first plans of a new
  // owner.
  void RenumberRows(uint64_t& last_update);
  // The last update about a suspect or quarantined key. Hosts need it at once.
  uint64_t urgent_update() const { return urgent_update_; }
  // Returns the rows of a plan with the updates after `since`.
  Json PlanRows(uint64_t since) const;
  void HandlePlan(const Json& rows);

  // ---- Control stream, with placement by groups. Not thread-safe. ----
  // Applies the quarantines of a changed control state.
  void HandleControl();

  // ---- Record in the store. Not thread-safe. ----
  void HandleRead(const QuarantineRead& event);
  void HandleAppendEnd(const QuarantineAppendEnded& event);

  // Expires quarantines, and reads, appends and releases records that are due.
  // Not thread-safe.
  void RunTick(bool is_owner, bool is_owner_reachable);
  Json ToJson() const;

 private:
  // A content with a complete answer within this time is not counted as the
  // cause of an end.
  static constexpr Duration kCompletedTtl = std::chrono::minutes(1);
  // 18 requests a second at each host of the largest fleet, for a minute.
  static constexpr size_t kMaxCompleted = 1080;
  static constexpr Duration kProbationTtl = std::chrono::hours(24);
  static constexpr size_t kMaxOnProbation = 1024;

  // State of a content or prompt part. The values are those in plans.
  enum class ContentState : uint8_t { kClear, kSuspect, kQuarantined };
  bool IsFleet() const {
    return context_.settings.placement == PlacementStyle::kFleet;
  }
  bool HasCompletedLately(uint64_t fingerprint) const {
    return completed_.Holds(fingerprint, context_.now);
  }
  ContentState StateOf(uint64_t key) const;
  // Queues a row for the next report to the owner.
  void QueueRow(ServerEndRow row);
  void ApplyRow(const std::string& host, const ServerEndRow& row);
  void LogDropped(size_t rows, const char* reason);
  // Counts an end that `host` observed, and quarantines a proven content.
  void ApplyEnd(const ServerEnd& end, const std::string& host);
  // Records a request that was cut at an end.
  void ApplyCut(CutPrompt cut, const std::string& host);
  // Quarantines the prompt parts that explain the ends.
  void JudgeParts(bool is_owner_reachable);
  // Removes all suspicion of a content or part. Returns the keys that are no
  // longer quarantined.
  std::vector<uint64_t> Clear(uint64_t key);
  // Removes a part from the groups that contain it.
  void ClearFromGroups(uint64_t part, std::vector<uint64_t>& lifted);
  void RemoveHeld(uint64_t key, const std::string& reason);
  // Clears a key that a server answered, and schedules the release of its
  // record in the store.
  void Lift(uint64_t key);
  // Quarantines what was found here, and records it in the store.
  void Hold(uint64_t key, const Quarantine::Parts& parts,
            const std::string& source);
  void Add(uint64_t key, TimePoint until, const std::string& source,
           const Quarantine::Parts& parts = {});
  // Returns whether a server has answered a part of the group lately.
  bool HasAnsweredPart(const Quarantine::Parts& group) const;
  // Reports to the owner if this host has an answer to the suspect.
  void HandleSuspect(uint64_t key);
  void HandleHeld(uint64_t key, const Json& row);
  void ExpireQuarantines(bool is_owner);
  void ReadRecordIfDue(bool is_owner, bool is_owner_reachable);
  void AppendIfDue();

  NodeContext& context_;
  LogWriter& writer_;
  CrashLedger ledger_;
  PromptPartJudge part_judge_;
  Quarantine quarantine_;
  std::vector<uint64_t> added_;
  // Owner: keys whose state changed and has no update number yet.
  std::set<uint64_t> changed_;
  uint64_t urgent_update_ = 0;
  struct Announcement {
    uint64_t update = 0;
    TimePoint at;
    // True if an earlier row announced a quarantine, which hosts may still
    // apply.
    bool was_quarantined = false;
  };
  // Owner: the last update of each key.
  std::map<uint64_t, Announcement> announced_;
  // Suspects that the owner announced, with the time of the announcement.
  std::map<uint64_t, TimePoint> suspects_;
  ServerEndReports reports_;
  ServerEndInbox inbox_;                                // Owner.
  RecentKeys completed_{kMaxCompleted, kCompletedTtl};  // Contents.
  // Keys whose quarantine expired, and which no server has answered since.
  RecentKeys on_probation_{kMaxOnProbation, kProbationTtl};

  std::set<uint64_t> from_log_;  // Quarantined by the control stream.

  // Quarantines and releases that the store has not acknowledged.
  std::set<uint64_t> unrecorded_;
  std::set<uint64_t> unreleased_;
  TimePoint recorded_at_;
  bool is_owner_ = false;  // At the last tick.
  bool has_read_ = false;  // Since this host became the owner.
  TimePoint read_at_;      // Last read request; epoch: a read is due.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_QUARANTINE_MANAGER_H_
