#include "node/quarantine_manager.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/request_fingerprint.h"
#include "node/control_fold.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// What ends servers does so soon after it begins to run there; an answer that
// had come for longer than this was rather cut with the server.
constexpr Duration kLateAnswer = seconds(1);
// A content that was answered this lately does not end servers: something else
// ended the one that it was cut at.
constexpr Duration kCompletedLife = minutes(1);
// 18 requests a second at each host of the largest fleet, for a minute.
constexpr size_t kMostCompleted = 1080;
// What the owner said of a suspect; hosts answer it with whole answers.
constexpr Duration kSuspectLife = minutes(10);
constexpr size_t kMostSuspects = 1024;
// A host without an owner learns of a quarantine well within the 3 s in which
// all hosts must know of it.
constexpr Duration kReadInterval = seconds(2);
// Until the store has acknowledged it; while it is down, calls for nothing.
constexpr Duration kAppendInterval = seconds(1);
constexpr int kMostAppends = 8;

}  // namespace

// ---- What this host's requests say ----

void QuarantineManager::RecordEnd(const std::string& server,
                                  const std::vector<CutRequest>& cuts) {
  context_.metrics.Count("servers_ended_total");
  std::vector<ServerEnd> ends;
  for (const CutRequest& cut : cuts) {
    const bool is_cleared = HasCompletedLately(cut.fingerprint);
    LogEvent(LogLevel::kWarning, "server_ended")
        .With("server", server)
        .With("fingerprint", FingerprintText(cut.fingerprint))
        .With("answered_ms", ToMillis(cut.answered_for))
        .With("requests", cuts.size())
        .With("counts", is_cleared ? "no" : "yes");
    if (is_cleared) continue;
    const ServerEnd end{cut.fingerprint, server, cut.answered_for > kLateAnswer,
                        context_.now};
    ends.push_back(end);
    Tell({.kind = end.is_late ? ServerEndRow::Kind::kLateEnd
                              : ServerEndRow::Kind::kEnd,
          .fingerprint = end.fingerprint,
          .server = server,
          .at = end.at});
    Judge(end, context_.settings.self.host);
  }
  if (IsFleet() || ends.empty()) return;
  writer_.Append(absl::StrCat("end/", server), ServerEndRecord(ends));
}

bool QuarantineManager::HasCompletedLately(uint64_t fingerprint) const {
  const auto it = completed_.find(fingerprint);
  return it != completed_.end() && context_.now - it->second <= kCompletedLife;
}

void QuarantineManager::RecordCompleted(uint64_t fingerprint) {
  if (fingerprint == 0) return;
  const auto [it, is_new] = completed_.insert({fingerprint, context_.now});
  it->second = context_.now;
  if (is_new) completed_order_.push_back(fingerprint);
  if (completed_order_.size() > kMostCompleted) {
    completed_.erase(completed_order_.front());
    completed_order_.pop_front();
  }
  const bool is_doubted = StandingOf(fingerprint) != Standing::kClear;
  Lift(fingerprint);
  if (!is_doubted) return;
  Tell({.kind = ServerEndRow::Kind::kCleared,
        .fingerprint = fingerprint,
        .at = context_.now});
  if (IsFleet()) return;
  writer_.Append(absl::StrCat("clear/", FingerprintText(fingerprint)),
                 ContentClearedRecord(fingerprint));
}

QuarantineManager::Standing QuarantineManager::StandingOf(
    uint64_t fingerprint) const {
  if (Holds(fingerprint)) return Standing::kQuarantined;
  const bool is_suspect = suspects_.contains(fingerprint) ||
                          ledger_.IsSuspect(fingerprint) ||
                          context_.control.crashes().IsSuspect(fingerprint);
  return is_suspect ? Standing::kSuspect : Standing::kClear;
}

bool QuarantineManager::Clear(uint64_t fingerprint) {
  const Standing before = StandingOf(fingerprint);
  ledger_.Clear(fingerprint);
  suspects_.erase(fingerprint);
  reports_.Forget(fingerprint);
  if (before == Standing::kClear) return false;
  changed_.insert(fingerprint);
  if (before != Standing::kQuarantined) return false;
  quarantine_.Remove(fingerprint);
  unrecorded_.erase(fingerprint);
  LogEvent(LogLevel::kWarning, "quarantine_lifted")
      .With("fingerprint", FingerprintText(fingerprint))
      .With("reason", "a server has run it to its end");
  return true;
}

void QuarantineManager::Lift(uint64_t fingerprint) {
  if (Clear(fingerprint) && IsFleet()) unreleased_.insert(fingerprint);
}

void QuarantineManager::Judge(const ServerEnd& end, const std::string& host) {
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
      absl::StrCat("server ", end.server, " seen by ", host));
  if (is_owner_) return;
  // The ends may be forgotten before the owner can be told of them.
  Tell({.kind = ServerEndRow::Kind::kProven,
        .fingerprint = end.fingerprint,
        .at = until});
}

void QuarantineManager::Add(uint64_t fingerprint, TimePoint until,
                            const std::string& source) {
  // Hosts' clocks differ; none may hold a content for longer than the rest.
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

// ---- Between the hosts ----

void QuarantineManager::Tell(ServerEndRow row) {
  if (!IsFleet()) return;
  LogDropped(reports_.Add(std::move(row)), "table full");
}

// Other hosts will not count what is dropped here. An owner has counted its
// own.
void QuarantineManager::LogDropped(size_t rows, const char* reason) {
  if (rows == 0 || is_owner_) return;
  context_.metrics.Count("server_end_rows_dropped_total", rows);
  LogEvent(LogLevel::kWarning, "server_end_rows_dropped")
      .With("rows", rows)
      .With("reason", reason)
      .With("owed", reports_.owed());
}

Json QuarantineManager::BuildReportRows(FencingToken token) {
  return reports_.Take(token, context_.now);
}

void QuarantineManager::TakeReport(const std::string& host,
                                   const Json& report) {
  const auto rows = inbox_.Take(host, report, context_.now);
  if (!rows) {
    context_.metrics.Count("malformed_reports_total");
    LogEvent(LogLevel::kWarning, "server_end_report_malformed")
        .With("host", host);
    return;
  }
  for (const ServerEndRow& row : *rows) TakeRow(host, row);
}

void QuarantineManager::TakeRow(const std::string& host,
                                const ServerEndRow& row) {
  switch (row.kind) {
    case ServerEndRow::Kind::kEnd:
    case ServerEndRow::Kind::kLateEnd: {
      const bool is_late = row.kind == ServerEndRow::Kind::kLateEnd;
      Judge({row.fingerprint, row.server, is_late, row.at}, host);
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

void QuarantineManager::NumberRows(uint64_t& last_news) {
  for (const uint64_t fingerprint : std::exchange(changed_, {})) {
    Told& told = told_[fingerprint];
    told.news = ++last_news;
    told.at = context_.now;
    told.was_quarantined = told.was_quarantined || Holds(fingerprint);
  }
  // A row is kept for as long as a host that missed it may go by an earlier
  // one.
  std::erase_if(told_, [this](const auto& item) {
    const Duration life =
        item.second.was_quarantined ? kQuarantineTtl : kSuspectLife;
    return !Holds(item.first) && context_.now - item.second.at > life;
  });
}

void QuarantineManager::RenumberRows(uint64_t& last_news) {
  told_.clear();
  for (const auto& [fingerprint, until] : quarantine_.entries()) {
    changed_.insert(fingerprint);
  }
  NumberRows(last_news);
}

Json QuarantineManager::PlanRows(uint64_t since) const {
  Json rows = Json::array();
  for (const auto& [fingerprint, told] : told_) {
    if (told.news <= since) continue;
    rows.push_back({fingerprint, static_cast<int>(StandingOf(fingerprint)),
                    ToUnixMillis(quarantine_.Until(fingerprint))});
  }
  return rows;
}

void QuarantineManager::TakePlan(const Json& rows) {
  if (!rows.is_array()) return;
  for (const Json& row : rows) {
    if (!row.is_array() || row.size() != 3 || !row[0].is_number_unsigned() ||
        !row[1].is_number_integer() || !row[2].is_number_integer()) {
      continue;
    }
    const auto fingerprint = row[0].get<uint64_t>();
    switch (static_cast<Standing>(row[1].get<int>())) {
      case Standing::kClear:
        Clear(fingerprint);
        break;
      case Standing::kSuspect:
        if (suspects_.size() >= kMostSuspects) break;
        suspects_[fingerprint] = context_.now;
        break;
      case Standing::kQuarantined:
        Add(fingerprint, FromUnixMillis(row[2].get<int64_t>()), "plan");
        break;
    }
  }
}

// ---- The log ----

void QuarantineManager::TakeControl() {
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

// ---- The store's record ----

void QuarantineManager::TakeRead(const QuarantineRead& event) {
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

void QuarantineManager::TakeAppendEnd(const QuarantineAppendEnded& event) {
  if (!event.is_appended) return;
  const uint64_t fingerprint = event.record.fingerprint;
  const bool is_release = event.record.until == TimePoint{};
  (is_release ? unreleased_ : unrecorded_).erase(fingerprint);
}

void QuarantineManager::EndDue(bool is_owner) {
  for (const uint64_t fingerprint : quarantine_.TakeEnded(context_.now)) {
    changed_.insert(fingerprint);
    unrecorded_.erase(fingerprint);
    if (is_owner) unreleased_.insert(fingerprint);
    LogEvent(LogLevel::kInfo, "quarantine_end")
        .With("fingerprint", FingerprintText(fingerprint));
  }
}

// Guards against a host that does not know what the fleet does: while it hears
// no owner, as at its start, and as the new owner, who must tell it to all. The
// owner's plans carry it at all other times, at no call to the store.
void QuarantineManager::ReadDue(bool is_owner, bool is_owner_reachable) {
  if (is_owner && !is_owner_) {
    has_read_ = false;
    read_at_ = {};
  }
  is_owner_ = is_owner;
  const bool is_unsure = is_owner ? !has_read_ : !is_owner_reachable;
  if (!is_unsure || context_.now - read_at_ < kReadInterval) return;
  read_at_ = context_.now;
  context_.Emit(ReadQuarantine{});
}

void QuarantineManager::AppendDue() {
  if (unrecorded_.empty() && unreleased_.empty()) return;
  if (context_.now - recorded_at_ < kAppendInterval) return;
  recorded_at_ = context_.now;
  int appends = 0;
  for (const uint64_t fingerprint : unrecorded_) {
    if (++appends > kMostAppends) return;
    context_.Emit(
        AppendQuarantine{{fingerprint, quarantine_.Until(fingerprint)}});
  }
  for (const uint64_t fingerprint : unreleased_) {
    if (++appends > kMostAppends) return;
    context_.Emit(AppendQuarantine{{fingerprint, TimePoint{}}});
  }
}

void QuarantineManager::RunTick(bool is_owner, bool is_owner_reachable) {
  EndDue(is_owner);
  LogDropped(reports_.DropExpired(context_.now), "too old");
  std::erase_if(suspects_, [this](const auto& item) {
    return context_.now - item.second > kSuspectLife;
  });
  if (!is_owner) changed_.clear();
  if (!IsFleet()) return;
  ReadDue(is_owner, is_owner_reachable);
  AppendDue();
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
