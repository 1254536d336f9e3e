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

// Keeps requests that end the servers that run them away from all servers.
//
// A request that ends its server comes again, at any host and under a new id:
// to each host it looks like the first of its kind, and engine after engine
// ends with all that runs there. So hosts tell the placement owner which
// contents were under way at a server that ended, and the owner finds the one
// that was there each time. It is told to all hosts with the owner's plans,
// which needs no store, and recorded in the store, which outlives all hosts: a
// host reads the record when it starts, when it becomes the owner and while it
// hears none. Without an owner each host goes by the ends it saw itself.
//
// Where hosts place by groups there is no one owner; there the ends are records
// of the control stream, and all hosts find the same from them.
class QuarantineManager {
 public:
  QuarantineManager(NodeContext& context, LogWriter& writer)
      : context_(context), writer_(writer), reports_(context.settings.self) {}

  // ---- What this host's requests say. Not thread-safe. ----
  void RecordEnd(const std::string& server,
                 const std::vector<CutRequest>& cuts);
  // A server ran it to its end.
  void RecordCompleted(uint64_t fingerprint);
  // It must be sent to no server.
  bool Holds(uint64_t fingerprint) const {
    return quarantine_.Holds(fingerprint, context_.now);
  }
  Duration Remaining(uint64_t fingerprint) const {
    return quarantine_.Until(fingerprint) - context_.now;
  }
  // Contents that came under quarantine since the last call.
  std::vector<uint64_t> TakeAdded() { return std::exchange(added_, {}); }

  // ---- Between the hosts. Not thread-safe. ----
  // A row of the next report is not sent yet.
  bool HasNewRows() const { return reports_.HasNew(); }
  // What the owner under `token` is owed now; null if nothing.
  Json BuildReportRows(FencingToken token);
  void TakeReport(const std::string& host, const Json& report);
  // The acknowledgement that `host` is owed with its next plan; null if none.
  Json TakeAckFor(const std::string& host) { return inbox_.TakeAck(host); }
  // The owner under `token` has this host's rows up to one.
  void TakeAck(FencingToken token, const Json& ack) {
    reports_.TakeAck(token, ack);
  }
  // Numbers what has changed since the last call among the owner's news; the
  // last number given is `last_news`.
  void NumberRows(uint64_t& last_news);
  // Numbers all that is known, for a new owner's first plans.
  void RenumberRows(uint64_t& last_news);
  // The rows of a plan with the news after `since`.
  Json PlanRows(uint64_t since) const;
  void TakePlan(const Json& rows);

  // ---- The log, where hosts place by groups. Not thread-safe. ----
  // The control state has changed.
  void TakeControl();

  // ---- The store's record. Not thread-safe. ----
  void TakeRead(const QuarantineRead& event);
  void TakeAppendEnd(const QuarantineAppendEnded& event);

  // Reads, records and releases what is due. Not thread-safe.
  void RunTick(bool is_owner, bool is_owner_reachable);
  Json ToJson() const;

 private:
  // What the fleet believes of a content; as numbered in plans.
  enum class Standing : uint8_t { kClear, kSuspect, kQuarantined };
  bool IsFleet() const {
    return context_.settings.placement == PlacementStyle::kFleet;
  }
  bool HasCompletedLately(uint64_t fingerprint) const;
  Standing StandingOf(uint64_t fingerprint) const;
  // Adds a row for the owner.
  void Tell(ServerEndRow row);
  void TakeRow(const std::string& host, const ServerEndRow& row);
  void LogDropped(size_t rows, const char* reason);
  // Takes an end into account that was seen at `host`.
  void Judge(const ServerEnd& end, const std::string& host);
  // Forgets what speaks against it; true if it was under quarantine.
  bool Clear(uint64_t fingerprint);
  // A server ran it to its end: its record in the store goes as well.
  void Lift(uint64_t fingerprint);
  void Add(uint64_t fingerprint, TimePoint until, const std::string& source);
  void EndDue(bool is_owner);
  void ReadDue(bool is_owner, bool is_owner_reachable);
  void AppendDue();

  NodeContext& context_;
  LogWriter& writer_;
  CrashLedger ledger_;
  Quarantine quarantine_;
  std::vector<uint64_t> added_;
  // Owner: contents whose standing changed, and the news that told it.
  std::set<uint64_t> changed_;
  struct Told {
    uint64_t news = 0;
    TimePoint at;
    bool was_quarantined = false;  // By an earlier row, which hosts may hold.
  };
  std::map<uint64_t, Told> told_;
  // Contents under which more than one server ended, as the owner said then.
  std::map<uint64_t, TimePoint> suspects_;
  ServerEndReports reports_;
  ServerEndInbox inbox_;  // Owner.
  // When requests of these contents were last answered here, the oldest first.
  std::map<uint64_t, TimePoint> completed_;
  std::deque<uint64_t> completed_order_;

  std::set<uint64_t> from_log_;  // Contents that the log says are held.

  // Contents that this host found and the store has not acknowledged.
  std::set<uint64_t> unrecorded_;
  std::set<uint64_t> unreleased_;
  TimePoint recorded_at_;
  bool is_owner_ = false;  // At the last tick.
  bool has_read_ = false;  // Since this host became the owner.
  TimePoint read_at_;      // Last question; epoch: one is due.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_QUARANTINE_MANAGER_H_
