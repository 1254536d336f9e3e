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
// Time for the owner's announcement of a suspect and for the reports of hosts
// that have an answer to it.
constexpr Duration kObjectionTime = milliseconds(250);
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
    ServerEndRow row{.kind = end.is_late ? ServerEndRow::Kind::kLateEnd
                                         : ServerEndRow::Kind::kEnd,
                     .fingerprint = end.fingerprint,
                     .server = server,
                     .at = end.at};
    if (cut.answered_for < kAnswerProvenAge) {
      row.prompt = cut.prompt_hash;
      row.parts = part_judge_.Unanswered(cut.parts, context_.now);
    }
    const CutPrompt prompt{server, end.at, row.prompt, row.parts};
    QueueRow(std::move(row));
    ApplyEnd(end, context_.settings.self.host);
    ApplyCut(prompt, context_.settings.self.host);
  }
  if (IsFleet() || ends.empty()) return;
  writer_.Append(absl::StrCat("end/", server), ServerEndRecord(ends));
}

void QuarantineManager::RecordCompleted(uint64_t fingerprint) {
  if (fingerprint == 0) return;
  completed_.Record(fingerprint, context_.now);
  on_probation_.Remove(fingerprint);
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

void QuarantineManager::RecordAnswer(const std::vector<PartKeys>& parts) {
  for (const PartKeys& part : parts) {
    for (const uint64_t key : {part.service, part.target}) {
      part_judge_.RecordAnswer(key, context_.now);
      on_probation_.Remove(key);
      const bool is_held = !quarantine_.GroupsWith(key).empty();
      if (!is_held && StateOf(key) == ContentState::kClear) continue;
      Lift(key);
      QueueRow({.kind = ServerEndRow::Kind::kCleared,
                .fingerprint = key,
                .at = context_.now});
    }
  }
}

uint64_t QuarantineManager::FindHeld(uint64_t fingerprint,
                                     const std::vector<PartKeys>& parts) const {
  if (quarantine_.Holds(fingerprint, context_.now)) return fingerprint;
  if (!quarantine_.has_groups()) return 0;
  Quarantine::Parts keys;
  for (const PartKeys& part : parts) {
    keys.push_back(part.service);
    keys.push_back(part.target);
  }
  return quarantine_.FindGroup(keys, context_.now);
}

bool QuarantineManager::NeedsProof(uint64_t fingerprint,
                                   const std::vector<PartKeys>& parts) const {
  return StateOf(fingerprint) != ContentState::kClear ||
         !part_judge_.Unanswered(parts, context_.now).empty();
}

bool QuarantineManager::HasSuspect(const std::vector<PartKeys>& parts) const {
  const std::vector<PartKeys> unanswered =
      part_judge_.Unanswered(parts, context_.now);
  return std::any_of(unanswered.begin(), unanswered.end(),
                     [this](const PartKeys& part) {
                       return StateOf(part.widest()) == ContentState::kSuspect;
                     });
}

QuarantineManager::ContentState QuarantineManager::StateOf(uint64_t key) const {
  if (quarantine_.Holds(key, context_.now)) return ContentState::kQuarantined;
  const bool is_suspect = suspects_.contains(key) || ledger_.IsSuspect(key) ||
                          part_judge_.IsSuspect(key) ||
                          context_.control.crashes().IsSuspect(key);
  return is_suspect ? ContentState::kSuspect : ContentState::kClear;
}

std::vector<uint64_t> QuarantineManager::Clear(uint64_t key) {
  const ContentState before = StateOf(key);
  std::vector<uint64_t> lifted;
  ledger_.Clear(key);
  for (const uint64_t narrower : part_judge_.Clear(key, context_.now)) {
    changed_.insert(narrower);
  }
  suspects_.erase(key);
  reports_.Remove(key);
  ClearFromGroups(key, lifted);
  if (before == ContentState::kClear) return lifted;
  changed_.insert(key);
  if (!quarantine_.Holds(key, context_.now)) return lifted;
  RemoveHeld(key, "a server answered it, or the owner lifted it");
  lifted.push_back(key);
  return lifted;
}

void QuarantineManager::ClearFromGroups(uint64_t part,
                                        std::vector<uint64_t>& lifted) {
  for (const uint64_t key : quarantine_.GroupsWith(part)) {
    Quarantine::Parts rest = quarantine_.PartsOf(key);
    const TimePoint until = quarantine_.Until(key);
    RemoveHeld(key, "a server answered a part of it");
    changed_.insert(key);
    lifted.push_back(key);
    std::erase(rest, part);
    if (rest.empty()) continue;
    // The other hosts receive it with a plan.
    if (is_owner_) unrecorded_.insert(Quarantine::KeyOf(rest));
    Add(Quarantine::KeyOf(rest), until, "what is left of a group", rest);
  }
}

void QuarantineManager::RemoveHeld(uint64_t key, const std::string& reason) {
  quarantine_.Remove(key);
  unrecorded_.erase(key);
  LogEvent(LogLevel::kWarning, "quarantine_lifted")
      .With("fingerprint", FingerprintText(key))
      .With("reason", reason);
}

void QuarantineManager::Lift(uint64_t key) {
  const std::vector<uint64_t> lifted = Clear(key);
  if (IsFleet()) unreleased_.insert(lifted.begin(), lifted.end());
}

void QuarantineManager::ApplyEnd(const ServerEnd& end,
                                 const std::string& host) {
  const uint64_t key = end.fingerprint;
  if (key == 0 || quarantine_.Holds(key, context_.now)) return;
  const std::string source =
      absl::StrCat("server ", end.server, " reported by ", host);
  if (on_probation_.Holds(key, context_.now)) {
    Hold(key, {}, absl::StrCat("again, ", source));
    return;
  }
  switch (ledger_.Record(end, context_.now)) {
    case CrashLedger::Finding::kNothing:
      return;
    case CrashLedger::Finding::kSuspect:
      changed_.insert(key);
      return;
    case CrashLedger::Finding::kProven:
      Hold(key, {}, source);
      return;
  }
}

void QuarantineManager::ApplyCut(CutPrompt cut, const std::string& host) {
  for (const PartKeys& part : part_judge_.Unanswered(cut.parts, context_.now)) {
    const uint64_t key = part.widest();
    const bool is_held = quarantine_.Holds(key, context_.now);
    if (is_held || !on_probation_.Holds(key, context_.now)) continue;
    Hold(key, {key},
         absl::StrCat("again, server ", cut.server, " reported by ", host));
  }
  for (const uint64_t key : part_judge_.Record(std::move(cut), context_.now)) {
    changed_.insert(key);
  }
}

// A host that reaches the owner leaves the judgement to it: the owner has the
// ends and the answers of all hosts.
void QuarantineManager::JudgeParts(bool is_owner_reachable) {
  part_judge_.DropExpired(context_.now);
  if (!is_owner_ && is_owner_reachable) return;
  const PromptPartLedger::Findings findings =
      part_judge_.Judge(kObjectionTime, context_.now);
  for (const Quarantine::Parts& parts : findings.causes) {
    Hold(Quarantine::KeyOf(parts), parts,
         absl::StrCat("parts of prompts at ends of servers, by ",
                      context_.settings.self.host));
  }
  for (const Quarantine::Parts& parts : findings.explained) {
    const uint64_t key = Quarantine::KeyOf(parts);
    if (!quarantine_.Holds(key, context_.now)) continue;
    // Tried once: a second cause at the same ends would end three servers more
    // each time.
    if (on_probation_.Holds(key, context_.now)) continue;
    on_probation_.Record(key, context_.now);
    RemoveHeld(key, "another part explains the ends");
    changed_.insert(key);
    unreleased_.insert(key);
  }
}

void QuarantineManager::Hold(uint64_t key, const Quarantine::Parts& parts,
                             const std::string& source) {
  if (quarantine_.Holds(key, context_.now)) return;
  unrecorded_.insert(key);
  const TimePoint until = context_.now + kQuarantineTtl;
  Add(key, until, source, parts);
  if (is_owner_) return;
  // The ends may expire before the owner is reachable.
  QueueRow({.kind = ServerEndRow::Kind::kProven,
            .fingerprint = key,
            .at = until,
            .group = parts});
}

void QuarantineManager::Add(uint64_t key, TimePoint until,
                            const std::string& source,
                            const Quarantine::Parts& parts) {
  // Clock skew between hosts must not extend the quarantine.
  const TimePoint latest = context_.now + kQuarantineTtl;
  const bool was_held = quarantine_.Holds(key, context_.now);
  if (!quarantine_.Add(key, std::min(until, latest), parts)) return;
  if (was_held) return;
  ledger_.MarkProven(key, context_.now);
  suspects_.erase(key);
  unreleased_.erase(key);
  added_.push_back(key);
  changed_.insert(key);
  context_.metrics.Count("quarantines_total");
  if (!parts.empty()) context_.metrics.Count("quarantined_parts_total");
  LogEvent(LogLevel::kWarning, "quarantine_begin")
      .With("fingerprint", FingerprintText(key))
      .With("parts", absl::StrJoin(parts, ",",
                                   [](std::string* text, uint64_t part) {
                                     absl::StrAppend(text,
                                                     FingerprintText(part));
                                   }))
      .With("for_ms", ToMillis(Remaining(key)))
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
      ApplyCut({row.server, row.at, row.prompt, row.parts}, host);
      return;
    }
    case ServerEndRow::Kind::kCleared:
      part_judge_.RecordAnswer(row.fingerprint, context_.now);
      on_probation_.Remove(row.fingerprint);
      Lift(row.fingerprint);
      return;
    case ServerEndRow::Kind::kProven:
      if (HasCompletedLately(row.fingerprint) || HasAnsweredPart(row.group) ||
          quarantine_.Holds(row.fingerprint, context_.now)) {
        return;
      }
      unrecorded_.insert(row.fingerprint);
      Add(row.fingerprint, row.at, absl::StrCat("host ", host), row.group);
      return;
  }
}

void QuarantineManager::NumberRows(uint64_t& last_update) {
  for (const uint64_t fingerprint : std::exchange(changed_, {})) {
    Announcement& announced = announced_[fingerprint];
    announced.update = ++last_update;
    announced.at = context_.now;
    const ContentState state = StateOf(fingerprint);
    if (state != ContentState::kClear) urgent_update_ = last_update;
    if (state == ContentState::kQuarantined) announced.was_quarantined = true;
  }
  // Keeps a row for as long as a host that missed it may apply an earlier one.
  std::erase_if(announced_, [this](const auto& item) {
    const Duration ttl =
        item.second.was_quarantined ? kQuarantineTtl : kSuspectTtl;
    return !quarantine_.Holds(item.first, context_.now) &&
           context_.now - item.second.at > ttl;
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
    Json row = Json::array({fingerprint, static_cast<int>(StateOf(fingerprint)),
                            ToUnixMillis(quarantine_.Until(fingerprint))});
    Quarantine::Parts parts = quarantine_.PartsOf(fingerprint);
    if (!parts.empty()) row.push_back(std::move(parts));
    rows.push_back(std::move(row));
  }
  return rows;
}

void QuarantineManager::HandlePlan(const Json& rows) {
  if (!rows.is_array()) return;
  for (const Json& row : rows) {
    if (!row.is_array() || row.size() < 3 || row.size() > 4 ||
        !row[0].is_number_unsigned() || !row[1].is_number_integer() ||
        !row[2].is_number_integer()) {
      continue;
    }
    const auto fingerprint = row[0].get<uint64_t>();
    switch (static_cast<ContentState>(row[1].get<int>())) {
      case ContentState::kClear:
        Clear(fingerprint);
        break;
      case ContentState::kSuspect:
        HandleSuspect(fingerprint);
        break;
      case ContentState::kQuarantined:
        HandleHeld(fingerprint, row);
        break;
    }
  }
}

bool QuarantineManager::HasAnsweredPart(const Quarantine::Parts& group) const {
  return std::any_of(group.begin(), group.end(), [this](uint64_t part) {
    return part_judge_.HasAnswer(part, context_.now);
  });
}

void QuarantineManager::HandleSuspect(uint64_t key) {
  const bool is_new = !suspects_.contains(key);
  if (is_new && suspects_.size() >= kMaxSuspects) return;
  suspects_[key] = context_.now;
  if (!is_new || !part_judge_.HasAnswer(key, context_.now)) return;
  QueueRow({.kind = ServerEndRow::Kind::kCleared,
            .fingerprint = key,
            .at = context_.now});
}

void QuarantineManager::HandleHeld(uint64_t key, const Json& row) {
  const TimePoint until = FromUnixMillis(row[2].get<int64_t>());
  if (row.size() == 3) {
    Add(key, until, "plan");
    return;
  }
  const std::optional<Quarantine::Parts> parts = Quarantine::ReadParts(row[3]);
  if (parts) Add(key, until, "plan", *parts);
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
      Add(record.fingerprint, record.until, "store", record.parts);
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
    on_probation_.Record(fingerprint, context_.now);
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
    context_.Emit(AppendQuarantine{{fingerprint, quarantine_.Until(fingerprint),
                                    quarantine_.PartsOf(fingerprint)}});
  }
  for (const uint64_t fingerprint : unreleased_) {
    if (++appends > kMaxAppendsPerRound) return;
    context_.Emit(AppendQuarantine{{fingerprint, TimePoint{}, {}}});
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
  JudgeParts(is_owner_reachable);
  AppendIfDue();
}

Json QuarantineManager::ToJson() const {
  Json json{{"held", Json::object()},
            {"suspects", ledger_.size()},
            {"cut_prompts", part_judge_.size()},
            {"told_suspects", suspects_.size()},
            {"unrecorded", unrecorded_.size()},
            {"rows_owed", reports_.owed()},
            {"has_read_store", has_read_}};
  for (const auto& [fingerprint, until] : quarantine_.entries()) {
    Json& item = json["held"][FingerprintText(fingerprint)];
    item["for_ms"] = ToMillis(until - context_.now);
    for (const uint64_t part : quarantine_.PartsOf(fingerprint)) {
      item["parts"].push_back(FingerprintText(part));
    }
  }
  return json;
}

}  // namespace applehall
