#include "node/quarantine_manager.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/request_fingerprint.h"
#include "node/control_fold.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A poison message crashes its server soon after it starts. An answer that was
// under way for longer than this was probably cut by another request's crash.
constexpr Duration kLateAnswerAge = seconds(1);
// A content with a complete answer within this time is not counted as the cause
// of an end.
constexpr Duration kCompletedTtl = minutes(1);
// 18 requests a second at each host of the largest fleet, for a minute.
constexpr size_t kMaxCompleted = 1080;
// Validity of a suspect that the owner announced. Hosts report complete answers
// of suspects.
constexpr Duration kSuspectTtl = minutes(10);
constexpr size_t kMaxSuspects = 1024;
// All hosts must apply a quarantine within 3 s, also those without an owner.
constexpr Duration kReadInterval = seconds(2);
// Retry interval until the store acknowledges. Bounds the calls that fail while
// the store is unavailable.
constexpr Duration kAppendInterval = seconds(1);
constexpr int kMaxAppendsPerRound = 8;

}  // namespace

// ---- Requests of this host ----

void QuarantineManager::RecordEnd(const std::string& server,
                                  const std::vector<CutRequest>& cuts) {
  context_.metrics.Count("servers_ended_total");
  std::vector<ServerEnd> ends;
  for (const CutRequest& cut : cuts) {
    const bool is_cleared = HasCompletedLately(cut.fingerprint);
    LogEvent(LogLevel::kWarning, "server_ended")
        .With("server", server)
        .With("fingerprint", FingerprintText(cut.fingerprint))
        .With("parts", absl::StrJoin(cut.prompt_parts, ","))
        .With("answered_ms", ToMillis(cut.answered_for))
        .With("started", cut.has_started ? "yes" : "no")
        .With("requests", cuts.size())
        .With("counts", is_cleared ? "no" : "yes");
    if (!cut.has_started) {
      context_.metrics.Count("requests_cut_unanswered_total");
    }
    if (is_cleared) continue;
    const ServerEnd end{cut.fingerprint, server,
                        cut.answered_for > kLateAnswerAge, context_.now};
    ends.push_back(end);
    QueueRow({.kind = end.is_late ? ServerEndRow::Kind::kLateEnd
                                  : ServerEndRow::Kind::kEnd,
              .fingerprint = end.fingerprint,
              .server = server,
              .at = end.at});
    ApplyEnd(end, context_.settings.self.host);
  }
  if (IsFleet() || ends.empty()) return;
  writer_.Append(absl::StrCat("end/", server), ServerEndRecord(ends));
}

bool QuarantineManager::HasCompletedLately(uint64_t fingerprint) const {
  const auto it = completed_.find(fingerprint);
  return it != completed_.end() && context_.now - it->second <= kCompletedTtl;
}

void QuarantineManager::RecordCompleted(uint64_t fingerprint) {
  if (fingerprint == 0) return;
  const auto [it, is_new] = completed_.insert({fingerprint, context_.now});
  it->second = context_.now;
  if (is_new) completed_order_.push_back(fingerprint);
  if (completed_order_.size() > kMaxCompleted) {
    completed_.erase(completed_order_.front());
    completed_order_.pop_front();
  }
  const bool is_suspected = StateOf(fingerprint) != ContentState::kClear;
  Lift(fingerprint);
  if (!is_suspected) return;
  QueueRow({.kind = ServerEndRow::Kind::kCleared,
            .fingerprint = fingerprint,
            .at = context_.now});
  if (IsFleet()) return;
  writer_.Append(absl::StrCat("clear/", FingerprintText(fingerprint)),
                 ContentClearedRecord(fingerprint));
}

QuarantineManager::ContentState QuarantineManager::StateOf(
    uint64_t fingerprint) const {
  if (Holds(fingerprint)) return ContentState::kQuarantined;
  const bool is_suspect = suspects_.contains(fingerprint) ||
                          ledger_.IsSuspect(fingerprint) ||
                          context_.control.crashes().IsSuspect(fingerprint);
  return is_suspect ? ContentState::kSuspect : ContentState::kClear;
}

bool QuarantineManager::Clear(uint64_t fingerprint) {
  const ContentState before = StateOf(fingerprint);
  ledger_.Clear(fingerprint);
  suspects_.erase(fingerprint);
  reports_.Remove(fingerprint);
  if (before == ContentState::kClear) return false;
  changed_.insert(fingerprint);
  if (before != ContentState::kQuarantined) return false;
  quarantine_.Remove(fingerprint);
  unrecorded_.erase(fingerprint);
  LogEvent(LogLevel::kWarning, "quarantine_lifted")
      .With("fingerprint", FingerprintText(fingerprint))
      .With("reason", "a server answered it completely");
  return true;
}

void QuarantineManager::Lift(uint64_t fingerprint) {
  if (Clear(fingerprint) && IsFleet()) unreleased_.insert(fingerprint);
}

void QuarantineManager::ApplyEnd(const ServerEnd& end,
                                 const std::string& host) {
  if (end.fingerprint == 0 || Holds(end.fingerprint)) return;
  switch (ledger_.Record(end, context_.now)) {
    case CrashLedger::Finding::kNothing:
      return;
    case CrashLedger::Finding::kSuspect:
      changed_.insert(end.fingerprint);
      return;
    case CrashLedger::Finding::kProven:
      break;
  }
  unrecorded_.insert(end.fingerprint);
  const TimePoint until = context_.now + kQuarantineTtl;
  Add(end.fingerprint, until,
      absl::StrCat("server ", end.server, " reported by ", host));
  if (is_owner_) return;
  // The ends may expire before the owner is reachable.
  QueueRow({.kind = ServerEndRow::Kind::kProven,
            .fingerprint = end.fingerprint,
            .at = until});
}

void QuarantineManager::Add(uint64_t fingerprint, TimePoint until,
                            const std::string& source) {
  // Clock skew between hosts must not extend the quarantine.
  const TimePoint latest = context_.now + kQuarantineTtl;
  const bool was_held = Holds(fingerprint);
  if (!quarantine_.Add(fingerprint, std::min(until, latest))) return;
  if (was_held) return;
  ledger_.MarkProven(fingerprint, context_.now);
  suspects_.erase(fingerprint);
  unreleased_.erase(fingerprint);
  added_.push_back(fingerprint);
  changed_.insert(fingerprint);
  context_.metrics.Count("quarantines_total");
  LogEvent(LogLevel::kWarning, "quarantine_begin")
      .With("fingerprint", FingerprintText(fingerprint))
      .With("for_ms", ToMillis(Remaining(fingerprint)))
      .With("source", source);
}

// ---- Reports and plans between hosts ----

void QuarantineManager::QueueRow(ServerEndRow row) {
  if (!IsFleet()) return;
  LogDropped(reports_.Add(std::move(row)), "table full");
}

// Counts and logs rows that the owner will never receive. The owner itself has
// counted its own rows already.
void QuarantineManager::LogDropped(size_t rows, const char* reason) {
  if (rows == 0 || is_owner_) return;
  context_.metrics.Count("server_end_rows_dropped_total", rows);
  LogEvent(LogLevel::kWarning, "server_end_rows_dropped")
      .With("rows", rows)
      .With("reason", reason)
      .With("owed", reports_.owed());
}

Json QuarantineManager::BuildReportRows(FencingToken token) {
  return reports_.BuildReport(token, context_.now);
}

void QuarantineManager::HandleReport(const std::string& host,
                                     const Json& report) {
  const auto rows = inbox_.HandleReport(host, report, context_.now);
  if (!rows) {
    context_.metrics.Count("malformed_reports_total");
    LogEvent(LogLevel::kWarning, "server_end_report_malformed")
        .With("host", host);
    return;
  }
  for (const ServerEndRow& row : *rows) ApplyRow(host, row);
}

void QuarantineManager::ApplyRow(const std::string& host,
                                 const ServerEndRow& row) {
  switch (row.kind) {
    case ServerEndRow::Kind::kEnd:
    case ServerEndRow::Kind::kLateEnd: {
      const bool is_late = row.kind == ServerEndRow::Kind::kLateEnd;
      ApplyEnd({row.fingerprint, row.server, is_late, row.at}, host);
      return;
    }
    case ServerEndRow::Kind::kCleared:
      Lift(row.fingerprint);
      return;
    case ServerEndRow::Kind::kProven:
      if (HasCompletedLately(row.fingerprint) || Holds(row.fingerprint)) return;
      unrecorded_.insert(row.fingerprint);
      Add(row.fingerprint, row.at, absl::StrCat("host ", host));
      return;
  }
}

void QuarantineManager::NumberRows(uint64_t& last_update) {
  for (const uint64_t fingerprint : std::exchange(changed_, {})) {
    Announcement& announced = announced_[fingerprint];
    announced.update = ++last_update;
    announced.at = context_.now;
    announced.was_quarantined = announced.was_quarantined || Holds(fingerprint);
  }
  // Keeps a row for as long as a host that missed it may apply an earlier one.
  std::erase_if(announced_, [this](const auto& item) {
    const Duration ttl =
        item.second.was_quarantined ? kQuarantineTtl : kSuspectTtl;
    return !Holds(item.first) && context_.now - item.second.at > ttl;
  });
}

void QuarantineManager::RenumberRows(uint64_t& last_update) {
  announced_.clear();
  for (const auto& [fingerprint, until] : quarantine_.entries()) {
    changed_.insert(fingerprint);
  }
  NumberRows(last_update);
}

Json QuarantineManager::PlanRows(uint64_t since) const {
  Json rows = Json::array();
  for (const auto& [fingerprint, announced] : announced_) {
    if (announced.update <= since) continue;
    rows.push_back({fingerprint, static_cast<int>(StateOf(fingerprint)),
                    ToUnixMillis(quarantine_.Until(fingerprint))});
  }
  return rows;
}

void QuarantineManager::HandlePlan(const Json& rows) {
  if (!rows.is_array()) return;
  for (const Json& row : rows) {
    if (!row.is_array() || row.size() != 3 || !row[0].is_number_unsigned() ||
        !row[1].is_number_integer() || !row[2].is_number_integer()) {
      continue;
    }
    const auto fingerprint = row[0].get<uint64_t>();
    switch (static_cast<ContentState>(row[1].get<int>())) {
      case ContentState::kClear:
        Clear(fingerprint);
        break;
      case ContentState::kSuspect:
        if (suspects_.size() >= kMaxSuspects) break;
        suspects_[fingerprint] = context_.now;
        break;
      case ContentState::kQuarantined:
        Add(fingerprint, FromUnixMillis(row[2].get<int64_t>()), "plan");
        break;
    }
  }
}

// ---- Control stream ----

void QuarantineManager::HandleControl() {
  const Quarantine& agreed = context_.control.quarantine();
  for (const auto& [fingerprint, until] : agreed.entries()) {
    if (until <= context_.now || from_log_.contains(fingerprint)) continue;
    from_log_.insert(fingerprint);
    Add(fingerprint, until, "log");
  }
  for (auto it = from_log_.begin(); it != from_log_.end();) {
    const uint64_t fingerprint = *it;
    const bool is_agreed = agreed.Holds(fingerprint, context_.now);
    it = is_agreed ? std::next(it) : from_log_.erase(it);
    if (!is_agreed) Clear(fingerprint);
  }
}

// ---- Record in the store ----

void QuarantineManager::HandleRead(const QuarantineRead& event) {
  if (!event.is_answered) return;
  has_read_ = true;
  for (const QuarantineRecord& record : event.records) {
    if (record.until > context_.now) {
      Add(record.fingerprint, record.until, "store");
    } else if (is_owner_) {
      unreleased_.insert(record.fingerprint);
    }
  }
}

void QuarantineManager::HandleAppendEnd(const QuarantineAppendEnded& event) {
  if (!event.is_appended) return;
  const uint64_t fingerprint = event.record.fingerprint;
  const bool is_release = event.record.until == TimePoint{};
  (is_release ? unreleased_ : unrecorded_).erase(fingerprint);
}

void QuarantineManager::ExpireQuarantines(bool is_owner) {
  for (const uint64_t fingerprint : quarantine_.TakeEnded(context_.now)) {
    changed_.insert(fingerprint);
    unrecorded_.erase(fingerprint);
    if (is_owner) unreleased_.insert(fingerprint);
    LogEvent(LogLevel::kInfo, "quarantine_end")
        .With("fingerprint", FingerprintText(fingerprint));
  }
}

// The store is read only while no owner is reachable, as at start, and by a new
// owner, which must announce the quarantines to all hosts. At all other times
// the owner's plans carry them without a call to the store.
void QuarantineManager::ReadRecordIfDue(bool is_owner,
                                        bool is_owner_reachable) {
  if (is_owner && !is_owner_) {
    has_read_ = false;
    read_at_ = {};
  }
  is_owner_ = is_owner;
  const bool needs_read = is_owner ? !has_read_ : !is_owner_reachable;
  if (!needs_read || context_.now - read_at_ < kReadInterval) return;
  read_at_ = context_.now;
  context_.Emit(ReadQuarantine{});
}

void QuarantineManager::AppendIfDue() {
  if (unrecorded_.empty() && unreleased_.empty()) return;
  if (context_.now - recorded_at_ < kAppendInterval) return;
  recorded_at_ = context_.now;
  int appends = 0;
  for (const uint64_t fingerprint : unrecorded_) {
    if (++appends > kMaxAppendsPerRound) return;
    context_.Emit(
        AppendQuarantine{{fingerprint, quarantine_.Until(fingerprint)}});
  }
  for (const uint64_t fingerprint : unreleased_) {
    if (++appends > kMaxAppendsPerRound) return;
    context_.Emit(AppendQuarantine{{fingerprint, TimePoint{}}});
  }
}

void QuarantineManager::RunTick(bool is_owner, bool is_owner_reachable) {
  ExpireQuarantines(is_owner);
  LogDropped(reports_.DropExpired(context_.now), "too old");
  std::erase_if(suspects_, [this](const auto& item) {
    return context_.now - item.second > kSuspectTtl;
  });
  if (!is_owner) changed_.clear();
  if (!IsFleet()) return;
  ReadRecordIfDue(is_owner, is_owner_reachable);
  AppendIfDue();
}

Json QuarantineManager::ToJson() const {
  Json json{{"held", Json::object()},
            {"suspects", ledger_.size()},
            {"told_suspects", suspects_.size()},
            {"unrecorded", unrecorded_.size()},
            {"rows_owed", reports_.owed()},
            {"has_read_store", has_read_}};
  for (const auto& [fingerprint, until] : quarantine_.entries()) {
    json["held"][FingerprintText(fingerprint)] =
        Json{{"for_ms", ToMillis(until - context_.now)}};
  }
  return json;
}

}  // namespace applehall
