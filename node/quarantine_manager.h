#ifndef APPLEHALL_NODE_QUARANTINE_MANAGER_H_
#define APPLEHALL_NODE_QUARANTINE_MANAGER_H_

#include <deque>
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
#include "routing/quarantine.h"

namespace applehall {

// Quarantines poison messages: requests that crash the servers that run them.
//
// The caller of such a request repeats it at any host and under a new id, so no
// single host recognises it, and it crashes one engine after another with all
// requests that run there. Therefore hosts report to the placement owner which
// contents were under way at a server that ended, and the owner quarantines the
// content that was there each time. The owner's plans carry the quarantine to
// all hosts without the store. The store keeps a record for the case that all
// hosts restart: a host reads it when it starts, when it becomes the owner and
// while no owner is reachable. Without an owner each host counts only the ends
// that it observed itself.
//
// With placement by groups there is no single owner. There the ends are records
// of the control stream, from which all hosts derive the same quarantines.
class QuarantineManager {
 public:
  QuarantineManager(NodeContext& context, LogWriter& writer)
      : context_(context), writer_(writer), reports_(context.settings.self) {}

  // ---- Requests of this host. Not thread-safe. ----
  // Records that `server` ended with the requests of `cuts` under way.
  void RecordEnd(const std::string& server,
                 const std::vector<CutRequest>& cuts);
  // Records that a server answered the content completely.
  void RecordCompleted(uint64_t fingerprint);
  // True if the content must not be sent to any server.
  bool Holds(uint64_t fingerprint) const {
    return quarantine_.Holds(fingerprint, context_.now);
  }
  Duration Remaining(uint64_t fingerprint) const {
    return quarantine_.Until(fingerprint) - context_.now;
  }
  // Returns the contents that were quarantined since the last call.
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
  // State of a content. The values are those in plans.
  enum class ContentState : uint8_t { kClear, kSuspect, kQuarantined };
  bool IsFleet() const {
    return context_.settings.placement == PlacementStyle::kFleet;
  }
  bool HasCompletedLately(uint64_t fingerprint) const;
  ContentState StateOf(uint64_t fingerprint) const;
  // Queues a row for the next report to the owner.
  void QueueRow(ServerEndRow row);
  void ApplyRow(const std::string& host, const ServerEndRow& row);
  void LogDropped(size_t rows, const char* reason);
  // Counts an end that `host` observed, and quarantines a proven content.
  void ApplyEnd(const ServerEnd& end, const std::string& host);
  // Removes all suspicion of a content; true if it was quarantined.
  bool Clear(uint64_t fingerprint);
  // Clears a content that a server answered completely, and schedules the
  // release of its record in the store.
  void Lift(uint64_t fingerprint);
  void Add(uint64_t fingerprint, TimePoint until, const std::string& source);
  void ExpireQuarantines(bool is_owner);
  void ReadRecordIfDue(bool is_owner, bool is_owner_reachable);
  void AppendIfDue();

  NodeContext& context_;
  LogWriter& writer_;
  CrashLedger ledger_;
  Quarantine quarantine_;
  std::vector<uint64_t> added_;
  // Owner: contents whose state changed and has no update number yet.
  std::set<uint64_t> changed_;
  struct Announcement {
    uint64_t update = 0;
    TimePoint at;
    // True if an earlier row announced a quarantine, which hosts may still
    // apply.
    bool was_quarantined = false;
  };
  // Owner: the last update of each content.
  std::map<uint64_t, Announcement> announced_;
  // Suspects that the owner announced, with the time of the announcement.
  std::map<uint64_t, TimePoint> suspects_;
  ServerEndReports reports_;
  ServerEndInbox inbox_;  // Owner.
  // Time of the last complete answer by content, and the contents in the order
  // of their first answer.
  std::map<uint64_t, TimePoint> completed_;
  std::deque<uint64_t> completed_order_;

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
