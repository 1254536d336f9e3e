#include "node/control_fold.h"

namespace applehall {
namespace {

constexpr size_t kMaxRecentRecords = 64;
constexpr size_t kMaxRecentBytes = 256 * 1024;
constexpr size_t kMaxOutcomes = 256;
// Records that a host without a base state buffers. Beyond this it drops them
// and waits for a snapshot that is newer than all of them.
constexpr size_t kMaxPendingRecords = 4096;

constexpr char kPublish[] = "publish";
constexpr char kClaimGroup[] = "claim_group";
constexpr char kReleaseGroup[] = "release_group";
constexpr char kServerEnd[] = "server_end";
constexpr char kContentCleared[] = "content_cleared";
constexpr char kSnapshot[] = "snapshot";

}  // namespace

Json PublishRecord(const std::string& id, LogOffset base, const Json& body) {
  Json record = body;
  record["type"] = kPublish;
  record["id"] = id;
  record["base"] = base;
  return record;
}

Json ClaimGroupRecord(const std::string& id, const std::string& group,
                      const Incarnation& owner, FencingToken previous) {
  return Json{{"type", kClaimGroup},
              {"id", id},
              {"group", group},
              {"host", owner.host},
              {"incarnation", owner.number},
              {"previous", previous}};
}

Json ReleaseGroupRecord(const std::string& id, const std::string& group,
                        FencingToken token) {
  return Json{
      {"type", kReleaseGroup}, {"id", id}, {"group", group}, {"token", token}};
}

Json ServerEndRecord(const std::vector<ServerEnd>& ends) {
  Json record{{"type", kServerEnd}, {"contents", Json::array()}};
  for (const ServerEnd& end : ends) {
    record["server"] = end.server;
    record["contents"].push_back(
        Json{{"fingerprint", end.fingerprint}, {"late", end.is_late}});
  }
  return record;
}

Json ContentClearedRecord(uint64_t fingerprint) {
  return Json{{"type", kContentCleared}, {"fingerprint", fingerprint}};
}

void ControlFold::Apply(const LogBatch& batch) {
  if (batch.first_offset > next_offset_) {
    // Records expired before this host read them: it started late or was
    // paused for longer than the retention. Their effect is unknown, so later
    // records cannot be applied. The current state stays in force.
    has_base_ = false;
    pending_.clear();
    pending_from_ = batch.first_offset;
    next_offset_ = batch.first_offset;
    recent_.clear();
  }
  for (const LogRecord& record : batch.records) {
    if (record.offset != next_offset_) continue;
    next_offset_ = record.offset + 1;
    AddRecord(record);
  }
}

void ControlFold::AddRecord(const LogRecord& record) {
  const absl::StatusOr<Json> body = ParseJson(record.payload);
  if (!body.ok()) return;
  KeepRecent(record);
  const bool is_snapshot = FieldOr<std::string>(*body, "type", "") == kSnapshot;
  if (is_snapshot) last_snapshot_at_ = record.time;
  if (first_record_at_ == TimePoint{}) first_record_at_ = record.time;
  if (has_base_) {
    ApplyRecord(record, *body);
    return;
  }
  if (is_snapshot) {
    Install(*body);
    return;
  }
  if (pending_.size() >= kMaxPendingRecords) {
    pending_.clear();
    pending_from_ = next_offset_;
    return;
  }
  pending_.push_back(record);
}

void ControlFold::ApplyRecord(const LogRecord& record, const Json& body) {
  const std::string type = FieldOr<std::string>(body, "type", "");
  if (type == kPublish) {
    const RuleRegistry::Result result = rules_.Publish(record.offset, body);
    RecordOutcome(FieldOr<std::string>(body, "id", ""),
                  {result, record.offset, rules_.version()});
  } else if (type == kClaimGroup) {
    ownership_.Claim(record.offset, record.time,
                     FieldOr<std::string>(body, "group", ""),
                     {FieldOr<std::string>(body, "host", ""),
                      FieldOr<uint64_t>(body, "incarnation", 0)},
                     FieldOr<uint64_t>(body, "previous", 0));
  } else if (type == kReleaseGroup) {
    ownership_.Release(record.time, FieldOr<std::string>(body, "group", ""),
                       FieldOr<uint64_t>(body, "token", 0));
  } else if (type == kServerEnd) {
    ApplyServerEnd(record, body);
  } else if (type == kContentCleared) {
    const auto fingerprint = FieldOr<uint64_t>(body, "fingerprint", 0);
    crashes_.Clear(fingerprint);
    quarantine_.Remove(fingerprint);
  }
}

// Uses the record's time only, so that all hosts reach the same result. A
// snapshot contains the quarantined contents but not the suspected ones.
void ControlFold::ApplyServerEnd(const LogRecord& record, const Json& body) {
  for (const Json& content : body.value("contents", Json::array())) {
    const ServerEnd end{FieldOr<uint64_t>(content, "fingerprint", 0),
                        FieldOr<std::string>(body, "server", ""),
                        FieldOr<bool>(content, "late", false), record.time};
    if (end.fingerprint == 0 ||
        quarantine_.Holds(end.fingerprint, record.time)) {
      continue;
    }
    const CrashLedger::Finding finding = crashes_.Record(end, record.time);
    if (finding != CrashLedger::Finding::kProven) continue;
    crashes_.MarkProven(end.fingerprint, record.time);
    quarantine_.Add(end.fingerprint, record.time + kQuarantineTtl);
  }
}

bool ControlFold::Install(const Json& snapshot) {
  const LogOffset covered_offset = FieldOr<uint64_t>(snapshot, "as_of", 0);
  const bool covers_pending = !has_base_ && covered_offset >= pending_from_;
  const bool is_ahead = covered_offset > next_offset_;
  // A snapshot that ends before the first buffered record leaves a gap of
  // records whose effect is unknown. A writer that was paused appends such
  // snapshots.
  if (!covers_pending && !is_ahead) return false;
  const LogOffset version = FieldOr<uint64_t>(snapshot, "version", 0);
  if (version > 0) {
    if (!snapshot.contains("document")) return false;
    if (!rules_.Install(version, snapshot["document"]).ok()) return false;
  }
  ownership_ = OwnershipTable::FromJson(
      snapshot.contains("groups") ? snapshot["groups"] : Json::object());
  quarantine_ = Quarantine::FromJson(
      snapshot.contains("quarantine") ? snapshot["quarantine"] : Json::array());
  has_base_ = true;
  std::deque<LogRecord> pending = std::move(pending_);
  pending_.clear();
  if (is_ahead) {
    next_offset_ = covered_offset;
    recent_.clear();
    return true;
  }
  for (const LogRecord& record : pending) {
    if (record.offset < covered_offset) continue;
    ApplyRecord(record, *ParseJson(record.payload));
  }
  return true;
}

Json ControlFold::Snapshot() const {
  Json snapshot{{"type", kSnapshot},
                {"as_of", next_offset_},
                {"version", rules_.version()},
                {"groups", ownership_.ToJson()},
                {"quarantine", quarantine_.ToJson()}};
  if (rules_.current()) snapshot["document"] = rules_.current()->Document();
  return snapshot;
}

std::optional<LogBatch> ControlFold::RecordsFrom(LogOffset offset) const {
  LogBatch batch;
  batch.stream = kControlStream;
  batch.next_offset = next_offset_;
  batch.first_offset = offset;
  if (offset == next_offset_) return batch;
  if (recent_.empty() || recent_.front().offset > offset) return std::nullopt;
  for (const LogRecord& record : recent_) {
    if (record.offset >= offset) batch.records.push_back(record);
  }
  return batch;
}

void ControlFold::KeepRecent(const LogRecord& record) {
  recent_.push_back(record);
  size_t bytes = 0;
  for (const LogRecord& kept : recent_) bytes += kept.payload.size();
  while (recent_.size() > kMaxRecentRecords ||
         (bytes > kMaxRecentBytes && recent_.size() > 1)) {
    bytes -= recent_.front().payload.size();
    recent_.pop_front();
  }
}

void ControlFold::RecordOutcome(const std::string& id,
                                const PublishOutcome& outcome) {
  if (!outcomes_.emplace(id, outcome).second) return;
  outcome_order_.push_back(id);
  if (outcome_order_.size() <= kMaxOutcomes) return;
  outcomes_.erase(outcome_order_.front());
  outcome_order_.pop_front();
}

}  // namespace applehall
