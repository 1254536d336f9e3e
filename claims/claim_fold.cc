#include "claims/claim_fold.h"

#include <algorithm>

namespace applehall {
namespace {

constexpr char kClaimsType[] = "claims";

Verdict VerdictFromName(const std::string& name) {
  if (name == VerdictName(Verdict::kNotRun)) return Verdict::kNotRun;
  if (name == VerdictName(Verdict::kRan)) return Verdict::kRan;
  return Verdict::kMayHaveRun;
}

}  // namespace

Json ClaimsRecord(const std::string& id, const std::vector<Claim>& claims,
                  const std::vector<ClaimEnd>& ends) {
  Json record{{"type", kClaimsType},
              {"id", id},
              {"claims", Json::array()},
              {"ends", Json::array()}};
  for (const Claim& claim : claims) {
    record["claims"].push_back({{"k", claim.key},
                                {"c", claim.claim_id},
                                {"h", claim.host},
                                {"t", ToUnixMillis(claim.issued_at)}});
  }
  for (const ClaimEnd& end : ends) {
    record["ends"].push_back(
        {{"k", end.key}, {"c", end.claim_id}, {"v", VerdictName(end.verdict)}});
  }
  return record;
}

std::vector<ClaimFold::Judgement> ClaimFold::Apply(const LogBatch& batch,
                                                   TimePoint now) {
  std::vector<Judgement> judgements;
  is_read_ = true;
  if (batch.first_offset > next_offset_) {
    // Records expired before this host read them. A key whose claim could be
    // among them might have run: only keys issued later are free.
    unread_before_ = batch.records.empty() ? now : batch.records.front().time;
    next_offset_ = batch.first_offset;
  }
  for (const LogRecord& record : batch.records) {
    if (record.offset != next_offset_) continue;
    next_offset_ = record.offset + 1;
    ApplyRecord(record, judgements);
  }
  Prune(now);
  return judgements;
}

void ClaimFold::ApplyRecord(const LogRecord& record,
                            std::vector<Judgement>& out) {
  const absl::StatusOr<Json> body = ParseJson(record.payload);
  if (!body.ok() || FieldOr<std::string>(*body, "type", "") != kClaimsType) {
    return;
  }
  if (body->contains("claims") && (*body)["claims"].is_array()) {
    for (const Json& item : (*body)["claims"]) ApplyClaim(item, out);
  }
  if (body->contains("ends") && (*body)["ends"].is_array()) {
    for (const Json& item : (*body)["ends"]) ApplyEnd(item, record.time);
  }
}

void ClaimFold::ApplyClaim(const Json& item, std::vector<Judgement>& out) {
  const std::string key = FieldOr<std::string>(item, "k", "");
  const std::string claim_id = FieldOr<std::string>(item, "c", "");
  if (key.empty() || claim_id.empty()) return;
  // The writer repeats an append whose answer was lost. Its first copy may
  // have won, run nothing and been given back already.
  if (ended_.contains(claim_id)) {
    out.push_back({claim_id, key, false});
    return;
  }
  const TimePoint issued = FromUnixMillis(FieldOr<int64_t>(item, "t", 0));
  const auto [it, is_new] = keys_.try_emplace(key);
  if (is_new) {
    it->second = {claim_id, issued, KeyStatus::kRunning};
    by_issue_.emplace(issued, key);
  }
  // A host that was paused past the log's retention has not read what came
  // before: another claim of this key may be among it, and have won. Only a
  // key issued after the gap can be judged here.
  const bool can_judge = issued >= unread_before_ + window_.clock_skew ||
                         unread_before_ == TimePoint{};
  out.push_back({claim_id, key, can_judge && it->second.claim_id == claim_id});
}

void ClaimFold::ApplyEnd(const Json& item, TimePoint time) {
  const std::string key = FieldOr<std::string>(item, "k", "");
  const std::string claim_id = FieldOr<std::string>(item, "c", "");
  const auto it = keys_.find(key);
  const bool is_holder = it != keys_.end() && it->second.claim_id == claim_id;
  const Verdict verdict = VerdictFromName(FieldOr<std::string>(item, "v", ""));
  if (verdict == Verdict::kNotRun) {
    ended_[claim_id] = time;
    if (is_holder) keys_.erase(it);
    return;
  }
  if (!is_holder) return;
  it->second.status =
      verdict == Verdict::kRan ? KeyStatus::kRan : KeyStatus::kMayHaveRun;
}

TimePoint ClaimFold::Floor(TimePoint now) const {
  return std::max(now - window_.retention, unread_before_ + window_.clock_skew);
}

ClaimFold::KeyStatus ClaimFold::Lookup(const std::string& key,
                                       TimePoint issued_at,
                                       TimePoint now) const {
  const auto it = keys_.find(key);
  if (it != keys_.end()) return it->second.status;
  if (issued_at < Floor(now)) return KeyStatus::kTooOld;
  if (issued_at > now + window_.clock_skew) return KeyStatus::kIssuedInFuture;
  return KeyStatus::kFree;
}

void ClaimFold::Prune(TimePoint now) {
  // Later than Floor() by more than any host's clock may lag, so that no host
  // forgets a key that another would still accept.
  const TimePoint limit = now - window_.retention - 2 * window_.clock_skew;
  while (!by_issue_.empty() && by_issue_.begin()->first < limit) {
    const auto oldest = by_issue_.begin();
    const auto it = keys_.find(oldest->second);
    if (it != keys_.end() && it->second.issued_at == oldest->first) {
      keys_.erase(it);
    }
    by_issue_.erase(oldest);
  }
  std::erase_if(ended_,
                [limit](const auto& entry) { return entry.second < limit; });
}

}  // namespace applehall
